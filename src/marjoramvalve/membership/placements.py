"""Placement of bucket owners, keepers and relays by rendezvous hashing over the roster.

Source: Thaler and Ravishankar, "Using Name-Based Mappings to Increase Hit Rates" (1998).
"""

from dataclasses import dataclass

import xxhash

from marjoramvalve.wire.messages import Member, Roster


def _score(name: str, key: str) -> int:
    return xxhash.xxh3_64_intdigest(f"{key}\x00{name}".encode())


def _ranked(members: tuple[Member, ...], key: str) -> list[Member]:
    return sorted(members, key=lambda item: _score(item.name, key), reverse=True)


def keepers(roster: Roster, scope: str) -> tuple[Member, ...]:
    """Returns the two keepers of a scope: the first choice, and one in another domain.

    Where the roster has one failure domain only, the second is another instance of it; where it
    has one instance only, there is one keeper.
    """
    ranked = _ranked(roster.members, scope)
    if not ranked:
        return ()
    first = ranked[0]
    others = [item for item in ranked[1:] if item.domain != first.domain] or ranked[1:]
    return (first, *others[:1])


def bucket_owner(roster: Roster, customer: str, domain: str) -> Member | None:
    """Returns the owner of a customer's bucket in a failure domain."""
    members = tuple(item for item in roster.members if item.domain == domain)
    ranked = _ranked(members, f"bucket {customer}")
    return ranked[0] if ranked else None


def relay_of(roster: Roster, domain: str) -> Member | None:
    """Returns the relay of a failure domain."""
    members = tuple(item for item in roster.members if item.domain == domain)
    ranked = _ranked(members, "relay")
    return ranked[0] if ranked else None


@dataclass(frozen=True, slots=True)
class Placement:
    """Counts over a roster that shares depend on."""

    domains: tuple[str, ...]
    instances: int

    @classmethod
    def of(cls, roster: Roster) -> "Placement":
        """Builds the counts of a roster."""
        domains = tuple(sorted({item.domain for item in roster.members}))
        return cls(domains, len(roster.members))
