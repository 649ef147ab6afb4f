"""Measures how the cost of each role grows with load and size, with processes on one machine.

    python -m benches.slopes [--only nodes] [--seconds 6] [--folder docs/data]

Writes the measured points and a linear fit for each figure and role as JSON, and a plot for each
role.
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

API_KEY = "mvk_slopes_key_0123456789"
SETTLE_S = 2.0
FIGURES = ("cpu_ms_per_s", "memory_mb", "bytes_per_s", "messages_per_s")


@dataclass(frozen=True, slots=True)
class Point:
    """Cost of a role at one value of a variable, averaged over the processes of the role."""

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
    """Resource totals of one daemon at one time."""

    at: float
    cpu_s: float
    memory_mb: float
    sent_bytes: int
    messages: int
    role: str


def make_document(customers: int, services: int) -> dict:
    """Returns a configuration with these numbers of customers and services."""
    return {
        "customers": {f"c{number}": {"rate": 1e5, "burst": 1e5} for number in range(customers)},
        "keys": {
            key_digest(API_KEY if number == 0 else f"{API_KEY}{number}"): {"customer": f"c{number}"}
            for number in range(customers)
        },
        "routes": {
            f"r{number}": {"service": f"s{number}", "path": f"/s{number}"}
            for number in range(services)
        },
    }


async def start_fleet(
    folder: Path, nodes: int, domains: int, customers: int, services: int
) -> Fleet:
    """Starts a fleet of `nodes` daemons, up to three of them controllers, and its upstreams."""
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
    file.write_text(json.dumps(make_document(customers, services)))
    result = await asyncio.to_thread(fleet.cli, "patch", str(file), "--base=0", "--id=slopes")
    assert result.returncode == 0, result.stderr
    for number in range(services):
        node = f"n{(number + 3) % nodes:03d}"
        fleet.start_upstream(f"u{number}", f"s{number}", node, slots=50, delay_ms=1)
    await fleet.wait_upstreams(["n000"])
    await asyncio.sleep(SETTLE_S)
    return fleet


async def take_samples(fleet: Fleet) -> dict[str, Sample]:
    """Returns the current totals of every daemon."""
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


def mean_costs(
    variable: str, value: float, before: dict[str, Sample], after: dict[str, Sample]
) -> list[Point]:
    """Returns the mean cost of each role between two sets of samples."""
    out = []
    for role in sorted({item.role for item in after.values()}):
        names = [name for name, item in after.items() if item.role == role]
        rows = []
        for name in names:
            first, last = before[name], after[name]
            elapsed_s = last.at - first.at
            rows.append(
                (
                    (last.cpu_s - first.cpu_s) * 1000 / elapsed_s,
                    last.memory_mb,
                    (last.sent_bytes - first.sent_bytes) / elapsed_s,
                    (last.messages - first.messages) / elapsed_s,
                )
            )
        means = [round(sum(column) / len(rows), 3) for column in zip(*rows, strict=True)]
        out.append(Point(variable, value, role, len(names), *means))
    return out


async def send_calls(fleet: Fleet, rate: float, seconds: float, services: int) -> None:
    """Sends calls to the first node at a constant rate, spread over the services."""
    pool = Pool(fleet.daemons["n000"].listen)
    await pool.open_connections(8)
    requests = [
        f"GET /s{number}/x HTTP/1.1\r\nHost: x\r\nMarjoramvalve-Key: {API_KEY}\r\n\r\n".encode()
        for number in range(services)
    ]
    started_at = time.perf_counter()
    for number in range(int(rate * seconds)):
        due_at = started_at + number / rate
        await asyncio.sleep(max(0.0, due_at - time.perf_counter()))
        pool.send(requests[number % services], due_at)
    await asyncio.sleep(0.5)
    pool.close()


async def submit_patches(fleet: Fleet, rate: float, seconds: float) -> None:
    """Submits patches at a constant rate."""

    headers = {"Authorization": f"Bearer {fleet.credential()}"}
    async with aiohttp.ClientSession(headers=headers) as session:
        base = 1
        started_at = time.monotonic()
        for number in range(int(rate * seconds)):
            await asyncio.sleep(max(0.0, started_at + number / rate - time.monotonic()))
            patch = {"customers": {"c0": {"rate": 1e5 - number, "burst": 1e5}}}
            body = {"patch_id": f"s{number}-{started_at}", "base": base, "patch": patch}
            for daemon in list(fleet.daemons.values())[:3]:
                url = f"http://{daemon.control}/v1/patches"
                async with session.post(url, json=body) as response:
                    if response.status == 200:
                        base = (await response.json())["current"]
                        break


async def measure_point(variable: str, value: float, seconds: float) -> list[Point]:
    """Measures the cost of each role at one value of a variable, with a new fleet."""
    nodes = int(value) if variable == "nodes" else 6
    domains = int(value) if variable == "domains" else 3
    if variable == "domains":
        nodes = 12
    customers = int(value) if variable == "customers" else 10
    services = int(value) if variable == "services" else 2
    with tempfile.TemporaryDirectory() as temp_dir:
        fleet = None
        try:
            fleet = await start_fleet(Path(temp_dir) / "f", nodes, domains, customers, services)
            before = await take_samples(fleet)
            match variable:
                case "calls":
                    await send_calls(fleet, value, seconds, services)
                case "services":
                    await send_calls(fleet, 4 * value, seconds, services)
                case "changes" if value:
                    await submit_patches(fleet, value, seconds)
                case _:
                    await asyncio.sleep(seconds)
            after = await take_samples(fleet)
            new_points = mean_costs(variable, value, before, after)
            if variable in ("calls", "services"):
                first = {"n000": before["n000"]}, {"n000": after["n000"]}
                new_points += [
                    Point(**{**asdict(item), "role": "caller"})
                    for item in mean_costs(variable, value, *first)
                ]
            return new_points
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


def fit_lines(rows: list[Point]) -> list[dict]:
    """Returns a linear fit and its largest residual for each variable, role and figure."""
    out = []
    for variable, role in sorted({(item.variable, item.role) for item in rows}):
        selected = [item for item in rows if (item.variable, item.role) == (variable, role)]
        if len(selected) < 3:
            continue
        x = numpy.array([item.value for item in selected], dtype=float)
        for figure in FIGURES:
            y = numpy.array([getattr(item, figure) for item in selected])
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
            selected = [i for i in rows if (i.variable, i.role) == (variable, role)]
            for line, name in enumerate(FIGURES):
                axis = axes[line][column]
                axis.plot([i.value for i in selected], [getattr(i, name) for i in selected], "o-")
                axis.set_ylim(bottom=0)
                axis.set_xlabel(variable)
                axis.set_ylabel(name)
        figure.suptitle(f"role: {role}")
        figure.tight_layout()
        figure.savefig(folder / f"slopes-{role}.png", dpi=60)
        pyplot.close(figure)


def main(only: str = "", seconds: float = 6.0, folder: str = "docs/data") -> None:
    """Measures the sweeps, prints the fits and writes data and plots."""
    output_dir = Path(folder)
    output_dir.mkdir(parents=True, exist_ok=True)
    rows: list[Point] = []
    selected_variables = only.split(",") if isinstance(only, str) else list(only)
    for variable, values in SWEEPS.items():
        if only and variable not in selected_variables:
            continue
        for value in values:
            new_points = uvloop.run(measure_point(variable, value, seconds))
            for item in new_points:
                print(json.dumps(asdict(item)), flush=True)
            rows += new_points
    fits = fit_lines(rows)
    data = {"points": [asdict(item) for item in rows], "fits": fits}
    (output_dir / "slopes.json").write_text(json.dumps(data, indent=1) + "\n")
    plot(rows, output_dir)
    for item in fits:
        print(item)


if __name__ == "__main__":
    fire.Fire(main)
