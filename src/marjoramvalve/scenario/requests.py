"""Requests in memory, as the call path takes them."""

from multidict import CIMultiDict, CIMultiDictProxy

from marjoramvalve.gateway import CallerRequest


class _EmptyBody:
    async def readany(self) -> bytes:
        """Returns nothing: requests in memory have no body."""
        return b""

    def is_eof(self) -> bool:
        """Tells that the request came whole."""
        return True


def in_memory_request(method: str, path: str, headers: dict[str, str]) -> CallerRequest:
    """Returns a whole request without a body."""
    found = CIMultiDictProxy(CIMultiDict(headers))
    return CallerRequest(method, path, path, found, _EmptyBody(), 0, False, True)
