"""The request rate that an upstream announces in its responses."""

import re
from collections.abc import Sequence

RATE_PATTERN = re.compile(rb"[0-9]{1,12}(?:\.[0-9]{0,12})?|\.[0-9]{1,12}")


def parse_rate(values: Sequence[bytes]) -> float | None:
    """Returns the lowest rate among header values, in requests per second.

    Returns None if no value is a plain decimal number.
    """
    fields = [field.strip() for value in values for field in value.split(b",")]
    rates = [float(field) for field in fields if RATE_PATTERN.fullmatch(field)]
    return min(rates, default=None)


class AnnouncedRate:
    """The rate that one upstream announces, and since when.

    `per_s` is None while the upstream announces no rate. `changed_at` is the time of the last
    change on the event loop's clock, in seconds.
    """

    def __init__(self) -> None:
        self.per_s: float | None = None
        self.changed_at = 0.0

    def record(self, values: Sequence[bytes], now: float) -> bool:
        """Records the header values of a response; returns whether the rate has changed.

        Values that are not numbers leave the rate unchanged.
        """
        rate = parse_rate(values)
        if rate == self.per_s or (values and rate is None):
            return False
        self.per_s, self.changed_at = rate, now
        return True
