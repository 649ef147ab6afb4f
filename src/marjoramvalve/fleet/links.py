"""Selection of the controllers that a node keeps links to.

With links to all controllers, the number of links and reports would grow with nodes times
controllers. A node links to the leader and to a few followers, preferring those of its own failure
domain because they stay reachable when the domain is cut off. Without a leader it links to all.
"""

import hashlib
from collections.abc import Mapping

MAX_FOLLOWER_LINKS = 3  # One more than the controllers that may fail at once.
MAX_REPORTS_PER_S = 350.0  # Reports to the leader; they take a tenth of a core.
MIN_REPORT_PERIOD_S = 0.3  # A small part of the configuration lease.
MAX_REPORT_PERIOD_S = 1.0  # A third of the shortest configuration lease.


def choose_links(
    name: str, domain: str, controllers: Mapping[str, str], leader: str | None
) -> frozenset[str]:
    """Returns the addresses of the controllers to link to.

    `controllers` holds the failure domain by address, empty where it is not known.
    """
    if leader is None:
        return frozenset(controllers)
    others = [address for address in controllers if address != leader]
    others.sort(key=lambda address: (controllers[address] != domain, _rank(name, address)))
    return frozenset((leader, *others[:MAX_FOLLOWER_LINKS]))


def _rank(name: str, address: str) -> bytes:
    return hashlib.blake2b(f"{name}|{address}".encode(), digest_size=8).digest()


def report_period_s(nodes: int) -> float:
    """Returns the interval, in seconds, at which each of `nodes` nodes reports to the leader."""
    return min(MAX_REPORT_PERIOD_S, max(MIN_REPORT_PERIOD_S, nodes / MAX_REPORTS_PER_S))
