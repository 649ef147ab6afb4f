"""Controllers: the replicated configuration, roster and patch verdicts."""

from marjoramvalve.controller.commands import (
    JoinRoster,
    LeaveRoster,
    SettleRoster,
    SubmitPatch,
    Verdict,
)
from marjoramvalve.controller.drivers import (
    Controller,
    ControllerOptions,
    StartFailure,
    found_folder,
    open_controller,
)
from marjoramvalve.controller.states import ControllerState

__all__ = [
    "Controller",
    "ControllerOptions",
    "ControllerState",
    "JoinRoster",
    "LeaveRoster",
    "SettleRoster",
    "StartFailure",
    "SubmitPatch",
    "Verdict",
    "found_folder",
    "open_controller",
]
