"""Runs the scenarios on the simulated deployments and prints their figures.

python -m benches.scenarios [--only NAME] [--scale 0.25] [--seed 1] [--baselines]
"""

import json
from concurrent.futures import ProcessPoolExecutor
from dataclasses import asdict, dataclass
from pathlib import Path

import fire

from marjoramvalve.scenario import DEPLOYMENTS, Script, parse_script, run_scenario
from marjoramvalve.scenario.baselines import NoControlSimulation, StaticLimitSimulation
from marjoramvalve.scenario.deployments import scale_slots
from marjoramvalve.scenario.simulations import Simulation
from marjoramvalve.telemetry import set_up_logs

SCENARIOS_DIR = Path(__file__).parent.parent / "scenarios"
WORKERS = 5
WORLDS = {"none": NoControlSimulation, "static": StaticLimitSimulation, "marjoramvalve": Simulation}


@dataclass(frozen=True, slots=True)
class Job:
    """Parameters of a scenario run; `control` is a key of WORLDS."""

    scenario: str
    deployment: str
    control: str
    scale: float
    seed: int


@dataclass(frozen=True, slots=True)
class Row:
    """Results of a scenario run."""

    scenario: str
    deployment: str
    control: str
    figures: dict[str, float]
    missed: list[str]
    broken: list[str]
    calls: int


def expectation_label(item) -> str:
    """Returns a short label for an expectation, like `goodput >= 0.9`."""
    operator = ">=" if item.at_least else "<="
    name = f"{item.measure} {item.argument}".strip()
    return f"{name} {operator} {item.value:g}"


def run_job(job: Job) -> Row:
    """Runs a scenario and returns its results."""
    set_up_logs("critical", "scenario")
    script = parse_script((SCENARIOS_DIR / f"{job.scenario}.scn").read_text())
    assert isinstance(script, Script), script
    deployment = scale_slots(DEPLOYMENTS[job.deployment], job.scale)
    result = run_scenario(deployment, script, job.seed, WORLDS[job.control])
    return Row(
        job.scenario,
        job.deployment,
        job.control,
        {expectation_label(item): round(figure, 4) for item, figure in result.measured},
        [f"{expectation_label(item.expectation)}: {item.actual:.3f}" for item in result.unmet],
        sorted({f"{item.invariant}: {item.detail}" for item in result.violations})[:5],
        len(result.trace.ends),
    )


def list_jobs(only: str, scale: float, seed: int, baselines: tuple[str, ...]) -> list[Job]:
    """Returns the runs to do: baselines only for scenarios whose name starts with one of them."""
    out = []
    for file in sorted(SCENARIOS_DIR.glob("*.scn")):
        name = file.stem
        if only and only not in name:
            continue
        for deployment in DEPLOYMENTS:
            others = [item for item in DEPLOYMENTS if item != deployment]
            if any(name.endswith(f"-{other}") for other in others):
                continue
            is_compared = any(name.startswith(item) for item in baselines)
            for control in WORLDS if is_compared else ["marjoramvalve"]:
                out.append(Job(name, deployment, control, scale, seed))
    return out


def main(only="", scale=0.25, seed=1, baselines=(), out=""):
    """Runs the scenarios and prints their figures; writes JSON to the file `out` if given."""
    baseline_prefixes = (
        tuple(baselines.split(",")) if isinstance(baselines, str) else tuple(baselines)
    )
    with ProcessPoolExecutor(WORKERS) as pool:
        rows = list(pool.map(run_job, list_jobs(only, scale, seed, baseline_prefixes)))
    for row in rows:
        print(f"{row.scenario:20} {row.deployment:9} {row.control:14} calls {row.calls}")
        for name, figure in row.figures.items():
            mark = "  MISSED" if any(item.startswith(name) for item in row.missed) else ""
            print(f"    {name:28} {figure:10.4f}{mark}")
        for text in row.broken:
            print(f"    BROKEN {text}")
    if out:
        Path(out).write_text(json.dumps([asdict(row) for row in rows], indent=1) + "\n")


if __name__ == "__main__":
    fire.Fire(main)
