"""Sessions of egress nodes at an ingress, which keep outcomes across reconnects.

A session outlives its streams. After a reconnect, the egress lists the calls whose outcome it has
not received. Each of them is still being processed, or has a stored outcome, or never arrived; a
call that never arrived is refused and will not run.
"""

import asyncio
from collections import OrderedDict

import msgspec
import structlog

from marjoramvalve.h1 import UpstreamResponse
from marjoramvalve.links import FrameStream
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

# While a stream is up, outcomes are kept for several times as long as it takes to detect its loss.
OUTCOME_TTL_S = 2.0
DISCONNECTED_TTL_S = 12.0  # For a session without a stream, and for its outcomes.
SWEEP_INTERVAL_S = 1.0

log = structlog.get_logger("sessions")


class Session:
    """The calls of one egress process and their recent outcomes."""

    def __init__(self, session_id: int, name: str, server: "IngressServer") -> None:
        self.session_id = session_id
        self.name = name
        self.stream: FrameStream | None = None
        self.disconnected_at = 0.0
        self.jobs: dict[int, Job] = {}
        self._server = server
        self._outcomes: OrderedDict[int, tuple[float, int, bytes]] = OrderedDict()

    def _finish(self, job: Job, kind: FrameType, payload: bytes) -> None:
        self.jobs.pop(job.call_id, None)
        self._outcomes[job.call_id] = (self._server.loop.time(), kind, payload)
        if self.stream is not None:
            self.stream.send(kind, payload)

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
        )
        self._finish(job, FrameType.RESPONSE, meta + response.head + response.body)

    def job_refused(self, job: Job, code: ErrorCode, retry_after_s: float) -> None:
        """Tells the egress that the request did not run."""
        self._finish(job, FrameType.REFUSED, self._error_payload(job.call_id, code, retry_after_s))

    def job_failed(self, job: Job, code: ErrorCode) -> None:
        """Tells the egress that the request failed and may have run."""
        self._finish(job, FrameType.FAILED, self._error_payload(job.call_id, code, 0.0))

    def resume(self, call_ids: list[int]) -> None:
        """Sends the outcomes of these calls, which did not reach the egress.

        Calls that are still being processed are skipped; calls that never arrived are refused.
        """
        for call_id in call_ids:
            outcome = self._outcomes.get(call_id)
            if outcome is not None:
                self.stream.send(outcome[1], outcome[2])
            elif call_id not in self.jobs:
                payload = self._error_payload(call_id, ErrorCode.NEVER_CAME, 0.0)
                self._outcomes[call_id] = (self._server.loop.time(), FrameType.REFUSED, payload)
                self.stream.send(FrameType.REFUSED, payload)

    def expire_outcomes(self, now: float) -> bool:
        """Drops expired outcomes. Returns False once the session itself has expired."""
        ttl_s = OUTCOME_TTL_S if self.stream is not None else DISCONNECTED_TTL_S
        while self._outcomes:
            finished_at, _, _ = next(iter(self._outcomes.values()))
            if now < finished_at + ttl_s:
                break
            self._outcomes.popitem(last=False)
        return self.stream is not None or now < self.disconnected_at + DISCONNECTED_TTL_S


class IngressServer:
    """Accepts the streams of egress nodes and submits their calls to the ingress."""

    def __init__(self, ingress: Ingress, service: str, incarnation: int) -> None:
        self.loop = asyncio.get_running_loop()
        self.ingress = ingress
        self._service = service
        self.incarnation = incarnation
        self._sessions: dict[int, Session] = {}
        self._sweep_timer = self.loop.call_later(SWEEP_INTERVAL_S, self._sweep_sessions)

    def close(self) -> None:
        """Closes every stream."""
        self._sweep_timer.cancel()
        for session in self._sessions.values():
            if session.stream is not None:
                session.stream.close()

    def _sweep_sessions(self) -> None:
        now = self.loop.time()
        for session_id, session in list(self._sessions.items()):
            if not session.expire_outcomes(now):
                del self._sessions[session_id]
        self._sweep_timer = self.loop.call_later(SWEEP_INTERVAL_S, self._sweep_sessions)

    def broadcast_state(self) -> None:
        """Sends the current state of the ingress to every connected egress."""
        payload = self._welcome_payload()
        for session in self._sessions.values():
            if session.stream is not None:
                session.stream.send(FrameType.WELCOME, payload)

    def _welcome_payload(self) -> bytes:
        ingress = self.ingress
        cold = ingress.state.cold_until_s > self.loop.time()
        return msgspec.msgpack.encode(
            Welcome(
                self.incarnation,
                self._service,
                ingress.ready,
                ingress.limit,
                cold,
                ingress.announcements.notice,
            )
        )

    # Streams

    def stream_opened(self, stream: FrameStream) -> None:
        """Does nothing: a session starts with the HELLO frame."""

    def stream_closed(self, stream: FrameStream) -> None:
        """Marks the session as disconnected; its calls continue."""
        session = stream.owner_data
        if isinstance(session, Session) and session.stream is stream:
            session.stream = None
            session.disconnected_at = self.loop.time()

    def stream_frame(self, stream: FrameStream, kind: int, payload: bytes) -> None:
        """Handles a frame from an egress."""
        session = stream.owner_data
        if kind == FrameType.REQUEST and session is not None:
            self._on_request(session, payload)
        elif kind == FrameType.CANCEL and session is not None:
            call_id, only_waiting = CANCEL.unpack(payload)
            job = session.jobs.get(call_id)
            if job is not None:
                self.ingress.cancel(job, bool(only_waiting))
                if job.done:
                    session.jobs.pop(call_id, None)
        elif kind == FrameType.PING:
            stream.send(FrameType.PONG, b"")
        elif kind == FrameType.RESUME and session is not None:
            session.resume([item[0] for item in CALL_ID.iter_unpack(payload)])
        elif kind == FrameType.HELLO:
            self._on_hello(stream, msgspec.msgpack.decode(payload, type=Hello))

    def _on_hello(self, stream: FrameStream, hello: Hello) -> None:
        session = self._sessions.get(hello.session)
        if session is None:
            session = self._sessions[hello.session] = Session(hello.session, hello.name, self)
        elif session.stream is not None:
            log.info("session.moved", peer=hello.name)
            session.stream.abort()  # Frames in flight on the old stream are no longer read.
        session.stream = stream
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
        offset = REQUEST.size
        route = payload[offset : offset + route_len]
        offset += route_len
        attempt = payload[offset : offset + attempt_len]
        offset += attempt_len
        now = self.loop.time()
        job = Job(
            session,
            call_id,
            route,
            attempt,
            payload[offset : offset + head_len],
            payload[offset + head_len :],
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
        self.ingress.submit(job)
