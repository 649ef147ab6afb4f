"""A node's part in the quarantine of requests that crash upstreams.

Guards against a request that crashes every upstream that starts to run it. The node next to the
upstream detects the crashes, and both it and the caller's node refuse the request once it is
quarantined. A node also clears suspects that its upstream has answered a moment ago.
"""

from collections import deque
from collections.abc import Callable, Iterable

import structlog

from marjoramvalve.mesh.calls import Call
from marjoramvalve.mesh.crashes import BrokenRun
from marjoramvalve.mesh.frames import ErrorCode
from marjoramvalve.mesh.jobs import Job
from marjoramvalve.retries import (
    PREFIX_BYTES,
    CrashedRun,
    ListedSuspect,
    Standing,
    SuspectTable,
    fingerprints,
    path_prefix,
)

ANSWER_VALID_S = 5.0  # An older answer clears no suspect: a crash may have a new cause.
MAX_ANSWERED = 256  # Answered requests kept: a few seconds of a busy upstream.
MAX_ANSWERED_BYTES = 8_192  # Largest request kept; all of them take at most 2 MB.
WATCHED_RETRY_AFTER_S = 0.2  # Retry delay of a watched request while another one runs.

log = structlog.get_logger("quarantine")


class Quarantine:
    """Decides which requests may run, on the caller's side and on the upstream's side.

    `now` is read by the caller of a method, always from the same clock. `hold_s` is the length of
    a first quarantine in seconds. `on_crash` and `on_cleared` pass on what other instances need.
    """

    def __init__(self, customer_name: str) -> None:
        self.table = SuspectTable()
        self.hold_s = 0.0
        self.on_crash: Callable[[list[CrashedRun]], None] = lambda runs: None
        self.on_cleared: Callable[[tuple[bytes, ...]], None] = lambda digests: None
        self._customer_prefix = b"\r\n%b: " % customer_name.encode()
        self._answered: deque[tuple[float, bytes, bytes]] = deque(maxlen=MAX_ANSWERED)
        self._watched: set[Job] = set()

    # Caller's side

    def standing(self, call: Call, now: float) -> tuple[Standing, float]:
        """Returns the standing of a call, and the seconds until its quarantine ends."""
        request = call.request
        if not self.table.may_contain(request.target):
            return Standing.FREE, 0.0
        digests = fingerprints(
            call.route_name, call.customer.encode(), request.method, request.target, request.body
        )
        return self.table.standing(digests, now)

    # Upstream's side

    def check(self, job: Job, now: float) -> tuple[ErrorCode, float] | None:
        """Returns why a call must not run now and the seconds to wait, or None if it may run.

        A watched request runs beside no other watched one, nor beside itself, so that a crash can
        be attributed to one of them.
        """
        if not self._may_list(job.head):
            return None
        digests = self._fingerprint(job.route, job.head, job.body)
        standing, left_s = self.table.standing(digests, now)
        if standing is Standing.QUARANTINED:
            return ErrorCode.QUARANTINED, left_s
        if standing is Standing.WATCHED:
            self._watched = {other for other in self._watched if not other.done}
            if any(other is not job for other in self._watched):
                return ErrorCode.BUSY, WATCHED_RETRY_AFTER_S
            self._watched.add(job)
        return None

    def keeps_running(self, job: Job, now: float) -> bool:
        """Returns whether a cancelled call goes on, as a watched one does until it is answered."""
        if job.exchange.conn is None or not self._may_list(job.exchange.raw):
            return False
        if self.table.standing(self.fingerprint_sent(job), now)[0] is Standing.FREE:
            return False
        self._watched.add(job)
        return True

    def fingerprint_sent(self, job: Job) -> tuple[bytes, ...]:
        """Returns the fingerprints of a call that has been sent to the upstream."""
        exchange = job.exchange
        return self._fingerprint_raw(job.route, exchange.raw, exchange.body)

    def record_answer(self, job: Job, now: float) -> None:
        """Records that the upstream has answered a call, even with an error: it did not crash."""
        raw = job.exchange.raw
        if len(raw) <= MAX_ANSWERED_BYTES and not job.exchange.body:
            self._answered.append((now, job.route, raw))
        if self._may_list(raw):
            self._clear(self.fingerprint_sent(job))

    def record_crash(self, runs: list[BrokenRun], now: float) -> None:
        """Records that the upstream crashed during these runs."""
        ended = [
            CrashedRun(digest, run.broken_at - run.started_at, run.is_retry, run.was_cancelled)
            for run in runs
            for digest in run.fingerprints
        ]
        self.table.record_crash(ended, now, self.hold_s)
        self.on_crash(ended)

    def _may_list(self, head: bytes) -> bool:
        return bool(self.table) and self.table.may_contain(_request_target(head))

    def _fingerprint_raw(
        self, route: bytes, raw: bytes, large_body: bytes = b""
    ) -> tuple[bytes, ...]:
        head, separator, body = raw.partition(b"\r\n\r\n")
        return self._fingerprint(route, head + separator, large_body or body)

    def _fingerprint(self, route: bytes, head: bytes, body: bytes) -> tuple[bytes, ...]:
        method, target, _ = head[: head.index(b"\r\n")].split(b" ", 2)
        start = head.rfind(self._customer_prefix)
        customer = b""
        if start >= 0:
            start += len(self._customer_prefix)
            customer = head[start : head.index(b"\r\n", start)]
        return fingerprints(route, customer, method, target, body)

    # Reports from other instances

    def merge(self, listed: Iterable[ListedSuspect], cleared: Iterable[bytes], now: float) -> None:
        """Merges the suspects that the controllers list or clear."""
        for digest in cleared:
            if self.table.clear(digest):
                log.info("quarantine.cleared", fingerprint=digest.hex())
        changed = [item for item in listed if self.table.merge(item, now)]
        for item in changed:
            log.info(
                "quarantine.listed",
                fingerprint=item.fingerprint.hex(),
                ends=item.crashes,
                left_s=item.left_s,
            )
        if changed:
            self._clear_answered({item.fingerprint for item in changed}, now)

    def _clear_answered(self, digests: set[bytes], now: float) -> None:
        """Clears the suspects that this node's upstream has answered recently."""
        prefixes = {digest[:PREFIX_BYTES] for digest in digests}
        found: set[bytes] = set()
        for answered_at, route, raw in self._answered:
            if now < answered_at + ANSWER_VALID_S and path_prefix(_request_target(raw)) in prefixes:
                found.update(digests.intersection(self._fingerprint_raw(route, raw)))
        self._clear(found)

    def _clear(self, digests: Iterable[bytes]) -> None:
        cleared = tuple(digest for digest in digests if self.table.clear(digest))
        if cleared:
            log.info("quarantine.answered", fingerprints=[digest.hex() for digest in cleared])
            self.on_cleared(cleared)


def _request_target(head: bytes) -> bytes:
    start = head.index(b" ") + 1
    return head[start : head.index(b" ", start)]
