"""The routes of a document in a form that is quick to look up."""

from dataclasses import dataclass, field

from marjoramvalve.model import Customer, Document, Route, key_digest

MAX_REMEMBERED_KEYS = 4096  # Digests kept for keys that callers send again and again.


@dataclass(slots=True)
class RouteTarget:
    """A route with its split. Times are in seconds."""

    name: str
    raw_name: bytes
    repeatable: bool
    open: bool
    deadline_s: float
    objective_s: float
    attempts: int
    rank: int
    weights: tuple[tuple[str, float], ...]
    _credit: dict[str, float] = field(default_factory=dict)

    def next_service(self) -> str:
        """Returns the service of the next call, in smooth proportion to the weights."""
        if len(self.weights) == 1:
            return self.weights[0][0]
        total = 0.0
        best, best_credit = "", float("-inf")
        for service, weight in self.weights:
            total += weight
            credit = self._credit[service] = self._credit.get(service, 0.0) + weight
            if credit > best_credit and weight > 0:
                best, best_credit = service, credit
        self._credit[best] -= total
        return best


def _target(name: str, route: Route) -> RouteTarget:
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
    """Routes by host and longest prefix, and customers by key, of one version."""

    def __init__(self, version: int, document: Document) -> None:
        self.version = version
        self.document = document
        self._hosts: dict[bytes, dict[bytes, RouteTarget]] = {}
        self._names: dict[bytes, str] = {}
        for name, route in document.routes.items():
            host = self._hosts.setdefault(route.host.lower().encode(), {})
            host[route.path.encode()] = _target(name, route)

    def match(self, host: bytes, target: bytes) -> RouteTarget | None:
        """Returns the route with the longest prefix of the target's path, or None."""
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
        """Returns the name of the customer that holds a key, or None."""
        digest = self._names.get(key)
        if digest is None:
            digest = key_digest(key.decode("latin-1"))
            if len(self._names) < MAX_REMEMBERED_KEYS:
                self._names[key] = digest
        held = self.document.keys.get(digest)
        return held.customer if held is not None else None

    def customer(self, name: str) -> Customer | None:
        """Returns a customer by name."""
        return self.document.customers.get(name)
