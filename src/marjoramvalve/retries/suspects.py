"""Table of requests suspected of crashing upstreams, and the quarantine of those that do.

Guards against a request that crashes every upstream that starts to run it and is sent again, with
the same content, to any instance. When an upstream crashes, every request that it was running
becomes a suspect, although at most one of them caused the crash. Four rules narrow it down:

- Upstreams that crash at the same time while running the same popular request may have a common
  cause. Such runs are one event: a run belongs to a new one if it began after the previous crash,
  or if it is a retry, which is sent only after an earlier run has failed. However many upstreams
  crash in the first event of a request, it is watched at most; those of later events all count.
- A request that is answered is no longer a suspect. Instances that have answered it recently
  report so as soon as it is listed, before it is quarantined.
- A request that was running in two crashes is watched: callers' nodes send it to one upstream
  only, which runs at most one watched request at a time. The next crash is not attributed to the
  wrong request, and other upstreams are spared.
- A run that was cancelled shortly before a crash makes its request watched at most. Watched runs
  are not cancelled when their callers leave, so that each ends with an answer or with a crash.

Each instance and each controller has its own table. Tables may be merged at any time and in any
order: the higher count wins.
"""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from enum import Enum, auto

import msgspec

from marjoramvalve.retries.fingerprints import PREFIX_BYTES, path_prefix

MIN_CRASHES_TO_WATCH = 2
MIN_CRASHES_TO_QUARANTINE = 3
QUARANTINE_DELAY_S = 0.1  # From listing to quarantine: time for others to report an answer.
SUSPECT_TTL_S = 60.0  # A suspect without a further crash is forgotten after this time.
MAX_DOUBLINGS = 6  # Limits a repeated quarantine to 64 times the first.
MAX_UNLISTED = 16_384  # Suspects of one crash; enough for some hundreds of simultaneous crashes.
MAX_LISTED = 1_024  # Suspects of several crashes, shared with all instances: about 100 KB on each.


class Standing(Enum):
    """Whether a request may run freely, runs as a watched request, or must not run."""

    FREE = auto()
    WATCHED = auto()
    QUARANTINED = auto()


class CrashedRun(msgspec.Struct, frozen=True, array_like=True):
    """A run of a request that was interrupted by a crash of its upstream, after `ran_s` seconds.

    `is_retry` marks a retry sent after an earlier run of the same request had failed. The clocks
    of two instances differ too much to derive this from times. `was_cancelled` marks a run that was
    cancelled shortly before the crash; `ran_s` is then the time since it began.
    """

    fingerprint: bytes
    ran_s: float
    is_retry: bool
    was_cancelled: bool = False


class ListedSuspect(msgspec.Struct, frozen=True, array_like=True):
    """A listed suspect as exchanged between tables.

    `left_s` is the time in seconds until its status expires, `quarantines` how often it has been
    quarantined.
    """

    fingerprint: bytes
    crashes: int
    left_s: float
    quarantines: int


@dataclass(slots=True)
class _Suspect:
    """Entry of a `SuspectTable`. Times are on the table's clock, in seconds.

    `quarantines` counts how often the request has been quarantined. `first_crash_missing` means
    that the crash of a retry was reported before the crash that caused the retry. `events` counts
    the crashes that can't have had a common cause other than the request.
    """

    crashes: int
    crashed_at: float
    until: float
    quarantines: int = 0
    listed_at: float = 0.0
    first_crash_missing: bool = False
    events: int = 1

    def is_quarantined(self, now: float) -> bool:
        """Returns whether the request must not run."""
        return (
            self.crashes >= MIN_CRASHES_TO_QUARANTINE and now >= self.listed_at + QUARANTINE_DELAY_S
        )

    def is_new_event(self, run: CrashedRun, crashed_at: float) -> bool:
        """Returns whether a crash belongs to a new event.

        If the first crash is missing, one more report counts, however late it arrives. This clears
        `first_crash_missing`.
        """
        if run.is_retry or crashed_at - run.ran_s > self.crashed_at:
            return True
        was_missing, self.first_crash_missing = self.first_crash_missing, False
        return was_missing


class SuspectTable:
    """Suspects by fingerprint.

    Suspects of one crash are unlisted and stay local; suspects of more crashes are listed and
    shared with other tables.
    """

    def __init__(self) -> None:
        self._unlisted: dict[bytes, _Suspect] = {}
        self._listed: dict[bytes, _Suspect] = {}
        self._prefixes: dict[bytes, int] = {}

    def __len__(self) -> int:
        return len(self._listed)

    # Crash reports and answers

    def record_crash(
        self, runs: Iterable[CrashedRun], crashed_at: float, quarantine_s: float
    ) -> list[bytes]:
        """Records the crash of an upstream during the given runs.

        A first quarantine lasts `quarantine_s` seconds. Returns the fingerprints of the listed
        suspects that changed.
        """
        changed = []
        for run in {run.fingerprint: run for run in runs}.values():
            suspect = self._find(run.fingerprint, crashed_at)
            if suspect is None:
                until = crashed_at + SUSPECT_TTL_S
                self._unlisted[run.fingerprint] = _Suspect(
                    1, crashed_at, until, first_crash_missing=run.is_retry
                )
                while len(self._unlisted) > MAX_UNLISTED:
                    del self._unlisted[next(iter(self._unlisted))]
                continue
            if run.was_cancelled and suspect.crashes >= MIN_CRASHES_TO_WATCH:
                continue
            if suspect.is_new_event(run, crashed_at):
                suspect.events += 1
            elif suspect.events == 1 and suspect.crashes >= MIN_CRASHES_TO_WATCH:
                continue
            self._add_crash(run.fingerprint, suspect, crashed_at, quarantine_s)
            changed.append(run.fingerprint)
        return changed

    def _add_crash(
        self, fingerprint: bytes, suspect: _Suspect, crashed_at: float, quarantine_s: float
    ) -> None:
        suspect.crashes += 1
        suspect.crashed_at = max(suspect.crashed_at, crashed_at)
        suspect.until = crashed_at + SUSPECT_TTL_S
        if suspect.crashes >= MIN_CRASHES_TO_QUARANTINE:
            suspect.until = crashed_at + quarantine_s * 2 ** min(suspect.quarantines, MAX_DOUBLINGS)
            suspect.quarantines += 1
        self._add_listed(fingerprint, suspect, crashed_at)

    def merge(self, listed: ListedSuspect, now: float) -> bool:
        """Merges a suspect from another table; returns whether this table changed."""
        suspect = self._find(listed.fingerprint, now)
        until = now + listed.left_s
        if suspect is not None and (suspect.crashes, suspect.quarantines) >= (
            listed.crashes,
            listed.quarantines,
        ):
            return False
        events = suspect.events if suspect is not None else 1
        merged = _Suspect(listed.crashes, now, until, listed.quarantines, events=events)
        self._add_listed(listed.fingerprint, merged, now)
        return True

    def clear(self, fingerprint: bytes) -> bool:
        """Removes a request that was answered or that an operator released.

        Returns whether it was listed.
        """
        self._unlisted.pop(fingerprint, None)
        return self._remove_listed(fingerprint)

    # Decisions

    def may_contain(self, target: bytes) -> bool:
        """Returns whether a request for the target may be listed.

        A cheap test that rules out most requests without computing their fingerprints.
        """
        return bool(self._prefixes) and path_prefix(target) in self._prefixes

    def standing(self, fingerprints: Iterable[bytes], now: float) -> tuple[Standing, float]:
        """Returns a request's strictest standing and the seconds until its quarantine ends."""
        standing, left_s = Standing.FREE, 0.0
        for fingerprint in fingerprints:
            if fingerprint not in self._listed:
                continue
            suspect = self._find(fingerprint, now)
            if suspect is None:
                continue
            if suspect.is_quarantined(now):
                standing, left_s = Standing.QUARANTINED, max(left_s, suspect.until - now)
            elif standing is Standing.FREE:
                standing = Standing.WATCHED
        return standing, left_s

    def listed(self, now: float) -> list[ListedSuspect]:
        """Returns all listed suspects."""
        return [
            item for key in list(self._listed) if (item := self.get_listed(key, now)) is not None
        ]

    def get_listed(self, fingerprint: bytes, now: float) -> ListedSuspect | None:
        """Returns a suspect to share with other tables, or None if it is not listed."""
        suspect = self._find(fingerprint, now)
        if suspect is None or suspect.crashes < MIN_CRASHES_TO_WATCH:
            return None
        left_s = round(suspect.until - now, 2)
        return ListedSuspect(fingerprint, suspect.crashes, left_s, suspect.quarantines)

    def quarantined(self, now: float) -> Iterator[ListedSuspect]:
        """Yields the suspects with enough crashes for a quarantine."""
        return (item for item in self.listed(now) if item.crashes >= MIN_CRASHES_TO_QUARANTINE)

    # Entries

    def _find(self, fingerprint: bytes, now: float) -> _Suspect | None:
        """Returns a suspect after applying expiry.

        A quarantined request is watched for another `SUSPECT_TTL_S` after its quarantine.
        """
        suspect = self._listed.get(fingerprint) or self._unlisted.get(fingerprint)
        if suspect is None or now < suspect.until:
            return suspect
        if suspect.crashes >= MIN_CRASHES_TO_QUARANTINE and now < suspect.until + SUSPECT_TTL_S:
            suspect.crashes = MIN_CRASHES_TO_WATCH
            suspect.until += SUSPECT_TTL_S
            return suspect
        self._unlisted.pop(fingerprint, None)
        self._remove_listed(fingerprint)
        return None

    def _add_listed(self, fingerprint: bytes, suspect: _Suspect, now: float) -> None:
        before = self._listed.get(fingerprint)
        suspect.listed_at = now if before is None else before.listed_at
        self._unlisted.pop(fingerprint, None)
        self._remove_listed(fingerprint)
        self._listed[fingerprint] = suspect
        prefix = fingerprint[:PREFIX_BYTES]
        self._prefixes[prefix] = self._prefixes.get(prefix, 0) + 1
        while len(self._listed) > MAX_LISTED:
            self._remove_listed(next(iter(self._listed)))

    def _remove_listed(self, fingerprint: bytes) -> bool:
        if self._listed.pop(fingerprint, None) is None:
            return False
        prefix = fingerprint[:PREFIX_BYTES]
        self._prefixes[prefix] -= 1
        if not self._prefixes[prefix]:
            del self._prefixes[prefix]
        return True
