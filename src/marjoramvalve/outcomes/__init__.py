"""Result types: errors are returned as values, and a refusal says whether the request ran."""

from marjoramvalve.outcomes.refusals import HTTP_STATUSES, Reason, Refusal, RunStatus, refuse
from marjoramvalve.outcomes.results import Err, Fault, Ok, Result

__all__ = [
    "HTTP_STATUSES",
    "Err",
    "Fault",
    "Ok",
    "Reason",
    "Refusal",
    "Result",
    "RunStatus",
    "refuse",
]
