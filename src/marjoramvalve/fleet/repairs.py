"""Repair of the group of controllers: who is taken in, and who takes whose place.

Answers controllers that lost their folders, that went away for good, and that came in addition.
One change at a time; each needs a majority of the voters, so that no change can split the group.
"""

from collections.abc import Callable
from dataclasses import dataclass

REPLACE_AFTER_S = 5.0  # A silent voter is replaced by a spare after this.
MAX_VOTERS = 7  # Stands the loss of three; more voters make each change wait for more disks.


@dataclass(frozen=True, slots=True)
class MembershipChange:
    """One change of the group: `add` a learner, `promote` it, or `remove` a member."""

    action: str
    name: str
    address: str = ""


def target_voter_count(members: int) -> int:
    """Returns the number of voters; an even group stands no more losses than the next odd one."""
    count = min(MAX_VOTERS, members)
    return max(1, count - (count + 1) % 2)


def next_membership_change(
    voters: dict[str, str],
    learners: dict[str, str],
    live: dict[str, str],
    own_name: str,
    silence_s: Callable[[str], float],
) -> MembershipChange | None:
    """Returns the next change that a leader makes, or None.

    `live` names the other controllers that say who they are, with their addresses. A name at the
    address of another one means that the older one lost its folder.
    """
    everyone = {**voters, **learners}
    for name, address in live.items():
        for older, place in everyone.items():
            if place == address and older != name:
                return MembershipChange("remove", older)
        if name not in everyone:
            return MembershipChange("add", name, address)
    return _next_voter_change(voters, learners, {*live, own_name}, silence_s)


def _next_voter_change(
    voters: dict[str, str],
    learners: dict[str, str],
    live: set[str],
    silence_s: Callable[[str], float],
) -> MembershipChange | None:
    ready = [name for name in learners if name in live]
    wanted = target_voter_count(len(voters) + len(learners))
    silent = [name for name in voters if name not in live]
    gone = [name for name in silent if silence_s(name) > REPLACE_AFTER_S]
    if ready and len(voters) < wanted:
        return MembershipChange("promote", ready[0])
    if len(voters) > wanted:
        return MembershipChange("remove", gone[0]) if gone else None
    if ready and gone:
        return MembershipChange("promote", ready[0])
    lost = [name for name in learners if name not in live and silence_s(name) > REPLACE_AFTER_S]
    if lost and not silent:
        return MembershipChange("remove", lost[0])
    return None
