"""Types of the configuration document, its encoding and its validation."""

import hashlib
import re
from typing import Any

import msgspec
import xxhash

from marjoramvalve.outcomes import Err, Fault, Ok, Result

PRIORITIES = ("low", "normal", "high")
NAME_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._:-]{0,127}")
PROBE_PATH_PATTERN = re.compile(r"/[^\x00-\x20\x7f]*")
DIGEST_PATTERN = re.compile(r"[0-9a-f]{64}")
KEY_DIGEST_PERSON = b"marjoramvalvekey"
MAX_RATE = 1e7  # Rates in calls a second, bursts in calls.
MAX_DEADLINE_MS = 600_000
MAX_RETRIES = 5
MAX_ATTEMPTS = 20
MAX_RANK = 1000
MAX_WARM_UP_S = 86_400
MAX_WEIGHT = 1e9
OBJECTIVE_ABOVE_DEADLINE_LIMIT_MS = 60_000
MAX_CONNECTIONS = 1_000_000
MAX_CALLER_LIMIT = 1 << 40  # Of sizes in bytes and times in milliseconds.


class Customer(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A customer: rate in calls a second, burst in calls, weight in fair queueing.

    `rank`, if given, overrides the rank of the called route. `limited` is false for a customer
    without a rate limit.
    """

    rate: float
    burst: float
    weight: float = 1.0
    max_priority: str = "high"
    rank: int | None = None
    limited: bool = True


class Key(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """An API key, stored under its digest: the customer it belongs to and a label."""

    customer: str
    label: str = ""


class Route(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A route: maps a host, path prefix and methods to a service, with a policy for its calls.

    An empty host matches every host. `split` divides the calls among services by weight and
    overrides `service`. A call meets its latency objective within `objective_ms`, is answered
    after `deadline_ms` at the latest, and is attempted at up to `attempts` upstreams. Calls of
    rank 0 are served first.
    """

    service: str
    path: str
    methods: tuple[str, ...] = ()
    priority: str = "normal"
    repeatable: bool = True
    open: bool = False
    deadline_ms: int = 5000
    host: str = ""
    split: dict[str, float] = {}
    objective_ms: int = 1000
    attempts: int = 2
    rank: int = 1


class Service(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A service: maximum number of connections to each upstream, and path of the health check.

    An upstream takes `cold_rate` requests per second while it is cold, for `warm_up_s` seconds from
    its start unless it tells otherwise; a rate of 0 is no limit.
    """

    connections: int = 256
    health_path: str = "/"
    cold_rate: float = 0.0
    warm_up_s: float = 0.0


class CallerLimits(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Limits on callers: sizes in bytes, and times to send the header and to stay idle."""

    header_bytes: int = 16_384
    body_bytes: int = 16_777_216
    header_ms: int = 10_000
    idle_ms: int = 75_000


class Policy(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Fleet-wide policy.

    `chain_retries` limits the retries in a whole chain of calls, and `retry_ratio` is the share of
    a retry that each success adds to the budget of its route. Quarantine and retention are in
    seconds. With `spillover`, nodes decide by service which share of the calls leaves the failure
    domain. `refuse_unreachable` refuses root calls at the entry while a service that they need
    fails nearly all its calls.
    """

    chain_retries: int = 2
    retry_ratio: float = 0.1
    quarantine_s: float = 60.0
    retention_s: float = 86400.0
    spillover: bool = False
    refuse_unreachable: bool = False


class Document(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The whole configuration document."""

    customers: dict[str, Customer] = {}
    keys: dict[str, Key] = {}
    routes: dict[str, Route] = {}
    policy: Policy = Policy()
    services: dict[str, Service] = {}
    callers: CallerLimits = CallerLimits()


NAMED_SECTIONS = {"customers": Customer, "keys": Key, "routes": Route, "services": Service}
UNNAMED_SECTIONS = {"policy": Policy, "callers": CallerLimits}
_ENCODER = msgspec.json.Encoder(order="sorted")


def key_digest(key: str) -> str:
    """Returns the digest under which a caller's key is stored, in hexadecimal."""
    hashed = hashlib.blake2b(key.encode(), digest_size=32, person=KEY_DIGEST_PERSON)
    return hashed.hexdigest()


def encode_document(doc: Document) -> bytes:
    """Returns the canonical JSON of a document: sorted keys, no whitespace."""
    return _ENCODER.encode(doc)


def document_digest(doc: Document) -> str:
    """Returns a 128-bit digest of the canonical JSON, equal for documents of equal content."""
    return xxhash.xxh3_128_hexdigest(encode_document(doc))


def decode_document(raw: bytes) -> Document:
    """Returns the document from its canonical JSON; does not validate it again."""
    return msgspec.json.decode(raw, type=Document)


def _convert_items(section: str, items: Any, item_type: type, converted: dict) -> list[Fault]:
    if not isinstance(items, dict):
        return [Fault("model.E001", f"/{section}", repr(items), "section is not an object")]
    faults = []
    for name, item in items.items():
        try:
            converted[name] = msgspec.convert(item, item_type)
        except msgspec.ValidationError as exc:
            faults.append(Fault("model.E002", f"/{section}/{name}", str(item), str(exc)))
    return faults


def _convert_document(tree: Any) -> tuple[Document, list[Fault]]:
    if not isinstance(tree, dict):
        return Document(), [Fault("model.E001", "/", repr(tree), "document is not an object")]
    faults = []
    sections: dict[str, Any] = {}
    for section, item_type in NAMED_SECTIONS.items():
        sections[section] = {}
        faults += _convert_items(section, tree.get(section, {}), item_type, sections[section])
    unnamed: dict[str, Any] = {}
    for section, item_type in UNNAMED_SECTIONS.items():
        faults += _convert_items("", {section: tree.get(section, {})}, item_type, unnamed)
    sections.update(unnamed)
    for name in tree.keys() - NAMED_SECTIONS.keys() - UNNAMED_SECTIONS.keys():
        faults.append(Fault("model.E003", f"/{name}", name, "section does not exist"))
    return Document(**sections), faults


def _range_faults(path: str, value: float, minimum: float, maximum: float) -> list[Fault]:
    if minimum <= value <= maximum:
        return []
    return [Fault("model.E004", path, str(value), f"number is not from {minimum:g} to {maximum:g}")]


def _name_faults(section: str, names: Any) -> list[Fault]:
    return [
        Fault("model.E005", f"/{section}/{name}", name, "name is not valid")
        for name in names
        if not NAME_PATTERN.fullmatch(name)
    ]


def _customer_faults(name: str, customer: Customer) -> list[Fault]:
    path = f"/customers/{name}"
    faults = _range_faults(f"{path}/rate", customer.rate, 0.01, MAX_RATE)
    faults += _range_faults(f"{path}/burst", customer.burst, 1, MAX_RATE)
    faults += _range_faults(f"{path}/weight", customer.weight, 0.01, 1000)
    if customer.rank is not None:
        faults += _range_faults(f"{path}/rank", customer.rank, 0, MAX_RANK)
    if customer.max_priority not in PRIORITIES:
        message = "priority is not one of " + ", ".join(PRIORITIES)
        faults.append(Fault("model.E006", f"{path}/max_priority", customer.max_priority, message))
    return faults


def _route_faults(name: str, route: Route) -> list[Fault]:
    path = f"/routes/{name}"
    faults = _range_faults(f"{path}/deadline_ms", route.deadline_ms, 1, MAX_DEADLINE_MS)
    if route.priority not in PRIORITIES:
        message = "priority is not one of " + ", ".join(PRIORITIES)
        faults.append(Fault("model.E006", f"{path}/priority", route.priority, message))
    if not route.path.startswith("/") or "?" in route.path or "//" in route.path:
        faults.append(
            Fault(
                "model.E007",
                f"{path}/path",
                route.path,
                "path does not start with / or contains ? or //",
            )
        )
    faults += _name_faults(f"routes/{name}/service", route.split or [route.service])
    for service, weight in route.split.items():
        faults += _range_faults(f"{path}/split/{service}", weight, 0, MAX_WEIGHT)
    if route.split and not any(route.split.values()):
        faults.append(
            Fault("model.E012", f"{path}/split", str(route.split), "no weight is above 0")
        )
    faults += _range_faults(f"{path}/objective_ms", route.objective_ms, 1, MAX_DEADLINE_MS)
    if route.objective_ms >= route.deadline_ms + OBJECTIVE_ABOVE_DEADLINE_LIMIT_MS:
        message = f"objective is {OBJECTIVE_ABOVE_DEADLINE_LIMIT_MS} ms or more above the deadline"
        faults.append(Fault("model.E013", f"{path}/objective_ms", str(route.objective_ms), message))
    faults += _range_faults(f"{path}/attempts", route.attempts, 1, MAX_ATTEMPTS)
    faults += _range_faults(f"{path}/rank", route.rank, 0, MAX_RANK)
    for method in route.methods:
        if not method.isalpha() or not method.isupper():
            faults.append(Fault("model.E008", f"{path}/methods", method, "method is not valid"))
    return faults


def _duplicate_route_faults(routes: dict[str, Route]) -> list[Fault]:
    first_routes: dict[tuple[str, str, str], str] = {}
    faults = []
    for name, route in routes.items():
        for method in route.methods or ("*",):
            other = first_routes.setdefault((route.host, route.path, method), name)
            if other != name:
                message = f"route has the same host, path and method as route {other!r}"
                faults.append(Fault("model.E009", f"/routes/{name}", route.path, message))
    return faults


def _missing_service_faults(doc: Document) -> list[Fault]:
    """Returns a fault for each route to a missing service, unless the document has no services."""
    if not doc.services:
        return []
    faults = []
    for name, route in doc.routes.items():
        for service in route.split or (route.service,):
            if service not in doc.services:
                message = f"service {service!r} does not exist"
                faults.append(Fault("model.E014", f"/routes/{name}", service, message))
    return faults


def _limit_faults(doc: Document) -> list[Fault]:
    faults = []
    for name, service in doc.services.items():
        path = f"/services/{name}/connections"
        faults += _range_faults(path, service.connections, 1, MAX_CONNECTIONS)
        faults += _range_faults(f"/services/{name}/cold_rate", service.cold_rate, 0, MAX_RATE)
        faults += _range_faults(f"/services/{name}/warm_up_s", service.warm_up_s, 0, MAX_WARM_UP_S)
        if not PROBE_PATH_PATTERN.fullmatch(service.health_path):
            path = f"/services/{name}/health_path"
            message = "path does not start with / or contains spaces"
            faults.append(Fault("model.E015", path, service.health_path, message))
    for field in CallerLimits.__struct_fields__:
        value = getattr(doc.callers, field)
        faults += _range_faults(f"/callers/{field}", value, 1, MAX_CALLER_LIMIT)
    return faults


def _policy_faults(policy: Policy) -> list[Fault]:
    faults = _range_faults("/policy/chain_retries", policy.chain_retries, 0, MAX_RETRIES)
    faults += _range_faults("/policy/retry_ratio", policy.retry_ratio, 0, 1)
    faults += _range_faults("/policy/quarantine_s", policy.quarantine_s, 0, 86400)
    return faults + _range_faults("/policy/retention_s", policy.retention_s, 1, 30 * 86400)


def validate_document(tree: Any) -> Result[Document]:
    """Returns the document for decoded JSON, or all faults found, each with its path."""
    doc, faults = _convert_document(tree)
    faults += _name_faults("customers", doc.customers) + _name_faults("routes", doc.routes)
    for name, customer in doc.customers.items():
        faults += _customer_faults(name, customer)
    for digest, key in doc.keys.items():
        if not DIGEST_PATTERN.fullmatch(digest):
            message = "key is not stored as a digest of 64 hexadecimal digits"
            faults.append(Fault("model.E010", f"/keys/{digest[:8]}", digest[:8], message))
        if key.customer not in doc.customers:
            message = f"customer {key.customer!r} does not exist"
            faults.append(Fault("model.E011", f"/keys/{digest[:8]}", key.customer, message))
    for name, route in doc.routes.items():
        faults += _route_faults(name, route)
    faults += _duplicate_route_faults(doc.routes) + _missing_service_faults(doc)
    faults += _policy_faults(doc.policy) + _limit_faults(doc)
    if faults:
        return Err(tuple(faults))
    return Ok(doc)
