"""Route table: the longest path prefix and the method decide."""

from dataclasses import dataclass

from marjoramvalve.model import PRIORITIES, Route


@dataclass(frozen=True, slots=True)
class RouteMatch:
    """A route under its name, with the rank of its priority."""

    name: str
    route: Route
    rank: int


class RouteTable:
    """Routes of one configuration version, prepared for look-up."""

    def __init__(self, routes: dict[str, Route]) -> None:
        self._by_path: dict[str, dict[str, RouteMatch]] = {}
        for name, route in routes.items():
            found = RouteMatch(name, route, PRIORITIES.index(route.priority))
            methods = self._by_path.setdefault(route.path.rstrip("/"), {})
            for method in route.methods or ("*",):
                methods[method] = found

    def match(self, method: str, path: str) -> RouteMatch | None:
        """Returns the route of a request, or None. Prefixes end at a path segment."""
        prefix = path.rstrip("/")
        while True:
            methods = self._by_path.get(prefix)
            if methods is not None:
                found = methods.get(method) or methods.get("*")
                if found is not None:
                    return found
            if not prefix:
                return None
            prefix = prefix[: prefix.rfind("/")]
