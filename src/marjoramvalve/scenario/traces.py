"""Trace of a scenario run, and the checker of the invariants that every run must keep."""

from collections import Counter, defaultdict
from dataclasses import dataclass, field

CONFIG_PROPAGATION_S = 7.0
DRAIN_GRACE_S = 2.5
KEY_WITHDRAWAL_S = 7.0
ROUNDING_TOLERANCE = 1e-6


@dataclass(frozen=True, slots=True)
class RunStarted:
    """An upstream started running a request.

    `idempotency_key` is empty if the request has none.
    """

    at: float
    upstream: str
    service: str
    request_id: str
    customer: str
    idempotency_key: str


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """A client's attempt ended, with or without a response.

    `reason` is empty for a successful response. `run` is the value of the Marjoramvalve-Run header,
    and `is_correct` tells whether the response belongs to this request.
    """

    sent_at: float
    at: float
    call: int
    customer: str
    route: str
    priority: str
    status: int
    reason: str
    run: str
    request_id: str
    instance: str
    key: str
    is_correct: bool


@dataclass(frozen=True, slots=True)
class TokensDrawn:
    """A customer's tokens were drawn from the bucket at its owner; negative if returned."""

    at: float
    customer: str
    tokens: float


@dataclass(slots=True)
class Trace:
    """Events and counters recorded during a run. Times are in seconds on the virtual clock."""

    runs: list[RunStarted] = field(default_factory=list)
    ends: list[AttemptEnded] = field(default_factory=list)
    draws: list[TokensDrawn] = field(default_factory=list)
    leaked: int = 0
    over_slots: int = 0
    over_connections: int = 0
    draining_since: dict[str, float] = field(default_factory=dict)
    withdrawn_keys: dict[str, float] = field(default_factory=dict)
    versions: list[tuple[float, str, int]] = field(default_factory=list)
    accepted: list[tuple[float, int]] = field(default_factory=list)
    unreachable: list[tuple[float, float, str]] = field(default_factory=list)
    stops: dict[str, tuple[float, float]] = field(default_factory=dict)
    cut_connections: list[tuple[float, str]] = field(default_factory=list)

    def digest(self) -> str:
        """Returns a digest of the recorded events; identical runs have equal digests."""
        import hashlib

        raw = repr((self.runs, self.ends, self.draws, self.versions)).encode()
        return hashlib.blake2b(raw, digest_size=16).hexdigest()


@dataclass(frozen=True, slots=True)
class Violation:
    """An invariant that was violated, and details of the event that violated it."""

    invariant: str
    detail: str


@dataclass(frozen=True, slots=True)
class ExpectedLimits:
    """Configured limits that the checker compares a trace with.

    `max_calls` holds the calls to each service per root call without retries, `rates` the rate and
    burst of each customer.
    """

    chain_retries: int
    max_calls: dict[str, int]
    rates: dict[str, tuple[float, float]]
    customer_by_key: dict[str, str]


class InvariantChecker:
    """Checks a trace against the twelve required invariants; each violation names its invariant."""

    def __init__(self, trace: Trace, expected: ExpectedLimits) -> None:
        self._trace = trace
        self._expected = expected
        self._violations: list[Violation] = []

    def check(self) -> list[Violation]:
        """Runs all checks and returns the violations."""
        self._check_retries()
        self._check_priorities()
        self._check_customers()
        self._check_counters()
        self._check_withdrawn_keys()
        self._check_rates()
        self._check_responses()
        self._check_not_run()
        self._check_idempotency()
        self._check_draining()
        self._check_stops()
        self._check_configuration()
        return self._violations

    def _add_violation(self, invariant: str, detail: str) -> None:
        self._violations.append(Violation(invariant, detail))

    def _check_retries(self) -> None:
        """Checks that each call in the graph runs at most 1 + `chain_retries` times."""
        runs: Counter[tuple[str, str]] = Counter()
        for item in self._trace.runs:
            runs[item.request_id.partition(".")[0], item.service] += 1
        max_runs = 1 + self._expected.chain_retries
        for (root, service), count in runs.items():
            if count > max_runs * self._expected.max_calls.get(service, 1):
                self._add_violation("retries are bounded", f"{root} ran {count} times at {service}")

    def _check_priorities(self) -> None:
        """Checks that overload sheds no larger share of high-priority calls than of low ones.

        Only the last attempt of a call counts: a call that a retry completed was not shed. A
        low-priority call that was shed deeper in its chain appears as a 503 without a reason, sent
        by the upstream that made the nested call.
        """
        total: Counter[str] = Counter()
        refused: Counter[str] = Counter()
        for item in {item.call: item for item in self._trace.ends}.values():
            total[item.priority] += 1
            shed_in_chain = item.priority == "low" and item.status == 503 and not item.reason
            refused[item.priority] += shed_in_chain or item.reason == "overload"
        shares = {name: refused[name] / total[name] for name in total}
        if shares.get("high", 0.0) > shares.get("low", 1.0) + 0.02:
            self._add_violation("important requests are shed last", f"shed shares {shares}")

    def _check_customers(self) -> None:
        customers = {
            item.request_id: self._expected.customer_by_key.get(item.key)
            for item in self._trace.ends
        }
        for item in self._trace.runs:
            customer = customers.get(item.request_id.partition(".")[0])
            if customer is not None and customer != item.customer:
                self._add_violation(
                    "runs only for its customer", f"{item.request_id}: {item.customer}"
                )

    def _check_counters(self) -> None:
        if self._trace.leaked:
            self._add_violation(
                "no upstream sees a key", f"{self._trace.leaked} requests carried one"
            )
        if self._trace.over_slots:
            self._add_violation(
                "slots are not exceeded", f"{self._trace.over_slots} arrivals above"
            )
        if self._trace.over_connections:
            self._add_violation(
                "connections are not exceeded", f"{self._trace.over_connections} above"
            )

    def _check_withdrawn_keys(self) -> None:
        for item in self._trace.ends:
            at = self._trace.withdrawn_keys.get(item.key)
            if at is not None and item.sent_at > at + KEY_WITHDRAWAL_S and item.status == 200:
                self._add_violation(
                    "withdrawn key stops", f"call {item.call} at {item.sent_at:.2f}"
                )

    def _check_rates(self) -> None:
        by_customer: dict[str, list[TokensDrawn]] = defaultdict(list)
        for item in self._trace.draws:
            by_customer[item.customer].append(item)
        for customer, draws in by_customer.items():
            rate, burst = self._expected.rates[customer]
            level, last = burst, 0.0
            for item in draws:
                level = min(burst, level + rate * (item.at - last)) - item.tokens
                last = item.at
                if level < -ROUNDING_TOLERANCE * max(1.0, rate):
                    self._add_violation("rate and burst hold", f"{customer}: {-level:.3f} above")
                    break

    def _check_responses(self) -> None:
        for item in self._trace.ends:
            if item.status == 200 and not item.is_correct:
                self._add_violation("answer belongs to its request", f"call {item.call}")

    def _check_not_run(self) -> None:
        ran = {item.request_id for item in self._trace.runs}
        for item in self._trace.ends:
            if item.run == "not-run" and item.request_id in ran:
                self._add_violation("not run is true", f"{item.request_id} ({item.reason})")

    def _check_idempotency(self) -> None:
        runs = Counter(item.idempotency_key for item in self._trace.runs if item.idempotency_key)
        for idempotency_key, count in runs.items():
            if count > 1:
                self._add_violation("runs at most once", f"{idempotency_key} ran {count} times")

    def _check_draining(self) -> None:
        for item in self._trace.runs:
            at = self._trace.draining_since.get(item.upstream)
            if at is not None and item.at > at + DRAIN_GRACE_S:
                self._add_violation(
                    "leaving upstream gets no new work", f"{item.upstream} at {item.at:.2f}"
                )

    def _check_stops(self) -> None:
        for at, instance in self._trace.cut_connections:
            stop = self._trace.stops.get(instance)
            if stop is not None and stop[0] <= at <= stop[1]:
                self._add_violation("planned stop cuts nothing", f"{instance} at {at:.2f}")

    def _check_configuration(self) -> None:
        newest: dict[str, int] = {}
        for at, instance, version in self._trace.versions:
            if version < newest.get(instance, 0):
                self._add_violation("configuration never reverts", f"{instance} at {at:.2f}")
            newest[instance] = version
            required = max(
                (v for when, v in self._trace.accepted if when + CONFIG_PROPAGATION_S < at),
                default=0,
            )
            excused = any(
                instance == name
                and begin - CONFIG_PROPAGATION_S <= at <= end + CONFIG_PROPAGATION_S
                for begin, end, name in self._trace.unreachable
            )
            if version < required and not excused:
                self._add_violation(
                    "configuration is in force", f"{instance} has {version} of {required}"
                )
