"""HTTP/1.1 server and client of a node, built on asyncio protocols and the llhttp parser."""

from marjoramvalve.h1.headers import HeaderNames
from marjoramvalve.h1.incoming import IncomingRequest
from marjoramvalve.h1.servers import CallerServer
from marjoramvalve.h1.upstreams import (
    FINAL_STATUSES,
    INTERIM_STATUSES,
    Exchange,
    ExchangeFailure,
    UpstreamPool,
    UpstreamResponse,
)

__all__ = [
    "FINAL_STATUSES",
    "INTERIM_STATUSES",
    "CallerServer",
    "Exchange",
    "ExchangeFailure",
    "HeaderNames",
    "IncomingRequest",
    "UpstreamPool",
    "UpstreamResponse",
]
