"""Repair of the consensus group: which controllers are added, promoted and removed.

Handles controllers that lost their data folders, that are permanently gone, and that are new. The
group changes by one member at a time; each change needs a majority of the voters, so that no
change can split the group.
"""

from collections.abc import Callable
from dataclasses import dataclass

REPLACE_AFTER_S = 5.0  # A voter that is silent for longer is replaced by a learner.
MAX_VOTERS = 7  # Tolerates the loss of three; with more, each commit waits for more disks.


@dataclass(frozen=True, slots=True)
class MembershipChange:
    """One change of the group. `action` is `add` (a learner), `promote` or `remove`."""

    action: str
    name: str
    address: str = ""


def target_voter_count(members: int) -> int:
    """Returns the number of voters for a group of this many members.

    It is odd: one more voter would not increase the number of tolerated losses.
    """
    count = min(MAX_VOTERS, members)
    return max(1, count - (count + 1) % 2)


def next_membership_change(
    voters: dict[str, str],
    learners: dict[str, str],
    live: dict[str, str],
    own_name: str,
    silence_s: Callable[[str], float],
) -> MembershipChange | None:
    """Returns the next change for the leader to make, or None.

    `live` maps the names of the other running controllers to their addresses. A new name at the
    address of a member means that the member lost its data folder.
    """
    members = {**voters, **learners}
    for name, address in live.items():
        for member, member_address in members.items():
            if member_address == address and member != name:
                return MembershipChange("remove", member)
        if name not in members:
            return MembershipChange("add", name, address)
    return _next_voter_change(voters, learners, {*live, own_name}, silence_s)


def _next_voter_change(
    voters: dict[str, str],
    learners: dict[str, str],
    live: set[str],
    silence_s: Callable[[str], float],
) -> MembershipChange | None:
    live_learners = [name for name in learners if name in live]
    target = target_voter_count(len(voters) + len(learners))
    silent_voters = [name for name in voters if name not in live]
    lost_voters = [name for name in silent_voters if silence_s(name) > REPLACE_AFTER_S]
    if live_learners and len(voters) < target:
        return MembershipChange("promote", live_learners[0])
    if len(voters) > target:
        return MembershipChange("remove", lost_voters[0]) if lost_voters else None
    if live_learners and lost_voters:
        return MembershipChange("promote", live_learners[0])
    lost_learners = [
        name for name in learners if name not in live and silence_s(name) > REPLACE_AFTER_S
    ]
    if lost_learners and not silent_voters:
        return MembershipChange("remove", lost_learners[0])
    return None
