"""The ingress nodes that an egress may send calls to, and the links to them."""

import asyncio
import hashlib
import random
from collections.abc import Callable
from typing import NamedTuple

from marjoramvalve.mesh.announcements import UpstreamNotices
from marjoramvalve.mesh.balancing import TRIAL_SPREAD_S
from marjoramvalve.mesh.calls import Call
from marjoramvalve.mesh.frames import Hello
from marjoramvalve.mesh.peers import LocalPeer, Peer, PeerCallbacks, RemotePeer

CHECK_INTERVAL_S = 0.1  # How often links with active calls are checked.


def _rank(name: str, path: bytes) -> bytes:
    """Returns a rendezvous hash, which spreads the paths over the nodes."""
    return hashlib.blake2b(b"%b|%b" % (name.encode(), path), digest_size=8).digest()


class PeerEntry(NamedTuple):
    """An ingress node in the roster. `same_domain` tells whether it is in the egress's domain."""

    name: str
    service: str
    same_domain: bool
    domain: str = ""


class PeerSet:
    """The local ingress and links to remote ones.

    `on_unresponsive` is called with each peer whose link is down or silent while calls are active.
    """

    def __init__(
        self,
        hello: Hello,
        local: LocalPeer,
        callbacks: PeerCallbacks,
        on_unresponsive: Callable[[RemotePeer], None],
        rng: random.Random,
    ) -> None:
        self._rng = rng
        self._loop = asyncio.get_running_loop()
        self._hello = hello
        self._callbacks = callbacks
        self._on_unresponsive = on_unresponsive
        self.local = local
        self.evacuated: frozenset[str] = frozenset()
        self._notices = UpstreamNotices()
        self.remote: dict[str, RemotePeer] = {}
        self._retired: dict[str, RemotePeer] = {}
        self._by_service: dict[str, list[Peer]] = {local.service: [local]}
        self._check_timer: asyncio.TimerHandle | None = None

    def for_service(self, service: str) -> list[Peer]:
        """Returns the ingress nodes of a service, including those that are not usable."""
        return self._by_service.get(service, [])

    def candidates(self, call: Call) -> list[Peer]:
        """Returns the usable ingress nodes that a call has not been sent to yet.

        A watched request has at most one, the same for all egresses that know the same nodes: only
        one upstream is exposed to it at a time.
        """
        evacuated = self.evacuated
        usable = [
            peer
            for peer in self.for_service(call.service)
            if peer.usable and not (evacuated and peer.domain in evacuated)
        ]
        if call.is_watched and usable:
            path = call.request.target.partition(b"?")[0]
            usable = [min(usable, key=lambda peer: _rank(peer.name, path))]
        return [peer for peer in usable if peer not in call.tried_peers]

    def has_alternative(self, call: Call, peer: Peer) -> bool:
        """Returns whether a call can be sent to an untried ingress other than this one."""
        return any(candidate is not peer for candidate in self.candidates(call))

    def set_roster(self, roster: dict[str, tuple[str, str, bool, str]]) -> None:
        """Keeps links to the ingress nodes in the roster.

        `roster` maps the address of a node to the fields of its PeerEntry. A node that is not
        listed is kept while its link is usable, since a working link is better evidence than the
        roster.
        """
        for address, peer in list(self.remote.items()):
            entry = roster.get(address)
            peer.in_roster = entry is not None
            is_replaced = entry is not None and entry[:2] != (peer.name, peer.service)
            if is_replaced or not (peer.in_roster or peer.usable):
                del self.remote[address]
                self._retire(peer)
        for address, entry in roster.items():
            name, service, same_domain, domain = PeerEntry(*entry)
            if address in self.remote:
                self.remote[address].domain = domain
                continue
            peer = self._retired.get(address)
            if peer is not None and (peer.name, peer.service) == (name, service):
                del self._retired[address]
            else:
                if peer is not None:  # A session can have only one link at a time.
                    del self._retired[address]
                    peer.close()
                delay_s = TRIAL_SPREAD_S * self._rng.random()
                peer = RemotePeer(
                    name,
                    service,
                    address,
                    same_domain,
                    self._hello,
                    self._callbacks,
                    delay_s,
                    self._notices,
                )
                peer.start()
            peer.domain = domain
            self.remote[address] = peer
        self._index_by_service()

    def _index_by_service(self) -> None:
        self.use_only([self.local, *self.remote.values()])

    def use_only(self, peers: list[Peer]) -> None:
        """Replaces the ingress nodes that calls are sent to."""
        self._by_service = {}
        for peer in peers:
            self._by_service.setdefault(peer.service, []).append(peer)

    def on_link_lost(self, peer: RemotePeer) -> None:
        """Removes a node whose link is lost if it is no longer in the roster.

        While the link was up, it was better evidence that the node exists than the roster.
        """
        if not peer.in_roster and self.remote.get(peer.address) is peer:
            del self.remote[peer.address]
            self._retire(peer)
            self._index_by_service()

    def _retire(self, peer: RemotePeer) -> None:
        """Closes the link to a removed node as soon as it has no active calls."""
        if peer.calls:
            self._retired[peer.address] = peer
            self.schedule_check()
        else:
            peer.close()

    def _check_links(self) -> None:
        self._check_timer = None
        now = self._loop.time()
        has_active_calls = False
        for address, peer in list(self._retired.items()):
            if not peer.calls:
                del self._retired[address]
                peer.close()
        for peer in (*self.remote.values(), *self._retired.values()):
            if peer.calls:
                has_active_calls = True
                peer.check_liveness(now, self._on_unresponsive)
        if has_active_calls:
            self.schedule_check()

    def schedule_check(self) -> None:
        """Schedules a check of the links, unless one is already scheduled."""
        if self._check_timer is None:
            self._check_timer = self._loop.call_later(CHECK_INTERVAL_S, self._check_links)

    def close(self) -> None:
        """Closes all links."""
        if self._check_timer is not None:
            self._check_timer.cancel()
        for peer in (*self.remote.values(), *self._retired.values()):
            peer.close()
