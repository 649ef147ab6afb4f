"""Egress: admits requests from local callers and sends them to ingress nodes."""

import asyncio
import random
from collections.abc import Callable
from itertools import count

import structlog

from marjoramvalve.h1 import HeaderNames, IncomingRequest
from marjoramvalve.idempotency import OrderOutcome, OrderVerdict
from marjoramvalve.links import MemoryBudget
from marjoramvalve.mesh.balancing import RouteStats, choose_endpoint
from marjoramvalve.mesh.budgets import RetryBudget
from marjoramvalve.mesh.calls import Call
from marjoramvalve.mesh.dependencies import CallOutcomes
from marjoramvalve.mesh.frames import MAX_U16, ErrorCode, Hello
from marjoramvalve.mesh.ingress import Ingress
from marjoramvalve.mesh.jobs import Job
from marjoramvalve.mesh.limiters import CustomerRateLimiter, OrderKeeper, RootCallAdmission
from marjoramvalve.mesh.local_responses import NOT_RUN_STATUSES, LocalResponder
from marjoramvalve.mesh.orders import EgressOrders, refusal_of
from marjoramvalve.mesh.peers import LocalPeer, Peer, RemotePeer
from marjoramvalve.mesh.peersets import PeerSet
from marjoramvalve.mesh.quarantines import Quarantine
from marjoramvalve.mesh.queues import ROOT_CALL_BIT, combine_ranks
from marjoramvalve.mesh.routes import RouteTable
from marjoramvalve.mesh.spillover import Spillovers
from marjoramvalve.mesh.stop_logs import log_late_send
from marjoramvalve.mesh.stops import (
    MEAN_MARGIN,
    RECALL_S,
    STOPPING_RETRY_AFTER_S,
    SlowestRuns,
    StopSchedule,
)
from marjoramvalve.mesh.timers import DeadlineScheduler
from marjoramvalve.outcomes import Reason, RunStatus
from marjoramvalve.retries import Standing
from marjoramvalve.telemetry import MetricsRegistry

MAX_INGRESS_TRIES = 4  # Ingress nodes a call is sent to before it is refused.
NO_UPSTREAM_RETRY_AFTER_S = 0.3  # About the time to find another upstream.
NO_CONFIG_RETRY_AFTER_S = 0.5  # About one round trip to the controllers.
SERVER_ERROR = 500
SYSTEMIC_FAILURE_RATE = 0.2  # Of a route's calls; above it, another upstream would not help.

log = structlog.get_logger("egress")


class Egress:
    """Handles the requests from the callers of one instance."""

    def __init__(
        self,
        names: HeaderNames,
        service: str,
        hello: Hello,
        ingress: Ingress,
        limiter: CustomerRateLimiter,
        root_call_admission: RootCallAdmission,
        deadlines: DeadlineScheduler,
        rng: random.Random,
        quarantine: Quarantine,
        keeper: OrderKeeper,
    ) -> None:
        self._quarantine = quarantine
        self._loop = asyncio.get_running_loop()
        self._ingress = ingress
        self._limiter = limiter
        self._root_call_admission = root_call_admission
        self._deadlines = deadlines
        self._call_ids = count(1)
        self._rng = rng
        self._route_stats = RouteStats()
        self.spillovers = Spillovers()
        self._retry_budget = RetryBudget()
        self._request_id_header = names.attempt.encode()
        self._caller_header_line = f"{names.caller}: {service}\r\n".encode()
        self._customer_header = names.customer.encode()
        local_peer = LocalPeer(hello.name, service, ingress, self)
        self.peers = PeerSet(hello, local_peer, self, self._reroute_calls, rng)
        self._orders = EgressOrders(keeper, hello.session, service, self._request_id_header)
        self.table: RouteTable | None = None
        self.is_config_confirmed: Callable[[], bool] = lambda: False
        self._active: set[Call] = set()
        self.stop_schedule: StopSchedule | None = None
        self._slowest_runs = SlowestRuns()
        self.metrics = MetricsRegistry()
        self.call_outcomes = CallOutcomes(self.metrics)
        self.memory = MemoryBudget()
        self._responder = LocalResponder(self.metrics, rng)

    @property
    def active_calls(self) -> int:
        """Returns how many calls are in progress."""
        return len(self._active)

    # Peers

    def set_peers(self, roster: dict[str, tuple[str, str, bool, str]]) -> None:
        """Keeps links to these ingress nodes.

        `roster` maps the address of a node to the fields of its PeerEntry.
        """
        self.peers.set_roster(roster)

    def on_link_lost(self, peer: RemotePeer) -> None:
        """Removes the node if it is no longer in the roster."""
        self.peers.on_link_lost(peer)

    def _reroute_calls(self, peer: RemotePeer) -> None:
        """Resends repeatable calls to other nodes while a link is unresponsive."""
        for call in list(peer.calls.values()):
            if call.repeatable and call.runs + 1 < call.target.attempts:
                if (
                    not self._may_resend(call)
                    or not self._may_send(call, self._loop.time())
                    or not self.peers.has_alternative(call, peer)
                    or not self._retry_budget.try_take(call.service)
                ):
                    continue
                log.info("call.moved", request=call.attempt, silent_peer=peer.name)
                peer.cancel(call, False)
                call.tried_peers.add(peer)
                call.runs += 1
                call.may_have_run = True
                call.is_retry = True
                self._dispatch(call)

    def close(self) -> None:
        """Closes all links."""
        self.peers.close()

    # Planned stop

    def _may_send(self, call: Call, now: float) -> bool:
        """Returns whether the response to a call that is sent now will come before the node stops.

        This is asked whenever a call is sent, whatever delayed it until then.
        """
        if self.stop_schedule is None:
            return True
        name = call.target.name
        slowest_s = self._slowest_runs.slowest_s(name, now)
        if slowest_s is None:
            return self.stop_schedule.allows(call, call.objective_at - now, 0.0, now)
        needs_s = MEAN_MARGIN * self._route_stats.mean_s(name)
        return self.stop_schedule.allows(call, needs_s, slowest_s, now)

    def _stopping_retry_after_s(self, now: float) -> float:
        """Returns the time in seconds after which callers know of the stop."""
        return max(STOPPING_RETRY_AFTER_S, self.stop_schedule.serves_until - now)

    def recall_late(self) -> None:
        """Calls back the calls that can't end before the stop unless they run already."""
        now = self._loop.time()
        for call in list(self._active):
            if call.is_recalled or call.peer is None or call.call_id not in call.peer.calls:
                continue
            slowest_s = self._slowest_runs.slowest_s(call.target.name, now) or 0.0
            if now + max(RECALL_S, slowest_s) > self.stop_schedule.ends_until:
                call.is_recalled = True
                call.peer.recall(call)

    def answer_all(self) -> None:
        """Answers every call in progress: it is refused if it was not sent, and fails otherwise."""
        now = self._loop.time()
        for call in list(self._active):
            if now >= call.deadline and call.service:
                self._expire(call)  # Its timer may be a little late.
            elif not call.service:
                self._withdraw_waiting(call)
                self._refuse_stopping(call)
            elif call.peer is None or call.call_id not in call.peer.calls:
                self._refuse(call, Reason.STOPPING, STOPPING_RETRY_AFTER_S, "node stops")
            else:
                call.peer.cancel(call, not call.repeatable)
                self._fail(call, Reason.STOPPING, 502, "node stops")

    def _refuse_stopping(self, call: Call) -> None:
        self._refuse_request(
            call.request,
            Reason.STOPPING,
            503,
            self._stopping_retry_after_s(self._loop.time()),
            route=call.target.name,
            customer=call.customer,
        )

    # Admission

    def handle(self, request: IncomingRequest) -> None:
        """Authenticates a request, then sends, delays or refuses it."""
        table = self.table
        if table is None:
            self._refuse_request(request, Reason.STALE_CONFIG, 503, NO_CONFIG_RETRY_AFTER_S)
            return
        target = table.match(request.host, request.target)
        if target is None:
            if self.is_config_confirmed():
                self._refuse_request(request, Reason.NO_ROUTE, 404, 0.0)
            else:
                self._refuse_request(request, Reason.STALE_CONFIG, 503, NO_CONFIG_RETRY_AFTER_S)
            return
        if not 0 < len(request.attempt) <= MAX_U16:
            self._refuse_request(request, Reason.BAD_REQUEST, 400, 0.0)
            return
        call = Call(next(self._call_ids), request, target)
        if not self._authenticate(call, table):
            return
        problem = self._orders.identify(call)
        if problem is not None:
            self._refuse_request(request, Reason.BAD_REQUEST, 400, 0.0, key=problem.text)
            return
        self._admit(call)

    def _authenticate(self, call: Call, table: RouteTable) -> bool:
        """Determines the customer or the parent of a call. Returns False if it was refused."""
        request, target = call.request, call.target
        call.rank = combine_ranks(target.rank, target.rank)
        if request.key is None:
            parent = self.find_parent(request)
            if parent is not None:
                request.conn.serves_upstream = True
                call.is_sub_call = True
                call.rank = parent.rank & ~ROOT_CALL_BIT
                call.root_received_at = parent.root_received_at
                parent.calls[target.name] = parent.calls.get(target.name, 0) + 1
                call.is_retry = parent.is_retry
            elif not target.open and request.conn.is_local and b"." in request.attempt:
                # A sub-call whose parent has finished, or belonged to an earlier process.
                self._refuse_request(request, Reason.CANCELLED, 503, NO_CONFIG_RETRY_AFTER_S)
                return False
            elif not target.open:
                self._refuse_request(request, Reason.NO_KEY, 401, 0.0)
                return False
            return True
        customer = table.customer_of(request.key)
        if not self.is_config_confirmed():
            self._refuse_request(request, Reason.STALE_CONFIG, 503, NO_CONFIG_RETRY_AFTER_S)
            return False
        if customer is None:
            if target.open:
                return True
            self._refuse_request(request, Reason.UNKNOWN_KEY, 401, 0.0)
            return False
        call.customer = customer
        rank = table.customer(customer).rank
        if rank is not None:
            call.rank = combine_ranks(rank, target.rank)
        return True

    def find_parent(self, request: IncomingRequest) -> Job | None:
        """Returns the running job that a sub-call belongs to, according to its request ID.

        Only connections from the local upstream are trusted: from anywhere else, such an ID would
        bypass the API key and the customer's rate limit.
        """
        if not request.conn.is_local:
            return None
        return self._ingress.running.get(request.attempt.rpartition(b".")[0])

    def _admit(self, call: Call) -> None:
        """Checks the quarantine, then the admission of root calls, then the customer's rate limit.

        In this order, a quarantined request uses up neither the root call limit nor the rate limit,
        and a request refused by the root call limit does not count against the rate limit.
        """
        request = call.request
        if not self._may_send(call, self._loop.time()):
            self._refuse_stopping(call)
            return
        standing, remaining_s = self._quarantine.standing(call, self._loop.time())
        if standing is Standing.QUARANTINED:
            self._refuse_request(
                request,
                Reason.QUARANTINED,
                503,
                remaining_s,
                route=call.target.name,
                customer=call.customer,
            )
            return
        call.is_watched = standing is Standing.WATCHED
        if not call.is_sub_call:
            name = call.target.name
            window_s = call.target.objective_s - self._route_stats.mean_s(name)
            retry_after_s = self._root_call_admission.admit(name, window_s)
            if retry_after_s > 0:
                inputs = self._root_call_admission.explain_refusal(name)
                if "unreachable" in inputs:
                    self.metrics.add("root_calls_refused_unreachable", inputs["unreachable"])
                self._refuse_request(
                    request,
                    Reason.OVERLOAD,
                    503,
                    retry_after_s,
                    route=call.target.name,
                    **inputs,
                )
                return
        if call.customer:
            retry_after_s = self._limiter.admit(call.customer)
            if retry_after_s is None:
                request.on_disconnect = lambda: self._on_caller_gone(call)
                self._active.add(call)
                self._limiter.wait(call.customer, lambda after: self._on_rate_decision(call, after))
                return
            if retry_after_s > 0:
                self._refuse_for_rate(call, retry_after_s)
                return
        self._start(call)

    def _is_key_valid(self, call: Call) -> bool:
        """Returns whether the API key of a call that waited or was sent before is still valid."""
        if not call.customer:
            return True
        return (
            self.is_config_confirmed() and self.table.customer_of(call.request.key) == call.customer
        )

    def _may_resend(self, call: Call) -> bool:
        """Returns whether a call that an upstream may have run may be sent to another one."""
        standing, _ = self._quarantine.standing(call, self._loop.time())
        return standing is Standing.FREE and self._is_key_valid(call)

    def _withdraw_waiting(self, call: Call) -> None:
        """Ends a call that has not got past the rate limiter."""
        call.end()
        self._active.discard(call)
        self._root_call_admission.give_back(call.target.name)

    def _refuse_for_rate(self, call: Call, retry_after_s: float) -> None:
        self._withdraw_waiting(call)
        if self._limiter.is_at_limit(call.customer):
            reason, status = Reason.RATE, 429
        else:
            reason, status = Reason.STALE_CONFIG, 503  # No limiter was reachable.
        self._refuse_request(call.request, reason, status, retry_after_s, customer=call.customer)

    def _on_rate_decision(self, call: Call, retry_after_s: float) -> None:
        if call.done:
            if retry_after_s == 0:
                self._limiter.give_back(call.customer)
        elif retry_after_s > 0:
            self._refuse_for_rate(call, retry_after_s)
        elif not self._is_key_valid(call):
            self._withdraw_waiting(call)
            self._limiter.give_back(call.customer)
            self._refuse_request(call.request, Reason.STALE_CONFIG, 503, NO_CONFIG_RETRY_AFTER_S)
        else:
            self._start(call)

    def _start(self, call: Call) -> None:
        call.service = call.target.next_service()
        request = call.request
        customer = b""
        if call.customer:
            customer = b"%b: %b\r\n" % (self._customer_header, call.customer.encode())
        call.head = b"%b %b HTTP/1.1\r\n%b%b: %b\r\n%b%b" % (
            request.method,
            request.target,
            request.head,
            self._request_id_header,
            call.attempt,
            self._caller_header_line,
            customer,
        )
        request.on_disconnect = lambda: self._on_caller_gone(call)
        self._active.add(call)
        call.timer = self._deadlines.add(call.deadline, lambda: self._expire(call))
        if call.is_retry:
            self._retry_budget.charge(call.service)
        else:
            self._retry_budget.record_first_send(call.service)
        if call.order is None:
            self._dispatch(call)
        else:
            self._orders.begin(call, self._on_order)

    def _on_order(self, call: Call, outcome: OrderOutcome) -> None:
        """Sends an order that was recorded as started; otherwise replies with its known outcome."""
        if outcome.verdict is OrderVerdict.STARTED:
            if self._is_key_valid(call):
                self._dispatch(call)
            else:
                self._refuse(
                    call, Reason.STALE_CONFIG, NO_CONFIG_RETRY_AFTER_S, "API key is no longer valid"
                )
            return
        if call.customer:
            self._limiter.give_back(call.customer)
        self._finish(call)
        stored = self._orders.read_answer(call, outcome)
        if stored is not None:
            call.request.respond(stored.status, stored.head, stored.body)
            return
        reason, status, run, retry_after_s = refusal_of(outcome)
        self._responder.respond(call.request, reason, status, retry_after_s, run)

    # Sending

    def _dispatch(self, call: Call) -> None:
        now = self._loop.time()
        if not self._may_send(call, now):
            retry_after_s = self._stopping_retry_after_s(now)
            self._refuse(call, Reason.STOPPING, retry_after_s, "node stops")
            return
        candidates = [(peer, peer.stats) for peer in self.peers.candidates(call)]
        mean_s = self._route_stats.mean_s(call.target.name)
        away_share = self.spillovers.share(call.service, call.tries, candidates, mean_s, now)
        peer = choose_endpoint(candidates, mean_s, now, self._rng.random, away_share)
        if peer is None:
            if call.may_have_run:
                self._fail(call, Reason.UPSTREAM_FAILED, 502, "no other upstream is available")
            else:
                self._refuse(
                    call, Reason.NO_UPSTREAM, NO_UPSTREAM_RETRY_AFTER_S, "no upstream is available"
                )
            return
        call.peer = peer
        call.tries += 1
        call.sent_at = now
        if self.stop_schedule is not None:
            call.is_recalled = False
            call.send_deadline = min(call.deadline, self.stop_schedule.ends_until)
            log_late_send(call, self.stop_schedule, now)
        peer.send(call)
        if peer is not self.peers.local:
            self.peers.schedule_check()
        if not peer.stats.is_local:
            self.metrics.add("calls_sent_to_other_domains", call.service)

    def call_completed(
        self, peer: Peer, call: Call, status: int, head: bytes, body: bytes, service_s: float
    ) -> None:
        """Returns the response of the upstream to the caller, or retries the call."""
        if call.done:
            return
        failed = status >= SERVER_ERROR
        now = self._loop.time()
        if failed:
            peer.stats.record_answer(1.0, True, now)
        else:
            self._slowest_runs.record(call.target.name, service_s, now)
            peer.stats.record_answer(
                self._route_stats.record_service_time(call.target.name, service_s), False, now
            )
        call.runs += 1
        size = len(call.head) + len(call.body) + len(head) + len(body)
        self.spillovers.record_call(call.service, peer.stats, now - call.sent_at - service_s, size)
        self._route_stats.record_outcome(call.target.name, failed)
        if failed and self._may_retry(call, peer):
            self.metrics.add("repeats", call.service)
            log.info("call.repeated", request=call.attempt, peer=peer.name, status=status)
            call.may_have_run = True
            call.is_retry = True
            call.tried_peers.add(peer)
            self._dispatch(call)
            return
        if status in NOT_RUN_STATUSES and not call.repeatable:
            detail = f"upstream returned {status} and may have run the request"
            self._fail(call, Reason.UPSTREAM_FAILED, 502, detail)
            return
        self._finish(call)
        self.call_outcomes.record_answer(call, failed)
        self._orders.finish(call, status, head, body)
        if failed:
            self.metrics.add("upstream_errors", call.service)
            log.info("call.upstream_error", request=call.attempt, peer=peer.name, status=status)
        self.metrics.observe("answered", call.target.name, now - call.request.received_at)
        call.request.respond(status, head, body)

    def _may_retry(self, call: Call, peer: Peer) -> bool:
        return (
            call.repeatable
            and call.runs < call.target.attempts
            and self._route_stats.failure_rate(call.target.name) < SYSTEMIC_FAILURE_RATE
            and self._loop.time() < call.objective_at
            and self._may_send(call, self._loop.time())
            and self._may_resend(call)
            and self.peers.has_alternative(call, peer)
            and self._retry_budget.try_take(call.service)
        )

    def call_refused(self, peer: Peer, call: Call, code: ErrorCode, retry_after_s: float) -> None:
        """Sends the call to another ingress, or refuses it."""
        if call.done:
            return
        call.tried_peers.add(peer)
        reached_upstream = code is ErrorCode.SHED
        if code is ErrorCode.QUARANTINED:
            self._refuse(call, Reason.QUARANTINED, retry_after_s, "request is quarantined")
        elif code is ErrorCode.TOO_LATE or call.tries >= MAX_INGRESS_TRIES:
            self._refuse(call, Reason.OVERLOAD, retry_after_s, code.name)
        elif reached_upstream and not self._retry_budget.try_take(call.service):
            self._refuse(call, Reason.OVERLOAD, retry_after_s, "repeat budget is spent")
        elif not self.peers.has_alternative(call, peer):
            reason = (
                Reason.OVERLOAD if code in (ErrorCode.BUSY, ErrorCode.SHED) else Reason.NO_UPSTREAM
            )
            self._refuse(call, reason, retry_after_s, code.name)
        elif not self._is_key_valid(call):
            self._refuse(
                call, Reason.STALE_CONFIG, NO_CONFIG_RETRY_AFTER_S, "API key is no longer valid"
            )
        else:
            self._dispatch(call)

    def call_failed(self, peer: Peer, call: Call, code: ErrorCode) -> None:
        """Retries the call if that is allowed; otherwise fails it."""
        if call.done:
            return
        now = self._loop.time()
        call.runs += 1
        call.may_have_run = True
        call.tried_peers.add(peer)
        if code is ErrorCode.DEADLINE:
            self._fail(call, Reason.DEADLINE, 504, "upstream did not respond before the deadline")
            return
        peer.stats.record_answer(1.0, True, now)
        if self._may_retry(call, peer):
            self.metrics.add("repeats", call.service)
            log.info("call.repeated", request=call.attempt, peer=peer.name, why=code.name)
            call.is_retry = True
            self._dispatch(call)
        else:
            self._fail(call, Reason.UPSTREAM_FAILED, 502, code.name)

    # Completion

    def _finish(self, call: Call) -> None:
        call.end()
        self._active.discard(call)

    def _expire(self, call: Call) -> None:
        if call.done:
            return
        if call.peer is None:
            self._refuse(
                call, Reason.NO_KEEPER, NO_UPSTREAM_RETRY_AFTER_S, "order could not be recorded"
            )
            return
        call.peer.cancel(call, not call.repeatable)
        self._fail(call, Reason.DEADLINE, 504, "deadline exceeded")

    def _on_caller_gone(self, call: Call) -> None:
        """Cancels a call whose caller disconnected.

        A call that is not repeatable and has been started runs to completion.
        """
        if call.done:
            return
        if call.order is not None and call.peer is not None:
            return  # Its response is stored in case the caller resends the order.
        call.end()
        call.request.discard()
        self._active.discard(call)
        if not call.service:
            return  # It was still waiting for the rate limiter.
        if call.peer is not None:
            call.peer.cancel(call, not call.repeatable)
        self.metrics.add("callers_gone", call.target.name)

    def _fail(self, call: Call, reason: Reason, status: int, detail: str) -> None:
        self._finish(call)
        self.call_outcomes.record_end(call, reason, True)
        self._responder.log_call("call.failed", call, reason, detail, self.table.version)
        self._responder.respond(call.request, reason, status, 0.0, RunStatus.UNKNOWN)

    def _refuse(self, call: Call, reason: Reason, retry_after_s: float, detail: str) -> None:
        if call.may_have_run:
            self._fail(call, Reason.UPSTREAM_FAILED, 502, detail)
            return
        self._finish(call)
        self.call_outcomes.record_end(call, reason, False)
        self._orders.withdraw(call)
        if call.customer:
            self._limiter.give_back(call.customer)
        self._responder.log_call("call.refused", call, reason, detail, self.table.version)
        self._responder.respond(call.request, reason, 503, retry_after_s, RunStatus.NOT_RUN)

    def _refuse_request(
        self,
        request: IncomingRequest,
        reason: Reason,
        status: int,
        retry_after_s: float,
        **inputs: object,
    ) -> None:
        version = self.table.version if self.table is not None else 0
        confirmed = self.is_config_confirmed()
        self._responder.refuse(
            request, reason, status, retry_after_s, version=version, confirmed=confirmed, **inputs
        )
