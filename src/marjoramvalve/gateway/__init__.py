"""The gateway of an instance: receives calls, forwards them to upstreams, returns responses."""

from marjoramvalve.gateway.callers import CallerLimits, CallerRequest, CallerServer
from marjoramvalve.gateway.contexts import Context
from marjoramvalve.gateway.forwarders import Forwarder
from marjoramvalve.gateway.handlers import Gateway
from marjoramvalve.gateway.idempotency import IdempotencyClient
from marjoramvalve.gateway.rates import RateClient
from marjoramvalve.gateway.responses import Response
from marjoramvalve.gateway.slots import SlotClient

__all__ = [
    "Response",
    "CallerLimits",
    "CallerRequest",
    "CallerServer",
    "Context",
    "Forwarder",
    "Gateway",
    "IdempotencyClient",
    "RateClient",
    "SlotClient",
]
