"""Peers of an egress: the ingress of its own instance, and remote ones over links."""

import asyncio
from collections.abc import Callable
from typing import TYPE_CHECKING, Protocol

import msgspec
import structlog

from marjoramvalve.h1 import FINAL_STATUSES, UpstreamResponse
from marjoramvalve.links import MAX_SMALL_BYTES, FrameStream, connect_stream
from marjoramvalve.mesh.announcements import UpstreamNotices
from marjoramvalve.mesh.balancing import EndpointStats
from marjoramvalve.mesh.cold_starts import lower_rate
from marjoramvalve.mesh.frames import (
    CALL_ID,
    CANCEL,
    ERROR,
    ERROR_CODES,
    IS_HEAD,
    IS_RETRY,
    IS_SUB_CALL,
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

if TYPE_CHECKING:
    from marjoramvalve.mesh.calls import Call

MIN_RECONNECT_DELAY_S = 0.1  # Doubles with each failed attempt.
MAX_RECONNECT_DELAY_S = 1.0
WELCOME_TIMEOUT_S = 1.0  # A new link without a WELCOME frame in this time is aborted.
PING_INTERVAL_S = 0.25  # Silence on a link with active calls before a ping.
LINK_TIMEOUT_S = 0.9  # Silence before a reconnect: three unanswered pings.

log = structlog.get_logger("peers")


class PeerCallbacks(Protocol):
    """Receives the outcomes of the calls sent to a peer."""

    def call_completed(
        self, peer: "Peer", call: "Call", status: int, head: bytes, body: bytes, service_s: float
    ) -> None:
        """Called when the upstream has sent a complete response."""

    def call_refused(
        self, peer: "Peer", call: "Call", code: ErrorCode, retry_after_s: float
    ) -> None:
        """Called when the request did not run at the peer."""

    def call_failed(self, peer: "Peer", call: "Call", code: ErrorCode) -> None:
        """Called when the call failed after the request may have run at the peer."""

    def on_link_lost(self, peer: "RemotePeer") -> None:
        """Called when the link to a node is lost."""


class Peer:
    """An ingress that calls can be sent to."""

    def __init__(
        self, name: str, service: str, same_domain: bool, callbacks: PeerCallbacks
    ) -> None:
        self.name = name
        self.service = service
        self.domain = ""
        self.stats = EndpointStats(same_domain)
        self.calls: dict[int, Call] = {}
        self._callbacks = callbacks

    @property
    def usable(self) -> bool:
        """Returns whether new calls can be sent to the peer."""
        raise NotImplementedError

    def send(self, call: "Call") -> None:
        """Sends a call to the peer."""
        raise NotImplementedError

    def cancel(self, call: "Call", only_waiting: bool) -> None:
        """Cancels a call; with `only_waiting`, only if it is still queued at the ingress."""
        raise NotImplementedError

    def recall(self, call: "Call") -> None:
        """Asks the peer to refuse a call if it is still queued at the ingress."""
        raise NotImplementedError

    def _pop_call(self, call_id: int) -> "Call | None":
        call = self.calls.pop(call_id, None)
        if call is not None:
            self.stats.in_flight -= 1
        return call


class LocalPeer(Peer):
    """The ingress of the same instance, called directly."""

    def __init__(self, name: str, service: str, ingress: Ingress, callbacks: PeerCallbacks) -> None:
        super().__init__(name, service, True, callbacks)
        self._ingress = ingress
        self._jobs: dict[int, Job] = {}
        self._loop = asyncio.get_running_loop()

    @property
    def usable(self) -> bool:
        """Returns whether the local upstream accepts calls."""
        self._update_limits()
        self.stats.record_load(*self._ingress.load, self._loop.time())
        return self._ingress.ready

    def _update_limits(self) -> None:
        self.stats.limit = max(1, self._ingress.limit)
        self.stats.rate_per_s = self._ingress.rate_limiter.announced_per_s

    def send(self, call: "Call") -> None:
        """Submits a call to the ingress."""
        self.calls[call.call_id] = call
        self.stats.in_flight += 1
        job = Job(
            self,
            call.call_id,
            call.route_name,
            call.attempt,
            call.head,
            call.body,
            call.send_deadline,
            min(call.objective_at, call.send_deadline),
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
        """Cancels a call; with `only_waiting`, only if it is still queued at the ingress."""
        self._pop_call(call.call_id)
        job = self._jobs.pop(call.call_id, None)
        if job is not None:
            self._ingress.cancel(job, only_waiting)

    def recall(self, call: "Call") -> None:
        """Lets the ingress refuse a call if it is still queued."""
        self._ingress.recall(self._jobs[call.call_id])

    def _finish(self, job: Job) -> "Call | None":
        self._jobs.pop(job.call_id, None)
        call = self._pop_call(job.call_id)
        self.stats.record_load(*self._ingress.load, self._loop.time())
        return call

    def job_completed(self, job: Job, response: UpstreamResponse, service_s: float) -> None:
        """Reports a complete response to the egress."""
        call = self._finish(job)
        work_percent = 0 if job.calls else self._ingress.work_percent
        self.stats.record_work(work_percent, self._loop.time())
        if call is not None:
            self._callbacks.call_completed(
                self, call, response.status, response.head, response.body, service_s
            )

    def job_refused(self, job: Job, code: ErrorCode, retry_after_s: float) -> None:
        """Reports a refusal in the next iteration of the event loop, after `send` has returned."""
        call = self._finish(job)
        if call is not None:
            self._loop.call_soon(self._callbacks.call_refused, self, call, code, retry_after_s)

    def job_failed(self, job: Job, code: ErrorCode) -> None:
        """Reports a failure to the egress."""
        call = self._finish(job)
        if call is not None:
            self._callbacks.call_failed(self, call, code)


class RemotePeer(Peer):
    """The ingress of another instance, over a link that reconnects when it is lost."""

    def __init__(
        self,
        name: str,
        service: str,
        address: str,
        same_domain: bool,
        hello: Hello,
        callbacks: PeerCallbacks,
        trial_delay_s: float,
        notices: UpstreamNotices,
    ) -> None:
        super().__init__(name, service, same_domain, callbacks)
        self.address = address
        self.memory = getattr(callbacks, "memory", None)
        self._trial_delay_s = trial_delay_s
        self._hello = hello
        self._notices = notices
        self._loop = asyncio.get_running_loop()
        self._stream: FrameStream | None = None
        self._welcome: Welcome | None = None
        self._task: asyncio.Task | None = None
        self._reconnect_delay_s = MIN_RECONNECT_DELAY_S
        self._closed = False
        self._pinged_at = 0.0
        self._last_call_id = 0
        self.is_unresponsive = False
        self.in_roster = True

    @property
    def usable(self) -> bool:
        """Returns whether the link is up and responsive, and its upstream accepts calls."""
        return (
            self._stream is not None
            and self._welcome.ready
            and not self.is_unresponsive
            and self._welcome.service == self.service
        )

    def start(self) -> None:
        """Starts connecting."""
        self._task = self._loop.create_task(self._connect())

    async def _connect(self) -> None:
        while not self._closed:
            try:
                stream = await connect_stream(self.address, self)
                self._loop.call_later(WELCOME_TIMEOUT_S, self._check_welcome, stream)
                return
            except (OSError, TimeoutError) as exc:
                log.info("peer.unreachable", peer=self.name, address=self.address, error=repr(exc))
            await asyncio.sleep(self._reconnect_delay_s)
            self._reconnect_delay_s = min(MAX_RECONNECT_DELAY_S, self._reconnect_delay_s * 2)

    def _check_welcome(self, stream: FrameStream) -> None:
        if self._stream is not stream and stream.is_open:
            stream.abort()

    def close(self) -> None:
        """Closes the link; active calls fail."""
        self._closed = True
        if self._task is not None:
            self._task.cancel()
        if self._stream is not None:
            self._stream.abort()
        self._fail_calls()

    def _fail_calls(self) -> None:
        for call_id in list(self.calls):
            call = self._pop_call(call_id)
            self._callbacks.call_failed(self, call, ErrorCode.LINK_LOST)

    # Calls

    def send(self, call: "Call") -> None:
        """Sends a call over the link."""
        now = self._loop.time()
        self.calls[call.call_id] = call
        self._last_call_id = max(self._last_call_id, call.call_id)
        self.stats.in_flight += 1
        objective_at = min(call.objective_at, call.send_deadline)
        flags = REPEATABLE if call.repeatable else 0
        flags |= (IS_HEAD if call.is_head else 0) | (IS_SUB_CALL if call.is_sub_call else 0)
        flags |= IS_RETRY if call.is_retry else 0
        meta = REQUEST.pack(
            call.call_id,
            max(0, int((call.send_deadline - now) * 1000)),
            max(0, int((objective_at - now) * 1000)),
            max(0, int((now - call.root_received_at) * 1000)),
            min(call.rank, 255),
            flags,
            len(call.route_name),
            len(call.attempt),
            len(call.head),
        )
        if len(call.body) > MAX_SMALL_BYTES:
            payload = b"".join((meta, call.route_name, call.attempt, call.head))
            self._stream.send(FrameType.REQUEST, payload, call.body)
            return
        payload = b"".join((meta, call.route_name, call.attempt, call.head, call.body))
        self._stream.send(FrameType.REQUEST, payload)

    def cancel(self, call: "Call", only_waiting: bool) -> None:
        """Cancels a call; with `only_waiting`, only if it is still queued at the ingress."""
        if self._pop_call(call.call_id) is not None and self._stream is not None:
            self._stream.send(FrameType.CANCEL, CANCEL.pack(call.call_id, only_waiting))

    def recall(self, call: "Call") -> None:
        """Asks the ingress to refuse a call if it is still queued; one that runs goes on."""
        if self._stream is not None:
            self._stream.send(FrameType.RECALL, CALL_ID.pack(call.call_id))

    # Stream

    def stream_opened(self, stream: FrameStream) -> None:
        """Identifies this egress to the ingress and tells what it remembers of its upstream."""
        hello = msgspec.structs.replace(
            self._hello,
            notice=self._notices.recall(self.address),
            last_call_id=self._last_call_id,
        )
        stream.send(FrameType.HELLO, msgspec.msgpack.encode(hello))

    def stream_closed(self, stream: FrameStream) -> None:
        """Starts to reconnect, unless the peer is closed."""
        if self._stream is stream:
            log.info("peer.lost", peer=self.name, calls=len(self.calls))
            self._stream = None
            self._loop.call_soon(self._callbacks.on_link_lost, self)
        if not self._closed and (self._task is None or self._task.done()):
            self._task = self._loop.create_task(self._connect())

    def stream_frame(self, stream: FrameStream, kind: int, payload: bytes) -> None:
        """Handles a frame from the ingress."""
        self.is_unresponsive = False
        if kind == FrameType.RESPONSE:
            self._on_response(payload)
        elif kind in (FrameType.REFUSED, FrameType.FAILED):
            self._on_error(kind, payload)
        elif kind == FrameType.WELCOME:
            self._on_welcome(stream, msgspec.msgpack.decode(payload, type=Welcome))
        elif kind == FrameType.PING:
            stream.send(FrameType.PONG, b"")

    def stream_frame_dropped(self, stream: FrameStream, kind: int, prefix: bytes) -> None:
        """Fails a call whose response there was no room for."""
        if kind != FrameType.RESPONSE:
            stream.abort()
            return
        call = self._pop_call(RESPONSE.unpack_from(prefix)[0])
        if call is not None:
            self._callbacks.call_failed(self, call, ErrorCode.BROKEN)

    def _on_welcome(self, stream: FrameStream, welcome: Welcome) -> None:
        previous, self._welcome = self._welcome, welcome
        self._notices.record(self.address, welcome.notice)
        if previous is None or not previous.ready:
            self.stats.first_trial_at = self._loop.time() + self._trial_delay_s
        self.stats.limit = max(1, welcome.limit)
        self.stats.cold = welcome.cold
        self.stats.rate_per_s = lower_rate(welcome.notice.rate_per_s, welcome.cold_rate_per_s)
        if self._stream is stream:
            return
        self._stream = stream
        self._reconnect_delay_s = MIN_RECONNECT_DELAY_S
        log.info("peer.up", peer=self.name, service=welcome.service, ready=welcome.ready)
        if not self.calls:
            return
        if previous is not None and previous.incarnation == welcome.incarnation:
            stream.send(FrameType.RESUME, b"".join(CALL_ID.pack(call_id) for call_id in self.calls))
        else:
            self._fail_calls()

    def _on_response(self, payload: bytes) -> None:
        call_id, status, service_ms, running, waiting, head_len, work_percent = (
            RESPONSE.unpack_from(payload)
        )
        call = self._pop_call(call_id)
        self.stats.record_load(running, waiting, self._loop.time())
        self.stats.record_work(work_percent, self._loop.time())
        if call is None:
            return
        split = RESPONSE.size + head_len
        if split > len(payload) or status not in FINAL_STATUSES:
            log.warning("response.invalid", peer=self.name, status=status, bytes=len(payload))
            self._callbacks.call_failed(self, call, ErrorCode.BROKEN)
            return
        head = bytes(payload[RESPONSE.size : split])
        if isinstance(payload, bytearray):
            del payload[:split]
            body = payload
        else:
            body = payload[split:]
        self._callbacks.call_completed(self, call, status, head, body, service_ms / 1000)

    def _on_error(self, kind: int, payload: bytes) -> None:
        call_id, code, after_ms, running, waiting = ERROR.unpack(payload)
        call = self._pop_call(call_id)
        self.stats.record_load(running, waiting, self._loop.time())
        if call is None:
            return
        is_known = code in ERROR_CODES
        if kind == FrameType.REFUSED:
            reason = ErrorCode(code) if is_known else ErrorCode.NOT_READY
            self._callbacks.call_refused(self, call, reason, after_ms / 1000)
        else:
            reason = ErrorCode(code) if is_known else ErrorCode.BROKEN
            self._callbacks.call_failed(self, call, reason)

    def check_liveness(self, now: float, on_unresponsive: Callable[["RemotePeer"], None]) -> None:
        """Pings a link that is silent while calls are active, and aborts it after a timeout.

        Calls `on_unresponsive` if the link is down, timed out or has left a ping unanswered.
        """
        stream = self._stream
        if stream is None:
            if self.calls:
                on_unresponsive(self)
            return
        silence_s = now - max(
            stream.last_received_at, min(call.sent_at for call in self.calls.values())
        )
        if silence_s < PING_INTERVAL_S:
            return
        if silence_s > LINK_TIMEOUT_S:
            log.warning("peer.silent", peer=self.name, silent_s=round(silence_s, 3))
            self._stream = None
            stream.abort()
            on_unresponsive(self)
            return
        if now > self._pinged_at + PING_INTERVAL_S:
            if self._pinged_at > stream.last_received_at:
                self.is_unresponsive = True
                on_unresponsive(self)
            self._pinged_at = now
            stream.send(FrameType.PING, b"")
