"""A fleet of real processes on loopback, for the demo, benches and failure tests."""

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

START_S = 20.0
LOOPBACK = "127.0.0.1"
_taken: set[int] = set()


def free_port() -> int:
    """Returns a port that is free for both TCP and UDP."""
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
            if port not in _taken:
                _taken.add(port)
                return port


def free_address() -> str:
    """Returns a free loopback address."""
    return f"{LOOPBACK}:{free_port()}"


@dataclass(slots=True)
class Daemon:
    """One daemon: its addresses and process."""

    name: str
    domain: str
    listen: str
    control: str
    peer: str
    data_dir: Path | None
    process: subprocess.Popen | None = None


@dataclass(slots=True)
class Upstream:
    """One stand-in upstream: its address and process."""

    name: str
    service: str
    address: str
    beside: Daemon
    process: subprocess.Popen | None = None
    options: dict[str, object] = field(default_factory=dict)


class Fleet:
    """Starts and ends daemons and stand-in upstreams, each by its process id."""

    def __init__(self, folder: Path, code: Path | None = None) -> None:
        self.folder = folder
        self.daemons: dict[str, Daemon] = {}
        self.upstreams: dict[str, Upstream] = {}
        self._code = code
        (folder / "logs").mkdir(parents=True, exist_ok=True)
        for name in ("secret", "operator"):
            (folder / name).write_text(secrets.token_hex(24))
        self.flags: dict[str, object] = {}
        self.extra: subprocess.Popen | None = None

    def plan(self, name: str, domain: str, controller: bool = False) -> Daemon:
        """Reserves addresses for a daemon."""
        folder = self.folder / name if controller else None
        if folder is not None:
            folder.mkdir(exist_ok=True)
        daemon = Daemon(name, domain, free_address(), free_address(), free_address(), folder)
        self.daemons[name] = daemon
        return daemon

    def _env(self) -> dict[str, str]:
        env = dict(os.environ)
        if self._code is not None:
            env["PYTHONPATH"] = str(self._code)
        return env

    def _spawn(self, name: str, args: list[str]) -> subprocess.Popen:
        log = open(self.folder / "logs" / f"{name}.log", "ab")  # noqa: SIM115
        with log:
            return subprocess.Popen(args, stdout=log, stderr=log, env=self._env())

    def start_daemon(self, name: str, **extra: object) -> None:
        """Starts a planned daemon."""
        daemon = self.daemons[name]
        first = [item for item in self.daemons.values() if item.data_dir and not extra.get("join")]
        listed = extra.pop("controllers", None) or ",".join(
            f"{item.name}@{item.peer}" for item in first
        )
        flags = {
            "instance": name,
            "domain": daemon.domain,
            "listen": daemon.listen,
            "control": daemon.control,
            "peer": daemon.peer,
            "controllers": listed,
            "fleet_secret_file": self.folder / "secret",
            "operator_credential_file": self.folder / "operator",
            **self.flags,
            **extra,
        }
        if daemon.data_dir is not None:
            flags["data_dir"] = daemon.data_dir
        args = [sys.executable, "-m", "marjoramvalve.daemon"]
        args += [f"--{key.replace('_', '-')}={value}" for key, value in flags.items()]
        daemon.process = self._spawn(name, args)

    def found(self) -> None:
        """Marks the data folders of all planned controllers as a new group's."""
        for daemon in self.daemons.values():
            if daemon.data_dir is not None:
                (daemon.data_dir / "founded").touch()

    def start_upstream(self, name: str, service: str, beside: str, **options: object) -> Upstream:
        """Starts a stand-in upstream beside a daemon."""
        upstream = Upstream(name, service, free_address(), self.daemons[beside], options=options)
        self.upstreams[name] = upstream
        self.restart_upstream(name)
        return upstream

    def restart_upstream(self, name: str) -> None:
        """Starts an upstream's process, again where it has ended."""
        upstream = self.upstreams[name]
        flags = {
            "name": name,
            "service": upstream.service,
            "listen": upstream.address,
            "node_control": upstream.beside.control,
            "node_listen": upstream.beside.listen,
            **upstream.options,
        }
        args = [sys.executable, "-m", "marjoramvalve.fakes.upstreams"]
        args += [f"--{key}={value}" for key, value in flags.items()]
        upstream.process = self._spawn(name, args)

    def cli(self, *args: str, servers: str = "") -> subprocess.CompletedProcess:
        """Runs the operators' command line."""
        listed = servers or ",".join(
            item.control for item in self.daemons.values() if item.data_dir is not None
        )
        command = [
            sys.executable,
            "-m",
            "marjoramvalve.cli",
            f"--servers={listed}",
            f"--credential_file={self.folder / 'operator'}",
            "--json",
        ]
        return subprocess.run([*command, *args], capture_output=True, text=True, env=self._env())

    def credential(self) -> str:
        """Returns the operators' credential."""
        return (self.folder / "operator").read_text()

    async def status(self, name: str) -> dict | None:
        """Returns the status of a daemon, or None where it does not answer."""
        headers = {"Authorization": f"Bearer {self.credential()}"}
        url = f"http://{self.daemons[name].control}/v1/status"
        try:
            async with aiohttp.ClientSession(headers=headers) as session:
                async with session.get(url, timeout=aiohttp.ClientTimeout(total=2)) as response:
                    return await response.json()
        except (aiohttp.ClientError, OSError, TimeoutError):
            return None

    async def wait(self, condition, what: str, timeout_s: float = START_S) -> float:
        """Waits until an async condition holds; returns the seconds it took."""
        began = time.monotonic()
        while not await condition():
            if time.monotonic() > began + timeout_s:
                raise TimeoutError(f"{what} did not come within {timeout_s:g} s; see the logs")
            await asyncio.sleep(0.05)
        return time.monotonic() - began

    async def wait_settled(self, names: list[str] | None = None) -> None:
        """Waits until daemons are current, see each other and have settled their records."""
        expected = set(names or self.daemons)

        async def settled() -> bool:
            for name in expected:
                status = await self.status(name)
                if status is None or not status["current"]:
                    return False
                if {item["name"] for item in status["instances"]} != expected:
                    return False
                if status["settled_epoch"] != status["placement_epoch"]:
                    return False
            return True

        await self.wait(settled, "settled fleet")

    async def wait_upstreams(self, names: list[str] | None = None) -> None:
        """Waits until every daemon knows every upstream."""

        async def known() -> bool:
            for name in names or self.daemons:
                status = await self.status(name)
                found = {item["upstream"] for item in status["targets"]} if status else set()
                if found != set(self.upstreams):
                    return False
            return True

        await self.wait(known, "upstreams")

    def kill(self, name: str) -> None:
        """Ends a daemon or an upstream with SIGKILL."""
        self._signal(name, signal.SIGKILL).wait()

    def terminate(self, name: str) -> subprocess.Popen:
        """Asks a daemon or an upstream to stop; returns its process."""
        return self._signal(name, signal.SIGTERM)

    def _signal(self, name: str, signum: int) -> subprocess.Popen:
        process = (self.daemons.get(name) or self.upstreams.get(name)).process
        process.send_signal(signum)
        return process

    def close(self) -> None:
        """Ends every process that is left."""
        everything = [*self.daemons.values(), *self.upstreams.values()]
        processes = [item.process for item in everything if item.process is not None]
        for process in processes:
            if process.poll() is None:
                process.kill()
        for process in processes:
            process.wait()
