"""Figures of a run: goodput, recovery, the worst-served customer, wrongful refusals."""

from collections import Counter, defaultdict
from dataclasses import dataclass

from marjoramvalve.scenario.deployments import Deployment
from marjoramvalve.scenario.traces import AttemptEnded, Trace

WINDOW_S = 1.0
RECOVERED = 0.95
STEADY_WINDOWS = 2
MESSAGES_S = 0.01
FILL_STEPS = 400


@dataclass(frozen=True, slots=True)
class OfferedCall:
    """A call that clients made: time, customer, route."""

    at: float
    customer: str
    route: str


class RunMetrics:
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
        self._rates = rates
        self._offers = [OfferedCall(at - began, customer, route) for at, customer, route in offers]
        self._ends = trace.ends
        self._began = began
        self._good = self._first_good()

    def _first_good(self) -> dict[int, AttemptEnded]:
        good: dict[int, AttemptEnded] = {}
        for item in self._ends:
            if item.status == 200 and item.is_correct:
                good.setdefault(item.call, item)
        return good

    def _within(self, begin: float, end: float) -> list[AttemptEnded]:
        return [item for item in self._good.values() if begin <= item.at - self._began < end]

    def _offered(self, begin: float, end: float) -> Counter[str]:
        return Counter(item.customer for item in self._offers if begin <= item.at < end)

    def _due(self, begin: float, end: float) -> dict[str, float]:
        """Returns each customer's fair due in calls.

        Higher priorities come first; within a priority the customers' calls are filled up evenly,
        a little at a time, as far as slots of every service on their way are left.
        """
        span = end - begin
        left = {item.name: item.upstreams * item.slots * span for item in self._deployment.services}
        wish = self._wishes(begin, end)
        due: dict[str, float] = dict.fromkeys({customer for customer, _ in wish}, 0.0)
        for priority in ("high", "normal", "low"):
            entries = [item for item in self._deployment.entries if item.priority == priority]
            self._fill(entries, wish, left, due)
        return due

    def _wishes(self, begin: float, end: float) -> dict[tuple[str, str], float]:
        """Returns the calls offered, by customer and route, cut down to the customer's rate."""
        offered = Counter(
            (item.customer, item.route) for item in self._offers if begin <= item.at < end
        )
        total = self._offered(begin, end)
        wish = {}
        for (customer, route), count in offered.items():
            rate, burst = self._rates[customer]
            allowed = rate * (end - begin) + burst
            wish[customer, route] = count * min(1.0, allowed / total[customer])
        return wish

    def _fill(self, entries, wish, left: dict[str, float], due: dict[str, float]) -> None:
        uses = {item.route: self._deployment.uses(item.service) for item in entries}
        open_ = {key: count for key, count in wish.items() if key[1] in uses and count > 0}
        step = sum(open_.values()) / FILL_STEPS
        while open_:
            customers = {customer for customer, _ in open_}
            for customer in customers:
                mine = {key: count for key, count in open_.items() if key[0] == customer}
                total = sum(mine.values())
                for (_, route), count in mine.items():
                    part = min(count, step * count / total)
                    need = {name: part * held for name, held in uses[route].items()}
                    if any(left[name] < held for name, held in need.items()):
                        del open_[customer, route]
                        continue
                    for name, held in need.items():
                        left[name] -= held
                    due[customer] += part
                    open_[customer, route] -= part
                    if open_[customer, route] <= 1e-9:
                        del open_[customer, route]

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
