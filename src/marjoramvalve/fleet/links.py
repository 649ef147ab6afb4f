"""Which controllers a node keeps links to.

Answers a fleet with many controllers: links and reports to all of them grow with nodes times
controllers. A node keeps to the leader and to a few others, those of its own failure domain first,
since they stay in reach when the domain is cut off. Without a leader it asks all of them.
"""

import hashlib
from collections.abc import Mapping

MAX_FOLLOWER_LINKS = 3  # Beside the leader: as many as may be lost at once, and one more.
MAX_REPORTS_PER_S = 350.0  # That a leader gets; a tenth of a core.
MIN_REPORT_PERIOD_S = 0.3  # Many times within the time that a configuration stays confirmed.
MAX_REPORT_PERIOD_S = 1.0  # A third of the shortest such time.


def choose_links(
    name: str, domain: str, controllers: Mapping[str, str], leader: str | None
) -> frozenset[str]:
    """Returns the addresses to keep links to.

    `controllers` gives the failure domain of each address, empty where it is not known.
    """
    if leader is None:
        return frozenset(controllers)
    others = [address for address in controllers if address != leader]
    others.sort(key=lambda address: (controllers[address] != domain, _rank(name, address)))
    return frozenset((leader, *others[:MAX_FOLLOWER_LINKS]))


def _rank(name: str, address: str) -> bytes:
    return hashlib.blake2b(f"{name}|{address}".encode(), digest_size=8).digest()


def report_period_s(nodes: int) -> float:
    """Returns how often each of so many nodes reports to the leader, in seconds."""
    return min(MAX_REPORT_PERIOD_S, max(MIN_REPORT_PERIOD_S, nodes / MAX_REPORTS_PER_S))
