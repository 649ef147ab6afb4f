"""Worlds without this project's decisions, to compare with: no control, and static limits."""

import asyncio
from collections import Counter

from multidict import CIMultiDict

from marjoramvalve.gateway import CallerRequest, Response
from marjoramvalve.gateway import headers as h
from marjoramvalve.gateway.forwarders import BufferedResponse, UpstreamRequest
from marjoramvalve.model import key_digest
from marjoramvalve.retries import CallToken
from marjoramvalve.routing import RouteTable
from marjoramvalve.scenario.worlds import Instance, World

ATTEMPTS = 3
TIMEOUT_S = 1.0
NEVER_MS = 1 << 50


class NoControlWorld(World):
    """Each hop picks an upstream at random and tries three times; nothing is limited."""

    async def call(self, instance: Instance, request: CallerRequest) -> Response | None:
        """Has an instance serve a request."""
        if not instance.alive or not instance.serves:
            return None
        table = RouteTable(instance.core.view.document.routes)
        matched = table.match(request.method, request.path)
        customer = self._customer(instance, request)
        if matched is None or customer is None:
            return Response(404, CIMultiDict())
        request_id = f"{self.rng.getrandbits(64):016x}"
        token = CallToken(request_id, customer, 0, 0, NEVER_MS, 0)
        headers = CIMultiDict({h.TOKEN: self._mint.seal(token), h.REQUEST_ID: request_id})
        for name in (h.IDEMPOTENCY_KEY, "X-Poison"):
            if name in request.headers:
                headers[name] = request.headers[name]
        out = UpstreamRequest(request.method, request.path, headers, None, True)
        status, body = await self._attempts(instance, matched.route.service, out)
        return Response(status, CIMultiDict({h.REQUEST_ID: request_id}), body)

    def _customer(self, instance: Instance, request: CallerRequest) -> str | None:
        token = self._mint.open(request.headers.get(h.TOKEN, ""), 0)
        if token is not None:
            return token.customer
        digest = key_digest(request.headers.get(h.KEY, ""))
        key = instance.core.view.document.keys.get(digest)
        return key.customer if key else None

    def admits(self, instance: Instance, service: str) -> bool:
        """Tells whether a call may go on."""
        return True

    def left(self, instance: Instance, service: str) -> None:
        """Notes the end of a call."""

    async def _attempts(
        self, instance: Instance, service: str, out: UpstreamRequest
    ) -> tuple[int, bytes]:
        names = [name for name, item in self.backends.items() if item.service.name == service]
        status = 503
        for _ in range(ATTEMPTS):
            if not self.admits(instance, service):
                continue
            backend = self.backends[self.rng.choice(names)]
            try:
                async with asyncio.timeout(TIMEOUT_S):
                    result = await instance.core.gateway.forwarder.send(backend.address, out)
            except TimeoutError:
                status = 504
                continue
            finally:
                self.left(instance, service)
            if isinstance(result, BufferedResponse) and result.status == 200:
                return 200, result.body
            status = result.status if isinstance(result, BufferedResponse) else 502
        return status, b""


class StaticLimitWorld(NoControlWorld):
    """As without control, but each instance runs at most its even share of a service's slots."""

    def __init__(self, *args) -> None:
        super().__init__(*args)
        self._running: Counter[tuple[str, str]] = Counter()

    def admits(self, instance: Instance, service: str) -> bool:
        """Tells whether the instance's share has room."""
        item = self.deployment.service(service)
        share = max(1, item.upstreams * item.slots // len(self.instances))
        if self._running[instance.name, service] >= share:
            return False
        self._running[instance.name, service] += 1
        return True

    def left(self, instance: Instance, service: str) -> None:
        """Notes the end of a call."""
        self._running[instance.name, service] -= 1
