"""A controller: the group's state, the roster and the customers' rates, served to the nodes."""

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

import msgspec
import structlog

from marjoramvalve.consensus import ProposalVerdict
from marjoramvalve.fleet.dialers import Dialer
from marjoramvalve.fleet.groups import RaftGroup
from marjoramvalve.fleet.identities import Founding, load_identity
from marjoramvalve.fleet.links import report_period_s
from marjoramvalve.fleet.messages import (
    Ask,
    Beat,
    Config,
    ControllerHello,
    Envelope,
    Grant,
    Kind,
    OrderBegin,
    OrderEnd,
    Report,
    Roster,
    Status,
    Suspects,
    UpstreamEnded,
    decode,
    encode,
    roster_frame,
)
from marjoramvalve.fleet.orders import OrderDesk
from marjoramvalve.fleet.plans import LoadPlan
from marjoramvalve.fleet.repairs import next_change
from marjoramvalve.fleet.rosters import GONE_AFTER_S, RosterBook
from marjoramvalve.fleet.states import Publish, Verdict, VerdictKind
from marjoramvalve.fleet.suspects import SuspectDesk
from marjoramvalve.fleet.tokens import TokenDesk
from marjoramvalve.links import FrameStream, Listener
from marjoramvalve.retries import Suspicion
from marjoramvalve.telemetry import Exposition
from marjoramvalve.wire.messages import Message

TICK_S = 0.1
HELLO_S = 0.5  # How often controllers say who they are.
HELLO_LIFE_S = 1.6  # A controller not heard for this is not taken for live.
PLAN_LOG_S = 1.0  # Least pause between two lines on the plan.
LEADER_SILENT_S = 0.45  # Three heartbeats; a leader that missed them may be gone.
LEADER_WAIT_S = 0.7  # Longest wait for another one; operators try elsewhere after a second.
PUBLISH_S = 3.0  # Longest wait for the outcome of a publication.

log = structlog.get_logger("controller")


@dataclass(frozen=True, slots=True)
class ControllerOptions:
    """What a controller is built from. Addresses are for links but for `control`.

    Others reach it at `address`; it listens on `listen_address`.
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
    heard_at: float


class Controller:
    """One controller of the group."""

    def __init__(
        self, options: ControllerOptions, clock: Callable[[], float], rng: random.Random
    ) -> None:
        self.options = options
        self._clock = clock
        founding = Founding(options.address, options.seeds, options.is_first_start)
        identity = load_identity(options.data_folder, founding, rng)
        self.group = RaftGroup(
            options.data_folder, identity, self._send, self._on_change, clock, rng
        )
        self._listener = Listener(self)
        self._dialers: dict[str, Dialer] = {}
        self._peers: dict[str, _Peer] = {}
        self._nodes: dict[FrameStream, Report] = {}
        self._told: dict[FrameStream, dict[str, str]] = {}
        self._roster = RosterBook()
        self._changed: set[str] = set()
        self._gone: set[str] = set()
        self._desk = TokenDesk()
        self._orders = OrderDesk(self.group, clock)
        self._plan = LoadPlan()
        self._suspects = SuspectDesk()
        self._pushed = 0
        self._applied = (False, -1)
        self._task: asyncio.Task | None = None
        self._led = False
        self._knows_all = False
        self._plan_logged_at = 0.0
        self._was_limiting = False
        self._seeds = options.seeds
        self.metrics = Exposition()

    async def start(self) -> None:
        """Listens and joins the group. Raises OSError."""
        await self._listener.start(self.options.listen_address)
        await self.group.start()
        self.set_seeds(self.options.seeds)
        self._task = asyncio.create_task(self._run())
        log.info(
            "controller.start", name=self.group.identity.name, version=self.group.state.version
        )

    async def close(self) -> None:
        """Stops."""
        if self._task is not None:
            self._task.cancel()
        for dialer in self._dialers.values():
            dialer.close()
        await self._listener.close()
        await self.group.close()

    def set_seeds(self, seeds: tuple[str, ...]) -> None:
        """Takes in where other controllers may be found."""
        self._seeds = seeds
        for address in seeds:
            self._dial(address)

    # Links to other controllers

    def _dial(self, address: str) -> None:
        if address == self.options.address or address in self._dialers:
            return
        dialer = self._dialers[address] = Dialer(address, self._on_dialed, self._on_reply)
        dialer.start()

    def _hello(self) -> bytes:
        name = self.group.identity.name
        options = self.options
        return encode(
            ControllerHello(name, options.address, options.control_address, options.domain)
        )

    def _on_dialed(self, dialer: Dialer) -> None:
        dialer.send(Kind.CONTROLLER, self._hello())

    def _on_reply(self, dialer: Dialer, kind: int, payload: bytes) -> None:
        """Controllers answer over links of their own."""

    def _send(self, to: str, address: str, body: Message) -> None:
        address = address or to.partition("/")[0]
        dialer = self._dialers.get(address)
        if dialer is None:
            self._dial(address)
            return
        envelope = Envelope(self.group.identity.name, self.options.address, to, body)
        dialer.send(Kind.CONSENSUS, encode(envelope))

    # Streams of nodes and of other controllers

    def stream_opened(self, stream: FrameStream) -> None:
        """Waits for the first frame."""

    def stream_closed(self, stream: FrameStream) -> None:
        """Forgets the stream; a node's entry lives on for a while."""
        self._told.pop(stream, None)
        report = self._nodes.pop(stream, None)
        if report is not None:
            log.info("node.link_lost", node=report.name)

    def stream_frame(self, stream: FrameStream, kind: int, payload: bytes) -> None:
        """Takes a frame."""
        if kind == Kind.PING:
            stream.send(Kind.PONG, b"")
            return
        match decode(kind, payload):
            case Envelope(src=src, to=to, body=body) if to == self.group.identity.name:
                self.group.step(src, body)
            case ControllerHello() as hello:
                self._peers[hello.address] = _Peer(hello, self._clock())
                self._dial(hello.address)
            case Report() as report:
                self._on_report(stream, report)
            case Beat(version=version, stamp=stamp, load=load) if stream in self._nodes:
                changes = {"version": version, "stamp": stamp, "load": load}
                self._on_report(stream, msgspec.structs.replace(self._nodes[stream], **changes))
            case Ask() as ask:
                self._on_ask(stream, ask)
            case OrderBegin(order=order):
                self._orders.begin(stream, order)
            case OrderEnd(order=order, answer=answer):
                self._orders.end(stream, order, answer)
            case UpstreamEnded() as ended if stream in self._nodes:
                news = self._suspects.note_end(self._nodes[stream], ended, self._clock())
                self._tell_suspects(news)
            case Suspects() as suspects:
                self._tell_suspects(self._suspects.merge(suspects, self._clock()))

    def _on_report(self, stream: FrameStream, report: Report) -> None:
        now = self._clock()
        before = self._nodes.get(stream)
        self._nodes[stream] = report
        if report.leaving:
            if self._roster.drop(report):
                self._gone.add(report.address)
        elif self._roster.note(report, now):
            self._changed.add(report.address)
            self._gone.discard(report.address)
        leads = self.group.is_leader()
        if report.load is not None:
            self._plan.note(report.address, report.service, report.load, now)
        state = self.group.state
        caps = self._plan.caps(report.address, now) if leads else None
        controllers = self._controllers()
        if self._told.get(stream) == controllers:
            controllers = None
        else:
            self._told[stream] = controllers
        status = Status(
            report.stamp,
            leads,
            state.version,
            controllers,
            caps,
            self._leader_address(),
            report_period_s(len(self._nodes)) if leads else 0.0,
            self._plan.parts() if caps else None,
        )
        if report.version < state.version:
            stream.send(Kind.CONFIG, self._config())
        stream.send(Kind.STATUS, encode(status))
        if report.takes_roster and not (before and before.takes_roster):
            stream.send(*roster_frame(Roster(self._knows_all, self._roster.entries())))
        if before is None:
            suspects = self._suspects.whole(now)
            if suspects is not None:
                stream.send(Kind.SUSPECTS, encode(suspects))

    def _tell_suspects(self, news: Suspects | None) -> None:
        """Tells the nodes. Other controllers hear from the nodes: news of theirs would circle."""
        if news is not None:
            self._tell_nodes(Kind.SUSPECTS, encode(news))

    def _tell_nodes(self, kind: Kind, payload: bytes) -> None:
        for stream in self._nodes:
            stream.send(kind, payload)

    def _controllers(self) -> dict[str, str]:
        """Returns the failure domains of the group's members by address."""
        members = self.group.replica.members
        domains = {self.options.address: self.options.domain}
        domains |= {address: peer.hello.domain for address, peer in self._peers.items()}
        addresses = (*members.voters.values(), *members.learners.values())
        return {address: domains.get(address, "") for address in addresses}

    def _leader_address(self) -> str:
        """Returns the address of the leader, empty where it is not known."""
        replica = self.group.replica
        members = replica.members
        return members.voters.get(replica.leader) or members.learners.get(replica.leader, "")

    def _on_ask(self, stream: FrameStream, ask: Ask) -> None:
        if not self.group.is_leader():
            return
        now = self._clock()
        self._desk.put_back(ask.returned, now)
        if ask.wants:
            granted, wait_s = self._desk.grant(ask.wants, now)
            stream.send(Kind.GRANT, encode(Grant(ask.nonce, granted, wait_s)))

    # State

    def _config(self) -> bytes:
        state = self.group.state
        return encode(Config(state.version, state.document))

    def _on_change(self) -> None:
        leads = self.group.is_leader()
        state = self.group.state
        known, self._applied = self._applied, (leads, state.version)
        if self._applied == known:
            return
        if leads or self._led:
            document = state.decoded()
            self._desk.set_document(document, leads, self._clock())
            self._plan.set_document(document)
            self._orders.set_retention(document.policy.retention_s)
        if state.version > self._pushed:
            self._pushed = state.version
            log.info("config.committed", version=state.version, leads=leads)
            self._push_config()

    def _push_config(self) -> None:
        """Sends a version to the nodes nearby; the others have a controller of their own nearby.

        Where they have none, they get it with the answer to their next report.
        """
        payload = self._config()
        for stream, report in self._nodes.items():
            if report.domain == self.options.domain:
                stream.send(Kind.CONFIG, payload)

    def _check_roster(self, now: float, began: float) -> None:
        """Says what the whole roster is, once every node has had the time to report."""
        if self._knows_all or now < began + GONE_AFTER_S:
            return
        self._knows_all = True
        self._send_roster(Roster(True, self._roster.entries()))

    async def _run(self) -> None:
        said_at = 0.0
        began = self._clock()
        while True:
            await asyncio.sleep(TICK_S)
            now = self._clock()
            if now > said_at + HELLO_S:
                said_at = now
                for dialer in self._dialers.values():
                    dialer.send(Kind.CONTROLLER, self._hello())
            leads = self.group.is_leader()
            if leads != self._led:
                self._led = leads
                self._plan.begin(now)
                log.info("controller.leads", leads=leads, version=self.group.state.version)
                self._on_change()
            self._gone.update(self._roster.expire(now))
            self._tell_roster()
            self._check_roster(now, began)
            if leads:
                self._care_for_group(now)
                self._log_plan(now)
            self._forget_links()

    def _log_plan(self, now: float) -> None:
        limits = self._plan.limits()
        if now < self._plan_logged_at + PLAN_LOG_S or not (limits or self._was_limiting):
            return
        self._plan_logged_at = now
        self._was_limiting = bool(limits)
        log.info("plan.limits", let_in=limits, planned=self._plan.slots, asked=self._plan.asked)

    def _tell_roster(self) -> None:
        if not self._changed and not self._gone:
            return
        entries = [self._roster.get(address) for address in self._changed]
        found = tuple(item for item in entries if item is not None)
        roster = Roster(False, found, tuple(self._gone))
        self._changed.clear()
        self._gone.clear()
        self._send_roster(roster)

    def _send_roster(self, roster: Roster) -> None:
        kind, payload = roster_frame(roster)
        for stream, report in self._nodes.items():
            if report.takes_roster:
                stream.send(kind, payload)

    def _forget_links(self) -> None:
        members = self.group.replica.members
        known = {*members.voters.values(), *members.learners.values(), *self._seeds, *self._peers}
        for address in self._dialers.keys() - known:
            self._dialers.pop(address).close()

    # Members of the group

    def _care_for_group(self, now: float) -> None:
        """Takes new controllers in, and puts them in the place of those that are gone."""
        for address, peer in list(self._peers.items()):
            if now > peer.heard_at + HELLO_LIFE_S:
                del self._peers[address]
        replica = self.group.replica
        live = {peer.hello.name: peer.hello.address for peer in self._peers.values()}
        change = next_change(
            replica.members.voters,
            replica.members.learners,
            live,
            self.group.identity.name,
            lambda name: replica.silence(name, now),
        )
        if change is None:
            return
        verdict = self.group.change_membership(change.action, change.name, change.address)
        if verdict is ProposalVerdict.TAKEN:
            log.info("group.change", action=change.action, member=change.name)

    # For operators

    def read_metrics(self) -> bytes:
        """Returns counters and gauges as text."""
        replica = self.group.replica
        metrics = self.metrics
        metrics.set("group_term", replica.term)
        metrics.set("group_commit", replica.commit)
        metrics.set("group_voters", len(replica.members.voters))
        metrics.set("group_learners", len(replica.members.learners))
        metrics.set("group_leads", float(self.is_leader()))
        metrics.set("config_version", self.group.state.version)
        metrics.set("orders_recorded", len(self.group.state.orders))
        metrics.set("nodes_linked", len(self._nodes))
        metrics.set("requests_watched", len(self._suspects.book))
        metrics.set("requests_held", len(self.quarantined_requests()))
        return metrics.text()

    def quarantined_requests(self) -> list[Suspicion]:
        """Returns the requests that are set aside."""
        return list(self._suspects.book.held(self._clock()))

    def release_request(self, fingerprint: bytes) -> bool:
        """Lets a request go that is set aside; False where none is."""
        news = self._suspects.merge(Suspects((), (fingerprint,)), self._clock())
        if news is None:
            return False
        payload = encode(news)
        self._tell_nodes(Kind.SUSPECTS, payload)
        for dialer in self._dialers.values():
            dialer.send(Kind.SUSPECTS, payload)
        return True

    def is_leader(self) -> bool:
        """Tells whether this controller may answer for the group now."""
        return self.group.is_leader()

    async def find_leader(self) -> str:
        """Returns the operators' address of the leader as soon as it is known and speaks.

        Empty where this controller leads itself, or where nobody is found in time.
        """
        until = self._clock() + LEADER_WAIT_S
        while not self.is_leader():
            now = self._clock()
            replica = self.group.replica
            peer = self._peers.get(replica.leader.partition("/")[0])
            if peer is not None and replica.leader_silent_s(now) < LEADER_SILENT_S:
                return peer.hello.control
            if now >= until:
                break
            await asyncio.sleep(TICK_S)
        return ""

    async def publish(self, command: Publish) -> Verdict | None:
        """Publishes a document; None means that the outcome is unknown."""
        if not self.group.is_leader():
            return None
        verdict = self.group.state.judge(command.publish_id, command.base, command.version)
        if verdict is None:
            verdict = await self.group.propose(msgspec.msgpack.encode(command), PUBLISH_S)
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
        if verdict is not None and verdict.kind is VerdictKind.CONFLICT and not self.is_leader():
            return None
        return verdict
