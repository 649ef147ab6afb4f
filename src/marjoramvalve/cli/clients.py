"""Client of the control API: finds the leader and retries requests."""

import asyncio
import os
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import aiohttp
import msgspec

REQUEST_TIMEOUT_S = 6.0
ATTEMPTS_PER_SERVER = 8
RETRY_INTERVAL_S = 0.4  # Pause after each pass over the servers.
NOT_LEADER_STATUS = 421
SERVERS_VARIABLE = "MARJORAMVALVE_SERVERS"
CREDENTIAL_FILE_VARIABLE = "MARJORAMVALVE_OPERATOR_CREDENTIAL_FILE"


@dataclass(frozen=True, slots=True)
class ControlResponse:
    """Response of the control API: HTTP status and decoded JSON body."""

    status: int
    body: Any


@dataclass(frozen=True, slots=True)
class NoResponse:
    """No instance accepted the request, or the response was lost.

    `outcome_unknown` is set if an instance may have received and executed the request.
    """

    detail: str
    outcome_unknown: bool


@dataclass(frozen=True, slots=True)
class ControlTarget:
    """Control addresses of instances, and the operator credential."""

    servers: tuple[str, ...]
    credential: str


def resolve_target(servers: str, credential_file: str) -> ControlTarget | str:
    """Returns the target given by options or environment variables, or an error message."""
    server_list = servers or os.environ.get(SERVERS_VARIABLE, "")
    credential_path = credential_file or os.environ.get(CREDENTIAL_FILE_VARIABLE, "")
    if not server_list:
        return f"no control address: set --servers or {SERVERS_VARIABLE}"
    if not credential_path or not Path(credential_path).is_file():
        return (
            f"credential file {credential_path!r} does not exist: "
            f"set --credential-file or {CREDENTIAL_FILE_VARIABLE}"
        )
    if isinstance(server_list, (tuple, list)):
        server_list = ",".join(server_list)
    addresses = tuple(address.strip() for address in str(server_list).split(",") if address.strip())
    return ControlTarget(addresses, Path(credential_path).read_text().strip())


async def _send_request(
    session: aiohttp.ClientSession, server: str, method: str, path: str, body: Any
) -> ControlResponse:
    data = None if body is None else msgspec.json.encode(body)
    async with session.request(method, f"http://{server}{path}", data=data) as response:
        payload = await response.read()
        return ControlResponse(response.status, msgspec.json.decode(payload) if payload else None)


async def _call_with_retries(
    target: ControlTarget, method: str, path: str, body: Any, leader_only: bool
):
    outcome_unknown = False
    detail = ""
    headers = {"Authorization": f"Bearer {target.credential}"}
    timeout = aiohttp.ClientTimeout(total=REQUEST_TIMEOUT_S)
    async with aiohttp.ClientSession(headers=headers, timeout=timeout) as session:
        servers = list(target.servers)
        for attempt in range(ATTEMPTS_PER_SERVER * len(servers)):
            server = servers[attempt % len(servers)]
            try:
                response = await _send_request(session, server, method, path, body)
            except aiohttp.ClientConnectorError as exc:
                detail = str(exc)
            except (aiohttp.ClientError, TimeoutError, msgspec.DecodeError) as exc:
                detail = repr(exc)
                outcome_unknown = True
            else:
                if response.status == NOT_LEADER_STATUS and leader_only:
                    detail = f"instance at {server} is not the leader"
                    leader_address = response.body.get("leader", "")
                    if leader_address and leader_address not in servers:
                        servers.insert(attempt % len(servers) + 1, leader_address)
                elif response.status == 503 and leader_only:
                    detail = response.body.get("error", "")
                    outcome_unknown = True
                else:
                    return response
            if (attempt + 1) % len(servers) == 0:
                await asyncio.sleep(RETRY_INTERVAL_S)
    return NoResponse(detail, outcome_unknown)


def call(
    target: ControlTarget, method: str, path: str, body: Any = None, leader_only: bool = True
) -> ControlResponse | NoResponse:
    """Calls the control API; with `leader_only`, only a response of the leader is returned.

    Requests that change state must be idempotent: a lost response cannot be told apart from a
    lost request, so the request is retried in both cases.
    """
    return asyncio.run(_call_with_retries(target, method, path, body, leader_only))
