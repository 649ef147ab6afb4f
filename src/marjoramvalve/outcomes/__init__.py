"""Tagged outcomes: errors are values, and each refusal says whether the request ran."""

from marjoramvalve.outcomes.refusals import STATUS, Reason, Refusal, Run, refuse
from marjoramvalve.outcomes.results import Err, Fault, Ok, Result

__all__ = ["STATUS", "Err", "Fault", "Ok", "Reason", "Refusal", "Result", "Run", "refuse"]
