"""Decides how many of an upstream's slots to use, so that saturation does not slow it down.

With every slot taken, some upstreams take longer for each call and complete fewer calls per second
than with one or two slots left free. So the last slots are left free unless short trials show that
using them does no harm. For upstreams with few slots, where a single slot is worth more, both
limits are tried alternately.
"""

FULL_FRACTION = 0.95  # Fraction of the slots from which an upstream counts as saturated.
FEW_SLOTS_FRACTION = 0.9  # With a free slot over a tenth of all, both limits get equal trials.
HARMFUL_SLOWDOWN = 1.08  # A slowdown by this factor loses more than the last 5% of the slots give.
# With fewer slots the last one gives more. Half of its share is counted, since some of the calls
# of the baseline were themselves slowed down by calls that started after them.
BASELINE_SMOOTHING = 0.005  # Least weight of a call below saturation in the baseline of its route.
MAX_RATIO = 3.0  # Upper bound of the ratio of one call to the baseline, so outliers count less.
MIN_SAMPLES = 100  # Calls of each kind before a conclusion: keeps random error under 0.05.
TRIAL_INTERVAL_S, TRIAL_S = 5.0, 0.5  # All slots are tried a tenth of the time until a conclusion.
FEW_SLOTS_INTERVAL_S = 1.0  # With few slots, all are used half of the time until a conclusion.
CONCLUSION_TTL_S = 30.0  # How long a conclusion holds.


class SaturationEstimator:
    """Compares service times of calls that found the upstream saturated with those that did not."""

    def __init__(self) -> None:
        self._baselines: dict[bytes, float] = {}
        self._baseline_counts: dict[bytes, int] = {}
        self._ratio_sum = 0.0
        self._ratio_count = 0
        self._concluded_until = float("-inf")
        self._slowdown = 1.0

    def is_saturated(self, running: int, slots: int) -> bool:
        """Tells whether a call finds the upstream saturated; `running` includes the call itself."""
        return running >= FULL_FRACTION * slots

    def usable_slots(self, slots: int, now: float) -> int:
        """Returns how many of the slots to use."""
        reduced = int(FULL_FRACTION * slots)
        reduced = max(1, reduced - self.is_saturated(reduced, slots))
        if now < self._concluded_until:
            uses_all = self._slowdown < max(HARMFUL_SLOWDOWN, (1 + slots / reduced) / 2)
        elif not self._baselines:
            uses_all = reduced < FEW_SLOTS_FRACTION * slots or now % TRIAL_INTERVAL_S < TRIAL_S
        elif reduced < FEW_SLOTS_FRACTION * slots:
            uses_all = now % FEW_SLOTS_INTERVAL_S < FEW_SLOTS_INTERVAL_S / 2
        else:
            uses_all = now % TRIAL_INTERVAL_S < TRIAL_S
        return slots if uses_all else reduced

    def record(self, route: bytes, service_s: float, was_saturated: bool, now: float) -> bool:
        """Records the service time of a call; returns True when this leads to a conclusion."""
        baseline = self._baselines.get(route, service_s)
        count = self._baseline_counts.get(route, 0)
        if not was_saturated:
            self._baseline_counts[route] = count + 1
            weight = max(BASELINE_SMOOTHING, 1 / (count + 1))
            self._baselines[route] = baseline + weight * (
                min(service_s, MAX_RATIO * baseline) - baseline
            )
            return False
        if count < MIN_SAMPLES or now < self._concluded_until:
            return False
        self._ratio_count += 1
        self._ratio_sum += min(MAX_RATIO, service_s / baseline)
        if self._ratio_count < MIN_SAMPLES:
            return False
        self._slowdown = self._ratio_sum / self._ratio_count
        self._concluded_until = now + CONCLUSION_TTL_S
        self._ratio_sum, self._ratio_count = 0.0, 0
        return True
