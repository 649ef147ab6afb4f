"""Small lots of tokens that an instance holds in advance for its own calls."""

from dataclasses import dataclass
from enum import StrEnum

from marjoramvalve.rates.owners import LOT_TTL_S

DEMAND_WINDOW_S = 0.02
DEMAND_SMOOTHING = 0.3


class LotOutcome(StrEnum):
    """Whether a call may proceed at once or must first ask the owner of the bucket."""

    TAKEN = "taken"
    ASK = "ask"


@dataclass(slots=True)
class Lot:
    """Tokens of one customer held at one instance.

    `calls` counts the calls since `window_start`. `demand` is a moving average of the calls per
    `DEMAND_WINDOW_S`.
    """

    tokens: float
    expires: float
    calls: int = 0
    window_start: float = 0.0
    demand: float = 0.0


class LotCache:
    """The lots of one instance, by customer."""

    def __init__(self) -> None:
        self._lots: dict[str, Lot] = {}

    def take(self, customer: str, now: float) -> LotOutcome:
        """Takes one token, if the lot holds one that has not expired."""
        lot = self._lots.get(customer)
        if lot is None:
            lot = self._lots[customer] = Lot(0.0, now, window_start=now)
        self._record_call(lot, now)
        if lot.tokens >= 1 and now < lot.expires:
            lot.tokens -= 1
            return LotOutcome.TAKEN
        return LotOutcome.ASK

    def _record_call(self, lot: Lot, now: float) -> None:
        lot.calls += 1
        if now >= lot.window_start + DEMAND_WINDOW_S:
            windows = (now - lot.window_start) / DEMAND_WINDOW_S
            calls_per_window = lot.calls / windows
            lot.demand += DEMAND_SMOOTHING * (calls_per_window - lot.demand)
            lot.calls = 0
            lot.window_start = now

    def spare_demand(self, customer: str) -> float:
        """Returns how many tokens to request in advance: the calls of one window, rounded down.

        An instance with few calls requests none, because they would expire unused.
        """
        lot = self._lots.get(customer)
        return float(int(lot.demand)) if lot else 0.0

    def put(self, customer: str, tokens: float, requested_at: float, now: float) -> bool:
        """Adds granted tokens; returns False if they arrived too late to be used.

        A lot expires `LOT_TTL_S` after the request was sent, which is before the owner stops
        counting its tokens against the burst.
        """
        expires = requested_at + LOT_TTL_S
        if now >= expires:
            return False
        lot = self._lots.setdefault(customer, Lot(0.0, now, window_start=now))
        if now >= lot.expires:
            lot.tokens = 0.0
            lot.expires = expires
        lot.tokens += tokens
        lot.expires = min(lot.expires, expires) if lot.tokens > tokens else expires
        return True
