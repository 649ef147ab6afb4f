"""Review of a valid document before it is published.

Finds entries that no request can match or that have no effect, limits that contradict each other,
and what differs from another document.
"""

import re
from dataclasses import dataclass
from typing import Any

import msgspec

from marjoramvalve.model.documents import Document, Route
from marjoramvalve.outcomes import Fault

HOST_PATTERN = re.compile(r"[A-Za-z0-9._-]*(:[0-9]+)?|\[[0-9A-Fa-f:.]+\](:[0-9]+)?")
PATH_PATTERN = re.compile(r"[!\"$-;=?-~]+")  # Visible ASCII that a request target may hold.
HIGHEST_ROUTE_RANK, HIGHEST_CUSTOMER_RANK = 7, 15  # Queues treat all ranks from here on alike.
SHORT_DIGEST = 8  # Digits shown of a key's digest.


@dataclass(frozen=True, slots=True)
class Difference:
    """A value that differs between two documents; None stands for one that is missing."""

    path: str
    before: Any
    after: Any

    def __str__(self) -> str:
        if self.before is None:
            return f"{self.path}: added {_as_text(self.after)}"
        if self.after is None:
            return f"{self.path}: removed {_as_text(self.before)}"
        return f"{self.path}: {_as_text(self.before)} -> {_as_text(self.after)}"


def _as_text(value: Any) -> str:
    return msgspec.json.encode(value).decode()


def review_document(doc: Document) -> list[Fault]:
    """Returns what a valid document holds to no effect or in contradiction, in document order."""
    faults = _overridden_route_faults(doc.routes)
    for name, route in doc.routes.items():
        faults += _matching_faults(name, route) + _limit_faults(name, route)
    faults += _rank_faults(doc) + _unused_faults(doc)
    return faults


def _matching_faults(name: str, route: Route) -> list[Fault]:
    """Returns why no request matches a route."""
    faults = []
    if not HOST_PATTERN.fullmatch(route.host):
        message = "no request has such a host"
        faults.append(Fault("model.W001", f"/routes/{name}/host", route.host, message))
    if not PATH_PATTERN.fullmatch(route.path):
        message = "no request has such a path"
        faults.append(Fault("model.W002", f"/routes/{name}/path", route.path, message))
    elif not route.path.endswith("/"):
        message = "nodes match no request to a path prefix without a slash at its end"
        faults.append(Fault("model.W003", f"/routes/{name}/path", route.path, message))
    return faults


def _overridden_route_faults(routes: dict[str, Route]) -> list[Fault]:
    """Returns a fault for each route whose requests all go to a later one."""
    faults = []
    last_by_prefix = {(route.host.lower(), route.path): name for name, route in routes.items()}
    for name, route in routes.items():
        last = last_by_prefix[route.host.lower(), route.path]
        if last != name:
            message = f"route {last!r} has the same host and path and gets all requests"
            faults.append(Fault("model.W004", f"/routes/{name}", route.path, message))
    return faults


def _limit_faults(name: str, route: Route) -> list[Fault]:
    faults = []
    if route.objective_ms > route.deadline_ms:
        message = f"calls end at their deadline of {route.deadline_ms} ms, before their objective"
        path, value = f"/routes/{name}/objective_ms", str(route.objective_ms)
        faults.append(Fault("model.W005", path, value, message))
    if route.attempts > 1 and not route.repeatable:
        message = "calls that may not be repeated are attempted once"
        path, value = f"/routes/{name}/attempts", str(route.attempts)
        faults.append(Fault("model.W006", path, value, message))
    for service, weight in route.split.items():
        if weight == 0:
            message = "part of a split with weight 0 gets no calls"
            faults.append(Fault("model.W007", f"/routes/{name}/split/{service}", "0", message))
    return faults


def _rank_faults(doc: Document) -> list[Fault]:
    """Returns faults for ranks that differ without being told apart."""
    route_ranks = {name: route.rank for name, route in doc.routes.items()}
    customer_ranks = {
        name: customer.rank for name, customer in doc.customers.items() if customer.rank is not None
    }
    faults = []
    for section, ranks, highest in (
        ("routes", route_ranks, HIGHEST_ROUTE_RANK),
        ("customers", customer_ranks, HIGHEST_CUSTOMER_RANK),
    ):
        if len({rank for rank in ranks.values() if rank >= highest}) < 2:
            continue
        for name, rank in ranks.items():
            if rank > highest:
                message = f"rank is treated like {highest}, as is another one"
                faults.append(Fault("model.W008", f"/{section}/{name}/rank", str(rank), message))
    return faults


def _unused_faults(doc: Document) -> list[Fault]:
    """Returns faults for services and customers that nothing leads to."""
    used = {service for route in doc.routes.values() for service in route.split or (route.service,)}
    faults = [
        Fault("model.W009", f"/services/{name}", name, "no route leads to the service")
        for name in doc.services
        if name not in used
    ]
    with_key = {key.customer for key in doc.keys.values()}
    faults += [
        Fault("model.W010", f"/customers/{name}", name, "customer has no key")
        for name in doc.customers
        if name not in with_key
    ]
    return faults


def compare_documents(before: Document, after: Document) -> list[Difference]:
    """Returns what differs, with paths in order; keys are named by the start of their digest."""
    trees = [msgspec.to_builtins(doc) for doc in (before, after)]
    for tree in trees:
        tree["keys"] = {digest[:SHORT_DIGEST]: key for digest, key in tree["keys"].items()}
    return _compare("", *trees)


def _compare(path: str, before: Any, after: Any) -> list[Difference]:
    if not (isinstance(before, dict) and isinstance(after, dict)):
        return [] if before == after else [Difference(path, before, after)]
    differences = []
    for name in sorted(before.keys() | after.keys()):
        differences += _compare(f"{path}/{name}", before.get(name), after.get(name))
    return differences
