"""Measures the latency that a node adds to a call, at 60 and 300 calls per second, open loop.

    python -m benches.hop [--before FOLDER] [--seconds N] [--rounds N]

`--before` is a checkout of an earlier commit, whose node is measured in the same run. Direct
calls, calls through this node and calls through the earlier one take turns.
"""

import asyncio
import gc
import json
import statistics
import subprocess
import sys
import tempfile
from dataclasses import dataclass
from pathlib import Path

import fire
import psutil
import uvloop

from benches.fleets import Fleet, free_address
from benches.loads import Pool, new_histogram
from marjoramvalve.model import key_digest

API_KEY = "mvk_bench_key_0123456789"
RATES = (60, 300)
CONNECTIONS = 16
PERCENTILES = (50, 99, 99.9)
TARGET_P99_MS = 0.51


@dataclass(slots=True)
class MeasuredPath:
    """A path to the upstream: its name, address, and the process of the node, if any."""

    name: str
    address: str
    process: psutil.Process | None


def make_request(address: str) -> bytes:
    """Returns an encoded request."""
    return (
        f"GET /stock/levels HTTP/1.1\r\nHost: {address}\r\nMarjoramvalve-Key: {API_KEY}\r\n"
        "Accept: */*\r\nUser-Agent: bench\r\n\r\n"
    ).encode()


async def start_node(folder: Path, code_dir: Path | None) -> tuple[Fleet, str, str, int]:
    """Starts a node that is its own controller, and an upstream.

    Returns the fleet, the addresses of upstream and node, and the node's process ID.
    """
    folder.mkdir(parents=True)
    fleet = Fleet(folder, code_dir)
    daemon = fleet.add_daemon("n1", "amman", controller=True)
    fleet.mark_founded()
    fleet.start_daemon("n1")
    await fleet.wait_settled()
    document = {
        "customers": {"bench": {"rate": 1e6, "burst": 1e6}},
        "keys": {key_digest(API_KEY): {"customer": "bench"}},
        "routes": {"stock": {"service": "stock", "path": "/stock"}},
    }
    file = folder / "patch.json"
    file.write_text(json.dumps(document))
    patch_result = await asyncio.to_thread(fleet.cli, "patch", str(file), "--base=0", "--id=b")
    assert patch_result.returncode == 0, patch_result.stderr
    address = free_address()
    args = [sys.executable, "-m", "benches.echo", "stock-1", "stock", address, daemon.control]
    process = subprocess.Popen(args)
    fleet.extra_process = process

    async def is_known() -> bool:
        status = await fleet.status("n1")
        return bool(status and status["targets"])

    await fleet.wait_for(is_known, "upstream")
    return fleet, address, daemon.listen, daemon.process.pid


async def measure(paths: list[MeasuredPath], rounds: int, seconds: float) -> list[dict]:
    """Measures every path at every rate; in each round the paths take turns."""
    rows = []
    for rate in RATES:
        merged = {path.name: new_histogram() for path in paths}
        cpu = {path.name: 0.0 for path in paths}
        p99s = {path.name: [] for path in paths}
        failures = {path.name: 0 for path in paths}
        for _ in range(rounds):
            for path in paths:
                pool = Pool(path.address)
                await pool.open_connections(CONNECTIONS)
                request = make_request(path.address)
                await pool.send_at_rate(request, rate, 0.5)
                before = sum(path.process.cpu_times()[:2]) if path.process else 0.0
                result = await pool.send_at_rate(request, rate, seconds)
                after = sum(path.process.cpu_times()[:2]) if path.process else 0.0
                pool.close()
                cpu[path.name] += after - before
                merged[path.name].add(result.latencies)
                p99s[path.name].append(result.latencies.get_value_at_percentile(99) / 1000)
                failures[path.name] += result.unsent + sum(
                    count for status, count in result.statuses.items() if status != 200
                )
        rows += [
            make_row(path, rate, merged, cpu, p99s, failures, rounds * seconds * rate)
            for path in paths
        ]
    return rows


def make_row(path: MeasuredPath, rate: int, merged, cpu, p99s, failures, calls: float) -> dict:
    """Returns the figures of a path at one rate; added latency is relative to direct calls."""
    out = {"path": path.name, "rate": rate, "bad": failures[path.name]}
    for percentile in PERCENTILES:
        latency_ms = merged[path.name].get_value_at_percentile(percentile) / 1000
        direct = merged["direct"].get_value_at_percentile(percentile) / 1000
        out[f"p{percentile:g}_ms"] = round(latency_ms, 3)
        out[f"added_p{percentile:g}_ms"] = round(latency_ms - direct, 3)
    pairs = zip(p99s[path.name], p99s["direct"], strict=True)
    out["added_p99_median_ms"] = round(
        statistics.median(own_p99 - direct_p99 for own_p99, direct_p99 in pairs), 3
    )
    out["cpu_ms_per_call"] = round(cpu[path.name] * 1000 / calls, 3)
    out["memory_mb"] = round(path.process.memory_info().rss / 1e6, 1) if path.process else 0
    return out


def print_table(rows: list[dict]) -> None:
    """Prints rows with aligned columns."""
    names = list(rows[0])
    widths = [max(len(name), *(len(str(item[name])) for item in rows)) for name in names]
    print("  ".join(name.ljust(width) for name, width in zip(names, widths, strict=True)))
    for item in rows:
        cells = (str(item[name]).ljust(width) for name, width in zip(names, widths, strict=True))
        print("  ".join(cells))


async def run(before: str, seconds: float, rounds: int) -> list[dict]:
    """Starts the nodes and measures all paths."""
    with tempfile.TemporaryDirectory() as temp_dir:
        fleets = []
        try:
            fleet, upstream, listen, pid = await start_node(Path(temp_dir) / "now", None)
            fleets.append(fleet)
            paths = [MeasuredPath("direct", upstream, None)]
            paths.append(MeasuredPath("node", listen, psutil.Process(pid)))
            if before:
                code_dir = Path(before).resolve() / "src"
                old_fleet, _, address, old_pid = await start_node(
                    Path(temp_dir) / "before", code_dir
                )
                fleets.append(old_fleet)
                paths.append(MeasuredPath("before", address, psutil.Process(old_pid)))
            return await measure(paths, rounds, seconds)
        finally:
            for fleet in fleets:
                fleet.close()
                fleet.extra_process.terminate()
                fleet.extra_process.wait()


def main(before: str = "", seconds: float = 4.0, rounds: int = 4, out: str = "") -> None:
    """Prints the results as a table and as JSON; writes the JSON to the file `out` if given."""
    gc.disable()  # Collections would pause the load generator.
    rows = uvloop.run(run(before, seconds, rounds))
    print_table(rows)
    text = json.dumps({"target_added_p99_ms": TARGET_P99_MS, "rows": rows})
    print(text)
    if out:
        Path(out).write_text(text + "\n")


if __name__ == "__main__":
    fire.Fire(main)
