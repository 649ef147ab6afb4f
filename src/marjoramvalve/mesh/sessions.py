"""Sessions of egress nodes at an ingress, which keep outcomes across reconnects.

A session outlives its streams. After a reconnect, the egress lists the calls whose outcome it has
not received. Each of them is still being processed, or has a stored outcome, or never arrived; a
call that never arrived is refused and will not run. Frames arrive in order, so the answer to a ping
acknowledges the outcomes that were sent before it. An outcome that had to be dropped before that
may have been that of a call which ran.
"""

import asyncio
from collections.abc import Iterator

import msgspec
import structlog

from marjoramvalve.h1 import UpstreamResponse
from marjoramvalve.links import (
    MAX_SMALL_BYTES,
    UNCOUNTED_BYTES,
    FrameStream,
    Holding,
    MemoryBudget,
    plain_bytes,
)
from marjoramvalve.mesh.frames import (
    CALL_ID,
    CANCEL,
    ERROR,
    IS_HEAD,
    IS_RETRY,
    IS_SUB_CALL,
    MAX_U16,
    MAX_U32,
    REPEATABLE,
    REQUEST,
    RESPONSE,
    ErrorCode,
    FrameType,
    Hello,
    Welcome,
)
from marjoramvalve.mesh.ingress import Ingress
from marjoramvalve.mesh.jobs import Job
from marjoramvalve.mesh.outcomes import OutcomeStore

DISCONNECTED_TTL_S = 12.0  # For a session without a stream, calls and outcomes.
NO_ROOM_RETRY_AFTER_S = 0.5  # About the time in which large requests end.
SWEEP_INTERVAL_S = 1.0
SILENCE_S = 1.5  # An egress with calls in progress pings several times in this time.
STOP_NEWS_S = 0.4  # For an egress without calls to acknowledge that the node stops.
MAX_STORED_BYTES = 64 << 20  # Of all outcomes; the oldest of the largest session go first.

log = structlog.get_logger("sessions")


def _is_head(head: bytes) -> bool:
    """Returns whether this is a request line with whole header lines, without their end."""
    line, end, _ = head.partition(b"\r\n")
    is_whole = bool(end) and head.endswith(end) and end + end not in head
    return is_whole and line.count(b" ") == 2


class Session:
    """The calls of one egress process and their recent outcomes."""

    def __init__(
        self, session_id: int, name: str, last_call_id: int, server: "IngressServer"
    ) -> None:
        self.session_id = session_id
        self.name = name
        self.stream: FrameStream | None = None
        self.disconnected_at = 0.0
        self.jobs: dict[int, Job] = {}
        self.outcomes = OutcomeStore(last_call_id, server.memory)
        self._charged: dict[int, int] = {}  # Bytes of requests in progress, by call ID.
        self._server = server
        self._pinged_after: int | None = None  # Transmissions before the unanswered ping.
        self._is_stop_in_ping = False  # The ping was sent after the news that the ingress stops.
        self._knows_of_stop = False

    def attach(self, stream: FrameStream) -> None:
        """Uses a new stream."""
        self.stream = stream
        self._pinged_after = None

    def detach(self, now: float) -> None:
        """Goes on without a stream."""
        self.stream = None
        self.disconnected_at = now

    def charge(self, job: Job) -> None:
        """Counts a request until it is done. A large body counts by itself."""
        size = len(job.head) + plain_bytes(job.body)
        if size > UNCOUNTED_BYTES:
            self._charged[job.call_id] = size
            self._server.memory.charge(size)

    def drop(self, job: Job) -> None:
        """Forgets a call that is done."""
        self.jobs.pop(job.call_id, None)
        if self._charged:
            self._server.memory.charge(-self._charged.pop(job.call_id, 0))

    def _finish(self, job: Job, kind: FrameType, payload: bytes, body: bytes = b"") -> None:
        self.drop(job)
        self.outcomes.add(job.call_id, kind, payload, self._server.loop.time(), job.deadline, body)
        if self.stream is not None:
            self.stream.send(kind, payload, body)
            if body:
                self.request_acknowledgement()  # Soon, because it takes much memory until then.

    def refuse_dropped(self, call_id: int) -> None:
        """Tells the egress that a request which there was no room for did not run."""
        if call_id in self.jobs or call_id in self.outcomes:
            return
        now = self._server.loop.time()
        payload = self._error_payload(call_id, ErrorCode.BUSY, NO_ROOM_RETRY_AFTER_S)
        self.outcomes.add(call_id, FrameType.REFUSED, payload, now, now)
        self.stream.send(FrameType.REFUSED, payload)

    def give_up(self, reason: str) -> None:
        """Drops the outcomes of an egress that has been silent, and its stream."""
        self._server.memory.count_refusal(f"outcomes_{reason}")
        log.warning("outcomes.given_up", peer=self.name, bytes=self.outcomes.stored_bytes)
        while self.outcomes:
            self.outcomes.drop_oldest()
        if self.stream is not None:
            self.stream.abort()

    @property
    def is_acknowledged(self) -> bool:
        """Returns whether the egress has received all outcomes, and the news of a stop."""
        return not self.outcomes and (self._knows_of_stop or not self._server.ingress.stopping)

    def request_acknowledgement(self) -> None:
        """Pings the egress if there is something that it has not acknowledged."""
        if self.stream is None or self._pinged_after is not None or self.is_acknowledged:
            return
        self._pinged_after = self.outcomes.transmissions
        self._is_stop_in_ping = self._server.ingress.stopping
        self.stream.send(FrameType.PING, b"")

    def on_pong(self) -> None:
        """Drops the outcomes that were sent before the ping."""
        if self._pinged_after is not None:
            self.outcomes.acknowledge(self._pinged_after)
            self._pinged_after = None
            self._knows_of_stop = self._is_stop_in_ping

    def _error_payload(self, call_id: int, code: ErrorCode, retry_after_s: float) -> bytes:
        running, waiting = self._server.ingress.load
        after_ms = min(int(retry_after_s * 1000), MAX_U32)
        return ERROR.pack(call_id, code, after_ms, min(running, MAX_U16), min(waiting, MAX_U16))

    def job_completed(self, job: Job, response: UpstreamResponse, service_s: float) -> None:
        """Sends a complete response back to the egress."""
        running, waiting = self._server.ingress.load
        meta = RESPONSE.pack(
            job.call_id,
            response.status,
            int(service_s * 1000),
            min(running, MAX_U16),
            min(waiting, MAX_U16),
            len(response.head),
            0 if job.calls else self._server.ingress.work_percent,
        )
        if len(response.body) > MAX_SMALL_BYTES:
            self._finish(job, FrameType.RESPONSE, meta + response.head, response.body)
        else:
            self._finish(job, FrameType.RESPONSE, meta + response.head + response.body)

    def job_refused(self, job: Job, code: ErrorCode, retry_after_s: float) -> None:
        """Tells the egress that the request did not run."""
        self._finish(job, FrameType.REFUSED, self._error_payload(job.call_id, code, retry_after_s))

    def job_failed(self, job: Job, code: ErrorCode) -> None:
        """Tells the egress that the request failed and may have run."""
        self._finish(job, FrameType.FAILED, self._error_payload(job.call_id, code, 0.0))

    def resume(self, call_ids: list[int]) -> None:
        """Sends the outcomes of these calls, which did not reach the egress.

        Calls that are still being processed are skipped. Calls that never arrived are refused; it
        is unknown whether a call ran if its outcome may have been dropped.
        """
        now = self._server.loop.time()
        for call_id in call_ids:
            outcome = self.outcomes.resend(call_id)
            if outcome is not None:
                self.stream.send(outcome.kind, outcome.payload, outcome.body)
            elif call_id in self.jobs:
                continue
            elif self.outcomes.may_know(call_id):
                payload = self._error_payload(call_id, ErrorCode.NEVER_CAME, 0.0)
                self.outcomes.add(call_id, FrameType.REFUSED, payload, now, now)
                self.stream.send(FrameType.REFUSED, payload)
            else:
                log.warning("outcome.unknown", peer=self.name, call=call_id)
                payload = self._error_payload(call_id, ErrorCode.LINK_LOST, 0.0)
                self.stream.send(FrameType.FAILED, payload)

    def is_expired(self, now: float) -> bool:
        """Returns whether the egress has been gone for long and none of its calls is left."""
        return not (
            self.stream is not None
            or self.jobs
            or self.outcomes
            or now < self.disconnected_at + DISCONNECTED_TTL_S
        )


class IngressServer:
    """Accepts the streams of egress nodes and submits their calls to the ingress."""

    def __init__(self, ingress: Ingress, service: str, incarnation: int) -> None:
        self.loop = asyncio.get_running_loop()
        self.ingress = ingress
        self._service = service
        self.incarnation = incarnation
        self._sessions: dict[int, Session] = {}
        self.memory.sources.append(self._holdings)
        self._stop_told_at: float | None = None
        self._sweep_timer = self.loop.call_later(SWEEP_INTERVAL_S, self._sweep_sessions)

    @property
    def memory(self) -> MemoryBudget:
        """Returns the budget of the process."""
        return self.ingress.pool.memory

    def _holdings(self) -> Iterator[Holding]:
        """Yields what is kept for each egress that is silent."""
        now = self.loop.time()
        for session in self._sessions.values():
            stream = session.stream
            heard_at = session.disconnected_at if stream is None else stream.last_received_at
            if session.outcomes and now > heard_at + SILENCE_S:
                yield Holding(session.outcomes.stored_bytes, heard_at, session.give_up)

    def close(self) -> None:
        """Closes every stream."""
        self._sweep_timer.cancel()
        for session in self._sessions.values():
            if session.stream is not None:
                session.stream.close()

    def has_unacknowledged(self) -> bool:
        """Returns whether an egress that responds has not acknowledged everything; asks it to.

        An egress that has acknowledged the stop sends no more requests, and all those that it sent
        before have arrived.
        """
        now = self.loop.time()
        if self._stop_told_at is None:
            self._stop_told_at = now
        waiting = [
            session
            for session in self._sessions.values()
            if session.stream is not None
            and not session.is_acknowledged
            and now < self._acknowledged_by(session)
        ]
        for session in waiting:
            session.request_acknowledgement()
        return bool(waiting)

    def _acknowledged_by(self, session: Session) -> float:
        """Returns until when an acknowledgement of an egress can be expected."""
        if not session.outcomes:
            return self._stop_told_at + STOP_NEWS_S
        return max(session.stream.last_received_at + SILENCE_S, self._stop_told_at + STOP_NEWS_S)

    def _sweep_sessions(self) -> None:
        now = self.loop.time()
        for session_id, session in list(self._sessions.items()):
            session.outcomes.expire(now)
            session.request_acknowledgement()
            if session.is_expired(now):
                del self._sessions[session_id]
        self._limit_stored_bytes()
        self._sweep_timer = self.loop.call_later(SWEEP_INTERVAL_S, self._sweep_sessions)

    def _limit_stored_bytes(self) -> None:
        stores = [session.outcomes for session in self._sessions.values()]
        excess = sum(store.stored_bytes for store in stores) - MAX_STORED_BYTES
        while excess > 0:
            largest = max(stores, key=lambda store: store.stored_bytes)
            excess -= largest.drop_oldest()

    def broadcast_state(self) -> None:
        """Sends the current state of the ingress to every connected egress."""
        payload = self._welcome_payload()
        for session in self._sessions.values():
            if session.stream is not None:
                session.stream.send(FrameType.WELCOME, payload)

    def _welcome_payload(self) -> bytes:
        ingress = self.ingress
        cold_starts = ingress.announcements.cold_starts
        return msgspec.msgpack.encode(
            Welcome(
                self.incarnation,
                self._service,
                ingress.ready,
                ingress.limit,
                cold_starts.is_cold(self.loop.time()),
                ingress.announcements.notice,
                cold_starts.per_s,
            )
        )

    # Streams

    def stream_opened(self, stream: FrameStream) -> None:
        """Does nothing: a session starts with the HELLO frame."""

    def stream_closed(self, stream: FrameStream) -> None:
        """Marks the session as disconnected; its calls continue."""
        session = stream.owner_data
        if isinstance(session, Session) and session.stream is stream:
            session.detach(self.loop.time())

    def stream_frame(self, stream: FrameStream, kind: int, payload: bytes) -> None:
        """Handles a frame from an egress."""
        session = stream.owner_data
        if session is not None and session.stream is not stream:
            return  # The egress has moved to a newer stream and counts on this one being dead.
        if kind == FrameType.REQUEST and session is not None:
            self._on_request(session, payload)
        elif kind == FrameType.CANCEL and session is not None:
            call_id, only_waiting = CANCEL.unpack(payload)
            job = session.jobs.get(call_id)
            if job is not None:
                self.ingress.cancel(job, bool(only_waiting))
                if job.done:
                    session.drop(job)
        elif kind == FrameType.RECALL and session is not None:
            (call_id,) = CALL_ID.unpack(payload)
            if call_id in session.jobs:
                self.ingress.recall(session.jobs[call_id])
        elif kind == FrameType.PING:
            stream.send(FrameType.PONG, b"")
        elif kind == FrameType.PONG and session is not None:
            session.on_pong()
        elif kind == FrameType.RESUME and session is not None:
            session.resume([item[0] for item in CALL_ID.iter_unpack(payload)])
        elif kind == FrameType.HELLO and session is not None:
            log.warning("hello.repeated", peer=session.name)
            stream.abort()
        elif kind == FrameType.HELLO:
            self._on_hello(stream, msgspec.msgpack.decode(payload, type=Hello))

    def stream_frame_dropped(self, stream: FrameStream, kind: int, prefix: bytes) -> None:
        """Refuses a request that there was no room for."""
        session = stream.owner_data
        if kind == FrameType.REQUEST and session is not None and session.stream is stream:
            session.refuse_dropped(REQUEST.unpack_from(prefix)[0])
        else:
            stream.abort()

    def _on_hello(self, stream: FrameStream, hello: Hello) -> None:
        session = self._sessions.get(hello.session)
        if session is None:
            session = Session(hello.session, hello.name, hello.last_call_id, self)
            self._sessions[hello.session] = session
        elif session.stream is not None:
            log.info("session.moved", peer=hello.name)
            session.stream.abort()  # Frames in flight on the old stream are no longer read.
        session.attach(stream)
        stream.owner_data = session
        self.ingress.apply_notice(hello.notice)
        stream.send(FrameType.WELCOME, self._welcome_payload())

    def _on_request(self, session: Session, payload: bytes) -> None:
        (
            call_id,
            until_deadline_ms,
            until_objective_ms,
            age_ms,
            rank,
            flags,
            route_len,
            attempt_len,
            head_len,
        ) = REQUEST.unpack_from(payload)
        if call_id in session.jobs:
            return
        if call_id in session.outcomes:
            session.resume([call_id])
            return
        offset = REQUEST.size
        body_at = offset + route_len + attempt_len + head_len
        if isinstance(payload, bytearray):
            body, payload = payload, bytes(payload[:body_at])
            del body[:body_at]
        else:
            body = payload[body_at:]
            if len(body) > MAX_SMALL_BYTES:
                body = self.memory.hold(body)
        route = payload[offset : offset + route_len]
        offset += route_len
        attempt = payload[offset : offset + attempt_len]
        offset += attempt_len
        head = payload[offset : offset + head_len]
        if len(head) < head_len or not attempt or not _is_head(head):
            log.warning("request.invalid", peer=session.name, bytes=len(payload))
            session.stream.abort()
            return
        now = self.loop.time()
        job = Job(
            session,
            call_id,
            route,
            attempt,
            head,
            body,
            now + until_deadline_ms / 1000,
            now + until_objective_ms / 1000,
            now - age_ms / 1000,
            rank,
            bool(flags & REPEATABLE),
            bool(flags & IS_HEAD),
            bool(flags & IS_SUB_CALL),
            bool(flags & IS_RETRY),
        )
        session.jobs[call_id] = job
        session.charge(job)
        self.ingress.submit(job)
