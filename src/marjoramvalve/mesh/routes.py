"""Routing table: the routes and keys of a configuration document, compiled for fast lookup."""

from dataclasses import dataclass, field

from marjoramvalve.model import Customer, Document, Route, key_digest

MAX_CACHED_DIGESTS = 4096  # Saves hashing the keys that callers send with every request.


@dataclass(slots=True)
class RouteTarget:
    """A compiled route with its traffic split by service. Times are in seconds."""

    name: str
    raw_name: bytes
    repeatable: bool
    open: bool
    deadline_s: float
    objective_s: float
    attempts: int
    rank: int
    weights: tuple[tuple[str, float], ...]
    _credits: dict[str, float] = field(default_factory=dict)

    def next_service(self) -> str:
        """Returns the service of the next call, by smooth weighted round robin."""
        if len(self.weights) == 1:
            return self.weights[0][0]
        total = 0.0
        best, best_credit = "", float("-inf")
        for service, weight in self.weights:
            total += weight
            credit = self._credits[service] = self._credits.get(service, 0.0) + weight
            if credit > best_credit and weight > 0:
                best, best_credit = service, credit
        self._credits[best] -= total
        return best


def _compile(name: str, route: Route) -> RouteTarget:
    weights = tuple(route.split.items()) or ((route.service, 1.0),)
    return RouteTarget(
        name,
        name.encode()[:255],
        route.repeatable,
        route.open,
        route.deadline_ms / 1000,
        route.objective_ms / 1000,
        route.attempts,
        route.rank,
        weights,
    )


class RouteTable:
    """Looks up routes by host and longest path prefix, and customers by API key.

    It belongs to one version of the configuration document.
    """

    def __init__(self, version: int, document: Document) -> None:
        self.version = version
        self.document = document
        self._hosts: dict[bytes, dict[bytes, RouteTarget]] = {}
        self._digests: dict[bytes, str] = {}
        for name, route in document.routes.items():
            host = self._hosts.setdefault(route.host.lower().encode(), {})
            host[route.path.encode()] = _compile(name, route)

    def match(self, host: bytes, target: bytes) -> RouteTarget | None:
        """Returns the route with the longest matching path prefix, or None.

        A host that has no routes, with or without its port, falls back to the routes without a
        host. `target` is the request target: path and query.
        """
        host = host.lower()
        routes = self._hosts.get(host) or self._hosts.get(host.partition(b":")[0])
        if routes is None:
            routes = self._hosts.get(b"")
            if routes is None:
                return None
        path = target.partition(b"?")[0]
        end = len(path)
        while end > 0:
            end = path.rfind(b"/", 0, end)
            if end < 0:
                break
            found = routes.get(path[: end + 1])
            if found is not None:
                return found
        return None

    def customer_of(self, key: bytes) -> str | None:
        """Returns the name of the customer that an API key belongs to, or None."""
        digest = self._digests.get(key)
        if digest is None:
            digest = key_digest(key.decode("latin-1"))
            if len(self._digests) < MAX_CACHED_DIGESTS:
                self._digests[key] = digest
        entry = self.document.keys.get(digest)
        return entry.customer if entry is not None else None

    def customer(self, name: str) -> Customer | None:
        """Returns the customer of a name, or None."""
        return self.document.customers.get(name)
