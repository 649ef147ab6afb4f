"""Route table: finds the route of a request by path prefix and method."""

from dataclasses import dataclass

from marjoramvalve.model import PRIORITIES, Route


@dataclass(frozen=True, slots=True)
class RouteMatch:
    """A route with its name and the rank of its priority, its index in `PRIORITIES`."""

    name: str
    route: Route
    rank: int


class RouteTable:
    """The routes of one configuration version, indexed by path and method."""

    def __init__(self, routes: dict[str, Route]) -> None:
        self._by_path: dict[str, dict[str, RouteMatch]] = {}
        for name, route in routes.items():
            found = RouteMatch(name, route, PRIORITIES.index(route.priority))
            methods = self._by_path.setdefault(route.path.rstrip("/"), {})
            for method in route.methods or ("*",):
                methods[method] = found

    def match(self, method: str, path: str) -> RouteMatch | None:
        """Returns the route of a request, or None if there is none.

        The longest path prefix that has a route for the method wins. A prefix matches whole path
        segments only.
        """
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
