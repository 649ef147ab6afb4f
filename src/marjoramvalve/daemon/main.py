"""Entry point of the `marjoramvalved` command."""

import asyncio
import gc
import os
import signal
import sys

import fire
import structlog
import uvloop

from marjoramvalve.daemon.nodes import Node
from marjoramvalve.outcomes import Err
from marjoramvalve.settings import Settings, check_settings, load_settings
from marjoramvalve.telemetry import set_up_logs

EXIT_SETTINGS = 2
EXIT_START = 3
EXIT_TASK_FAILED = 70
GC_GEN0_THRESHOLD = 20_000
GC_OLDER_THRESHOLD = 50

log = structlog.get_logger("daemon")


def settings_or_exit(flags: dict[str, object]) -> Settings:
    """Returns valid settings, or prints all faults and exits.

    Raises SystemExit with EXIT_SETTINGS if any setting is invalid.
    """
    loaded = load_settings(flags, os.environ)
    faults = loaded.faults if isinstance(loaded, Err) else check_settings(loaded.value)
    if faults:
        for fault in faults:
            print(fault, file=sys.stderr)
        raise SystemExit(EXIT_SETTINGS)
    return loaded.value


async def run(cfg: Settings) -> int:
    """Runs a node until SIGTERM, SIGINT or a failure; returns the exit status."""
    node = Node(cfg)
    failure = await node.start()
    if failure is not None:
        log.error(failure.event, detail=failure.detail, hint=failure.hint)
        return EXIT_START
    stop_requested = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signum in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signum, stop_requested.set)
    stop_task = asyncio.create_task(stop_requested.wait())
    failure_task = asyncio.create_task(node.wait_for_failure())
    await asyncio.wait((stop_task, failure_task), return_when=asyncio.FIRST_COMPLETED)
    if not stop_task.done():
        return EXIT_TASK_FAILED
    failure_task.cancel()
    await node.stop()
    await node.close()
    return 0


def serve(**flags: object) -> None:
    """Runs the daemon; see docs/ref/settings.md for the flags."""
    cfg = settings_or_exit(flags)
    gc.freeze()
    gc.set_threshold(GC_GEN0_THRESHOLD, GC_OLDER_THRESHOLD, GC_OLDER_THRESHOLD)
    set_up_logs(cfg.log_level, cfg.instance)
    status = uvloop.run(run(cfg))
    raise SystemExit(status)


def main() -> None:
    """Runs the `marjoramvalved` command."""
    fire.Fire(serve, name="marjoramvalved")
