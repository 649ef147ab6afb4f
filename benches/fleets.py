"""Runs daemons and fake upstreams as processes on loopback, for demo, benches and tests."""

import asyncio
import os
import secrets
import signal
import socket
import subprocess
import sys
import time
from dataclasses import dataclass, field
from pathlib import Path

import aiohttp

START_TIMEOUT_S = 20.0
LOOPBACK = "127.0.0.1"
_reserved_ports: set[int] = set()


def free_port() -> int:
    """Returns a loopback port that is free for both TCP and UDP, never the same one twice."""
    while True:
        with (
            socket.socket(socket.AF_INET, socket.SOCK_STREAM) as tcp,
            socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as udp,
        ):
            tcp.bind((LOOPBACK, 0))
            port = tcp.getsockname()[1]
            try:
                udp.bind((LOOPBACK, port))
            except OSError:
                continue
            if port not in _reserved_ports:
                _reserved_ports.add(port)
                return port


def free_address() -> str:
    """Returns a loopback address with a free port."""
    return f"{LOOPBACK}:{free_port()}"


@dataclass(slots=True)
class Daemon:
    """Holds a daemon's addresses and process; `data_dir` is set for controllers only."""

    name: str
    domain: str
    listen: str
    control: str
    peer: str
    data_dir: Path | None
    process: subprocess.Popen | None = None


@dataclass(slots=True)
class Upstream:
    """Holds a fake upstream's address, process and the daemon of its node."""

    name: str
    service: str
    address: str
    node: Daemon
    process: subprocess.Popen | None = None
    options: dict[str, object] = field(default_factory=dict)


class Fleet:
    """Starts and stops daemons and fake upstreams; signals only processes that it started."""

    def __init__(self, folder: Path, code_dir: Path | None = None) -> None:
        self.folder = folder
        self.daemons: dict[str, Daemon] = {}
        self.upstreams: dict[str, Upstream] = {}
        self._code_dir = code_dir
        (folder / "logs").mkdir(parents=True, exist_ok=True)
        for name in ("secret", "operator"):
            (folder / name).write_text(secrets.token_hex(24))
        self.daemon_flags: dict[str, object] = {}
        self.extra_process: subprocess.Popen | None = None

    def add_daemon(self, name: str, domain: str, controller: bool = False) -> Daemon:
        """Adds a daemon without starting it; reserves its addresses."""
        folder = self.folder / name if controller else None
        if folder is not None:
            folder.mkdir(exist_ok=True)
        daemon = Daemon(name, domain, free_address(), free_address(), free_address(), folder)
        self.daemons[name] = daemon
        return daemon

    def _env(self) -> dict[str, str]:
        env = dict(os.environ)
        if self._code_dir is not None:
            env["PYTHONPATH"] = str(self._code_dir)
        return env

    def _spawn(self, name: str, args: list[str]) -> subprocess.Popen:
        log = open(self.folder / "logs" / f"{name}.log", "ab")  # noqa: SIM115
        with log:
            return subprocess.Popen(args, stdout=log, stderr=log, env=self._env())

    def start_daemon(self, name: str, **extra: object) -> None:
        """Starts a daemon of the fleet; `extra` holds additional flags."""
        daemon = self.daemons[name]
        initial = [
            item for item in self.daemons.values() if item.data_dir and not extra.get("join")
        ]
        controllers = extra.pop("controllers", None) or ",".join(
            f"{item.name}@{item.peer}" for item in initial
        )
        flags = {
            "instance": name,
            "domain": daemon.domain,
            "listen": daemon.listen,
            "control": daemon.control,
            "peer": daemon.peer,
            "controllers": controllers,
            "fleet_secret_file": self.folder / "secret",
            "operator_credential_file": self.folder / "operator",
            **self.daemon_flags,
            **extra,
        }
        if daemon.data_dir is not None:
            flags["data_dir"] = daemon.data_dir
        args = [sys.executable, "-m", "marjoramvalve.daemon"]
        args += [f"--{key.replace('_', '-')}={value}" for key, value in flags.items()]
        daemon.process = self._spawn(name, args)

    def mark_founded(self) -> None:
        """Marks the data directories of all controllers as those of a newly founded group."""
        for daemon in self.daemons.values():
            if daemon.data_dir is not None:
                (daemon.data_dir / "founded").touch()

    def start_upstream(self, name: str, service: str, node: str, **options: object) -> Upstream:
        """Starts a fake upstream that registers with a daemon of the fleet."""
        upstream = Upstream(name, service, free_address(), self.daemons[node], options=options)
        self.upstreams[name] = upstream
        self.restart_upstream(name)
        return upstream

    def restart_upstream(self, name: str) -> None:
        """Starts or restarts the process of an upstream."""
        upstream = self.upstreams[name]
        flags = {
            "name": name,
            "service": upstream.service,
            "listen": upstream.address,
            "node_control": upstream.node.control,
            "node_listen": upstream.node.listen,
            **upstream.options,
        }
        args = [sys.executable, "-m", "marjoramvalve.fakes.upstreams"]
        args += [f"--{key}={value}" for key, value in flags.items()]
        upstream.process = self._spawn(name, args)

    def cli(self, *args: str, servers: str = "") -> subprocess.CompletedProcess:
        """Runs the command line tool; `servers` replaces the controllers' addresses."""
        server_list = servers or ",".join(
            item.control for item in self.daemons.values() if item.data_dir is not None
        )
        command = [
            sys.executable,
            "-m",
            "marjoramvalve.cli",
            f"--servers={server_list}",
            f"--credential_file={self.folder / 'operator'}",
            "--json",
        ]
        return subprocess.run([*command, *args], capture_output=True, text=True, env=self._env())

    def credential(self) -> str:
        """Returns the operator credential."""
        return (self.folder / "operator").read_text()

    async def status(self, name: str) -> dict | None:
        """Returns the status of a daemon, or None if it does not respond."""
        headers = {"Authorization": f"Bearer {self.credential()}"}
        url = f"http://{self.daemons[name].control}/v1/status"
        try:
            async with aiohttp.ClientSession(headers=headers) as session:
                async with session.get(url, timeout=aiohttp.ClientTimeout(total=2)) as response:
                    return await response.json()
        except (aiohttp.ClientError, OSError, TimeoutError):
            return None

    async def wait_for(
        self, condition, description: str, timeout_s: float = START_TIMEOUT_S
    ) -> float:
        """Waits until an async condition holds; returns seconds elapsed. Raises TimeoutError."""
        started_at = time.monotonic()
        while not await condition():
            if time.monotonic() > started_at + timeout_s:
                raise TimeoutError(
                    f"timed out waiting for {description} after {timeout_s:g} s; see the logs"
                )
            await asyncio.sleep(0.05)
        return time.monotonic() - started_at

    async def wait_settled(self, names: list[str] | None = None) -> None:
        """Waits until daemons are up to date, know each other and have settled their records."""
        expected = set(names or self.daemons)

        async def is_settled() -> bool:
            for name in expected:
                status = await self.status(name)
                if status is None or not status["current"]:
                    return False
                if {item["name"] for item in status["instances"]} != expected:
                    return False
                if status["settled_epoch"] != status["placement_epoch"]:
                    return False
            return True

        await self.wait_for(is_settled, "settled fleet")

    async def wait_upstreams(self, names: list[str] | None = None) -> None:
        """Waits until every daemon, or each named one, knows every upstream."""

        async def are_known() -> bool:
            for name in names or self.daemons:
                status = await self.status(name)
                upstreams = {item["upstream"] for item in status["targets"]} if status else set()
                if upstreams != set(self.upstreams):
                    return False
            return True

        await self.wait_for(are_known, "upstreams")

    def kill(self, name: str) -> None:
        """Kills a daemon or an upstream with SIGKILL and waits until it has ended."""
        self._signal(name, signal.SIGKILL).wait()

    def terminate(self, name: str) -> subprocess.Popen:
        """Sends SIGTERM to a daemon or an upstream; returns its process."""
        return self._signal(name, signal.SIGTERM)

    def _signal(self, name: str, signal_number: int) -> subprocess.Popen:
        process = (self.daemons.get(name) or self.upstreams.get(name)).process
        process.send_signal(signal_number)
        return process

    def close(self) -> None:
        """Kills all daemons and upstreams that are still running."""
        members = [*self.daemons.values(), *self.upstreams.values()]
        processes = [item.process for item in members if item.process is not None]
        for process in processes:
            if process.poll() is None:
                process.kill()
        for process in processes:
            process.wait()
