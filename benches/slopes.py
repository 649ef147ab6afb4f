"""Slopes: how the cost of each role grows, measured with real processes on one machine.

    python -m benches.slopes [--only nodes] [--seconds 6] [--folder docs/data]

Writes the raw points as JSON, a straight-line fit with its residual for each figure and role, and
a plot for each role.
"""

import asyncio
import json
import tempfile
import time
from dataclasses import asdict, dataclass
from pathlib import Path

import aiohttp
import fire
import numpy
import psutil
import uvloop

from benches.fleets import Fleet
from benches.loads import Pool
from marjoramvalve.model import key_digest

KEY = "mvk_slopes_key_0123456789"
SETTLE_S = 2.0
FIGURES = ("cpu_ms_per_s", "memory_mb", "bytes_per_s", "messages_per_s")


@dataclass(frozen=True, slots=True)
class Point:
    """Cost of one role at one value of a variable; means over the role's processes."""

    variable: str
    value: float
    role: str
    processes: int
    cpu_ms_per_s: float
    memory_mb: float
    bytes_per_s: float
    messages_per_s: float


@dataclass(frozen=True, slots=True)
class Sample:
    """Totals of one daemon at one moment."""

    at: float
    cpu_s: float
    memory_mb: float
    sent_bytes: int
    messages: int
    role: str


def document(customers: int, services: int) -> dict:
    """Returns a configuration with so many customers and services."""
    return {
        "customers": {f"c{number}": {"rate": 1e5, "burst": 1e5} for number in range(customers)},
        "keys": {
            key_digest(KEY if number == 0 else f"{KEY}{number}"): {"customer": f"c{number}"}
            for number in range(customers)
        },
        "routes": {
            f"r{number}": {"service": f"s{number}", "path": f"/s{number}"}
            for number in range(services)
        },
    }


async def build(folder: Path, nodes: int, domains: int, customers: int, services: int) -> Fleet:
    """Starts a fleet with three controllers and so many nodes in all."""
    fleet = Fleet(folder)
    for number in range(nodes):
        fleet.add_daemon(
            f"n{number:03d}", f"d{number % domains}", controller=number < min(3, nodes)
        )
    fleet.mark_founded()
    for name in fleet.daemons:
        fleet.start_daemon(name)
    await fleet.wait_settled()
    file = fleet.folder / "patch.json"
    file.write_text(json.dumps(document(customers, services)))
    done = await asyncio.to_thread(fleet.cli, "patch", str(file), "--base=0", "--id=slopes")
    assert done.returncode == 0, done.stderr
    for number in range(services):
        beside = f"n{(number + 3) % nodes:03d}"
        fleet.start_upstream(f"u{number}", f"s{number}", beside, slots=50, delay_ms=1)
    await fleet.wait_upstreams(["n000"])
    await asyncio.sleep(SETTLE_S)
    return fleet


async def sample(fleet: Fleet) -> dict[str, Sample]:
    """Reads every daemon's totals."""
    out = {}
    for name, daemon in fleet.daemons.items():
        status = await fleet.status(name)
        process = psutil.Process(daemon.process.pid)
        controller = status.get("controller")
        role = "node" if controller is None else str(controller["role"])
        out[name] = Sample(
            time.monotonic(),
            sum(process.cpu_times()[:2]),
            process.memory_info().rss / 1e6,
            status["control_bytes"],
            status["control_messages"],
            role,
        )
    return out


def points(
    variable: str, value: float, before: dict[str, Sample], after: dict[str, Sample]
) -> list[Point]:
    """Returns the mean cost of each role between two samples."""
    out = []
    for role in sorted({item.role for item in after.values()}):
        names = [name for name, item in after.items() if item.role == role]
        rows = []
        for name in names:
            first, last = before[name], after[name]
            span = last.at - first.at
            rows.append(
                (
                    (last.cpu_s - first.cpu_s) * 1000 / span,
                    last.memory_mb,
                    (last.sent_bytes - first.sent_bytes) / span,
                    (last.messages - first.messages) / span,
                )
            )
        means = [round(sum(column) / len(rows), 3) for column in zip(*rows, strict=True)]
        out.append(Point(variable, value, role, len(names), *means))
    return out


async def calls(fleet: Fleet, rate: float, seconds: float, services: int) -> None:
    """Sends calls to the first node, spread over the services."""
    pool = Pool(fleet.daemons["n000"].listen)
    await pool.open_connections(8)
    requests = [
        f"GET /s{number}/x HTTP/1.1\r\nHost: x\r\nMarjoramvalve-Key: {KEY}\r\n\r\n".encode()
        for number in range(services)
    ]
    began = time.perf_counter()
    for number in range(int(rate * seconds)):
        due = began + number / rate
        await asyncio.sleep(max(0.0, due - time.perf_counter()))
        pool.send(requests[number % services], due)
    await asyncio.sleep(0.5)
    pool.close()


async def changes(fleet: Fleet, rate: float, seconds: float) -> None:
    """Submits patches at a rate."""

    headers = {"Authorization": f"Bearer {fleet.credential()}"}
    async with aiohttp.ClientSession(headers=headers) as session:
        base = 1
        began = time.monotonic()
        for number in range(int(rate * seconds)):
            await asyncio.sleep(max(0.0, began + number / rate - time.monotonic()))
            patch = {"customers": {"c0": {"rate": 1e5 - number, "burst": 1e5}}}
            body = {"patch_id": f"s{number}-{began}", "base": base, "patch": patch}
            for daemon in list(fleet.daemons.values())[:3]:
                url = f"http://{daemon.control}/v1/patches"
                async with session.post(url, json=body) as response:
                    if response.status == 200:
                        base = (await response.json())["current"]
                        break


async def one(variable: str, value: float, seconds: float) -> list[Point]:
    """Measures one point."""
    nodes = int(value) if variable == "nodes" else 6
    domains = int(value) if variable == "domains" else 3
    if variable == "domains":
        nodes = 12
    customers = int(value) if variable == "customers" else 10
    services = int(value) if variable == "services" else 2
    with tempfile.TemporaryDirectory() as holder:
        fleet = None
        try:
            fleet = await build(Path(holder) / "f", nodes, domains, customers, services)
            before = await sample(fleet)
            match variable:
                case "calls":
                    await calls(fleet, value, seconds, services)
                case "services":
                    await calls(fleet, 4 * value, seconds, services)
                case "changes" if value:
                    await changes(fleet, value, seconds)
                case _:
                    await asyncio.sleep(seconds)
            after = await sample(fleet)
            found = points(variable, value, before, after)
            if variable in ("calls", "services"):
                first = {"n000": before["n000"]}, {"n000": after["n000"]}
                found += [
                    Point(**{**asdict(item), "role": "caller"})
                    for item in points(variable, value, *first)
                ]
            return found
        finally:
            if fleet is not None:
                fleet.close()


SWEEPS = {
    "nodes": (4, 8, 16, 32),
    "domains": (1, 2, 4, 6),
    "customers": (10, 1000, 4000, 8000),
    "services": (1, 4, 8, 16),
    "calls": (50, 100, 200, 400),
    "changes": (0, 2, 5, 10),
}


def fits(rows: list[Point]) -> list[dict]:
    """Returns a straight line for each variable, role and figure, with its largest residual."""
    out = []
    for variable, role in sorted({(item.variable, item.role) for item in rows}):
        chosen = [item for item in rows if (item.variable, item.role) == (variable, role)]
        if len(chosen) < 3:
            continue
        x = numpy.array([item.value for item in chosen], dtype=float)
        for figure in FIGURES:
            y = numpy.array([getattr(item, figure) for item in chosen])
            slope, base = numpy.polyfit(x, y, 1)
            residual = float(numpy.abs(y - (slope * x + base)).max())
            out.append(
                {
                    "variable": variable,
                    "role": role,
                    "figure": figure,
                    "slope": float(f"{slope:.4g}"),
                    "base": float(f"{base:.4g}"),
                    "largest_residual": float(f"{residual:.3g}"),
                }
            )
    return out


def plot(rows: list[Point], folder: Path) -> None:
    """Draws a plot for each role."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    for role in sorted({item.role for item in rows}):
        variables = [name for name in SWEEPS if any(i.variable == name for i in rows)]
        figure, axes = pyplot.subplots(
            len(FIGURES), len(variables), figsize=(3 * len(variables), 8), squeeze=False
        )
        for column, variable in enumerate(variables):
            chosen = [i for i in rows if (i.variable, i.role) == (variable, role)]
            for line, name in enumerate(FIGURES):
                axis = axes[line][column]
                axis.plot([i.value for i in chosen], [getattr(i, name) for i in chosen], "o-")
                axis.set_ylim(bottom=0)
                axis.set_xlabel(variable)
                axis.set_ylabel(name)
        figure.suptitle(f"role: {role}")
        figure.tight_layout()
        figure.savefig(folder / f"slopes-{role}.png", dpi=60)
        pyplot.close(figure)


def main(only: str = "", seconds: float = 6.0, folder: str = "docs/data") -> None:
    """Measures the sweeps, prints the fits and writes data and plots."""
    target = Path(folder)
    target.mkdir(parents=True, exist_ok=True)
    rows: list[Point] = []
    named = only.split(",") if isinstance(only, str) else list(only)
    for variable, values in SWEEPS.items():
        if only and variable not in named:
            continue
        for value in values:
            found = uvloop.run(one(variable, value, seconds))
            for item in found:
                print(json.dumps(asdict(item)), flush=True)
            rows += found
    found = fits(rows)
    data = {"points": [asdict(item) for item in rows], "fits": found}
    (target / "slopes.json").write_text(json.dumps(data, indent=1) + "\n")
    plot(rows, target)
    for item in found:
        print(item)


if __name__ == "__main__":
    fire.Fire(main)
