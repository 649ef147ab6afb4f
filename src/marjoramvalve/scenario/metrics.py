"""Metrics of a run: goodput, recovery time, worst-served customer, wrongful refusals."""

from collections import Counter, defaultdict
from dataclasses import dataclass

from marjoramvalve.scenario.deployments import Deployment
from marjoramvalve.scenario.traces import AttemptEnded, Trace

WINDOW_S = 1.0
RECOVERED_GOODPUT = 0.95
STEADY_WINDOWS = 2
MESSAGE_DELAY_S = 0.01
ALLOCATION_STEPS = 400


@dataclass(frozen=True, slots=True)
class OfferedCall:
    """A call that a client made. `at` is in seconds since the start of the run."""

    at: float
    customer: str
    route: str


class RunMetrics:
    """Computes metrics over time windows, in seconds since the start of the run."""

    def __init__(
        self,
        deployment: Deployment,
        trace: Trace,
        offered_calls: list[tuple[float, str, str]],
        started_at: float,
        rates: dict[str, tuple[float, float]],
    ) -> None:
        self._deployment = deployment
        self._rates = rates
        self._offered_calls = [
            OfferedCall(at - started_at, customer, route) for at, customer, route in offered_calls
        ]
        self._ends = trace.ends
        self._started_at = started_at
        self._successes = self._first_successes()

    def _first_successes(self) -> dict[int, AttemptEnded]:
        successes: dict[int, AttemptEnded] = {}
        for item in self._ends:
            if item.status == 200 and item.is_correct:
                successes.setdefault(item.call, item)
        return successes

    def _successes_between(self, begin: float, end: float) -> list[AttemptEnded]:
        return [
            item for item in self._successes.values() if begin <= item.at - self._started_at < end
        ]

    def _offered_by_customer(self, begin: float, end: float) -> Counter[str]:
        return Counter(item.customer for item in self._offered_calls if begin <= item.at < end)

    def _fair_shares(self, begin: float, end: float) -> dict[str, float]:
        """Returns each customer's fair share of the capacity in a window, in calls.

        Higher priorities are allocated first. Within a priority, all customers get an equal number
        of calls in small steps, as long as every service on the path has slot time left.
        """
        span = end - begin
        slot_s_left = {
            item.name: item.upstreams * item.slots * span for item in self._deployment.services
        }
        demand = self._rate_limited_demand(begin, end)
        fair_shares: dict[str, float] = dict.fromkeys({customer for customer, _ in demand}, 0.0)
        for priority in ("high", "normal", "low"):
            entries = [item for item in self._deployment.entries if item.priority == priority]
            self._allocate(entries, demand, slot_s_left, fair_shares)
        return fair_shares

    def _rate_limited_demand(self, begin: float, end: float) -> dict[tuple[str, str], float]:
        """Returns the calls offered by customer and route, scaled down to the customer's rate."""
        offered = Counter(
            (item.customer, item.route) for item in self._offered_calls if begin <= item.at < end
        )
        total = self._offered_by_customer(begin, end)
        demand = {}
        for (customer, route), count in offered.items():
            rate, burst = self._rates[customer]
            allowed = rate * (end - begin) + burst
            demand[customer, route] = count * min(1.0, allowed / total[customer])
        return demand

    def _allocate(
        self, entries, demand, slot_s_left: dict[str, float], fair_shares: dict[str, float]
    ) -> None:
        slot_seconds_per_call = {
            item.route: self._deployment.slot_seconds_per_call(item.service) for item in entries
        }
        unserved = {
            key: count
            for key, count in demand.items()
            if key[1] in slot_seconds_per_call and count > 0
        }
        step = sum(unserved.values()) / ALLOCATION_STEPS
        while unserved:
            customers = {customer for customer, _ in unserved}
            for customer in customers:
                of_customer = {key: count for key, count in unserved.items() if key[0] == customer}
                total = sum(of_customer.values())
                for (_, route), count in of_customer.items():
                    allocated = min(count, step * count / total)
                    needed = {
                        name: allocated * slot_s
                        for name, slot_s in slot_seconds_per_call[route].items()
                    }
                    if any(slot_s_left[name] < slot_s for name, slot_s in needed.items()):
                        del unserved[customer, route]
                        continue
                    for name, slot_s in needed.items():
                        slot_s_left[name] -= slot_s
                    fair_shares[customer] += allocated
                    unserved[customer, route] -= allocated
                    if unserved[customer, route] <= 1e-9:
                        del unserved[customer, route]

    def goodput(self, begin: float, end: float) -> float:
        """Returns successful calls as a share of the ideal: the rate-limited demand that fits."""
        ideal_calls = sum(self._fair_shares(begin, end).values())
        return len(self._successes_between(begin, end)) / ideal_calls if ideal_calls else 1.0

    def worst_customer(self, begin: float, end: float) -> float:
        """Returns the lowest ratio, over customers, of calls served to the fair share.

        Customers with a fair share below 5 calls are left out.
        """
        served = Counter(item.customer for item in self._successes_between(begin, end))
        fair_shares = self._fair_shares(begin, end)
        return min(
            (served[name] / value for name, value in fair_shares.items() if value >= 5), default=1.0
        )

    def success(self, priority: str, begin: float, end: float) -> float:
        """Returns the share of calls of a priority, sent in a window, that succeeded."""
        routes = {item.route for item in self._deployment.entries if item.priority == priority}
        sent: dict[int, bool] = {}
        for item in self._ends:
            if item.route in routes and begin <= item.sent_at - self._started_at < end:
                sent[item.call] = item.call in self._successes
        return sum(sent.values()) / len(sent) if sent else 1.0

    def recovery(self, after: float, end: float) -> float:
        """Returns the seconds after the end of a disturbance until goodput has recovered.

        Goodput has recovered when it reaches RECOVERED_GOODPUT in STEADY_WINDOWS windows in a row;
        the result is infinite if it never does.
        """
        steady_windows = 0
        at = after
        while at + WINDOW_S <= end:
            steady_windows = (
                steady_windows + 1 if self.goodput(at, at + WINDOW_S) >= RECOVERED_GOODPUT else 0
            )
            if steady_windows == STEADY_WINDOWS:
                return max(0.0, at - after - (STEADY_WINDOWS - 1) * WINDOW_S)
            at += WINDOW_S
        return float("inf")

    def wrongful_refusals(self) -> int:
        """Returns the number of rate refusals while the customer's undivided bucket held a token.

        Tokens that the bucket gains during message delays between instances do not count.
        """
        events = defaultdict(list)
        for item in self._ends:
            if item.reason != "rate" and item.status != 401 and item.request_id:
                events[item.customer].append((item.sent_at, True))
            elif item.reason == "rate":
                events[item.customer].append((item.sent_at, False))
        return sum(
            self._count_wrongful(name, sorted(events_of_customer))
            for name, events_of_customer in events.items()
        )

    def _count_wrongful(self, customer: str, events: list[tuple[float, bool]]) -> int:
        rate, burst = self._rates[customer]
        tokens, last, wrongful = burst, 0.0, 0
        for at, admitted in events:
            tokens = min(burst, tokens + rate * (at - last))
            last = at
            if admitted:
                tokens = max(0.0, tokens - 1)
            elif tokens >= 1 + rate * MESSAGE_DELAY_S:
                wrongful += 1
                tokens -= 1  # An undivided bucket would have admitted it for a token.
        return wrongful
