"""HTTP control interface: operators' commands and announcements of local upstreams."""

import hmac
import time
from typing import TYPE_CHECKING

import msgspec
from aiohttp import web

from marjoramvalve.controller import SubmitPatch, Verdict
from marjoramvalve.daemon.reports import explain_report, status_report
from marjoramvalve.links import split_address
from marjoramvalve.model import encode_document
from marjoramvalve.wire.messages import UpstreamInfo

if TYPE_CHECKING:
    from marjoramvalve.daemon.nodes import Node

SUBMIT_TIMEOUT_S = 5.0
MAX_PATCH_BYTES = 1 << 20
NOT_LEADER_STATUS = 421
LOOPBACK_PREFIX = "127."


class PatchRequest(msgspec.Struct, forbid_unknown_fields=True):
    """Body of POST /v1/patches."""

    patch_id: str
    base: int
    patch: msgspec.Raw
    kind: str = "merge"
    author: str = ""


class Announcement(msgspec.Struct, forbid_unknown_fields=True):
    """Body of PUT /v1/upstreams/NAME, sent first as an announcement and then as a heartbeat."""

    service: str
    address: str
    slots: int
    connections: int
    incarnation: int
    uptime_s: float
    load: float = 0.0


class MembershipChange(msgspec.Struct, forbid_unknown_fields=True):
    """Body of POST /v1/controllers; `action` is add, promote or remove."""

    action: str
    name: str
    address: str = ""


def _json(body, status: int = 200) -> web.Response:
    return web.Response(
        body=msgspec.json.encode(body), status=status, content_type="application/json"
    )


def _error(status: int, text: str) -> web.Response:
    return _json({"error": text}, status)


class ControlServer:
    """HTTP server on the control address of an instance."""

    def __init__(self, node: "Node") -> None:
        self._node = node
        self._runner: web.AppRunner | None = None
        cfg = node.cfg
        self._operator_credential = cfg.operator_credential_file.read_bytes().strip()
        upstream_file = cfg.upstream_credential_file
        self._upstream_credential = upstream_file.read_bytes().strip() if upstream_file else b""

    async def start(self) -> None:
        """Starts listening on the control address."""
        app = web.Application(client_max_size=MAX_PATCH_BYTES, middlewares=[self._authenticate])
        app.add_routes(
            [
                web.post("/v1/patches", self._patch),
                web.get("/v1/config", self._config),
                web.get("/v1/history", self._history),
                web.get("/v1/status", self._status),
                web.get("/v1/explain/{request_id}", self._explain),
                web.post("/v1/controllers", self._controllers),
                web.post("/v1/drain/{name}", self._drain_upstream),
                web.put("/v1/upstreams/{name}", self._announce),
                web.post("/v1/upstreams/{name}/drain", self._drain_upstream),
                web.delete("/v1/upstreams/{name}", self._remove_upstream),
            ]
        )
        self._runner = web.AppRunner(app, access_log=None)
        await self._runner.setup()
        host, port = split_address(self._node.cfg.control)
        await web.TCPSite(self._runner, host, port).start()

    async def close(self) -> None:
        """Stops listening."""
        if self._runner is not None:
            await self._runner.cleanup()

    @web.middleware
    async def _authenticate(self, request: web.Request, handler) -> web.StreamResponse:
        credential = request.headers.get("Authorization", "").removeprefix("Bearer ").encode()
        is_operator = hmac.compare_digest(credential, self._operator_credential)
        if request.path.startswith("/v1/upstreams/"):
            allowed = is_operator or self._is_upstream_credential(request, credential)
        else:
            allowed = is_operator
        if not allowed:
            return _error(401, "credential is missing or wrong")
        return await handler(request)

    def _is_upstream_credential(self, request: web.Request, credential: bytes) -> bool:
        if self._upstream_credential:
            return hmac.compare_digest(credential, self._upstream_credential)
        return (request.remote or "").startswith(LOOPBACK_PREFIX)

    # Configuration

    def _not_leader(self) -> web.Response:
        controller = self._node.controller
        leader = controller.leader_control_address() if controller else self._leader_control()
        return _json(
            {"error": "this instance is not the leader", "leader": leader}, NOT_LEADER_STATUS
        )

    def _leader_control(self) -> str:
        view = self._node.view
        for member in view.roster.members:
            if member.peer == view.leader:
                return member.control
        return ""

    async def _patch(self, request: web.Request) -> web.Response:
        try:
            body = msgspec.json.decode(await request.read(), type=PatchRequest)
        except msgspec.DecodeError as exc:
            return _error(400, f"patch request is malformed: {exc}")
        if body.kind not in ("merge", "json") or not 1 <= len(body.patch_id) <= 128:
            return _error(
                400, f"patch kind {body.kind!r} or id {body.patch_id[:32]!r} is not valid"
            )
        controller = self._node.controller
        if controller is None or not controller.is_leader():
            return self._not_leader()
        command = SubmitPatch(
            body.patch_id, body.base, body.kind, bytes(body.patch), body.author, time.time()
        )
        verdict = await controller.submit(command, SUBMIT_TIMEOUT_S)
        if verdict is None:
            text = "outcome is unknown; send the patch again with the same id"
            return _error(503, text)
        return _json(verdict, self._verdict_status(verdict))

    def _verdict_status(self, verdict: Verdict) -> int:
        if verdict.accepted:
            return 200
        return 409 if verdict.faults and "version" in verdict.faults[0] else 422

    async def _config(self, request: web.Request) -> web.Response:
        controller = self._node.controller
        if controller is None or not controller.is_leader():
            return self._not_leader()
        state = controller.state
        text = request.query.get("version", str(state.version))
        document = state.document_at(int(text)) if text.isdigit() else None
        if document is None:
            kept = f"{state.oldest_version} to {state.version}"
            return _error(404, f"version {text!r} is not available; available versions: {kept}")
        raw = msgspec.Raw(encode_document(document))
        return _json({"version": int(text), "current": state.version, "document": raw})

    async def _history(self, request: web.Request) -> web.Response:
        controller = self._node.controller
        if controller is None or not controller.is_leader():
            return self._not_leader()
        entries = [
            {
                "version": entry.record.version,
                "patch_id": entry.patch_id,
                "author": entry.author,
                "at": entry.at,
                "digest": entry.record.digest,
                "patch": msgspec.Raw(entry.record.body),
            }
            for entry in controller.state.history
        ]
        return _json({"current": controller.state.version, "history": entries})

    async def _controllers(self, request: web.Request) -> web.Response:
        try:
            body = msgspec.json.decode(await request.read(), type=MembershipChange)
        except msgspec.DecodeError as exc:
            return _error(400, f"membership change is malformed: {exc}")
        controller = self._node.controller
        if controller is None or not controller.is_leader():
            return self._not_leader()
        verdict = controller.change_membership(body.action, body.name, body.address)
        status = 200 if verdict == "taken" else 409
        return _json({"verdict": verdict, "members": controller.replica.members}, status)

    # Status

    async def _status(self, request: web.Request) -> web.Response:
        return _json(status_report(self._node))

    async def _explain(self, request: web.Request) -> web.Response:
        report = explain_report(self._node, request.match_info["request_id"])
        if report is None:
            name = self._node.cfg.instance
            return _error(404, f"instance {name!r} has no record of a refusal of this request")
        return _json(report)

    # Upstreams

    async def _announce(self, request: web.Request) -> web.Response:
        try:
            body = msgspec.json.decode(await request.read(), type=Announcement)
        except msgspec.DecodeError as exc:
            return _error(400, f"announcement is malformed: {exc}")
        if body.slots < 1 or body.connections < 2:
            return _error(422, "upstream needs at least 1 slot and 2 connections")
        name = request.match_info["name"]
        info = UpstreamInfo(
            name, body.service, body.address, body.slots, body.connections, body.incarnation
        )
        if not self._node.upstreams.announce(info, self._node.context.clock(), body.uptime_s):
            return _error(409, f"a newer incarnation of upstream {name!r} is known")
        self._node.upstreams.report(name, body.load)
        return _json({"name": name})

    async def _drain_upstream(self, request: web.Request) -> web.Response:
        name = request.match_info["name"]
        if not self._node.upstreams.drain(name):
            return _error(404, f"upstream {name!r} is unknown to this instance")
        self._node.sync_upstreams()
        owner = self._node.slot_host.owner(name)
        return _json({"name": name, "held": owner.held() if owner else 0})

    async def _remove_upstream(self, request: web.Request) -> web.Response:
        name = request.match_info["name"]
        if not self._node.upstreams.leave(name):
            return _error(404, f"upstream {name!r} is unknown to this instance")
        self._node.sync_upstreams()
        return _json({"name": name})
