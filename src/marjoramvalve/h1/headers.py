"""Names of the HTTP headers that a node reads and sets; a deployment can override them."""

from dataclasses import dataclass, fields

CONNECTION_HEADERS = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
        b"expect",
    }
)


@dataclass(frozen=True, slots=True)
class HeaderNames:
    """Header names, compared case-insensitively.

    `attempt` holds the ID of one attempt of a caller; upstreams echo it in their responses.
    `deadline` holds milliseconds. `not_run` in a response means that the upstream did not run the
    request. `rate_limit` in a response is how many requests per second the upstream accepts
    from all instances together; `leaving` means that it is about to stop. `cold` in a response to
    a health check is how much longer the upstream stays cold, in milliseconds.
    """

    attempt: str = "Marjoramvalve-Request-Id"
    deadline: str = "Marjoramvalve-Deadline-Ms"
    key: str = "Marjoramvalve-Key"
    customer: str = "Marjoramvalve-Customer"
    caller: str = "Marjoramvalve-Caller"
    expect: str = "Marjoramvalve-Expect-Instance"
    not_run: str = "Marjoramvalve-Run"
    load: str = "Marjoramvalve-Load"
    instance: str = "Marjoramvalve-Instance"
    rate_limit: str = "Marjoramvalve-Rate-Limit"
    leaving: str = "Marjoramvalve-Leaving"
    cold: str = "Marjoramvalve-Cold-Ms"

    def lowered(self) -> dict[str, bytes]:
        """Returns the names in lower case, keyed by field."""
        return {item.name: getattr(self, item.name).lower().encode() for item in fields(self)}
