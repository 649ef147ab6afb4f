"""Ingress: queues calls for the local upstream and limits how many run concurrently."""

import asyncio
from dataclasses import replace

import structlog

from marjoramvalve.h1 import Exchange, ExchangeFailure, HeaderNames, UpstreamPool, UpstreamResponse
from marjoramvalve.mesh.announcements import UpstreamAnnouncements, is_same_incarnation
from marjoramvalve.mesh.cold_starts import UpstreamPacing, find_displaced
from marjoramvalve.mesh.cold_timers import ColdStartTimer
from marjoramvalve.mesh.crash_watches import CrashWatch
from marjoramvalve.mesh.crashes import ABANDONED_S, BrokenRun
from marjoramvalve.mesh.frames import ErrorCode, UpstreamNotice
from marjoramvalve.mesh.jobs import Job, RunStats, UpstreamState
from marjoramvalve.mesh.quarantines import Quarantine
from marjoramvalve.mesh.queues import CallQueue, ServiceTimes
from marjoramvalve.mesh.rate_logs import RateLog
from marjoramvalve.mesh.saturation import SaturationEstimator
from marjoramvalve.mesh.shed_limits import ShedLimit
from marjoramvalve.mesh.stops import MEAN_MARGIN, StopSchedule
from marjoramvalve.mesh.timers import DeadlineScheduler
from marjoramvalve.mesh.upstream_loads import UpstreamLoads
from marjoramvalve.mesh.upstream_requests import encode_request

RECONNECT_DELAY_S = 0.25  # Before an upstream that refused a connection is tried again.
MIN_RETRY_AFTER_S = 0.05  # Least time after which a refused call may be retried.
RESPONSE_TRANSIT_S = 0.003  # Time for a response to get back to the caller's node.
DEADLINE_GRACE_S = 0.1  # The upstream stops at the deadline by itself; after this it is cut off.
MIN_PACING_DELAY_S = 0.001  # A timer that fires too early must not fire again immediately.
NOTICE_INTERVAL_S = 0.2  # Between changes of a rate that the egresses are told.

log = structlog.get_logger("ingress")


class Ingress:
    """Admits calls for one upstream and sends them to it."""

    def __init__(
        self,
        names: HeaderNames,
        service: str,
        deadlines: DeadlineScheduler,
        quarantine: Quarantine,
        announcements: UpstreamAnnouncements | None = None,
    ) -> None:
        self._service = service
        self._is_probing = False
        self._loop = asyncio.get_running_loop()
        self._deadlines = deadlines
        self._deadline_name = names.deadline.encode()
        self._expect_name = names.expect.encode()
        self.pool = UpstreamPool(names, self._on_unexpected_response)
        self.state = UpstreamState()
        self.stopping = False
        self.is_evacuated = False
        self.stop_schedule: StopSchedule | None = None
        self._shed_limit = ShedLimit(self._loop.time())
        self._unreachable_until = 0.0
        self._queue = CallQueue()
        self.service_times = ServiceTimes()
        self._loads = UpstreamLoads(self.service_times)
        self._saturation = SaturationEstimator()
        self.running: dict[bytes, Job] = {}
        self._run_stats: dict[str, RunStats] = {}
        self._sent_jobs: set[Job] = set()
        self.crash_watch = CrashWatch(
            lambda on_done: self.pool.check_listening(on_done), quarantine.record_crash
        )
        self.sent_requests = 0
        self._start_timer: asyncio.TimerHandle | None = None
        self.announcements = announcements or UpstreamAnnouncements()
        self._told_kinds = self.announcements.announced_kinds
        self._notice_timer: asyncio.TimerHandle | None = None
        self.cold_start_timer = ColdStartTimer(self.announcements, self._on_announced)
        self.rate_log = RateLog()
        self.quarantine = quarantine
        self.on_change = lambda: None

    # State of the upstream

    @property
    def ready(self) -> bool:
        """Returns whether new calls are accepted."""
        return (
            self.state.ready
            and not self.announcements.is_leaving
            and not self.stopping
            and not self.is_evacuated
            and not self._is_unreachable()
        )

    @property
    def rate_limiter(self) -> UpstreamPacing:
        """Returns the limiter for the lower of the announced rate and that of a cold upstream."""
        return self.announcements.pacing

    def _is_unreachable(self) -> bool:
        return self._unreachable_until > self._loop.time()

    @property
    def limit(self) -> int:
        """Returns how many requests the upstream may run concurrently."""
        now = self._loop.time()
        slots = self.state.slots
        allowed = self._shed_limit.update(slots, now)
        if not slots:
            return 0
        return max(1, min(allowed, self._saturation.usable_slots(slots, now)))

    @property
    def load(self) -> tuple[int, int]:
        """Returns the number of running and of queued calls."""
        return len(self._sent_jobs), len(self._queue)

    @property
    def work_percent(self) -> int:
        """Returns how long work takes now, in percent of the usual time, 0 if unknown."""
        return self._loads.work_percent(self._loop.time())

    def record_departure(self, instance: str, started_at_ms: int = 0) -> None:
        """Sends nothing more to a run of an upstream that has announced its end.

        `started_at_ms` is when it started, in Unix milliseconds, 0 if unknown.
        """
        now = self._loop.time()
        if not self.state.instance:
            self.set_state(UpstreamState(instance, self._service, started_at_ms=started_at_ms))
        if self.announcements.record_departure(instance, started_at_ms, now):
            self._on_announced(now)

    def set_state(self, state: UpstreamState) -> None:
        """Applies the state announced by the upstream; refuses queued calls if it is not ready.

        The state of a run that has announced its end is ignored: it was sent before that.
        """
        now = self._loop.time()
        if self.announcements.has_departed(state.instance, state.started_at_ms, now):
            log.info("upstream.late_state", instance=state.instance, born=state.started_at_ms)
            return
        if not self._is_expected_to_run():
            self.crash_watch.detector.drop_abandoned()
        previous, self.state = self.state, state
        self.crash_watch.instance = state.instance
        self.announcements.set_state(state, now)
        self._told_kinds = self.announcements.announced_kinds
        if not is_same_incarnation(state.instance, state.started_at_ms, previous):
            self._shed_limit.reset(state.slots)
            self._loads.reset()
            self.pool.drop_idle()
            self._unreachable_until = 0.0
            if previous.instance:
                self.crash_watch.record_restart(previous.instance, "restarted")
        else:
            self.crash_watch.detector.record_alive(now)
        if state.ready and not previous.ready:
            self._unreachable_until = 0.0
        if not self.ready:
            self._refuse_queued(ErrorCode.NOT_READY)
        self.cold_start_timer.update()
        if state.without_times() != previous.without_times():
            log.info(
                "upstream.state",
                instance=state.instance,
                service=state.service,
                ready=state.ready,
                slots=state.slots,
                born=state.started_at_ms,
                seq=state.seq,
            )
            self.on_change()

    def probe(self, path: str) -> None:
        """Sends a health check to an upstream that has not announced its state yet."""
        if self.state.instance or self._is_probing:
            return
        self._is_probing = True
        raw_request = b"GET %b HTTP/1.1\r\nHost: upstream\r\n\r\n" % path.encode()
        self.pool.probe(raw_request, self._on_probed)

    def _on_probed(self, response: UpstreamResponse | None, instance: str, slots: int) -> None:
        self._is_probing = False
        if instance and slots and not self.state.instance:
            now = self._loop.time()
            cold_until = self.announcements.parse_cold_until(response.cold, now)
            self.set_state(
                UpstreamState(instance, self._service, slots, True, cold_until_s=cold_until)
            )
            if self.announcements.record_probe(response, now):
                self._on_announced(now)

    def stop_accepting(self) -> None:
        """Refuses queued calls and all new ones."""
        self.stopping = True
        self._refuse_queued(ErrorCode.STOPPING)
        self.on_change()

    def set_evacuated(self, is_evacuated: bool) -> None:
        """Starts or ends an evacuation, in which only calls that run already are finished."""
        if is_evacuated is self.is_evacuated:
            return
        self.is_evacuated = is_evacuated
        running, waiting = self.load
        log.info("upstream.evacuated", on=is_evacuated, running=running, waiting=waiting)
        if is_evacuated:
            self._refuse_queued(ErrorCode.NOT_READY)
            for job in list(self._sent_jobs):
                self.recall(job)
        self.on_change()

    def _refuse_queued(self, code: ErrorCode) -> None:
        while (job := self._queue.pop()) is not None:
            self._refuse(job, code, MIN_RETRY_AFTER_S)

    # Jobs

    def submit(self, job: Job) -> None:
        """Starts a call, queues it or refuses it immediately."""
        now = self._loop.time()
        if not self.ready:
            self._refuse(
                job, ErrorCode.STOPPING if self.stopping else ErrorCode.NOT_READY, MIN_RETRY_AFTER_S
            )
            return
        if self._refuse_if_stopping(job, now) or self._refuse_if_quarantined(job, now):
            return
        pacing_delay_s = self.rate_limiter.wait_s(0, now)
        if len(self._sent_jobs) < self.limit and not pacing_delay_s and not len(self._queue):
            self._start(job, now)
            return
        if not self._enqueue(job, now):
            return
        job.set_timer(self._deadlines, self._useful_until(job), lambda: self._expire_waiting(job))
        if self.announcements.cold_starts.per_s is not None:
            self._refuse_displaced_by(job, now)
        if pacing_delay_s > 0:
            self._start_queued_in(pacing_delay_s)

    def _useful_until(self, job: Job) -> float:
        """Returns until when it is useful to start a call.

        Other services have already done work for the root of a sub-call, so a sub-call may wait
        until its deadline instead of its objective.
        """
        ends_at = job.deadline if job.is_sub_call else job.objective_at
        return ends_at - self._loads.mean_s(job.route, self._loop.time())

    def _enqueue(self, job: Job, now: float) -> bool:
        """Queues a call, or refuses it and returns False if it would wait for too long."""
        wait_s = self._expected_wait_s(job)
        if now + wait_s > self._useful_until(job):
            self._log_rate_limited(job, wait_s, now)
            self._refuse(job, ErrorCode.BUSY, max(MIN_RETRY_AFTER_S, wait_s))
            return False
        service_s = self._loads.mean_s(job.route, now) / self._loads.factor(now)
        self._queue.push(job, job.rank, job.root_received_at, service_s)
        return True

    def _expected_wait_s(self, job: Job) -> float:
        return self._queue.expected_wait_s(
            job.rank,
            job.root_received_at,
            self.limit,
            lambda calls: self.rate_limiter.wait_s(calls, self._loop.time()),
            self._loads.factor(self._loop.time()),
        )

    def _log_rate_limited(self, job: Job, wait_s: float, now: float) -> None:
        limiter, waiting = self.rate_limiter, len(self._queue)
        self.rate_log.log_refused(job, self.state.instance, limiter, waiting, wait_s, now)

    def _recheck_queued(self, now: float) -> None:
        """Refuses the queued calls that would wait for too long at a changed rate."""
        for job in list(iter(self._queue.pop, None)):
            self._enqueue(job, now)
        self._start_queued()

    def _refuse_displaced_by(self, last: Job, now: float) -> None:
        jobs = self._queue.in_order()
        if jobs[-1] is last:
            return
        wait_s = self.rate_limiter.wait_s
        for job, expected_s in find_displaced(jobs, self._useful_until, wait_s, now):
            self._queue.remove(job)
            self._log_rate_limited(job, expected_s, now)
            self._refuse(job, ErrorCode.BUSY, max(MIN_RETRY_AFTER_S, expected_s))

    def _start(self, job: Job, now: float) -> None:
        left_ms = int((job.deadline - now - RESPONSE_TRANSIT_S) * 1000)
        if left_ms <= 0:
            self._refuse(job, ErrorCode.TOO_LATE, MIN_RETRY_AFTER_S)
            return
        if self._refuse_if_stopping(job, now) or self._refuse_if_quarantined(job, now):
            return
        raw_request, large_body = encode_request(
            job, self._deadline_name, left_ms, self._expect_name, self.state.instance
        )
        job.started_at = now
        job.exchange = Exchange(
            raw_request,
            job.attempt,
            job.repeatable,
            job.is_head,
            lambda response: self._on_response(job, response),
            lambda detail, kind: self._on_connection_error(job, detail, kind),
            large_body,
        )
        job.head = job.body = b""  # They are in the exchange.
        self._sent_jobs.add(job)
        job.started_at_capacity = self._saturation.is_saturated(
            len(self._sent_jobs), self.state.slots
        )
        self.running[job.attempt] = job
        job.set_timer(self._deadlines, job.deadline + DEADLINE_GRACE_S, lambda: self._expire(job))
        self.rate_limiter.take(now)
        self.sent_requests += 1
        self.rate_log.log_usage(
            self.state.instance, self.rate_limiter, self.sent_requests, *self.load, now
        )
        self.pool.send(job.exchange)

    def _refuse_if_stopping(self, job: Job, now: float) -> bool:
        """Refuses a call that might not end before the node stops; True if refused.

        Another upstream can take it.
        """
        if self.stop_schedule is None:
            return False
        mean_s = self._loads.mean_s(job.route, now)
        needs_s = max(MEAN_MARGIN * mean_s, job.objective_at - now)
        if self.stop_schedule.allows(job, needs_s, mean_s, now):
            return False
        self._refuse(job, ErrorCode.STOPPING, MIN_RETRY_AFTER_S)
        return True

    def _refuse_if_quarantined(self, job: Job, now: float) -> bool:
        """Refuses a call that is quarantined because upstreams crashed on it; True if refused."""
        refusal = self.quarantine.check(job, now)
        if refusal is not None:
            self._refuse(job, *refusal)
        return refusal is not None

    def collect_run_stats(self) -> dict[str, RunStats]:
        """Returns the statistics of successful runs since the last call, by route."""
        stats, self._run_stats = self._run_stats, {}
        return stats

    def _record_run(self, job: Job, service_s: float) -> None:
        stats = self._run_stats.setdefault(job.route.decode(errors="replace"), RunStats())
        stats.count += 1
        stats.slot_seconds += service_s
        for route, count in job.calls.items():
            stats.sub_calls[route] = stats.sub_calls.get(route, 0) + count

    def _record_saturation(self, job: Job, service_s: float, now: float) -> None:
        if job.calls:  # Its service time mostly depends on its sub-calls.
            return
        if self._saturation.record(job.route, service_s, job.started_at_capacity, now):
            log.info("upstream.full", instance=self.state.instance, limit=self.limit)

    def _release(self, job: Job) -> None:
        job.end()
        self._sent_jobs.discard(job)
        if self.running.get(job.attempt) is job:
            del self.running[job.attempt]
        self._start_queued()

    def _start_queued(self) -> None:
        while len(self._queue) and len(self._sent_jobs) < self.limit and self.ready:
            now = self._loop.time()
            wait_s = self.rate_limiter.wait_s(0, now)
            if wait_s > 0:
                self._start_queued_in(wait_s)
                return
            self._start(self._queue.pop(), now)

    def _start_queued_in(self, delay_s: float) -> None:
        if self._start_timer is not None:
            self._start_timer.cancel()
        self._start_timer = self._loop.call_later(
            max(MIN_PACING_DELAY_S, delay_s), self._start_queued
        )

    def _on_response(self, job: Job, response: UpstreamResponse) -> None:
        now = self._loop.time()
        service_s = now - job.started_at
        # A 421 comes from another upstream at the address of the one that is known.
        if response.status != 421 and self.announcements.record(response, job.attempt, now):
            self._on_announced(now)
        if response.status != 421:
            self._loads.record(response.load, self.state.instance, now)
            self.crash_watch.detector.record_alive(now)
        if response.status == 421:
            log.warning("upstream.replaced", request=job.attempt, expected=self.state.instance)
            if self._is_expected_to_run():
                self.crash_watch.record_restart(self.state.instance, "replaced")
            self.set_state(replace(self.state, ready=False))
            self._refuse_sent(job, ErrorCode.NOT_READY, MIN_RETRY_AFTER_S)
        elif response.not_run:
            self._shed_limit.record_shed(len(self._sent_jobs))
            log.info(
                "upstream.shed", request=job.attempt, running=len(self._sent_jobs), limit=self.limit
            )
            self._refuse_sent(
                job, ErrorCode.SHED, MIN_RETRY_AFTER_S + self._loads.mean_s(job.route, now)
            )
        else:
            self.quarantine.record_answer(job, now)
            if response.status < 500:
                self._loads.record_run(job.route, service_s, bool(job.calls), now)
                self.announcements.cold_starts.record_run(service_s)
                self._record_run(job, service_s)
                self._record_saturation(job, service_s, now)
            job.done = True
            job.callbacks.job_completed(job, response, service_s)
            self._release(job)

    def apply_notice(self, notice: UpstreamNotice) -> None:
        """Applies what an egress remembers of the announcements of the upstream."""
        now = self._loop.time()
        if self.announcements.remember(notice, now):
            self._on_announced(now)

    def _on_announced(self, now: float) -> None:
        """Rechecks the queue and tells the egresses, before the response is passed on."""
        if self.ready:
            self._recheck_queued(now)
        else:
            self._refuse_queued(ErrorCode.NOT_READY)
        if self._told_kinds != self.announcements.announced_kinds:
            self._told_kinds = self.announcements.announced_kinds
            self.on_change()
        elif self._notice_timer is None:
            self._notice_timer = self._loop.call_later(NOTICE_INTERVAL_S, self._tell_notice)

    def _tell_notice(self) -> None:
        self._notice_timer = None
        self.on_change()

    def _refuse_sent(self, job: Job, code: ErrorCode, retry_after_s: float) -> None:
        job.done = True
        job.callbacks.job_refused(job, code, retry_after_s)
        self._release(job)

    def _on_connection_error(self, job: Job, detail: str, kind: ExchangeFailure) -> None:
        fingerprints = (
            () if kind is ExchangeFailure.NOT_SENT else self.quarantine.fingerprint_sent(job)
        )
        log.warning(
            "upstream.broken",
            request=job.attempt,
            instance=self.state.instance,
            detail=detail,
            fingerprints=[fingerprint.hex() for fingerprint in fingerprints],
        )
        if kind is ExchangeFailure.NOT_SENT:
            self._set_unreachable()
            if self.crash_watch.detector.has_abandoned and self._is_expected_to_run():
                self.crash_watch.check_listening()
            self._refuse_sent(job, ErrorCode.NO_CONNECTION, RECONNECT_DELAY_S)
            return
        if kind is ExchangeFailure.CONNECTION_CLOSED and self._is_expected_to_run():
            now = self._loop.time()
            run = BrokenRun(job.attempt, fingerprints, job.started_at, now, job.is_retry)
            self.crash_watch.record_broken(run)
        job.done = True
        job.callbacks.job_failed(job, ErrorCode.BROKEN)
        self._release(job)

    # Upstream crashes

    def _is_expected_to_run(self) -> bool:
        return self.state.ready and not self.announcements.is_leaving

    def _abandon(self, job: Job) -> None:
        """Aborts a call; the upstream may work on it for a while, and crash."""
        if job.exchange.conn is not None:
            now = self._loop.time()
            fingerprints = self.quarantine.fingerprint_sent(job)
            run = BrokenRun(job.attempt, fingerprints, job.started_at, now, job.is_retry, True)
            self.crash_watch.detector.record_abandoned(run)
        self.pool.cancel(job.exchange)

    def _set_unreachable(self) -> None:
        self._unreachable_until = self._loop.time() + RECONNECT_DELAY_S
        self._refuse_queued(ErrorCode.NO_CONNECTION)
        self.cold_start_timer.assume_restart()
        self.on_change()
        self._loop.call_later(RECONNECT_DELAY_S, self.on_change)

    def _expire_waiting(self, job: Job) -> None:
        if not job.done and job.exchange is None and self._queue.remove(job):
            wait_s = self._expected_wait_s(job)
            self._log_rate_limited(job, wait_s, self._loop.time())
            self._refuse(job, ErrorCode.TOO_LATE, max(MIN_RETRY_AFTER_S, wait_s))

    def _expire(self, job: Job) -> None:
        if job.done:
            return
        now = self._loop.time()
        if now < job.deadline + DEADLINE_GRACE_S - 0.001:
            return
        cut_at = job.deadline + ABANDONED_S
        if now < cut_at and self.quarantine.keeps_running(job, now):
            job.set_timer(self._deadlines, cut_at, lambda: self._expire(job))
            return
        log.info("upstream.overdue", request=job.attempt, instance=self.state.instance)
        self._abandon(job)
        job.callbacks.job_failed(job, ErrorCode.DEADLINE)
        self._release(job)

    def cancel(self, job: Job, only_waiting: bool) -> None:
        """Cancels a call for its caller; with `only_waiting`, only if it is still queued."""
        if job.done:
            return
        if job.exchange is None:
            self._queue.remove(job)
            job.end()
            return
        if only_waiting or self.quarantine.keeps_running(job, self._loop.time()):
            return
        self._abandon(job)
        self._release(job)

    def recall(self, job: Job) -> None:
        """Refuses a call that the upstream has not got yet, because the caller's node stops."""
        if job.done:
            return
        if self._queue.remove(job):
            self._refuse(job, ErrorCode.STOPPING, MIN_RETRY_AFTER_S)
        elif job.exchange is not None and job.exchange.conn is None:
            self.pool.cancel(job.exchange)
            self._refuse_sent(job, ErrorCode.STOPPING, MIN_RETRY_AFTER_S)

    def fail_running(self) -> None:
        """Fails the calls that the upstream is still running when the node stops."""
        for job in list(self._sent_jobs):
            self.recall(job)
            if job.done:
                continue
            log.info("upstream.cut_off", request=job.attempt, instance=self.state.instance)
            self.pool.cancel(job.exchange)
            job.done = True
            job.callbacks.job_failed(job, ErrorCode.STOPPING)
            self._release(job)

    def _refuse(self, job: Job, code: ErrorCode, retry_after_s: float) -> None:
        job.end()
        job.callbacks.job_refused(job, code, retry_after_s)

    def _on_unexpected_response(self, expected: bytes, received: bytes | None) -> None:
        log.warning("upstream.stray_answer", request=expected, found=received)
