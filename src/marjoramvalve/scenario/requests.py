"""In-memory requests for the gateway's call path."""

from multidict import CIMultiDict, CIMultiDictProxy

from marjoramvalve.gateway import CallerRequest


class _EmptyBody:
    async def readany(self) -> bytes:
        """Returns no data: in-memory requests have no body."""
        return b""

    def is_eof(self) -> bool:
        """Returns True: the request is complete."""
        return True


def in_memory_request(method: str, path: str, headers: dict[str, str]) -> CallerRequest:
    """Returns a complete request without a body."""
    found = CIMultiDictProxy(CIMultiDict(headers))
    return CallerRequest(method, path, path, found, _EmptyBody(), 0, False, True)
