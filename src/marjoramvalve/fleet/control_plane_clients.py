"""A node's side of the control plane: reports, configuration, roster and tokens."""

import asyncio
import hashlib
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

import msgspec
import structlog

from marjoramvalve.fleet.dialers import Dialer
from marjoramvalve.fleet.links import LEAST_PERIOD_S, choose_links
from marjoramvalve.fleet.messages import (
    Ask,
    Beat,
    Config,
    Grant,
    Kind,
    NodeLoad,
    OrderSaid,
    Report,
    Roster,
    RosterEntry,
    Status,
    Suspects,
    UpstreamEnded,
    decode,
    encode,
)
from marjoramvalve.fleet.orders import OrderAsker
from marjoramvalve.fleet.states import unpack_document
from marjoramvalve.fleet.tokens import TokenLots
from marjoramvalve.model import Document
from marjoramvalve.retries import EndedRun

REST_S = 1.5  # Between reports to controllers that do not lead.
SETTLED_S = 3.0  # A leader known for this long; links to the other controllers are closed then.
TICK_S = 0.1
LEASE_MARGIN = 0.1  # Part of the lease kept back for clocks that differ in rate and for the way.
FAR_LINKS = 3  # Links to each service in each other failure domain.
ENDS_KEPT_S = 60.0  # Ends told again on a new link; as long as controllers remember them.
MOST_ENDS = 16  # An upstream that ends more often within that time is no use anyway.
LEADER_LIFE_S = 1.5  # A controller that said it leads is asked for tokens for this long...
LEADER_PERIODS = 2.5  # ...or for this many of the pauses between reports.

log = structlog.get_logger("member")


@dataclass(frozen=True, slots=True)
class ControlPlaneClientOptions:
    """What a member is built from. `lease_s` is how long a confirmed configuration counts.

    `incarnation` grows with each start, as far as clocks allow: of two nodes that claim one
    address, the one with the higher incarnation is believed.
    """

    name: str
    domain: str
    service: str
    address: str
    incarnation: int
    seeds: tuple[str, ...]
    lease_s: float


class ControlPlaneClient:
    """One node in the fleet. `clock` goes on while the machine is suspended."""

    def __init__(
        self,
        options: ControlPlaneClientOptions,
        clock: Callable[[], float],
        on_config: Callable[[int, Document], None],
        on_peers: Callable[[dict[str, tuple[str, str, bool]]], None],
    ) -> None:
        self.options = options
        self._clock = clock
        self._on_config = on_config
        self._on_peers = on_peers
        self.version = 0
        self.tokens = TokenLots(clock, self._ask)
        self.tokens.put_back = self._put_back
        self.orders = OrderAsker(clock, self._send_to_leader)
        self._dialers: dict[str, Dialer] = {}
        self._rosters: dict[str, dict[str, RosterEntry]] = {}
        self._wanted: dict[str, tuple[str, str, bool]] = {}
        self._confirmed_at = -1e9
        self._leader: Dialer | None = None
        self._led_at = -1e9
        self._led_since = -1e9
        self._period_s = LEAST_PERIOD_S
        # The controllers and their failure domains, as the other end of each link names them.
        self._lists: dict[Dialer, dict[str, str]] = {}
        # Links on which a whole report has been sent, and whether it asked for the roster.
        self._introduced: dict[Dialer, bool] = {}
        self._nonce = 0
        self._task: asyncio.Task | None = None
        self._seeds = options.seeds
        self._was_confirmed = False
        self.leaving = False
        self.measure_load: Callable[[], NodeLoad | None] = lambda: None
        self.on_caps: Callable[[dict[str, float], dict[str, float] | None], None]
        self.on_caps = lambda caps, parts: None
        self.on_suspects: Callable[[Suspects], None] = lambda suspects: None
        self.list_suspects: Callable[[], Suspects | None] = lambda: None
        self._ends: deque[tuple[float, UpstreamEnded]] = deque(maxlen=MOST_ENDS)
        self._end_count = 0

    async def start(self) -> None:
        """Looks for the controllers."""
        for address in self._seeds:
            self._dial(address)
        self._task = asyncio.create_task(self._run())

    async def close(self) -> None:
        """Ends the links."""
        if self._task is not None:
            self._task.cancel()
        for dialer in self._dialers.values():
            dialer.close()

    def set_seeds(self, seeds: tuple[str, ...]) -> None:
        """Takes in where controllers may be found."""
        self._seeds = seeds
        for address in seeds:
            self._dial(address)

    def is_confirmed(self) -> bool:
        """Tells whether the configuration at hand was the newest within the lease."""
        lease_s = self.options.lease_s * (1 - LEASE_MARGIN)
        return self._clock() < self._confirmed_at + lease_s

    def leave(self) -> None:
        """Tells the controllers that this node stops."""
        self.leaving = True
        for dialer in self._dialers.values():
            self._report(dialer)

    # Links

    def _dial(self, address: str) -> None:
        if address not in self._dialers:
            dialer = Dialer(address, self._on_open, self._on_frame)
            self._dialers[address] = dialer
            dialer.start()

    def _knows_leader(self) -> bool:
        life_s = max(LEADER_LIFE_S, LEADER_PERIODS * self._period_s)
        return self._leader is not None and self._clock() < self._led_at + life_s

    def _keep_links(self, now: float) -> None:
        """Dials the controllers to keep links to, and lets go of the others in time."""
        knows_leader = self._knows_leader()
        if not knows_leader:
            self._led_since = now
        leader = self._leader.address if knows_leader else None
        known = self._lists.get(self._leader, {}) if knows_leader else self._all_known()
        options = self.options
        wanted = choose_links(options.name, options.domain, known, leader)
        for address in wanted:
            self._dial(address)
        if knows_leader and now > self._led_since + SETTLED_S:
            self._forget(wanted)

    def _all_known(self) -> dict[str, str]:
        known = {address: "" for address in (*self._seeds, *self._dialers)}
        for controllers in self._lists.values():
            known |= controllers
        return known

    def _on_open(self, dialer: Dialer) -> None:
        self._introduced.pop(dialer, None)
        self._report(dialer)
        now = self._clock()
        for at, ended in self._ends:
            if now < at + ENDS_KEPT_S:
                again = msgspec.structs.replace(ended, ago_s=now - at)
                dialer.send(Kind.UPSTREAM_ENDED, encode(again))
        suspects = self.list_suspects()
        if suspects is not None:
            dialer.send(Kind.SUSPECTS, encode(suspects))

    def report_upstream_end(self, runs: tuple[EndedRun, ...], hold_s: float) -> None:
        """Tells every controller that the upstream beside has ended under these runs."""
        self._end_count += 1
        ended = UpstreamEnded(self._end_count, 0.0, hold_s, runs)
        self._ends.append((self._clock(), ended))
        self._tell_controllers(Kind.UPSTREAM_ENDED, encode(ended))

    def report_cleared_requests(self, fingerprints: tuple[bytes, ...]) -> None:
        """Tells every controller that watched requests have been answered."""
        self._tell_controllers(Kind.SUSPECTS, encode(Suspects((), fingerprints)))

    def _tell_controllers(self, kind: Kind, payload: bytes) -> None:
        for dialer in self._dialers.values():
            dialer.send(kind, payload)

    def _report(self, dialer: Dialer) -> None:
        options = self.options
        load = self.measure_load() if dialer is self._leader and not self.leaving else None
        takes_roster = self._takes_roster(dialer)
        if self._introduced.get(dialer) is takes_roster and not self.leaving:
            dialer.send(Kind.BEAT, encode(Beat(self.version, self._clock(), load)))
            return
        self._introduced[dialer] = takes_roster
        if not takes_roster:
            self._rosters.pop(dialer.address, None)
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
            takes_roster,
        )
        dialer.send(Kind.REPORT, encode(report))

    def _takes_roster(self, dialer: Dialer) -> bool:
        """Tells whether to hear of other nodes on a link.

        The leader knows them all, and the controllers nearby those nearby; the others are asked
        only where neither can be.
        """
        if self._is_main(dialer):
            return True
        return not any(other.is_open and self._is_main(other) for other in self._dialers.values())

    def _is_main(self, dialer: Dialer) -> bool:
        """Tells whether a link leads to the leader or to a controller nearby."""
        if dialer is self._leader and self._knows_leader():
            return True
        return any(
            controllers.get(dialer.address) == self.options.domain
            for controllers in self._lists.values()
        )

    async def _run(self) -> None:
        reported_at = rested_at = 0.0
        while True:
            await asyncio.sleep(TICK_S)
            now = self._clock()
            self.tokens.sweep()
            self.orders.sweep()
            confirmed = self.is_confirmed()
            if confirmed != self._was_confirmed:
                self._was_confirmed = confirmed
                log.info("config.confirmed", confirmed=confirmed, version=self.version)
            self._keep_links(now)
            if now < reported_at + self._period_s:
                continue
            reported_at = now
            is_rest = not self._knows_leader() or now >= rested_at + REST_S
            if is_rest:
                rested_at = now
            for dialer in list(self._dialers.values()):
                if dialer is self._leader or is_rest:
                    self._report(dialer)

    def _on_frame(self, dialer: Dialer, kind: int, payload: bytes) -> None:
        match decode(kind, payload):
            case Status() as status:
                self._on_status(dialer, status)
            case Config(version=version, packed=packed):
                self._take_config(version, packed)
            case Roster() as roster:
                self._on_roster(dialer, roster)
            case Grant(granted=granted, wait_s=wait_s):
                self.tokens.on_grant(granted, wait_s)
            case Suspects() as suspects:
                self.on_suspects(suspects)
            case OrderSaid() as said:
                self.orders.on_said(said)

    def _on_status(self, dialer: Dialer, status: Status) -> None:
        if status.controllers is not None:
            self._lists[dialer] = status.controllers
        if not status.leads:
            if dialer is self._leader and status.leader not in ("", dialer.address):
                self._led_at = -1e9
            if status.leader and not self._knows_leader():
                self._dial(status.leader)
            return
        if self._leader is not dialer:
            log.info("leader.found", address=dialer.address, version=status.version)
        self._leader = dialer
        self._led_at = self._clock()
        self._period_s = max(LEAST_PERIOD_S, status.period_s)
        if status.caps is not None:
            self.on_caps(status.caps, status.parts)
        if status.version == self.version:
            self._confirmed_at = max(self._confirmed_at, status.stamp)

    def _forget(self, wanted: frozenset[str]) -> None:
        for address in self._dialers.keys() - wanted:
            dialer = self._dialers.pop(address)
            self._introduced.pop(dialer, None)
            self._lists.pop(dialer, None)
            dialer.close()
            self._rosters.pop(address, None)

    def _take_config(self, version: int, packed: bytes) -> None:
        if version <= self.version:
            return
        document = unpack_document(packed)
        self.version = version
        self.tokens.set_document(document)
        self._on_config(version, document)

    # Roster

    def _on_roster(self, dialer: Dialer, roster: Roster) -> None:
        held = {} if roster.whole else self._rosters.get(dialer.address, {})
        held = {address: entry for address, entry in held.items() if address not in roster.gone}
        held.update({entry.address: entry for entry in roster.entries})
        self._rosters[dialer.address] = held
        self._choose_peers()

    def _choose_peers(self) -> None:
        merged: dict[str, RosterEntry] = {}
        open_ones = {a for a, dialer in self._dialers.items() if dialer.is_open}
        for address, held in self._rosters.items():
            if address in open_ones or not open_ones:
                for place, entry in held.items():
                    other = merged.get(place)
                    if other is None or other.incarnation < entry.incarnation:
                        merged[place] = entry
        merged.pop(self.options.address, None)
        wanted = {}
        groups: dict[tuple[str, str], list[RosterEntry]] = {}
        for entry in merged.values():
            if entry.domain == self.options.domain:
                wanted[entry.address] = (entry.name, entry.service, True)
            else:
                groups.setdefault((entry.domain, entry.service), []).append(entry)
        for entries in groups.values():
            entries.sort(key=lambda entry: self._rank(entry.name))
            for entry in entries[:FAR_LINKS]:
                wanted[entry.address] = (entry.name, entry.service, False)
        if wanted != self._wanted:
            self._wanted = wanted
            log.info("roster.applied", nodes=len(merged), links=len(wanted))
            self._on_peers(wanted)

    def _rank(self, name: str) -> bytes:
        return hashlib.blake2b(f"{self.options.name}|{name}".encode(), digest_size=8).digest()

    # Questions to the leader

    def _send_to_leader(self, kind: Kind, payload: bytes) -> bool:
        return self._knows_leader() and self._leader.send(kind, payload)

    def _ask(self, wants: dict[str, float]) -> bool:
        self._nonce += 1
        return self._send_to_leader(Kind.ASK, encode(Ask(self._nonce, wants)))

    def _put_back(self, returned: dict[str, float]) -> bool:
        self._nonce += 1
        return self._send_to_leader(Kind.ASK, encode(Ask(self._nonce, {}, returned)))
