"""Controllers, which replicate the configuration, the roster and the patch verdicts."""

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
    mark_new_group_folder,
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
    "mark_new_group_folder",
    "open_controller",
]
