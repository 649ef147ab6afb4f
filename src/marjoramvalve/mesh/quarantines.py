"""A node's part in setting requests aside under which upstreams end.

Answers a request that ends every upstream that begins to run it: the node beside the upstream sees
the ends, and both it and the caller's node refuse the request once it is known for that. It also
says which requests are innocent, since it has answered them a moment ago.
"""

from collections import deque
from collections.abc import Callable, Iterable

import structlog

from marjoramvalve.mesh.calls import Call
from marjoramvalve.mesh.ends import BrokenRun
from marjoramvalve.mesh.frames import ErrorCode
from marjoramvalve.mesh.jobs import Job
from marjoramvalve.retries import (
    PREFIX_BYTES,
    EndedRun,
    Standing,
    SuspectBook,
    Suspicion,
    fingerprints,
    path_prefix,
)

ANSWERED_S = 5.0  # An answer no older than this speaks for a request; a crash may have a new cause.
MOST_ANSWERED = 256  # Answered requests that are remembered: some seconds of a busy upstream.
MOST_BYTES = 8_192  # Of a request that is remembered, so that they take 2 MB at most.
WATCHED_AFTER_S = 0.2  # When a watched request may come back that found another one running.

log = structlog.get_logger("quarantine")


class Quarantine:
    """Decides on suspects, at the side of callers and at that of the upstream.

    Times are of the clock that the caller of a method reads. `hold_s` is how long a request is set
    aside at first. `on_end` and `on_cleared` pass on what other instances should know.
    """

    def __init__(self, customer_name: str) -> None:
        self.book = SuspectBook()
        self.hold_s = 0.0
        self.on_end: Callable[[list[EndedRun]], None] = lambda runs: None
        self.on_cleared: Callable[[tuple[bytes, ...]], None] = lambda marks: None
        self._customer_line = b"\r\n%b: " % customer_name.encode()
        self._answered: deque[tuple[float, bytes, bytes]] = deque(maxlen=MOST_ANSWERED)
        self._watched: set[Job] = set()

    # At the side of callers

    def standing(self, call: Call, now: float) -> tuple[Standing, float]:
        """Returns the standing of a call, and the seconds until it is let go."""
        request = call.request
        if not self.book.may_list(request.target):
            return Standing.FREE, 0.0
        marks = fingerprints(
            call.route_name, call.customer.encode(), request.method, request.target, request.body
        )
        return self.book.standing(marks, now)

    # At the side of the upstream

    def bar(self, job: Job, now: float) -> tuple[ErrorCode, float] | None:
        """Returns why a call must not run now, and when it may come back; None where it may run.

        A watched request runs beside no other watched one, so that an end is not put down to both.
        Runs of the same request hide nothing, however many they are.
        """
        if not self._may_list(job.head):
            return None
        marks = self._identify(job.route, job.head, job.body)
        standing, left_s = self.book.standing(marks, now)
        if standing is Standing.HELD:
            return ErrorCode.QUARANTINED, left_s
        if standing is Standing.WATCHED:
            self._watched = {other for other in self._watched if not other.done}
            if any(other.watched_fingerprints != marks for other in self._watched):
                return ErrorCode.BUSY, WATCHED_AFTER_S
            job.watched_fingerprints = marks
            self._watched.add(job)
        return None

    def identify_sent(self, job: Job) -> tuple[bytes, ...]:
        """Returns the fingerprints of a call that has been sent to the upstream."""
        return self._identify_raw(job.route, job.exchange.raw)

    def note_answer(self, job: Job, now: float) -> None:
        """Takes in that the upstream has answered a call, well or not: it has not ended."""
        raw = job.exchange.raw
        if len(raw) <= MOST_BYTES:
            self._answered.append((now, job.route, raw))
        if self._may_list(raw):
            self._clear(self.identify_sent(job))

    def note_end(self, runs: list[BrokenRun], now: float) -> None:
        """Takes in that the upstream has ended under these runs."""
        ended = [
            EndedRun(mark, run.broke_at - run.began, run.is_repeat)
            for run in runs
            for mark in run.fingerprints
        ]
        self.book.note_end(ended, now, self.hold_s)
        self.on_end(ended)

    def _may_list(self, head: bytes) -> bool:
        return bool(self.book) and self.book.may_list(_target(head))

    def _identify_raw(self, route: bytes, raw: bytes) -> tuple[bytes, ...]:
        head, end, body = raw.partition(b"\r\n\r\n")
        return self._identify(route, head + end, body)

    def _identify(self, route: bytes, head: bytes, body: bytes) -> tuple[bytes, ...]:
        method, target, _ = head[: head.index(b"\r\n")].split(b" ", 2)
        at = head.rfind(self._customer_line)
        customer = b""
        if at >= 0:
            at += len(self._customer_line)
            customer = head[at : head.index(b"\r\n", at)]
        return fingerprints(route, customer, method, target, body)

    # What other instances say

    def learn(self, listed: Iterable[Suspicion], cleared: Iterable[bytes], now: float) -> None:
        """Takes in what the controllers say of suspects."""
        for mark in cleared:
            if self.book.clear(mark):
                log.info("quarantine.cleared", fingerprint=mark.hex())
        news = [item for item in listed if self.book.merge(item, now)]
        for item in news:
            log.info(
                "quarantine.listed",
                fingerprint=item.fingerprint.hex(),
                ends=item.ends,
                left_s=item.left_s,
            )
        if news:
            self._speak_for({item.fingerprint for item in news}, now)

    def _speak_for(self, marks: set[bytes], now: float) -> None:
        """Clears those of the suspects that the upstream beside has answered lately."""
        prefixes = {mark[:PREFIX_BYTES] for mark in marks}
        found: set[bytes] = set()
        for at, route, raw in self._answered:
            if now < at + ANSWERED_S and path_prefix(_target(raw)) in prefixes:
                found.update(marks.intersection(self._identify_raw(route, raw)))
        self._clear(found)

    def _clear(self, marks: Iterable[bytes]) -> None:
        cleared = tuple(mark for mark in marks if self.book.clear(mark))
        if cleared:
            log.info("quarantine.answered", fingerprints=[mark.hex() for mark in cleared])
            self.on_cleared(cleared)


def _target(head: bytes) -> bytes:
    begin = head.index(b" ") + 1
    return head[begin : head.index(b" ", begin)]
