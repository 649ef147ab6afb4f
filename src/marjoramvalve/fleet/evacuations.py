"""Evacuated failure domains: their upstreams get nothing more until an operator takes that back.

The load it answers: an operator empties a domain, and all its calls go elsewhere at once.
"""

import msgspec


class SetEvacuation(msgspec.Struct, frozen=True, array_like=True):
    """Starts or ends the evacuation of a failure domain."""

    domain: str
    is_evacuated: bool


class Evacuations(msgspec.Struct, frozen=True, array_like=True):
    """The evacuated failure domains. `revision` increases with each change."""

    revision: int = 0
    domains: tuple[str, ...] = ()

    def apply(self, command: SetEvacuation) -> "Evacuations":
        """Returns the evacuations after a command, unchanged if that has been done already."""
        if (command.domain in self.domains) is command.is_evacuated:
            return self
        changed = set(self.domains) ^ {command.domain}
        return Evacuations(self.revision + 1, tuple(sorted(changed)))

    def newest(self, other: "Evacuations") -> "Evacuations":
        """Returns the later one of two states of the same group of controllers."""
        return other if other.revision > self.revision else self
