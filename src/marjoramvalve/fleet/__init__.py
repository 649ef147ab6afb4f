"""The control plane of a fleet that finds itself from a few seed addresses."""

from marjoramvalve.fleet.controllers import Controller, ControllerOptions
from marjoramvalve.fleet.groups import FolderError
from marjoramvalve.fleet.members import Member, MemberOptions
from marjoramvalve.fleet.messages import NodeLoad, RouteRuns, Suspects
from marjoramvalve.fleet.states import Publish, PublishResult, PublishStatus, compress

__all__ = [
    "Controller",
    "ControllerOptions",
    "FolderError",
    "Member",
    "MemberOptions",
    "NodeLoad",
    "Publish",
    "PublishResult",
    "PublishStatus",
    "RouteRuns",
    "Suspects",
    "compress",
]
