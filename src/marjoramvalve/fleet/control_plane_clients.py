"""The node's client of the control plane: reports, configuration, roster and rate-limit tokens."""

import asyncio
import hashlib
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

import msgspec
import structlog

from marjoramvalve.fleet.evacuations import Evacuations
from marjoramvalve.fleet.links import MIN_REPORT_PERIOD_S, choose_links
from marjoramvalve.fleet.messages import (
    Config,
    FrameKind,
    Heartbeat,
    NodeLoad,
    OrderReply,
    Report,
    Roster,
    RosterEntry,
    Status,
    Suspects,
    TokenGrant,
    TokenRequest,
    UpstreamEnded,
    decode,
    encode,
)
from marjoramvalve.fleet.orders import OrderClient
from marjoramvalve.fleet.reconnecting_links import ReconnectingLink
from marjoramvalve.fleet.states import unpack_document
from marjoramvalve.fleet.tokens import TokenCache
from marjoramvalve.links import is_address
from marjoramvalve.model import Document
from marjoramvalve.retries import CrashedRun

FOLLOWER_REPORT_INTERVAL_S = 1.5  # Interval between reports to controllers other than the leader.
LEADER_SETTLE_S = 3.0  # Surplus links are closed once a leader has been known for this long.
TICK_INTERVAL_S = 0.1
LEASE_MARGIN = 0.1  # Fraction of the lease reserved for clock drift and network delay.
LINKS_PER_REMOTE_SERVICE = 3  # Links to each service in each other failure domain.
# Upstream ends are sent again on new links for as long as controllers remember them.
UPSTREAM_END_RETENTION_S = 60.0
MAX_RETAINED_ENDS = 16  # An upstream that ends more often within the retention is unusable anyway.
# A leader is considered known for the longer of MIN_LEADER_TIMEOUT_S and LEADER_TIMEOUT_PERIODS
# report intervals after it last said that it leads.
MIN_LEADER_TIMEOUT_S = 1.5
LEADER_TIMEOUT_PERIODS = 2.5

log = structlog.get_logger("member")


@dataclass(frozen=True, slots=True)
class ControlPlaneClientOptions:
    """Configuration of a control-plane client.

    `lease_s` is how long, in seconds, a confirmed configuration remains valid. `incarnation`
    increases with each start, provided that the clock does not go back: of two nodes that claim
    the same address, the one with the higher incarnation wins.
    """

    name: str
    domain: str
    service: str
    address: str
    incarnation: int
    seeds: tuple[str, ...]
    lease_s: float


class ControlPlaneClient:
    """Connects one node to the controllers.

    `clock` must keep advancing while the machine is suspended.
    """

    def __init__(
        self,
        options: ControlPlaneClientOptions,
        clock: Callable[[], float],
        on_config: Callable[[int, Document], None],
        on_peers: Callable[[dict[str, tuple[str, str, bool, str]]], None],
    ) -> None:
        self.options = options
        self._clock = clock
        self._on_config = on_config
        self._on_peers = on_peers
        self.version = 0
        self.evacuations = Evacuations()
        self.tokens = TokenCache(clock, self._request_tokens)
        self.tokens.return_tokens = self._return_tokens
        self.orders = OrderClient(clock, self._send_to_leader)
        self._links: dict[str, ReconnectingLink] = {}
        self._rosters: dict[str, dict[str, RosterEntry]] = {}
        self._wanted_peers: dict[str, tuple[str, str, bool, str]] = {}
        self._confirmed_at = -1e9
        self._leader: ReconnectingLink | None = None
        self._leader_heard_at = -1e9
        self._leader_known_since = -1e9
        self._report_interval_s = MIN_REPORT_PERIOD_S
        # Failure domain of each controller by address, as reported over each link.
        self._controllers_by_link: dict[ReconnectingLink, dict[str, str]] = {}
        # Links on which a full report has been sent, and whether it asked for the roster.
        self._reported_wants_roster: dict[ReconnectingLink, bool] = {}
        self._nonce = 0
        self._task: asyncio.Task | None = None
        self._seeds = options.seeds
        self._was_confirmed = False
        self.leaving = False
        self.measure_load: Callable[[], NodeLoad | None] = lambda: None
        self.on_caps: Callable[[dict[str, float], dict[str, float] | None], None]
        self.on_caps = lambda caps, parts: None
        self.on_evacuated: Callable[[frozenset[str]], None] = lambda domains: None
        self.on_unreachable: Callable[[dict[str, tuple[str, float]]], None] = lambda shares: None
        self.on_suspects: Callable[[Suspects], None] = lambda suspects: None
        self.list_suspects: Callable[[], Suspects | None] = lambda: None
        self._ends: deque[tuple[float, UpstreamEnded]] = deque(maxlen=MAX_RETAINED_ENDS)
        self._end_count = 0

    async def start(self) -> None:
        """Starts connecting to the controllers."""
        for address in self._seeds:
            self._connect(address)
        self._task = asyncio.create_task(self._run())

    async def close(self) -> None:
        """Closes the links."""
        if self._task is not None:
            self._task.cancel()
        for link in self._links.values():
            link.close()

    def set_seeds(self, seeds: tuple[str, ...]) -> None:
        """Sets the addresses where controllers may be found, and connects to them."""
        self._seeds = seeds
        for address in seeds:
            self._connect(address)

    def is_confirmed(self) -> bool:
        """Returns whether the leader confirmed the current configuration within the lease."""
        lease_s = self.options.lease_s * (1 - LEASE_MARGIN)
        return self._clock() < self._confirmed_at + lease_s

    async def finish_orders(self, timeout_s: float) -> None:
        """Returns once the leader has confirmed the end of every order, or after `timeout_s`."""
        deadline = self._clock() + timeout_s
        while len(self.orders) and self._clock() < deadline:
            await asyncio.sleep(TICK_INTERVAL_S)

    def leave(self) -> None:
        """Reports to the controllers that this node is stopping."""
        self.leaving = True
        for link in self._links.values():
            self._send_report(link)

    # Links

    def _connect(self, address: str) -> None:
        if address not in self._links and is_address(address):
            link = ReconnectingLink(address, self._on_link_open, self._on_link_frame)
            self._links[address] = link
            link.start()

    def _knows_leader(self) -> bool:
        timeout_s = max(MIN_LEADER_TIMEOUT_S, LEADER_TIMEOUT_PERIODS * self._report_interval_s)
        return self._leader is not None and self._clock() < self._leader_heard_at + timeout_s

    def _update_links(self, now: float) -> None:
        """Connects to the chosen controllers, and closes other links once the leader is settled."""
        knows_leader = self._knows_leader()
        if not knows_leader:
            self._leader_known_since = now
        leader = self._leader.address if knows_leader else None
        known = (
            self._controllers_by_link.get(self._leader, {})
            if knows_leader
            else self._known_controllers()
        )
        options = self.options
        wanted = choose_links(options.name, options.domain, known, leader)
        for address in wanted:
            self._connect(address)
        if knows_leader and now > self._leader_known_since + LEADER_SETTLE_S:
            self._close_unused_links(wanted)

    def _known_controllers(self) -> dict[str, str]:
        known = {address: "" for address in (*self._seeds, *self._links)}
        for controllers in self._controllers_by_link.values():
            known |= controllers
        return known

    def _on_link_open(self, link: ReconnectingLink) -> None:
        self._reported_wants_roster.pop(link, None)
        self._send_report(link)
        now = self._clock()
        for ended_at, ended in self._ends:
            if now < ended_at + UPSTREAM_END_RETENTION_S:
                replayed = msgspec.structs.replace(ended, ago_s=now - ended_at)
                link.send(FrameKind.UPSTREAM_ENDED, encode(replayed))
        suspects = self.list_suspects()
        if suspects is not None:
            link.send(FrameKind.SUSPECTS, encode(suspects))

    def report_upstream_end(self, runs: tuple[CrashedRun, ...], hold_s: float) -> None:
        """Reports to every controller that the local upstream ended while it executed `runs`."""
        self._end_count += 1
        ended = UpstreamEnded(self._end_count, 0.0, hold_s, runs)
        self._ends.append((self._clock(), ended))
        self._send_to_controllers(FrameKind.UPSTREAM_ENDED, encode(ended))

    def report_cleared_requests(self, fingerprints: tuple[bytes, ...]) -> None:
        """Reports to every controller that these suspect requests have been answered."""
        self._send_to_controllers(FrameKind.SUSPECTS, encode(Suspects((), fingerprints)))

    def _send_to_controllers(self, kind: FrameKind, payload: bytes) -> None:
        for link in self._links.values():
            link.send(kind, payload)

    def _send_report(self, link: ReconnectingLink) -> None:
        options = self.options
        load = self.measure_load() if link is self._leader and not self.leaving else None
        wants_roster = self._wants_roster(link)
        if self._reported_wants_roster.get(link) is wants_roster and not self.leaving:
            link.send(FrameKind.HEARTBEAT, encode(Heartbeat(self.version, self._clock(), load)))
            return
        self._reported_wants_roster[link] = wants_roster
        if not wants_roster:
            self._rosters.pop(link.address, None)
        report = Report(
            options.name,
            options.domain,
            options.address,
            options.service,
            options.incarnation,
            self.version,
            self._clock(),
            self.leaving,
            load,
            wants_roster,
        )
        link.send(FrameKind.REPORT, encode(report))

    def _wants_roster(self, link: ReconnectingLink) -> bool:
        """Returns whether to receive the roster over a link.

        The leader knows all nodes, and a controller knows the nodes of its own failure domain.
        Other controllers are asked only while no link to either of these is open.
        """
        if self._is_primary(link):
            return True
        return not any(other.is_open and self._is_primary(other) for other in self._links.values())

    def _is_primary(self, link: ReconnectingLink) -> bool:
        """Returns whether a link goes to the leader or to a controller in the same domain."""
        if link is self._leader and self._knows_leader():
            return True
        return any(
            controllers.get(link.address) == self.options.domain
            for controllers in self._controllers_by_link.values()
        )

    async def _run(self) -> None:
        last_report_at = last_follower_report_at = 0.0
        while True:
            await asyncio.sleep(TICK_INTERVAL_S)
            now = self._clock()
            self.tokens.sweep()
            self.orders.sweep()
            confirmed = self.is_confirmed()
            if confirmed != self._was_confirmed:
                self._was_confirmed = confirmed
                log.info("config.confirmed", confirmed=confirmed, version=self.version)
            self._update_links(now)
            if now < last_report_at + self._report_interval_s:
                continue
            last_report_at = now
            reports_to_all = (
                not self._knows_leader()
                or now >= last_follower_report_at + FOLLOWER_REPORT_INTERVAL_S
            )
            if reports_to_all:
                last_follower_report_at = now
            for link in list(self._links.values()):
                if link is self._leader or reports_to_all:
                    self._send_report(link)

    def _on_link_frame(self, link: ReconnectingLink, kind: int, payload: bytes) -> None:
        match decode(kind, payload):
            case Status() as status:
                self._on_status(link, status)
            case Evacuations() as evacuations:
                self._apply_evacuations(evacuations)
            case Config(version=version, packed=packed):
                self._apply_config(version, packed)
            case Roster() as roster:
                self._on_roster(link, roster)
            case TokenGrant(granted=granted, wait_s=wait_s, fallback_s=fallback_s):
                self.tokens.on_grant(granted, wait_s, fallback_s)
            case Suspects() as suspects:
                self.on_suspects(suspects)
            case OrderReply() as said:
                self.orders.on_reply(said)

    def _on_status(self, link: ReconnectingLink, status: Status) -> None:
        self._apply_evacuations(status.evacuated)  # Before the configuration is confirmed.
        if status.controllers is not None:
            self._controllers_by_link[link] = status.controllers
        if not status.leads:
            # The former leader names another one, so the wait for it to time out is skipped.
            if link is self._leader and status.leader not in ("", link.address):
                self._leader_heard_at = -1e9
            if status.leader and not self._knows_leader():
                self._connect(status.leader)
            return
        if self._leader is not link:
            log.info("leader.found", address=link.address, version=status.version)
        self._leader = link
        self._leader_heard_at = self._clock()
        self._report_interval_s = max(MIN_REPORT_PERIOD_S, status.period_s)
        if status.rate_limits is not None:
            self.on_caps(status.rate_limits, status.admitted_shares)
        if status.unreachable is not None:
            self.on_unreachable(status.unreachable)
        if status.version == self.version:
            self._confirmed_at = max(self._confirmed_at, status.stamp)

    def _close_unused_links(self, wanted: frozenset[str]) -> None:
        for address in self._links.keys() - wanted:
            link = self._links.pop(address)
            self._reported_wants_roster.pop(link, None)
            self._controllers_by_link.pop(link, None)
            link.close()
            self._rosters.pop(address, None)

    def _apply_evacuations(self, evacuations: Evacuations) -> None:
        if self.evacuations.newest(evacuations) is self.evacuations:
            return
        self.evacuations = evacuations
        log.info("evacuation.applied", domains=evacuations.domains, revision=evacuations.revision)
        self.on_evacuated(frozenset(evacuations.domains))

    def _apply_config(self, version: int, packed: bytes) -> None:
        if version <= self.version:
            return
        document = unpack_document(packed)
        self.version = version
        self.tokens.set_document(document)
        self._on_config(version, document)

    # Roster

    def _on_roster(self, link: ReconnectingLink, roster: Roster) -> None:
        roster_entries = {} if roster.is_full else self._rosters.get(link.address, {})
        roster_entries = {
            address: entry
            for address, entry in roster_entries.items()
            if address not in roster.removed
        }
        roster_entries.update(
            {entry.address: entry for entry in roster.entries if is_address(entry.address)}
        )
        self._rosters[link.address] = roster_entries
        self._update_peers()

    def _update_peers(self) -> None:
        """Links to every node of the own domain, and to a few per service in each other domain."""
        merged: dict[str, RosterEntry] = {}
        open_addresses = {a for a, link in self._links.items() if link.is_open}
        for address, roster_entries in self._rosters.items():
            if address in open_addresses or not open_addresses:
                for node_address, entry in roster_entries.items():
                    other = merged.get(node_address)
                    if other is None or other.incarnation < entry.incarnation:
                        merged[node_address] = entry
        merged.pop(self.options.address, None)
        wanted = {}
        groups: dict[tuple[str, str], list[RosterEntry]] = {}
        for entry in merged.values():
            if entry.domain == self.options.domain:
                wanted[entry.address] = (entry.name, entry.service, True, entry.domain)
            else:
                groups.setdefault((entry.domain, entry.service), []).append(entry)
        for entries in groups.values():
            entries.sort(key=lambda entry: self._rank(entry.name))
            for entry in entries[:LINKS_PER_REMOTE_SERVICE]:
                wanted[entry.address] = (entry.name, entry.service, False, entry.domain)
        if wanted != self._wanted_peers:
            self._wanted_peers = wanted
            log.info("roster.applied", nodes=len(merged), links=len(wanted))
            self._on_peers(wanted)

    def _rank(self, name: str) -> bytes:
        """Returns a rendezvous hash, which spreads the links of all nodes over remote nodes."""
        return hashlib.blake2b(f"{self.options.name}|{name}".encode(), digest_size=8).digest()

    # Requests to the leader

    def _send_to_leader(self, kind: FrameKind, payload: bytes) -> bool:
        return self._knows_leader() and self._leader.send(kind, payload)

    def _request_tokens(self, wants: dict[str, float]) -> bool:
        self._nonce += 1
        return self._send_to_leader(
            FrameKind.TOKEN_REQUEST, encode(TokenRequest(self._nonce, wants))
        )

    def _return_tokens(self, returned: dict[str, float]) -> bool:
        self._nonce += 1
        return self._send_to_leader(
            FrameKind.TOKEN_REQUEST, encode(TokenRequest(self._nonce, {}, returned))
        )
