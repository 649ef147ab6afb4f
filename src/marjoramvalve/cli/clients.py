"""Client of the control interface: finds the leader, and sends safely again."""

import asyncio
import os
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import aiohttp
import msgspec

TIMEOUT_S = 6.0
ROUNDS = 8
PAUSE_S = 0.4
NOT_LEADER_STATUS = 421
SERVERS_ENV = "MARJORAMVALVE_SERVERS"
CREDENTIAL_ENV = "MARJORAMVALVE_OPERATOR_CREDENTIAL_FILE"


@dataclass(frozen=True, slots=True)
class Reply:
    """An answer of the control interface."""

    status: int
    body: Any


@dataclass(frozen=True, slots=True)
class Unreachable:
    """No instance gave an answer; `maybe_done` tells that one may have taken the request."""

    detail: str
    maybe_done: bool


@dataclass(frozen=True, slots=True)
class Target:
    """Control addresses and the operators' credential."""

    servers: tuple[str, ...]
    credential: str


def target_from(servers: str, credential_file: str) -> Target | str:
    """Returns the target of options and environment, or what is missing."""
    listed = servers or os.environ.get(SERVERS_ENV, "")
    path = credential_file or os.environ.get(CREDENTIAL_ENV, "")
    if not listed:
        return f"no control address: give --servers or {SERVERS_ENV}"
    if not path or not Path(path).is_file():
        return (
            f"credential file {path!r} does not exist: give --credential-file or {CREDENTIAL_ENV}"
        )
    if isinstance(listed, (tuple, list)):
        listed = ",".join(listed)
    parts = tuple(part.strip() for part in str(listed).split(",") if part.strip())
    return Target(parts, Path(path).read_text().strip())


async def _once(
    session: aiohttp.ClientSession, server: str, method: str, path: str, body: Any
) -> Reply:
    data = None if body is None else msgspec.json.encode(body)
    async with session.request(method, f"http://{server}{path}", data=data) as response:
        raw = await response.read()
        return Reply(response.status, msgspec.json.decode(raw) if raw else None)


async def _call(target: Target, method: str, path: str, body: Any, leader: bool):
    maybe_done = False
    detail = ""
    headers = {"Authorization": f"Bearer {target.credential}"}
    timeout = aiohttp.ClientTimeout(total=TIMEOUT_S)
    async with aiohttp.ClientSession(headers=headers, timeout=timeout) as session:
        servers = list(target.servers)
        for turn in range(ROUNDS * len(servers)):
            server = servers[turn % len(servers)]
            try:
                reply = await _once(session, server, method, path, body)
            except aiohttp.ClientConnectorError as exc:
                detail = str(exc)
            except (aiohttp.ClientError, TimeoutError, msgspec.DecodeError) as exc:
                detail = repr(exc)
                maybe_done = True
            else:
                if reply.status == NOT_LEADER_STATUS and leader:
                    detail = f"instance at {server} does not lead"
                    hint = reply.body.get("leader", "")
                    if hint and hint not in servers:
                        servers.insert(turn % len(servers) + 1, hint)
                elif reply.status == 503 and leader:
                    detail = reply.body.get("error", "")
                    maybe_done = True
                else:
                    return reply
            if (turn + 1) % len(servers) == 0:
                await asyncio.sleep(PAUSE_S)
    return Unreachable(detail, maybe_done)


def call(
    target: Target, method: str, path: str, body: Any = None, leader: bool = True
) -> Reply | Unreachable:
    """Calls the control interface; where `leader` is set, only the leader's answer counts.

    A request that changes something must be safe to send again, since lost answers are not told
    from lost requests.
    """
    return asyncio.run(_call(target, method, path, body, leader))
