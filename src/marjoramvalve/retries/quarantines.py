"""Quarantine of requests that crash the upstreams that run them."""

from marjoramvalve.retries.fingerprints import digest

CRASHES_TO_QUARANTINE = 2
FINGERPRINT_BYTES = 16
MAX_ENTRIES = 10_000
SUSPECT_TTL_S = 10.0


def fingerprint(customer: str, method: str, path: str, body: bytes) -> str:
    """Returns the fingerprint of a request."""
    parts = (customer.encode(), method.encode(), path.encode(), body)
    return digest(parts, FINGERPRINT_BYTES).hex()


class QuarantineTable:
    """Fingerprints of requests whose connection died while an upstream ran them.

    When an upstream dies, every request it was running becomes a suspect (count 1). Suspects run
    one at a time; only one that dies while it runs so is counted again, and quarantined. An
    answered suspect is cleared.
    """

    def __init__(self) -> None:
        self._entries: dict[str, tuple[int, float]] = {}

    def record_crash(self, key: str, ran_alone: bool, ttl_s: float, now: float) -> int:
        """Notes a crash; returns the count, which grows past 1 only for a suspect run alone."""
        known = self.crashes(key, now)
        count = known + 1 if ran_alone or known == 0 else known
        self.merge(key, count, ttl_s if count > 1 else min(ttl_s, SUSPECT_TTL_S), now)
        return count

    def merge(self, key: str, count: int, ttl_s: float, now: float) -> None:
        """Takes in what another instance of the failure domain has counted."""
        known = self.crashes(key, now)
        if count > known:
            self._entries.pop(key, None)
            self._entries[key] = (count, now + ttl_s)
        while len(self._entries) > MAX_ENTRIES:
            del self._entries[next(iter(self._entries))]

    def crashes(self, key: str, now: float) -> int:
        """Returns the crashes counted for a fingerprint."""
        count, until = self._entries.get(key, (0, 0.0))
        if count and now >= until:
            del self._entries[key]
            return 0
        return count

    def clear(self, key: str) -> None:
        """Forgets a fingerprint whose request was answered after all."""
        if self._entries.get(key, (0, 0.0))[0] < CRASHES_TO_QUARANTINE:
            self._entries.pop(key, None)

    def is_quarantined(self, key: str, now: float) -> bool:
        """Tells whether a request must not run."""
        return bool(self._entries) and self.crashes(key, now) >= CRASHES_TO_QUARANTINE

    def __len__(self) -> int:
        return len(self._entries)
