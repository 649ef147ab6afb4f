"""How full an upstream may be before it slows down.

Answers upstreams whose last slots cost more than they give: with every slot taken all calls take
longer, and less is done in a second than with a slot or two left free. The last slots are left
free unless short trials show that they do no harm. Upstreams of few slots, of which one is worth
more, are tried both ways.
"""

EDGE = 0.95  # Part of the slots from which an upstream counts as full.
LEAST_USED = 0.9  # Where a free slot is more than a tenth of all, both ways are tried alike.
SLOWER = 1.08  # Calls this much longer lose more than the last twentieth of the slots gives.
# Of fewer slots the last one gives more: half of what it gives, since some of the calls that found
# room were slowed down by those that came after them.
USUAL_SMOOTHING = 0.005  # Weight of a call that found room, in the mean of its route.
MOST_PART = 3.0  # A single slow call counts as this much longer at most.
ENOUGH = 100  # Calls of either sort before anything is concluded: chance stays under 0.05.
TRIAL_EVERY_S, TRIAL_S = 5.0, 0.5  # Trials of all slots, a tenth of the time until it is known.
FEW_EVERY_S = 1.0  # Of few slots all are used half of the time, until it is known.
LIFE_S = 30.0  # A conclusion holds for this long.


class SaturationEstimator:
    """Compares the times of calls that found the upstream full with those that did not."""

    def __init__(self) -> None:
        self._usual: dict[bytes, float] = {}
        self._counts: dict[bytes, int] = {}
        self._parts = 0.0
        self._full_count = 0
        self._known_until = float("-inf")
        self._slowness = 1.0

    def is_saturated(self, running: int, slots: int) -> bool:
        """Tells whether a call that starts as one of so many finds the upstream full."""
        return running >= EDGE * slots

    def usable_slots(self, slots: int, now: float) -> int:
        """Returns how many of the slots to use."""
        most = int(EDGE * slots)
        most = max(1, most - self.is_saturated(most, slots))
        if now < self._known_until:
            uses_all = self._slowness < max(SLOWER, (1 + slots / most) / 2)
        elif not self._usual:
            uses_all = most < LEAST_USED * slots or now % TRIAL_EVERY_S < TRIAL_S
        elif most < LEAST_USED * slots:
            uses_all = now % FEW_EVERY_S < FEW_EVERY_S / 2
        else:
            uses_all = now % TRIAL_EVERY_S < TRIAL_S
        return slots if uses_all else most

    def record(self, route: bytes, service_s: float, was_full: bool, now: float) -> bool:
        """Takes in the service time of a call; True when something has been concluded."""
        usual = self._usual.get(route, service_s)
        count = self._counts.get(route, 0)
        if not was_full:
            self._counts[route] = count + 1
            weight = max(USUAL_SMOOTHING, 1 / (count + 1))
            self._usual[route] = usual + weight * (min(service_s, MOST_PART * usual) - usual)
            return False
        if count < ENOUGH or now < self._known_until:
            return False
        self._full_count += 1
        self._parts += min(MOST_PART, service_s / usual)
        if self._full_count < ENOUGH:
            return False
        self._slowness = self._parts / self._full_count
        self._known_until = now + LIFE_S
        self._parts, self._full_count = 0.0, 0
        return True
