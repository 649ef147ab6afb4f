"""Per-request crash counts, and the quarantine of requests that crash upstreams."""

from marjoramvalve.retries.fingerprints import digest

CRASHES_TO_QUARANTINE = 2
FINGERPRINT_BYTES = 16
MAX_ENTRIES = 10_000
SUSPECT_TTL_S = 10.0


def fingerprint(customer: str, method: str, path: str, body: bytes) -> str:
    """Returns the fingerprint of a request in hexadecimal."""
    parts = (customer.encode(), method.encode(), path.encode(), body)
    return digest(parts, FINGERPRINT_BYTES).hex()


class QuarantineTable:
    """Counts crashes by the fingerprint of the request that was running.

    When an upstream crashes, every request that it was running becomes a suspect with a count of
    1. Suspects are run one at a time. Only a suspect whose upstream crashes while it runs alone is
    counted again, which puts it in quarantine. A suspect that is answered is cleared.
    """

    def __init__(self) -> None:
        self._entries: dict[str, tuple[int, float]] = {}

    def record_crash(self, key: str, ran_alone: bool, ttl_s: float, now: float) -> int:
        """Records a crash and returns the new count.

        The count rises above 1 only if the request `ran_alone`. A quarantine lasts `ttl_s` seconds,
        a first crash counts for at most `SUSPECT_TTL_S`.
        """
        known = self.crashes(key, now)
        count = known + 1 if ran_alone or known == 0 else known
        self.merge(key, count, ttl_s if count > 1 else min(ttl_s, SUSPECT_TTL_S), now)
        return count

    def merge(self, key: str, count: int, ttl_s: float, now: float) -> None:
        """Merges a count from another instance of the failure domain; the higher count wins."""
        known = self.crashes(key, now)
        if count > known:
            self._entries.pop(key, None)
            self._entries[key] = (count, now + ttl_s)
        while len(self._entries) > MAX_ENTRIES:
            del self._entries[next(iter(self._entries))]

    def crashes(self, key: str, now: float) -> int:
        """Returns the crash count of a fingerprint, which is 0 once the entry has expired."""
        count, expires_at = self._entries.get(key, (0, 0.0))
        if count and now >= expires_at:
            del self._entries[key]
            return 0
        return count

    def clear(self, key: str) -> None:
        """Removes a suspect whose request was answered, unless it is already quarantined."""
        if self._entries.get(key, (0, 0.0))[0] < CRASHES_TO_QUARANTINE:
            self._entries.pop(key, None)

    def is_quarantined(self, key: str, now: float) -> bool:
        """Returns whether a request must not run."""
        return bool(self._entries) and self.crashes(key, now) >= CRASHES_TO_QUARANTINE

    def __len__(self) -> int:
        return len(self._entries)
