"""Baseline simulations without the admission code: no control, and static limits."""

import asyncio
from collections import Counter

from multidict import CIMultiDict

from marjoramvalve.gateway import CallerRequest, Response
from marjoramvalve.gateway import headers as h
from marjoramvalve.gateway.forwarders import BufferedResponse, UpstreamRequest
from marjoramvalve.model import key_digest
from marjoramvalve.retries import CallToken
from marjoramvalve.routing import RouteTable
from marjoramvalve.scenario.simulations import Instance, Simulation

MAX_ATTEMPTS = 3
ATTEMPT_TIMEOUT_S = 1.0
NO_DEADLINE_MS = 1 << 50


class NoControlSimulation(Simulation):
    """Picks a random upstream at each hop and tries up to three times, without any limits."""

    async def call(self, instance: Instance, request: CallerRequest) -> Response | None:
        """Has an instance serve a request; returns None if it does not accept calls."""
        if not instance.alive or not instance.accepts_calls:
            return None
        table = RouteTable(instance.core.view.document.routes)
        matched = table.match(request.method, request.path)
        customer = self._identify_customer(instance, request)
        if matched is None or customer is None:
            return Response(404, CIMultiDict())
        request_id = f"{self.rng.getrandbits(64):016x}"
        token = CallToken(request_id, customer, 0, 0, NO_DEADLINE_MS, 0)
        headers = CIMultiDict({h.TOKEN: self._signer.sign(token), h.REQUEST_ID: request_id})
        for name in (h.IDEMPOTENCY_KEY, "X-Poison"):
            if name in request.headers:
                headers[name] = request.headers[name]
        outgoing = UpstreamRequest(request.method, request.path, headers, None, True)
        status, body = await self._send_with_retries(instance, matched.route.service, outgoing)
        return Response(status, CIMultiDict({h.REQUEST_ID: request_id}), body)

    def _identify_customer(self, instance: Instance, request: CallerRequest) -> str | None:
        token = self._signer.verify(request.headers.get(h.TOKEN, ""), 0)
        if token is not None:
            return token.customer
        digest = key_digest(request.headers.get(h.KEY, ""))
        key = instance.core.view.document.keys.get(digest)
        return key.customer if key else None

    def try_acquire(self, instance: Instance, service: str) -> bool:
        """Returns whether a call may proceed, and reserves its slot if there are limits."""
        return True

    def release(self, instance: Instance, service: str) -> None:
        """Releases the slot of a finished call; does nothing without limits."""

    async def _send_with_retries(
        self, instance: Instance, service: str, outgoing: UpstreamRequest
    ) -> tuple[int, bytes]:
        names = [name for name, item in self.backends.items() if item.service.name == service]
        status = 503
        for _ in range(MAX_ATTEMPTS):
            if not self.try_acquire(instance, service):
                continue
            backend = self.backends[self.rng.choice(names)]
            try:
                async with asyncio.timeout(ATTEMPT_TIMEOUT_S):
                    result = await instance.core.gateway.forwarder.send(backend.address, outgoing)
            except TimeoutError:
                status = 504
                continue
            finally:
                self.release(instance, service)
            if isinstance(result, BufferedResponse) and result.status == 200:
                return 200, result.body
            status = result.status if isinstance(result, BufferedResponse) else 502
        return status, b""


class StaticLimitSimulation(NoControlSimulation):
    """Limits each instance to an even share of a service's slots, otherwise without control."""

    def __init__(self, *args) -> None:
        super().__init__(*args)
        self._running: Counter[tuple[str, str]] = Counter()

    def try_acquire(self, instance: Instance, service: str) -> bool:
        """Reserves a slot of the instance's share; returns whether one was free."""
        item = self.deployment.service(service)
        share = max(1, item.upstreams * item.slots // len(self.instances))
        if self._running[instance.name, service] >= share:
            return False
        self._running[instance.name, service] += 1
        return True

    def release(self, instance: Instance, service: str) -> None:
        """Releases the slot of a finished call."""
        self._running[instance.name, service] -= 1
