"""The control plane of a fleet that finds itself from a few seed addresses."""

from marjoramvalve.fleet.controllers import Controller, ControllerOptions
from marjoramvalve.fleet.members import Member, MemberOptions
from marjoramvalve.fleet.messages import UpstreamReport
from marjoramvalve.fleet.states import Publish, Verdict, VerdictKind

__all__ = [
    "Controller",
    "ControllerOptions",
    "Member",
    "MemberOptions",
    "Publish",
    "UpstreamReport",
    "Verdict",
    "VerdictKind",
]
