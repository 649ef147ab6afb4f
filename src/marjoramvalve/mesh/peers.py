"""Links of an egress to the ingress nodes of other instances, and to its own."""

import asyncio
from collections.abc import Callable
from typing import TYPE_CHECKING, Protocol

import msgspec
import structlog

from marjoramvalve.h1 import UpstreamAnswer
from marjoramvalve.links import FrameStream, connect_stream
from marjoramvalve.mesh.frames import (
    ANSWER,
    CANCEL,
    IDS,
    IS_HEAD,
    IS_REPEAT,
    IS_SUB_CALL,
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
from marjoramvalve.mesh.places import Place

if TYPE_CHECKING:
    from marjoramvalve.mesh.calls import Call

RECONNECT_S = 0.1  # First pause before a lost link is made again; it doubles.
MOST_RECONNECT_S = 1.0
WELCOME_S = 1.0  # A new link whose other end says nothing in this time is given up.
PING_AFTER_S = 0.25  # A link with calls under way that has been silent for this is asked.
LOST_AFTER_S = 0.9  # A link silent for this is made anew: three unanswered questions.

log = structlog.get_logger("peers")


class PeerOwner(Protocol):
    """What a peer tells the egress."""

    def call_completed(
        self, peer: "Peer", call: "Call", status: int, head: bytes, body: bytes, service_s: float
    ) -> None:
        """A whole answer of the upstream."""

    def call_refused(self, peer: "Peer", call: "Call", why: ErrorCode, after_s: float) -> None:
        """The request has not run there."""

    def call_failed(self, peer: "Peer", call: "Call", why: ErrorCode) -> None:
        """The request may have run there."""

    def on_link_lost(self, peer: "RemotePeer") -> None:
        """The link to a node is lost."""


class Peer:
    """An ingress where calls can be sent."""

    def __init__(self, name: str, service: str, near: bool, owner: PeerOwner) -> None:
        self.name = name
        self.service = service
        self.stats = Place(near)
        self.calls: dict[int, Call] = {}
        self._owner = owner

    @property
    def usable(self) -> bool:
        """Tells whether new calls can go there."""
        raise NotImplementedError

    def send(self, call: "Call") -> None:
        """Sends a call."""
        raise NotImplementedError

    def cancel(self, call: "Call", only_waiting: bool) -> None:
        """Gives a call up."""
        raise NotImplementedError

    def _take(self, call_id: int) -> "Call | None":
        call = self.calls.pop(call_id, None)
        if call is not None:
            self.stats.own -= 1
        return call


class LocalPeer(Peer):
    """The ingress of this instance, called without a link."""

    def __init__(self, name: str, service: str, ingress: Ingress, owner: PeerOwner) -> None:
        super().__init__(name, service, True, owner)
        self._ingress = ingress
        self._jobs: dict[int, Job] = {}
        self._loop = asyncio.get_running_loop()

    @property
    def usable(self) -> bool:
        """Tells whether the upstream beside takes calls."""
        self.stats.limit = max(1, self._ingress.limit)
        self.stats.report(*self._ingress.load, self._loop.time())
        return self._ingress.ready

    def send(self, call: "Call") -> None:
        """Hands a call to the ingress."""
        self.calls[call.call_id] = call
        self.stats.own += 1
        job = Job(
            self,
            call.call_id,
            call.route_name,
            call.attempt,
            call.head,
            call.body,
            call.deadline,
            call.objective_at,
            call.root_received_at,
            call.rank,
            call.repeatable,
            call.is_head,
            call.is_sub_call,
            call.is_retry,
        )
        self._jobs[call.call_id] = job
        self._ingress.submit(job)

    def cancel(self, call: "Call", only_waiting: bool) -> None:
        """Gives a call up."""
        self._take(call.call_id)
        job = self._jobs.pop(call.call_id, None)
        if job is not None:
            self._ingress.cancel(job, only_waiting)

    def _end(self, job: Job) -> "Call | None":
        self._jobs.pop(job.call_id, None)
        call = self._take(job.call_id)
        self.stats.report(*self._ingress.load, self._loop.time())
        return call

    def job_completed(self, job: Job, answer: UpstreamAnswer, service_s: float) -> None:
        """Passes on a whole answer."""
        call = self._end(job)
        if call is not None:
            self._owner.call_completed(
                self, call, answer.status, answer.head, answer.body, service_s
            )

    def job_refused(self, job: Job, why: ErrorCode, after_s: float) -> None:
        """Passes on a refusal, after the pass of the loop that sent the call."""
        call = self._end(job)
        if call is not None:
            self._loop.call_soon(self._owner.call_refused, self, call, why, after_s)

    def job_failed(self, job: Job, why: ErrorCode) -> None:
        """Passes on a failure."""
        call = self._end(job)
        if call is not None:
            self._owner.call_failed(self, call, why)


class RemotePeer(Peer):
    """The ingress of another instance, over a link that is made anew when it is lost."""

    def __init__(
        self,
        name: str,
        service: str,
        address: str,
        near: bool,
        hello: Hello,
        owner: PeerOwner,
        trial_delay_s: float,
    ) -> None:
        super().__init__(name, service, near, owner)
        self.address = address
        self._trial_delay_s = trial_delay_s
        self._hello = msgspec.msgpack.encode(hello)
        self._loop = asyncio.get_running_loop()
        self._stream: FrameStream | None = None
        self._welcome: Welcome | None = None
        self._task: asyncio.Task | None = None
        self._pause_s = RECONNECT_S
        self._closed = False
        self._asked_at = 0.0
        self.is_unresponsive = False
        self.in_roster = True

    @property
    def usable(self) -> bool:
        """Tells whether the link is up, speaks, and the upstream behind it takes calls."""
        return (
            self._stream is not None
            and self._welcome.ready
            and not self.is_unresponsive
            and self._welcome.service == self.service
        )

    def start(self) -> None:
        """Makes the link."""
        self._task = self._loop.create_task(self._connect())

    async def _connect(self) -> None:
        while not self._closed:
            try:
                stream = await connect_stream(self.address, self)
                self._loop.call_later(WELCOME_S, self._check_welcome, stream)
                return
            except (OSError, TimeoutError) as exc:
                log.info("peer.unreachable", peer=self.name, address=self.address, error=repr(exc))
            await asyncio.sleep(self._pause_s)
            self._pause_s = min(MOST_RECONNECT_S, self._pause_s * 2)

    def _check_welcome(self, stream: FrameStream) -> None:
        if self._stream is not stream and stream.is_open:
            stream.abort()

    def close(self) -> None:
        """Ends the link; calls under way fail."""
        self._closed = True
        if self._task is not None:
            self._task.cancel()
        if self._stream is not None:
            self._stream.abort()
        self._fail_calls()

    def _fail_calls(self) -> None:
        for call_id in list(self.calls):
            call = self._take(call_id)
            self._owner.call_failed(self, call, ErrorCode.LINK_LOST)

    # Calls

    def send(self, call: "Call") -> None:
        """Sends a call over the link."""
        now = self._loop.time()
        self.calls[call.call_id] = call
        self.stats.own += 1
        flags = REPEATABLE if call.repeatable else 0
        flags |= (IS_HEAD if call.is_head else 0) | (IS_SUB_CALL if call.is_sub_call else 0)
        flags |= IS_REPEAT if call.is_retry else 0
        meta = REQUEST.pack(
            call.call_id,
            max(0, int((call.deadline - now) * 1000)),
            max(0, int((call.objective_at - now) * 1000)),
            max(0, int((now - call.root_received_at) * 1000)),
            min(call.rank, 255),
            flags,
            len(call.route_name),
            len(call.attempt),
            len(call.head),
        )
        payload = b"".join((meta, call.route_name, call.attempt, call.head, call.body))
        self._stream.send(FrameType.REQUEST, payload)

    def cancel(self, call: "Call", only_waiting: bool) -> None:
        """Gives a call up."""
        if self._take(call.call_id) is not None and self._stream is not None:
            self._stream.send(FrameType.CANCEL, CANCEL.pack(call.call_id, only_waiting))

    # Stream

    def stream_opened(self, stream: FrameStream) -> None:
        """Says who calls."""
        stream.send(FrameType.HELLO, self._hello)

    def stream_closed(self, stream: FrameStream) -> None:
        """Makes the link anew."""
        if self._stream is stream:
            log.info("peer.lost", peer=self.name, calls=len(self.calls))
            self._stream = None
            self._loop.call_soon(self._owner.on_link_lost, self)
        if not self._closed and (self._task is None or self._task.done()):
            self._task = self._loop.create_task(self._connect())

    def stream_frame(self, stream: FrameStream, kind: int, payload: bytes) -> None:
        """Takes a frame."""
        self.is_unresponsive = False
        if kind == FrameType.ANSWER:
            self._answer(payload)
        elif kind in (FrameType.REFUSED, FrameType.FAILED):
            self._verdict(kind, payload)
        elif kind == FrameType.WELCOME:
            self._on_welcome(stream, msgspec.msgpack.decode(payload, type=Welcome))

    def _on_welcome(self, stream: FrameStream, welcome: Welcome) -> None:
        before, self._welcome = self._welcome, welcome
        if before is None or not before.ready:
            self.stats.trial_at = self._loop.time() + self._trial_delay_s
        self.stats.limit = max(1, welcome.limit)
        self.stats.cold = welcome.cold
        if self._stream is stream:
            return
        self._stream = stream
        self._pause_s = RECONNECT_S
        log.info("peer.up", peer=self.name, service=welcome.service, ready=welcome.ready)
        if not self.calls:
            return
        if before is not None and before.incarnation == welcome.incarnation:
            stream.send(FrameType.RESUME, b"".join(IDS.pack(call_id) for call_id in self.calls))
        else:
            self._fail_calls()

    def _answer(self, payload: bytes) -> None:
        call_id, status, service_ms, running, waiting, head_n = ANSWER.unpack_from(payload)
        call = self._take(call_id)
        self.stats.report(running, waiting, self._loop.time())
        if call is not None:
            split = ANSWER.size + head_n
            head, body = payload[ANSWER.size : split], payload[split:]
            self._owner.call_completed(self, call, status, head, body, service_ms / 1000)

    def _verdict(self, kind: int, payload: bytes) -> None:
        call_id, why, after_ms, running, waiting = VERDICT.unpack(payload)
        call = self._take(call_id)
        self.stats.report(running, waiting, self._loop.time())
        if call is None:
            return
        if kind == FrameType.REFUSED:
            self._owner.call_refused(self, call, ErrorCode(why), after_ms / 1000)
        else:
            self._owner.call_failed(self, call, ErrorCode(why))

    def check(self, now: float, on_quiet: Callable[["RemotePeer"], None]) -> None:
        """Asks a link that says nothing though calls are under way, and gives it up in time."""
        stream = self._stream
        if stream is None:
            if self.calls:
                on_quiet(self)
            return
        silent = now - max(stream.heard_at, min(call.sent_at for call in self.calls.values()))
        if silent < PING_AFTER_S:
            return
        if silent > LOST_AFTER_S:
            log.warning("peer.silent", peer=self.name, silent_s=round(silent, 3))
            self._stream = None
            stream.abort()
            on_quiet(self)
            return
        if now > self._asked_at + PING_AFTER_S:
            if self._asked_at > stream.heard_at:
                self.is_unresponsive = True
                on_quiet(self)
            self._asked_at = now
            stream.send(FrameType.PING, b"")
