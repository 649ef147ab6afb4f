"""Control plane of a fleet whose controllers and nodes discover each other from seed addresses."""

from marjoramvalve.fleet.control_plane_clients import ControlPlaneClient, ControlPlaneClientOptions
from marjoramvalve.fleet.controllers import Controller, ControllerOptions
from marjoramvalve.fleet.groups import DataFolderError
from marjoramvalve.fleet.messages import MAX_AMOUNT, NodeLoad, RouteRuns, Suspects
from marjoramvalve.fleet.states import Publish, PublishResult, PublishStatus, compress

__all__ = [
    "MAX_AMOUNT",
    "ControlPlaneClient",
    "ControlPlaneClientOptions",
    "Controller",
    "ControllerOptions",
    "DataFolderError",
    "NodeLoad",
    "Publish",
    "PublishResult",
    "PublishStatus",
    "RouteRuns",
    "Suspects",
    "compress",
]
