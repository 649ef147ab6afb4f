"""Placement of bucket owners, keepers and relays by rendezvous hashing over the roster.

Source: Thaler and Ravishankar, "Using Name-Based Mappings to Increase Hit Rates" (1998).
"""

from dataclasses import dataclass

import xxhash

from marjoramvalve.wire.messages import Member, Roster


def _hash_score(name: str, key: str) -> int:
    return xxhash.xxh3_64_intdigest(f"{key}\x00{name}".encode())


def _rank_members(members: tuple[Member, ...], key: str) -> list[Member]:
    return sorted(members, key=lambda item: _hash_score(item.name, key), reverse=True)


def keepers(roster: Roster, scope: str) -> tuple[Member, ...]:
    """Returns the two keepers of a scope, in different failure domains if possible.

    The first has the highest hash score, the second the highest one in any other domain. If the
    roster has a single failure domain, both are in it; if it has a single instance, that is the
    only keeper, and an empty roster has none.
    """
    ranked = _rank_members(roster.members, scope)
    if not ranked:
        return ()
    first = ranked[0]
    others = [item for item in ranked[1:] if item.domain != first.domain] or ranked[1:]
    return (first, *others[:1])


def bucket_owner(roster: Roster, customer: str, domain: str) -> Member | None:
    """Returns the owner of a customer's bucket in a failure domain; None if it has no instance."""
    members = tuple(item for item in roster.members if item.domain == domain)
    ranked = _rank_members(members, f"bucket {customer}")
    return ranked[0] if ranked else None


def relay_of(roster: Roster, domain: str) -> Member | None:
    """Returns the relay of a failure domain; None if the domain has no instance."""
    members = tuple(item for item in roster.members if item.domain == domain)
    ranked = _rank_members(members, "relay")
    return ranked[0] if ranked else None


@dataclass(frozen=True, slots=True)
class Placement:
    """Failure domains and number of instances of a roster, from which shares are computed."""

    domains: tuple[str, ...]
    instances: int

    @classmethod
    def of(cls, roster: Roster) -> "Placement":
        """Returns the domains and the number of instances of `roster`."""
        domains = tuple(sorted({item.domain for item in roster.members}))
        return cls(domains, len(roster.members))
