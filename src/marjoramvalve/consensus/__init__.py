"""Replicated log after the Raft algorithm, as a state machine without input or output.

Source: Ongaro and Ousterhout, "In Search of an Understandable Consensus Algorithm" (2014), and
Ongaro's dissertation (2014) for pre-vote, check-quorum, learners and single-server changes.
"""

from marjoramvalve.consensus.effects import Apply, Effect, Persist, Restore, SaveSnapshot, Send
from marjoramvalve.consensus.logs import Log, Snapshot
from marjoramvalve.consensus.replicas import HardState, ProposalVerdict, Replica, Role, Timing

__all__ = [
    "Apply",
    "Effect",
    "HardState",
    "Log",
    "Persist",
    "ProposalVerdict",
    "Replica",
    "Restore",
    "Role",
    "SaveSnapshot",
    "Send",
    "Snapshot",
    "Timing",
]
