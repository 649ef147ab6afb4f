"""Journal of recent refusals, for `marjoramvalve explain`."""

from collections import OrderedDict
from dataclasses import dataclass

from marjoramvalve.outcomes import Refusal

MAX_ENTRIES = 2000


@dataclass(frozen=True, slots=True)
class JournalEntry:
    """A refusal with its customer, route, wall-clock time and configuration version."""

    request_id: str
    refusal: Refusal
    customer: str
    route: str
    at: float
    version: int


class Journal:
    """Keeps the `MAX_ENTRIES` most recent refusals of this instance by request id."""

    def __init__(self) -> None:
        self._entries: OrderedDict[str, JournalEntry] = OrderedDict()

    def add(
        self, request_id: str, refusal: Refusal, customer: str, route: str, at: float, version: int
    ) -> None:
        """Adds a refusal."""
        entry = JournalEntry(request_id, refusal, customer, route, at, version)
        self._entries[request_id] = entry
        if len(self._entries) > MAX_ENTRIES:
            self._entries.popitem(last=False)

    def get(self, request_id: str) -> JournalEntry | None:
        """Returns the refusal of a request id, or None."""
        return self._entries.get(request_id)
