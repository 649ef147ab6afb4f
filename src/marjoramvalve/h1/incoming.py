"""Requests of callers and their responses."""

from collections.abc import Callable
from http import HTTPStatus
from typing import Protocol

NO_RESPONSE = b"", b""
NO_BODY_STATUSES = frozenset({204, 304})
STATUS_LINES = {
    status.value: b"HTTP/1.1 %d %s\r\n" % (status.value, status.phrase.encode())
    for status in HTTPStatus
}


class RequestConnection(Protocol):
    """The connection of a request.

    `is_local` tells whether it comes from the node's own IP address, `is_late` whether it was
    opened after the server had stopped accepting others, and `serves_upstream` whether it has
    carried calls of the upstream beside the node.
    """

    is_local: bool
    is_late: bool
    serves_upstream: bool

    def flush(self) -> None:
        """Writes the responses that are ready."""

    def hold_response(self, request: "IncomingRequest") -> None:
        """Counts the memory of a response that can't be written yet."""


class IncomingRequest:
    """A complete request and its response.

    `head` holds the header lines to forward. `target` is the request target as received, except
    that the query parameters that contain the caller's key are removed. `response` holds the head
    of the response, without its end, and the body; it is `NO_RESPONSE` once they have been taken.
    `charged_bytes` is what its connection has charged for it.
    """

    __slots__ = (
        "attempt",
        "body",
        "charged_bytes",
        "conn",
        "deadline_ms",
        "head",
        "host",
        "key",
        "method",
        "on_disconnect",
        "idempotency_key",
        "response",
        "received_at",
        "should_close",
        "target",
    )

    def __init__(self, conn: RequestConnection, received_at: float) -> None:
        self.conn = conn
        self.received_at = received_at
        self.method = b""
        self.target = b""
        self.host = b""
        self.key: bytes | None = None
        self.attempt = b""
        self.deadline_ms: int | None = None
        self.idempotency_key = b""
        self.head = b""
        self.body = b""
        self.charged_bytes = 0
        self.should_close = False
        self.response: tuple[bytes, bytes] | None = None
        self.on_disconnect: Callable[[], None] | None = None

    def respond(self, status: int, head: bytes, body: bytes, close: bool = False) -> None:
        """Sends the response. Calls after the first one do nothing.

        `head` holds complete header lines; the framing headers are added here.
        """
        if self.response is not None:
            return
        self.on_disconnect = None
        self.should_close = self.should_close or close
        line = STATUS_LINES.get(status) or b"HTTP/1.1 %d Unknown\r\n" % status
        if status in NO_BODY_STATUSES:
            self.response = line + head, b""
        else:
            framed = line + head + b"Content-Length: %d\r\n" % len(body)
            self.response = framed, b"" if self.method == b"HEAD" else body
        self.discard()
        self.conn.flush()
        if self.response is not NO_RESPONSE:
            self.conn.hold_response(self)

    def discard(self) -> None:
        """Frees what the caller has sent, which others may still refer to through the request."""
        self.head = self.target = self.body = b""

    def take_response(self, closes: bool) -> bytes:
        """Returns the encoded response and frees its memory.

        Others may still hold the request. `closes` tells whether the connection closes after it.
        """
        head, body = self.response
        self.response = NO_RESPONSE
        end = b"Connection: close\r\n\r\n" if closes else b"\r\n"
        return b"".join((head, end, body))

    def take_parts(self, closes: bool) -> tuple[bytes, bytes]:
        """Returns a large response as `take_response` does, but doesn't copy its body."""
        body, self.response = self.response[1], (self.response[0], b"")
        return self.take_response(closes), body
