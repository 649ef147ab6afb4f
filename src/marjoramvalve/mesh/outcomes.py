"""Outcomes of calls at an ingress, kept until the egress that sent the calls has received them."""

from dataclasses import dataclass, replace

from marjoramvalve.links import UNCOUNTED_BYTES, MemoryBudget, plain_bytes

RETENTION_S = 12.0  # After the call's deadline; the egress gives up on the call at the deadline.


@dataclass(frozen=True, slots=True)
class Outcome:
    """An encoded outcome of a call.

    `expires_at` is on the event loop's clock, in seconds. `sent_as` is the position of its latest
    transmission among those of its session.
    """

    kind: int
    payload: bytes
    expires_at: float
    sent_as: int
    body: bytes = b""

    @property
    def size(self) -> int:
        """Returns how many bytes it takes."""
        return len(self.payload) + len(self.body)

    @property
    def charged_bytes(self) -> int:
        """Returns how many bytes are charged for it. A large body is charged by itself."""
        size = len(self.payload) + plain_bytes(self.body)
        return size if size > UNCOUNTED_BYTES else 0


class OutcomeStore:
    """Outcomes that one egress has not acknowledged yet, by call ID.

    Once an outcome is dropped without an acknowledgement, the store can't tell its call from one
    that never arrived. Call IDs increase, so it remembers up to which ID that is so: `may_know`
    is then False.
    """

    def __init__(self, unknown_up_to: int, memory: MemoryBudget | None = None) -> None:
        self._memory = memory or MemoryBudget()
        self._unknown_up_to = unknown_up_to
        self._outcomes: dict[int, Outcome] = {}
        self._transmissions = 0
        self.stored_bytes = 0

    def __len__(self) -> int:
        return len(self._outcomes)

    def __contains__(self, call_id: int) -> bool:
        return call_id in self._outcomes

    @property
    def transmissions(self) -> int:
        """Returns how many outcomes were sent so far; later ones get higher positions."""
        return self._transmissions

    def may_know(self, call_id: int) -> bool:
        """Returns whether the outcome of a call would be stored if the call had ended here."""
        return call_id > self._unknown_up_to

    def add(
        self,
        call_id: int,
        kind: int,
        payload: bytes,
        now: float,
        deadline: float,
        body: bytes = b"",
    ) -> None:
        """Stores an outcome that is being sent. Times are on the event loop's clock."""
        self._transmissions += 1
        expires_at = max(now, deadline) + RETENTION_S
        outcome = Outcome(kind, payload, expires_at, self._transmissions, body)
        self._outcomes[call_id] = outcome
        self.stored_bytes += outcome.size
        self._memory.charge(outcome.charged_bytes)

    def resend(self, call_id: int) -> Outcome | None:
        """Returns the outcome of a call that is being sent again, or None."""
        outcome = self._outcomes.get(call_id)
        if outcome is None:
            return None
        self._transmissions += 1
        outcome = self._outcomes[call_id] = replace(outcome, sent_as=self._transmissions)
        return outcome

    def acknowledge(self, up_to: int) -> None:
        """Drops the outcomes that the egress has received or no longer wants.

        Those are the ones whose latest transmission was at this position or before.
        """
        for call_id, outcome in list(self._outcomes.items()):
            if outcome.sent_as <= up_to:
                self._remove(call_id)

    def expire(self, now: float) -> None:
        """Drops outcomes that the egress has not asked for until long after the deadline."""
        for call_id, outcome in list(self._outcomes.items()):
            if now >= outcome.expires_at:
                self._forget(call_id)

    def drop_oldest(self) -> int:
        """Drops the outcome that was stored first; returns the bytes it took."""
        call_id, outcome = next(iter(self._outcomes.items()))
        self._forget(call_id)
        return outcome.size

    def _remove(self, call_id: int) -> None:
        outcome = self._outcomes.pop(call_id)
        self.stored_bytes -= outcome.size
        self._memory.release(outcome.charged_bytes)

    def _forget(self, call_id: int) -> None:
        self._unknown_up_to = max(self._unknown_up_to, call_id)
        self._remove(call_id)
