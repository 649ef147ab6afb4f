"""A controller serves the replicated state, the node roster and customer rate limits to nodes."""

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

import msgspec
import structlog

from marjoramvalve.consensus import ProposalVerdict
from marjoramvalve.fleet.evacuations import Evacuations, SetEvacuation
from marjoramvalve.fleet.groups import RaftGroup
from marjoramvalve.fleet.identities import BootstrapOptions, load_identity
from marjoramvalve.fleet.links import report_period_s
from marjoramvalve.fleet.messages import (
    Config,
    ControllerHello,
    Envelope,
    FrameKind,
    Heartbeat,
    OrderBegin,
    OrderEnd,
    Report,
    Roster,
    Status,
    Suspects,
    TokenGrant,
    TokenRequest,
    UpstreamEnded,
    decode,
    encode,
    encode_roster,
)
from marjoramvalve.fleet.orders import OrderRecorder
from marjoramvalve.fleet.plans import AdmissionPlanner
from marjoramvalve.fleet.reconnecting_links import ReconnectingLink
from marjoramvalve.fleet.repairs import next_membership_change
from marjoramvalve.fleet.rosters import NODE_TIMEOUT_S, RosterTable
from marjoramvalve.fleet.states import Publish, PublishResult, PublishStatus, encode_evacuation
from marjoramvalve.fleet.suspects import SuspectAggregator
from marjoramvalve.fleet.tokens import TokenIssuer
from marjoramvalve.links import FrameStream, Listener
from marjoramvalve.retries import ListedSuspect
from marjoramvalve.telemetry import MetricsRegistry
from marjoramvalve.wire.messages import Message

TICK_INTERVAL_S = 0.1
HELLO_INTERVAL_S = 0.5  # Interval at which controllers announce themselves to each other.
PEER_TIMEOUT_S = 1.6  # Without a hello for this long, a controller is no longer considered live.
PLAN_LOG_INTERVAL_S = 1.0  # Minimum interval between log lines about the load plan.
LEADER_STALE_AFTER_S = 0.45  # Three heartbeats; a leader that missed them may have failed.
FIND_LEADER_TIMEOUT_S = 0.7  # Operators' clients try another controller after one second.
PUBLISH_TIMEOUT_S = 3.0  # Longest wait for the outcome of a publication or an evacuation.

log = structlog.get_logger("controller")


@dataclass(frozen=True, slots=True)
class ControllerOptions:
    """Configuration of a controller.

    Other processes connect their links to `address`; the controller listens for links on
    `listen_address`. `control_address` is where operators reach its HTTP API.
    """

    domain: str
    address: str
    listen_address: str
    control_address: str
    data_folder: Path
    seeds: tuple[str, ...]
    is_first_start: bool


@dataclass(slots=True)
class _Peer:
    hello: ControllerHello
    last_received_at: float


class Controller:
    """One controller of the group: a member of the Raft group that also serves the nodes."""

    def __init__(
        self, options: ControllerOptions, clock: Callable[[], float], rng: random.Random
    ) -> None:
        self.options = options
        self._clock = clock
        founding = BootstrapOptions(options.address, options.seeds, options.is_first_start)
        identity = load_identity(options.data_folder, founding, rng)
        self.group = RaftGroup(
            options.data_folder, identity, self._send_consensus, self._on_change, clock, rng
        )
        self._listener = Listener(self)
        self._links: dict[str, ReconnectingLink] = {}
        self._peers: dict[str, _Peer] = {}
        self._nodes: dict[FrameStream, Report] = {}
        self._sent_controllers: dict[FrameStream, dict[str, str]] = {}
        self._roster = RosterTable()
        self._changed_addresses: set[str] = set()
        self._removed_addresses: set[str] = set()
        self._token_buckets = TokenIssuer()
        self._orders = OrderRecorder(self.group, clock)
        self._plan = AdmissionPlanner()
        self._suspects = SuspectAggregator()
        self._pushed_version = 0
        self._pushed_evacuations = self.group.state.evacuations
        self._last_handled = (False, -1)
        self._task: asyncio.Task | None = None
        self._was_leader = False
        self._roster_complete = False
        self._plan_logged_at = 0.0
        self._was_limiting = False
        self._seeds = options.seeds
        self.metrics = MetricsRegistry()

    async def start(self) -> None:
        """Starts listening and joins the group. Raises OSError."""
        await self._listener.start(self.options.listen_address)
        await self.group.start()
        self.set_seeds(self.options.seeds)
        self._task = asyncio.create_task(self._run())
        log.info(
            "controller.start", name=self.group.identity.name, version=self.group.state.version
        )

    async def finish_orders(self, timeout_s: float) -> None:
        """Takes no more orders, and replies to those in progress; returns after `timeout_s`."""
        await self._orders.finish(timeout_s)
        await asyncio.sleep(0)  # Sends the replies.

    async def close(self) -> None:
        """Stops the controller and closes its links."""
        if self._task is not None:
            self._task.cancel()
        for link in self._links.values():
            link.close()
        await self._listener.close()
        await self.group.close()

    def set_seeds(self, seeds: tuple[str, ...]) -> None:
        """Sets the addresses where other controllers may be found, and connects to them."""
        self._seeds = seeds
        for address in seeds:
            self._connect(address)

    # Links to other controllers

    def _connect(self, address: str) -> None:
        if address == self.options.address or address in self._links:
            return
        link = self._links[address] = ReconnectingLink(
            address, self._on_link_open, self._on_link_frame
        )
        link.start()

    def _hello(self) -> bytes:
        name = self.group.identity.name
        options = self.options
        return encode(
            ControllerHello(name, options.address, options.control_address, options.domain)
        )

    def _on_link_open(self, link: ReconnectingLink) -> None:
        link.send(FrameKind.CONTROLLER_HELLO, self._hello())

    def _on_link_frame(self, link: ReconnectingLink, kind: int, payload: bytes) -> None:
        """Ignores the frame: a controller answers over the link that it opened itself."""

    def _send_consensus(self, to: str, address: str, body: Message) -> None:
        address = address or to.partition("/")[0]
        link = self._links.get(address)
        if link is None:
            self._connect(address)
            return
        envelope = Envelope(self.group.identity.name, self.options.address, to, body)
        link.send(FrameKind.CONSENSUS, encode(envelope))

    # Incoming streams of nodes and of other controllers

    def stream_opened(self, stream: FrameStream) -> None:
        """Does nothing: the first frame tells who the other end is."""

    def stream_closed(self, stream: FrameStream) -> None:
        """Drops the state of the stream; a node's roster entry stays until it expires."""
        self._sent_controllers.pop(stream, None)
        report = self._nodes.pop(stream, None)
        if report is not None:
            log.info("node.link_lost", node=report.name)

    def stream_frame(self, stream: FrameStream, kind: int, payload: bytes) -> None:
        """Handles a frame of a node or of another controller."""
        if kind == FrameKind.PING:
            stream.send(FrameKind.PONG, b"")
            return
        match decode(kind, payload):
            case Envelope(src=src, to=to, body=body) if to == self.group.identity.name:
                self.group.step(src, body)
            case ControllerHello() as hello:
                self._peers[hello.address] = _Peer(hello, self._clock())
                self._connect(hello.address)
            case Report() as report:
                self._on_report(stream, report)
            case Heartbeat(version=version, stamp=stamp, load=load) if stream in self._nodes:
                changes = {"version": version, "stamp": stamp, "load": load}
                self._on_report(stream, msgspec.structs.replace(self._nodes[stream], **changes))
            case TokenRequest() as ask:
                self._on_token_request(stream, ask)
            case OrderBegin(order=order):
                self._orders.begin(stream, order)
            case OrderEnd(order=order, answer=answer):
                self._orders.end(stream, order, answer)
            case UpstreamEnded() as ended if stream in self._nodes:
                update = self._suspects.record_end(self._nodes[stream], ended, self._clock())
                self._broadcast_suspects(update)
            case Suspects() as suspects:
                self._broadcast_suspects(self._suspects.merge(suspects, self._clock()))

    def _on_report(self, stream: FrameStream, report: Report) -> None:
        now = self._clock()
        previous = self._nodes.get(stream)
        self._nodes[stream] = report
        if report.leaving:
            if self._roster.remove(report):
                self._removed_addresses.add(report.address)
        elif self._roster.record_report(report, now):
            self._changed_addresses.add(report.address)
            self._removed_addresses.discard(report.address)
        is_leader = self.group.is_leader()
        if report.load is not None:
            self._plan.record_report(report.address, report.service, report.load, now)
        state = self.group.state
        caps = self._plan.node_rate_limits(report.address, now) if is_leader else None
        controllers = self._controller_domains()
        if self._sent_controllers.get(stream) == controllers:
            controllers = None
        else:
            self._sent_controllers[stream] = controllers
        status = Status(
            report.stamp,
            is_leader,
            state.version,
            controllers,
            caps,
            self._leader_address(),
            report_period_s(len(self._nodes)) if is_leader else 0.0,
            self._plan.admitted_shares() if caps else None,
            state.evacuations,
            unreachable=self._plan.unreachable_shares() if caps is not None else None,
        )
        if previous is None and state.evacuations.revision:
            stream.send(FrameKind.EVACUATION, encode(state.evacuations))
        if report.version < state.version:
            stream.send(FrameKind.CONFIG, self._config_payload())
        stream.send(FrameKind.STATUS, encode(status))
        if report.wants_roster and not (previous and previous.wants_roster):
            stream.send(*encode_roster(Roster(self._roster_complete, self._roster.entries())))
        if previous is None:
            suspects = self._suspects.snapshot(now)
            if suspects is not None:
                stream.send(FrameKind.SUSPECTS, encode(suspects))

    def _broadcast_suspects(self, update: Suspects | None) -> None:
        """Sends an update to the nodes only.

        Other controllers get it from the nodes; forwarding it between controllers would loop.
        """
        if update is not None:
            self._send_to_nodes(FrameKind.SUSPECTS, encode(update))

    def _send_to_nodes(self, kind: FrameKind, payload: bytes) -> None:
        for stream in self._nodes:
            stream.send(kind, payload)

    def _controller_domains(self) -> dict[str, str]:
        """Returns the failure domain of each member of the group by address."""
        members = self.group.replica.members
        domains = {self.options.address: self.options.domain}
        domains |= {address: peer.hello.domain for address, peer in self._peers.items()}
        addresses = (*members.voters.values(), *members.learners.values())
        return {address: domains.get(address, "") for address in addresses}

    def _leader_address(self) -> str:
        """Returns the address of the leader, or an empty string if it is unknown."""
        replica = self.group.replica
        members = replica.members
        return members.voters.get(replica.leader) or members.learners.get(replica.leader, "")

    def _on_token_request(self, stream: FrameStream, ask: TokenRequest) -> None:
        if not self.group.is_leader():
            return
        now = self._clock()
        self._token_buckets.return_tokens(ask.returned, now)
        if ask.requested:
            granted, wait_s = self._token_buckets.grant(ask.requested, now)
            fallback_s = self._token_buckets.fallback_s(ask.requested)
            grant = TokenGrant(ask.nonce, granted, wait_s, fallback_s)
            stream.send(FrameKind.TOKEN_GRANT, encode(grant))

    # Replicated state

    def _config_payload(self) -> bytes:
        state = self.group.state
        return encode(Config(state.version, state.document))

    def _on_change(self) -> None:
        """Applies a change of this controller's role, the evacuations or the configuration."""
        self._push_evacuations()
        is_leader = self.group.is_leader()
        state = self.group.state
        previous, self._last_handled = self._last_handled, (is_leader, state.version)
        if self._last_handled == previous:
            return
        if is_leader or self._was_leader:
            document = state.current_document()
            self._token_buckets.set_document(document, is_leader, self._clock())
            self._plan.set_document(document)
            self._orders.set_retention(document.policy.retention_s)
        if state.version > self._pushed_version:
            self._pushed_version = state.version
            log.info("config.committed", version=state.version, leads=is_leader)
            self._push_config()

    def _push_evacuations(self) -> None:
        """Sends the evacuations to all linked nodes if they have changed, and logs the change."""
        evacuations = self.group.state.evacuations
        previous = self._pushed_evacuations
        if evacuations.revision <= previous.revision:
            return
        self._pushed_evacuations = evacuations
        for domain in sorted(set(evacuations.domains) ^ set(previous.domains)):
            event = "evacuation.started" if domain in evacuations.domains else "evacuation.ended"
            log.info(event, domain=domain, revision=evacuations.revision)
        self._send_to_nodes(FrameKind.EVACUATION, encode(evacuations))

    def _push_config(self) -> None:
        """Pushes the configuration to the linked nodes in this controller's failure domain.

        Controllers in other domains push it to theirs. A node without a controller in its domain
        gets it with the answer to its next report.
        """
        payload = self._config_payload()
        for stream, report in self._nodes.items():
            if report.domain == self.options.domain:
                stream.send(FrameKind.CONFIG, payload)

    def _announce_complete_roster(self, now: float, started_at: float) -> None:
        """Sends the nodes the whole roster once every node has had time to report."""
        if self._roster_complete or now < started_at + NODE_TIMEOUT_S:
            return
        self._roster_complete = True
        self._send_roster(Roster(True, self._roster.entries()))

    async def _run(self) -> None:
        last_hello_at = 0.0
        started_at = self._clock()
        while True:
            await asyncio.sleep(TICK_INTERVAL_S)
            now = self._clock()
            if now > last_hello_at + HELLO_INTERVAL_S:
                last_hello_at = now
                for link in self._links.values():
                    link.send(FrameKind.CONTROLLER_HELLO, self._hello())
            is_leader = self.group.is_leader()
            if is_leader != self._was_leader:
                self._was_leader = is_leader
                self._plan.reset(now)
                log.info("controller.leads", leads=is_leader, version=self.group.state.version)
                self._on_change()
            self._removed_addresses.update(self._roster.expire(now))
            self._send_roster_changes()
            self._announce_complete_roster(now, started_at)
            if is_leader:
                self._repair_group(now)
                self._log_plan(now)
            self._close_unused_links()

    def _log_plan(self, now: float) -> None:
        limits = self._plan.limited_routes()
        if now < self._plan_logged_at + PLAN_LOG_INTERVAL_S or not (limits or self._was_limiting):
            return
        self._plan_logged_at = now
        self._was_limiting = bool(limits)
        log.info(
            "plan.limits",
            let_in=limits,
            planned=self._plan.planned_slots,
            asked=self._plan.requested_slots,
        )

    def _send_roster_changes(self) -> None:
        if not self._changed_addresses and not self._removed_addresses:
            return
        entries = [self._roster.get(address) for address in self._changed_addresses]
        updated = tuple(item for item in entries if item is not None)
        roster = Roster(False, updated, tuple(self._removed_addresses))
        self._changed_addresses.clear()
        self._removed_addresses.clear()
        self._send_roster(roster)

    def _send_roster(self, roster: Roster) -> None:
        kind, payload = encode_roster(roster)
        for stream, report in self._nodes.items():
            if report.wants_roster:
                stream.send(kind, payload)

    def _close_unused_links(self) -> None:
        members = self.group.replica.members
        known = {*members.voters.values(), *members.learners.values(), *self._seeds, *self._peers}
        for address in self._links.keys() - known:
            self._links.pop(address).close()

    # Membership of the group

    def _repair_group(self, now: float) -> None:
        """Adds new controllers to the group and replaces failed ones, one change at a time."""
        for address, peer in list(self._peers.items()):
            if now > peer.last_received_at + PEER_TIMEOUT_S:
                del self._peers[address]
        replica = self.group.replica
        live = {peer.hello.name: peer.hello.address for peer in self._peers.values()}
        change = next_membership_change(
            replica.members.voters,
            replica.members.learners,
            live,
            self.group.identity.name,
            lambda name: replica.peer_silence_s(name, now),
        )
        if change is None:
            return
        verdict = self.group.change_membership(change.action, change.name, change.address)
        if verdict is ProposalVerdict.ACCEPTED:
            log.info("group.change", action=change.action, member=change.name)

    # Operator interface

    def read_metrics(self) -> bytes:
        """Returns the counters and gauges in the text exposition format."""
        replica = self.group.replica
        metrics = self.metrics
        metrics.set("group_term", replica.term)
        metrics.set("group_commit", replica.commit)
        metrics.set("group_voters", len(replica.members.voters))
        metrics.set("group_learners", len(replica.members.learners))
        metrics.set("group_leads", float(self.is_leader()))
        metrics.set("config_version", self.group.state.version)
        metrics.set("evacuated_domains", len(self.group.state.evacuations.domains))
        metrics.set("evacuation_revision", self.group.state.evacuations.revision)
        metrics.set("orders_recorded", len(self.group.state.orders))
        metrics.set("nodes_linked", len(self._nodes))
        metrics.set("requests_watched", len(self._suspects.table))
        metrics.set("requests_held", len(self.quarantined_requests()))
        return metrics.render()

    def quarantined_requests(self) -> list[ListedSuspect]:
        """Returns the requests that are in quarantine."""
        return list(self._suspects.table.quarantined(self._clock()))

    def release_request(self, fingerprint: bytes) -> bool:
        """Releases a request from quarantine on every node; False if it is not quarantined.

        Unlike updates from nodes, this one is also sent to the other controllers.
        """
        update = self._suspects.merge(Suspects((), (fingerprint,)), self._clock())
        if update is None:
            return False
        payload = encode(update)
        self._send_to_nodes(FrameKind.SUSPECTS, payload)
        for link in self._links.values():
            link.send(FrameKind.SUSPECTS, payload)
        return True

    def is_leader(self) -> bool:
        """Returns whether this controller holds the leader lease and may answer for the group."""
        return self.group.is_leader()

    async def find_leader(self) -> str:
        """Waits until the leader is known and responsive, and returns its control address.

        Returns an empty string if this controller is the leader itself, or if no leader is found
        within FIND_LEADER_TIMEOUT_S.
        """
        deadline = self._clock() + FIND_LEADER_TIMEOUT_S
        while not self.is_leader():
            now = self._clock()
            replica = self.group.replica
            peer = self._peers.get(replica.leader.partition("/")[0])
            if peer is not None and replica.leader_silence_s(now) < LEADER_STALE_AFTER_S:
                return peer.hello.control_address
            if now >= deadline:
                break
            await asyncio.sleep(TICK_INTERVAL_S)
        return ""

    async def publish(self, command: Publish) -> PublishResult | None:
        """Publishes a configuration document. Returns None if the outcome is unknown."""
        if not self.group.is_leader():
            return None
        verdict = self.group.state.check_publish(command.publish_id, command.base, command.version)
        if verdict is None:
            verdict = await self.group.propose(msgspec.msgpack.encode(command), PUBLISH_TIMEOUT_S)
        outcome = str(verdict.kind) if verdict is not None else "unknown"
        self.metrics.add("publications", outcome)
        log.info(
            "config.published",
            id=command.publish_id.hex()[:16],
            base=command.base,
            version=command.version,
            outcome=outcome,
            current=self.group.state.version,
        )
        if verdict is not None and verdict.kind is PublishStatus.CONFLICT and not self.is_leader():
            return None
        return verdict

    async def set_evacuation(self, domain: str, is_evacuated: bool) -> Evacuations | None:
        """Starts or ends the evacuation of a failure domain.

        Returns the evacuations after that, or None if the outcome is unknown.
        """
        command = encode_evacuation(SetEvacuation(domain, is_evacuated))
        evacuations = await self.group.propose(command, PUBLISH_TIMEOUT_S)
        outcome = "unknown" if evacuations is None else "accepted"
        self.metrics.add("evacuation_requests", outcome)
        log.info("evacuation.requested", domain=domain, start=is_evacuated, outcome=outcome)
        return evacuations
