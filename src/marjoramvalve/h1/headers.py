"""Names of the headers that a node reads and sets; a deployment may have names of its own."""

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
    """Header names. They are compared without regard to case.

    `attempt` names one try of a caller; upstreams repeat it in their answers. `deadline` holds
    milliseconds. `not_run` in an answer says that the upstream did not run the request.
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

    def lowered(self) -> dict[str, bytes]:
        """Returns every name in lower case, by field."""
        return {item.name: getattr(self, item.name).lower().encode() for item in fields(self)}
