"""Small lots of tokens that an instance holds for the calls it takes."""

from dataclasses import dataclass
from enum import StrEnum

from marjoramvalve.rates.owners import LOT_TTL_S

DEMAND_WINDOW_S = 0.02
DEMAND_SMOOTHING = 0.3


class LotOutcome(StrEnum):
    """Whether a call may go on at once or must ask the bucket's owner first."""

    TAKEN = "taken"
    ASK = "ask"


@dataclass(slots=True)
class Lot:
    """Tokens of one customer at one instance."""

    tokens: float
    expires: float
    calls: int = 0
    window_start: float = 0.0
    demand: float = 0.0


class LotCache:
    """The lots of one instance."""

    def __init__(self) -> None:
        self._lots: dict[str, Lot] = {}

    def take(self, customer: str, now: float) -> LotOutcome:
        """Takes one token where the lot holds one."""
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
            seen = lot.calls / windows
            lot.demand += DEMAND_SMOOTHING * (seen - lot.demand)
            lot.calls = 0
            lot.window_start = now

    def spare_demand(self, customer: str) -> float:
        """Returns how many tokens to ask for beyond need: the whole calls of one window.

        An instance with few calls holds none: its tokens would expire unused.
        """
        lot = self._lots.get(customer)
        return float(int(lot.demand)) if lot else 0.0

    def put(self, customer: str, tokens: float, asked_at: float, now: float) -> bool:
        """Adds granted tokens; False where they came too late to be used.

        The life of a lot counts from the sending of the request, so that it ends before the
        owner's own reckoning of it.
        """
        expires = asked_at + LOT_TTL_S
        if now >= expires:
            return False
        lot = self._lots.setdefault(customer, Lot(0.0, now, window_start=now))
        if now >= lot.expires:
            lot.tokens = 0.0
            lot.expires = expires
        lot.tokens += tokens
        lot.expires = min(lot.expires, expires) if lot.tokens > tokens else expires
        return True
