"""A request in memory with the parts of the library's request that the call path uses."""

from dataclasses import dataclass

from multidict import CIMultiDict, CIMultiDictProxy


@dataclass(frozen=True, slots=True)
class _Url:
    raw_path: str

    @property
    def raw_path_qs(self) -> str:
        """Path and query."""
        return self.raw_path


class _Content:
    def __init__(self, body: bytes) -> None:
        self._body = body

    async def readany(self) -> bytes:
        """Returns the body, and then nothing."""
        body, self._body = self._body, b""
        return body

    def is_eof(self) -> bool:
        """Tells that the request came whole."""
        return True


class MemoryRequest(dict):
    """A whole request."""

    def __init__(self, method: str, path: str, headers: dict[str, str], body: bytes) -> None:
        super().__init__()
        self.method = method
        self.path = path
        self.rel_url = _Url(path)
        self.headers = CIMultiDictProxy(CIMultiDict(headers))
        self.content_length = len(body)
        self.body_exists = bool(body)
        self.content = _Content(body)
        self.transport = None
