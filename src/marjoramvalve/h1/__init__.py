"""HTTP/1.1 on both sides of a node, on plain protocols with llhttp's parser."""

from marjoramvalve.h1.callers import CallerServer, IncomingRequest
from marjoramvalve.h1.headers import HeaderNames
from marjoramvalve.h1.upstreams import Exchange, ExchangeFailure, UpstreamPool, UpstreamResponse

__all__ = [
    "ExchangeFailure",
    "CallerServer",
    "Exchange",
    "HeaderNames",
    "IncomingRequest",
    "UpstreamResponse",
    "UpstreamPool",
]
