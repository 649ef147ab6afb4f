"""Sessions of egress nodes at an ingress: what they asked for, and answers a lost link held up.

A session outlives its streams. On a new stream the egress names the calls it has no outcome for;
each is at work, or has an answer ready, or never came and then never will run.
"""

import asyncio
from collections import OrderedDict

import msgspec
import structlog

from marjoramvalve.h1 import UpstreamAnswer
from marjoramvalve.links import FrameStream
from marjoramvalve.mesh.frames import (
    ANSWER,
    CANCEL,
    IDS,
    IS_HEAD,
    IS_REPEAT,
    IS_SUB_CALL,
    MAX_U16,
    MAX_U32,
    REPEATABLE,
    REQUEST,
    VERDICT,
    ErrorCode,
    FrameType,
    Hello,
    Welcome,
)
from marjoramvalve.mesh.ingress import Ingress
from marjoramvalve.mesh.jobs import Job

KEPT_S = 2.0  # Outcomes kept while the stream is up: many times the time a lost stream shows in.
KEPT_APART_S = 12.0  # Outcomes kept while it is down, and a session without a stream.
SWEEP_S = 1.0

log = structlog.get_logger("sessions")


class Session:
    """The calls of one egress process."""

    def __init__(self, key: int, name: str, host: "IngressServer") -> None:
        self.key = key
        self.name = name
        self.stream: FrameStream | None = None
        self.apart_since = 0.0
        self.jobs: dict[int, Job] = {}
        self._host = host
        self._outcomes: OrderedDict[int, tuple[float, int, bytes]] = OrderedDict()

    def _finish(self, job: Job, kind: FrameType, payload: bytes) -> None:
        self.jobs.pop(job.call_id, None)
        self._outcomes[job.call_id] = (self._host.loop.time(), kind, payload)
        if self.stream is not None:
            self.stream.send(kind, payload)

    def _verdict(self, call_id: int, why: ErrorCode, after_s: float) -> bytes:
        running, waiting = self._host.ingress.load
        after_ms = min(int(after_s * 1000), MAX_U32)
        return VERDICT.pack(call_id, why, after_ms, min(running, MAX_U16), min(waiting, MAX_U16))

    def job_completed(self, job: Job, answer: UpstreamAnswer, service_s: float) -> None:
        """Passes a whole answer back."""
        running, waiting = self._host.ingress.load
        meta = ANSWER.pack(
            job.call_id,
            answer.status,
            int(service_s * 1000),
            min(running, MAX_U16),
            min(waiting, MAX_U16),
            len(answer.head),
        )
        self._finish(job, FrameType.ANSWER, meta + answer.head + answer.body)

    def job_refused(self, job: Job, why: ErrorCode, after_s: float) -> None:
        """Passes back that the request has not run."""
        self._finish(job, FrameType.REFUSED, self._verdict(job.call_id, why, after_s))

    def job_failed(self, job: Job, why: ErrorCode) -> None:
        """Passes back that the request may have run."""
        self._finish(job, FrameType.FAILED, self._verdict(job.call_id, why, 0.0))

    def resume(self, call_ids: list[int]) -> None:
        """Answers for calls whose outcome did not reach the egress."""
        for call_id in call_ids:
            kept = self._outcomes.get(call_id)
            if kept is not None:
                self.stream.send(kept[1], kept[2])
            elif call_id not in self.jobs:
                verdict = self._verdict(call_id, ErrorCode.NEVER_CAME, 0.0)
                self._outcomes[call_id] = (self._host.loop.time(), FrameType.REFUSED, verdict)
                self.stream.send(FrameType.REFUSED, verdict)

    def sweep(self, now: float) -> bool:
        """Forgets old outcomes; False once the session itself has been apart for too long."""
        kept_s = KEPT_S if self.stream is not None else KEPT_APART_S
        while self._outcomes:
            at, _, _ = next(iter(self._outcomes.values()))
            if now < at + kept_s:
                break
            self._outcomes.popitem(last=False)
        return self.stream is not None or now < self.apart_since + KEPT_APART_S


class IngressServer:
    """Owner of the streams on which egress nodes send their calls."""

    def __init__(self, ingress: Ingress, service: str, incarnation: int) -> None:
        self.loop = asyncio.get_running_loop()
        self.ingress = ingress
        self._service = service
        self.incarnation = incarnation
        self._sessions: dict[int, Session] = {}
        self._sweeper = self.loop.call_later(SWEEP_S, self._sweep)

    def close(self) -> None:
        """Ends every stream."""
        self._sweeper.cancel()
        for session in self._sessions.values():
            if session.stream is not None:
                session.stream.close()

    def _sweep(self) -> None:
        now = self.loop.time()
        for key, session in list(self._sessions.items()):
            if not session.sweep(now):
                del self._sessions[key]
        self._sweeper = self.loop.call_later(SWEEP_S, self._sweep)

    def broadcast_state(self) -> None:
        """Tells every egress what has changed here."""
        raw = self._welcome()
        for session in self._sessions.values():
            if session.stream is not None:
                session.stream.send(FrameType.WELCOME, raw)

    def _welcome(self) -> bytes:
        ingress = self.ingress
        cold = ingress.state.cold_until_s > self.loop.time()
        return msgspec.msgpack.encode(
            Welcome(self.incarnation, self._service, ingress.ready, ingress.limit, cold)
        )

    # Streams

    def stream_opened(self, stream: FrameStream) -> None:
        """Waits for the hello."""

    def stream_closed(self, stream: FrameStream) -> None:
        """Keeps the session; its calls go on."""
        session = stream.tag
        if isinstance(session, Session) and session.stream is stream:
            session.stream = None
            session.apart_since = self.loop.time()

    def stream_frame(self, stream: FrameStream, kind: int, payload: bytes) -> None:
        """Takes a frame."""
        session = stream.tag
        if kind == FrameType.REQUEST and session is not None:
            self._request(session, payload)
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
            session.resume([item[0] for item in IDS.iter_unpack(payload)])
        elif kind == FrameType.HELLO:
            self._hello(stream, msgspec.msgpack.decode(payload, type=Hello))

    def _hello(self, stream: FrameStream, hello: Hello) -> None:
        session = self._sessions.get(hello.session)
        if session is None:
            session = self._sessions[hello.session] = Session(hello.session, hello.name, self)
        elif session.stream is not None:
            log.info("session.moved", peer=hello.name)
            session.stream.abort()  # Nothing that is still on its way there is read any more.
        session.stream = stream
        stream.tag = session
        stream.send(FrameType.WELCOME, self._welcome())

    def _request(self, session: Session, payload: bytes) -> None:
        call_id, left, timely, age, rank, flags, route_n, attempt_n, head_n = REQUEST.unpack_from(
            payload
        )
        pos = REQUEST.size
        route = payload[pos : pos + route_n]
        pos += route_n
        attempt = payload[pos : pos + attempt_n]
        pos += attempt_n
        now = self.loop.time()
        job = Job(
            session,
            call_id,
            route,
            attempt,
            payload[pos : pos + head_n],
            payload[pos + head_n :],
            now + left / 1000,
            now + timely / 1000,
            now - age / 1000,
            rank,
            bool(flags & REPEATABLE),
            bool(flags & IS_HEAD),
            bool(flags & IS_SUB_CALL),
            bool(flags & IS_REPEAT),
        )
        session.jobs[call_id] = job
        self.ingress.submit(job)
