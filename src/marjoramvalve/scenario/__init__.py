"""Scenarios in a small language, run on virtual time with the real decision code."""

from marjoramvalve.scenario.deployments import DEPLOYMENTS, Deployment, Service
from marjoramvalve.scenario.figures import Figures
from marjoramvalve.scenario.runs import ScenarioResult, run_scenario
from marjoramvalve.scenario.scripts import Script, ScriptFault, parse_script

__all__ = [
    "DEPLOYMENTS",
    "Deployment",
    "Figures",
    "ScenarioResult",
    "Script",
    "ScriptFault",
    "Service",
    "parse_script",
    "run_scenario",
]
