"""Scenarios in a small language, run on virtual time with the production decision code."""

from marjoramvalve.scenario.deployments import DEPLOYMENTS, Deployment, Service
from marjoramvalve.scenario.graphs import CallGraphSimulation
from marjoramvalve.scenario.loads import (
    AnnouncedLimits,
    Departures,
    FatalRequest,
    GraphResult,
    GraphRoute,
    GraphService,
    GreyFailure,
    Outage,
    RouteTally,
    Shedding,
    Surge,
)
from marjoramvalve.scenario.metrics import RunMetrics
from marjoramvalve.scenario.runs import ScenarioResult, run_scenario
from marjoramvalve.scenario.scripts import Script, ScriptError, parse_script

__all__ = [
    "DEPLOYMENTS",
    "AnnouncedLimits",
    "CallGraphSimulation",
    "Departures",
    "Deployment",
    "FatalRequest",
    "GraphResult",
    "GraphRoute",
    "GraphService",
    "GreyFailure",
    "Shedding",
    "Outage",
    "RouteTally",
    "RunMetrics",
    "ScenarioResult",
    "Script",
    "ScriptError",
    "Service",
    "Surge",
    "parse_script",
    "run_scenario",
]
