"""HTTP/1.1 server and client of a node, built on asyncio protocols and the llhttp parser."""

from marjoramvalve.h1.callers import CallerServer, IncomingRequest
from marjoramvalve.h1.headers import HeaderNames
from marjoramvalve.h1.upstreams import Exchange, ExchangeFailure, UpstreamPool, UpstreamResponse

__all__ = [
    "CallerServer",
    "Exchange",
    "ExchangeFailure",
    "HeaderNames",
    "IncomingRequest",
    "UpstreamPool",
    "UpstreamResponse",
]
