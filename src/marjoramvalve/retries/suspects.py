"""Requests under which upstreams ended, and which of them are set aside.

Answers a request that ends every upstream that begins to run it and comes again, with the same
content, at whatever instance. When an upstream ends, everything that it ran is a suspect, and all
but one of these are innocent. Three things tell them apart:

- Only a run that began after the previous end counts: upstreams that end together, each while it
  runs the same popular request, are one event. A repeat follows an earlier run for certain.
- A request that is answered is no suspect any more. Instances that have answered it a moment ago
  say so as soon as it is listed, before it is set aside.
- A request under which two upstreams have ended is watched: it runs alone among the watched ones
  of an upstream, so that the next end is not put down to the wrong one.

Instances and controllers hold a book each. What one knows others may take in at any time, in any
order: the higher count wins.
"""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from enum import Enum, auto

import msgspec

from marjoramvalve.retries.fingerprints import PREFIX_BYTES, path_prefix

ENDS_TO_WATCH = 2
ENDS_TO_HOLD = 3
CONFIRM_S = 0.1  # Between being listed and being set aside: others may have an answer to tell of.
MEMORY_S = 60.0  # A suspect under which nothing ends for this long is forgotten.
MOST_DOUBLINGS = 6  # A request that ends upstreams again and again stays out for 64 times as long.
MOST_FRESH = 16_384  # Suspects of one end: some hundreds of upstreams that end together.
MOST_LISTED = 1_024  # Suspects of more ends, which all instances know: some 100 KB on each.


class Standing(Enum):
    """What a book says of a request."""

    FREE = auto()
    WATCHED = auto()
    HELD = auto()


class EndedRun(msgspec.Struct, frozen=True, array_like=True):
    """A run of a request that an upstream's end has broken.

    `is_retry` tells that it was sent after an earlier run of the same request had failed, which
    clocks of two instances are too far apart to show.
    """

    fingerprint: bytes
    ran_s: float
    is_retry: bool


class Suspicion(msgspec.Struct, frozen=True, array_like=True):
    """A listed suspect as books tell it one another. `left_s` is how long it stays as it is."""

    fingerprint: bytes
    ends: int
    left_s: float
    holds: int


@dataclass(slots=True)
class _Suspect:
    """`holds` counts how often it has been set aside. Times are of the book's clock.

    `lacks_first` tells that the end under a repeat was told before the end that caused the repeat.
    """

    ends: int
    ended_at: float
    until: float
    holds: int = 0
    listed_at: float = 0.0
    lacks_first: bool = False

    def is_held(self, now: float) -> bool:
        """Tells whether it must not run."""
        return self.ends >= ENDS_TO_HOLD and now >= self.listed_at + CONFIRM_S

    def counts(self, run: EndedRun, ended_at: float) -> bool:
        """Tells whether an end is one more; the one that is lacking counts once, however late."""
        if run.is_retry or ended_at - run.ran_s > self.ended_at:
            return True
        lacked, self.lacks_first = self.lacks_first, False
        return lacked


class SuspectBook:
    """Suspects by fingerprint. Those of one end are fresh, those of more are listed."""

    def __init__(self) -> None:
        self._fresh: dict[bytes, _Suspect] = {}
        self._listed: dict[bytes, _Suspect] = {}
        self._prefixes: dict[bytes, int] = {}

    def __len__(self) -> int:
        return len(self._listed)

    # Evidence

    def note_end(self, runs: Iterable[EndedRun], ended_at: float, hold_s: float) -> list[bytes]:
        """Takes in the end of an upstream under runs.

        A request is set aside for `hold_s` seconds at first. Returns the listed ones that changed.
        """
        changed = []
        for run in {run.fingerprint: run for run in runs}.values():
            suspect = self._find(run.fingerprint, ended_at)
            if suspect is None:
                until = ended_at + MEMORY_S
                self._fresh[run.fingerprint] = _Suspect(
                    1, ended_at, until, lacks_first=run.is_retry
                )
                while len(self._fresh) > MOST_FRESH:
                    del self._fresh[next(iter(self._fresh))]
            elif suspect.counts(run, ended_at):
                self._count(run.fingerprint, suspect, ended_at, hold_s)
                changed.append(run.fingerprint)
        return changed

    def _count(self, fingerprint: bytes, suspect: _Suspect, ended_at: float, hold_s: float) -> None:
        suspect.ends += 1
        suspect.ended_at = max(suspect.ended_at, ended_at)
        suspect.until = ended_at + MEMORY_S
        if suspect.ends >= ENDS_TO_HOLD:
            suspect.until = ended_at + hold_s * 2 ** min(suspect.holds, MOST_DOUBLINGS)
            suspect.holds += 1
        self._list(fingerprint, suspect, ended_at)

    def merge(self, suspicion: Suspicion, now: float) -> bool:
        """Takes in what another book says; True where it is news."""
        suspect = self._find(suspicion.fingerprint, now)
        until = now + suspicion.left_s
        if suspect is not None and (suspect.ends, suspect.holds) >= (
            suspicion.ends,
            suspicion.holds,
        ):
            return False
        merged = _Suspect(suspicion.ends, now, until, suspicion.holds)
        self._list(suspicion.fingerprint, merged, now)
        return True

    def clear(self, fingerprint: bytes) -> bool:
        """Forgets a request that was answered, or that an operator lets go; True if listed."""
        self._fresh.pop(fingerprint, None)
        return self._drop(fingerprint)

    # Decisions

    def may_list(self, target: bytes) -> bool:
        """Tells whether a request for a target may be listed; mostly it is not."""
        return bool(self._prefixes) and path_prefix(target) in self._prefixes

    def standing(self, fingerprints: Iterable[bytes], now: float) -> tuple[Standing, float]:
        """Returns the strictest standing of a request, and the seconds until it is let go."""
        standing, left_s = Standing.FREE, 0.0
        for fingerprint in fingerprints:
            if fingerprint not in self._listed:
                continue
            suspect = self._find(fingerprint, now)
            if suspect is None:
                continue
            if suspect.is_held(now):
                standing, left_s = Standing.HELD, max(left_s, suspect.until - now)
            elif standing is Standing.FREE:
                standing = Standing.WATCHED
        return standing, left_s

    def listed(self, now: float) -> list[Suspicion]:
        """Returns everything that other books should know."""
        return [item for key in list(self._listed) if (item := self.tell(key, now)) is not None]

    def tell(self, fingerprint: bytes, now: float) -> Suspicion | None:
        """Returns what other books should know of a suspect."""
        suspect = self._find(fingerprint, now)
        if suspect is None or suspect.ends < ENDS_TO_WATCH:
            return None
        left_s = round(suspect.until - now, 2)
        return Suspicion(fingerprint, suspect.ends, left_s, suspect.holds)

    def held(self, now: float) -> Iterator[Suspicion]:
        """Yields the requests that are set aside."""
        return (item for item in self.listed(now) if item.ends >= ENDS_TO_HOLD)

    # Entries

    def _find(self, fingerprint: bytes, now: float) -> _Suspect | None:
        """Returns a suspect as it stands: one that was held is only watched when its time is up."""
        suspect = self._listed.get(fingerprint) or self._fresh.get(fingerprint)
        if suspect is None or now < suspect.until:
            return suspect
        if suspect.ends >= ENDS_TO_HOLD and now < suspect.until + MEMORY_S:
            suspect.ends = ENDS_TO_WATCH
            suspect.until += MEMORY_S
            return suspect
        self._fresh.pop(fingerprint, None)
        self._drop(fingerprint)
        return None

    def _list(self, fingerprint: bytes, suspect: _Suspect, now: float) -> None:
        before = self._listed.get(fingerprint)
        suspect.listed_at = now if before is None else before.listed_at
        self._fresh.pop(fingerprint, None)
        self._drop(fingerprint)
        self._listed[fingerprint] = suspect
        prefix = fingerprint[:PREFIX_BYTES]
        self._prefixes[prefix] = self._prefixes.get(prefix, 0) + 1
        while len(self._listed) > MOST_LISTED:
            self._drop(next(iter(self._listed)))

    def _drop(self, fingerprint: bytes) -> bool:
        if self._listed.pop(fingerprint, None) is None:
            return False
        prefix = fingerprint[:PREFIX_BYTES]
        self._prefixes[prefix] -= 1
        if not self._prefixes[prefix]:
            del self._prefixes[prefix]
        return True
