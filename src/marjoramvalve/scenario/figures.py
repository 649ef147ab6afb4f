"""Figures of a run: goodput, recovery, the worst-served customer, wrongful refusals."""

from collections import Counter, defaultdict
from dataclasses import dataclass

from marjoramvalve.scenario.deployments import Deployment
from marjoramvalve.scenario.traces import Ended, Trace

WINDOW_S = 1.0
RECOVERED = 0.95
STEADY_WINDOWS = 2
MESSAGES_S = 0.01


@dataclass(frozen=True, slots=True)
class Offer:
    """A call that clients made: time, customer, route."""

    at: float
    customer: str
    route: str


class Figures:
    """Computes figures over windows of a run's own time, from 0."""

    def __init__(
        self,
        deployment: Deployment,
        trace: Trace,
        offers: list[tuple[float, str, str]],
        began: float,
        rates: dict[str, tuple[float, float]],
    ) -> None:
        self._deployment = deployment
        self._capacity = deployment.capacity()
        self._rates = rates
        self._offers = [Offer(at - began, customer, route) for at, customer, route in offers]
        self._ends = trace.ends
        self._began = began
        self._good = self._first_good()

    def _first_good(self) -> dict[int, Ended]:
        good: dict[int, Ended] = {}
        for item in self._ends:
            if item.status == 200 and item.right:
                good.setdefault(item.call, item)
        return good

    def _within(self, begin: float, end: float) -> list[Ended]:
        return [item for item in self._good.values() if begin <= item.at - self._began < end]

    def _offered(self, begin: float, end: float) -> Counter[str]:
        return Counter(item.customer for item in self._offers if begin <= item.at < end)

    def _due(self, begin: float, end: float) -> dict[str, float]:
        """Returns each customer's fair due: max-min over the capacity, within its rate."""
        span = end - begin
        offered = self._offered(begin, end)
        wish = {
            name: min(count, self._rates[name][0] * span + self._rates[name][1])
            for name, count in offered.items()
        }
        left = self._capacity * span
        due: dict[str, float] = {}
        names = sorted(wish, key=wish.__getitem__)
        for position, name in enumerate(names):
            share = left / (len(names) - position)
            due[name] = min(wish[name], share)
            left -= due[name]
        return due

    def goodput(self, begin: float, end: float) -> float:
        """Returns whole answers against the ideal: what was offered within rates, or capacity."""
        ideal = sum(self._due(begin, end).values())
        return len(self._within(begin, end)) / ideal if ideal else 1.0

    def worst_customer(self, begin: float, end: float) -> float:
        """Returns the least share of its fair due that a customer got."""
        served = Counter(item.customer for item in self._within(begin, end))
        due = self._due(begin, end)
        return min((served[name] / value for name, value in due.items() if value >= 5), default=1.0)

    def success(self, priority: str, begin: float, end: float) -> float:
        """Returns the share of calls of a priority, sent in a window, that got an answer."""
        routes = {item.route for item in self._deployment.entries if item.priority == priority}
        sent: dict[int, bool] = {}
        for item in self._ends:
            if item.route in routes and begin <= item.sent_at - self._began < end:
                sent[item.call] = item.call in self._good
        return sum(sent.values()) / len(sent) if sent else 1.0

    def recovery(self, after: float, end: float) -> float:
        """Returns the seconds after a trigger's end until goodput is back, and stays."""
        steady = 0
        at = after
        while at + WINDOW_S <= end:
            steady = steady + 1 if self.goodput(at, at + WINDOW_S) >= RECOVERED else 0
            if steady == STEADY_WINDOWS:
                return max(0.0, at - after - (STEADY_WINDOWS - 1) * WINDOW_S)
            at += WINDOW_S
        return float("inf")

    def wrongful_refusals(self) -> int:
        """Returns refusals by rate while the customer's whole bucket still held a token.

        What the bucket gains in the time of the messages between instances does not count.
        """
        events = defaultdict(list)
        for item in self._ends:
            if item.reason != "rate" and item.status != 401 and item.request_id:
                events[item.customer].append((item.sent_at, True))
            elif item.reason == "rate":
                events[item.customer].append((item.sent_at, False))
        return sum(self._wrongful(name, sorted(found)) for name, found in events.items())

    def _wrongful(self, customer: str, events: list[tuple[float, bool]]) -> int:
        rate, burst = self._rates[customer]
        level, last, wrong = burst, 0.0, 0
        for at, admitted in events:
            level = min(burst, level + rate * (at - last))
            last = at
            if admitted:
                level = max(0.0, level - 1)
            elif level >= 1 + rate * MESSAGES_S:
                wrong += 1
                level -= 1  # One whole bucket would have admitted it, and then held one less.
        return wrong
