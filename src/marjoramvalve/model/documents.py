"""Types of the configuration document and its validation."""

import hashlib
import re
from typing import Any

import msgspec
import xxhash

from marjoramvalve.outcomes import Err, Fault, Ok, Result

PRIORITIES = ("low", "normal", "high")
NAME_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._:-]{0,127}")
DIGEST_PATTERN = re.compile(r"[0-9a-f]{64}")
KEY_DIGEST_PERSON = b"marjoramvalvekey"
MAX_RATE = 1e7
MAX_DEADLINE_MS = 600_000
MAX_RETRIES = 5
MAX_ATTEMPTS = 20
MAX_RANK = 1000
MAX_WEIGHT = 1e9
MAX_OBJECTIVE_OVER_MS = 60_000


class Customer(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A customer: rate in calls a second, burst in calls, weight in fair sharing.

    `rank`, where it is given, goes before the rank of the route that is called. `limited` is
    false for a customer without a rate.
    """

    rate: float
    burst: float
    weight: float = 1.0
    max_priority: str = "high"
    rank: int | None = None
    limited: bool = True


class Key(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A key, stored under its digest: the customer it belongs to and a label."""

    customer: str
    label: str = ""


class Route(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A route: host, path prefix and methods to a service, with its call policy.

    An empty host stands for every host. `split` shares the calls between services by weight and
    goes before `service`. A call counts as timely within `objective_ms`, is answered at the
    latest after `deadline_ms`, and runs at up to `attempts` upstreams. Rank 0 goes first.
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
    """A service: most connections to one of its upstreams, and the path of its health check."""

    connections: int = 256
    health_path: str = "/"


class CallerLimits(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What callers may send, in bytes, and how long they may take or stay idle."""

    header_bytes: int = 16_384
    body_bytes: int = 16_777_216
    header_ms: int = 10_000
    idle_ms: int = 75_000


class Policy(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Fleet-wide policy: retries for a whole chain, quarantine and retention in seconds."""

    chain_retries: int = 2
    retry_ratio: float = 0.1
    quarantine_s: float = 60.0
    retention_s: float = 86400.0


class Document(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The whole configuration document."""

    customers: dict[str, Customer] = {}
    keys: dict[str, Key] = {}
    routes: dict[str, Route] = {}
    policy: Policy = Policy()
    services: dict[str, Service] = {}
    callers: CallerLimits = CallerLimits()


MAPS = {"customers": Customer, "keys": Key, "routes": Route, "services": Service}
SINGLES = {"policy": Policy, "callers": CallerLimits}
_ENCODER = msgspec.json.Encoder(order="sorted")


def key_digest(key: str) -> str:
    """Returns the digest under which a caller's key is stored, in hexadecimal."""
    hashed = hashlib.blake2b(key.encode(), digest_size=32, person=KEY_DIGEST_PERSON)
    return hashed.hexdigest()


def encode_document(doc: Document) -> bytes:
    """Returns the canonical JSON of a document: sorted names, no spaces."""
    return _ENCODER.encode(doc)


def document_digest(doc: Document) -> str:
    """Returns a short digest of the canonical JSON, equal wherever the content is equal."""
    return xxhash.xxh3_128_hexdigest(encode_document(doc))


def decode_document(raw: bytes) -> Document:
    """Returns the document from its canonical JSON, which was validated when accepted."""
    return msgspec.json.decode(raw, type=Document)


def _section_faults(section: str, items: Any, kind: type, out: dict) -> list[Fault]:
    if not isinstance(items, dict):
        return [Fault("model.E001", f"/{section}", repr(items), "section is not an object")]
    faults = []
    for name, item in items.items():
        try:
            out[name] = msgspec.convert(item, kind)
        except msgspec.ValidationError as exc:
            faults.append(Fault("model.E002", f"/{section}/{name}", str(item), str(exc)))
    return faults


def _convert(tree: Any) -> tuple[Document, list[Fault]]:
    if not isinstance(tree, dict):
        return Document(), [Fault("model.E001", "/", repr(tree), "document is not an object")]
    faults = []
    parts: dict[str, Any] = {}
    for section, kind in MAPS.items():
        parts[section] = {}
        faults += _section_faults(section, tree.get(section, {}), kind, parts[section])
    holder: dict[str, Any] = {}
    for section, kind in SINGLES.items():
        faults += _section_faults("", {section: tree.get(section, {})}, kind, holder)
    parts.update(holder)
    for name in tree.keys() - MAPS.keys() - SINGLES.keys():
        faults.append(Fault("model.E003", f"/{name}", name, "section does not exist"))
    return Document(**parts), faults


def _number_fault(path: str, value: float, low: float, high: float) -> list[Fault]:
    if low <= value <= high:
        return []
    return [Fault("model.E004", path, str(value), f"number is not from {low:g} to {high:g}")]


def _name_faults(section: str, names: Any) -> list[Fault]:
    return [
        Fault("model.E005", f"/{section}/{name}", name, "name is not valid")
        for name in names
        if not NAME_PATTERN.fullmatch(name)
    ]


def _customer_faults(name: str, item: Customer) -> list[Fault]:
    path = f"/customers/{name}"
    faults = _number_fault(f"{path}/rate", item.rate, 0.01, MAX_RATE)
    faults += _number_fault(f"{path}/burst", item.burst, 1, MAX_RATE)
    faults += _number_fault(f"{path}/weight", item.weight, 0.01, 1000)
    if item.max_priority not in PRIORITIES:
        message = "priority is not one of " + ", ".join(PRIORITIES)
        faults.append(Fault("model.E006", f"{path}/max_priority", item.max_priority, message))
    return faults


def _route_faults(name: str, item: Route) -> list[Fault]:
    path = f"/routes/{name}"
    faults = _number_fault(f"{path}/deadline_ms", item.deadline_ms, 1, MAX_DEADLINE_MS)
    if item.priority not in PRIORITIES:
        message = "priority is not one of " + ", ".join(PRIORITIES)
        faults.append(Fault("model.E006", f"{path}/priority", item.priority, message))
    if not item.path.startswith("/") or "?" in item.path or "//" in item.path:
        faults.append(Fault("model.E007", f"{path}/path", item.path, "path is not a plain path"))
    faults += _name_faults(f"routes/{name}/service", item.split or [item.service])
    for service, weight in item.split.items():
        faults += _number_fault(f"{path}/split/{service}", weight, 0, MAX_WEIGHT)
    if item.split and not any(item.split.values()):
        faults.append(Fault("model.E012", f"{path}/split", str(item.split), "no weight is above 0"))
    faults += _number_fault(f"{path}/objective_ms", item.objective_ms, 1, MAX_DEADLINE_MS)
    if item.objective_ms >= item.deadline_ms + MAX_OBJECTIVE_OVER_MS:
        message = f"objective is {MAX_OBJECTIVE_OVER_MS} ms or more above the deadline"
        faults.append(Fault("model.E013", f"{path}/objective_ms", str(item.objective_ms), message))
    faults += _number_fault(f"{path}/attempts", item.attempts, 1, MAX_ATTEMPTS)
    faults += _number_fault(f"{path}/rank", item.rank, 0, MAX_RANK)
    for method in item.methods:
        if not method.isalpha() or not method.isupper():
            faults.append(Fault("model.E008", f"{path}/methods", method, "method is not valid"))
    return faults


def _clash_faults(routes: dict[str, Route]) -> list[Fault]:
    seen: dict[tuple[str, str, str], str] = {}
    faults = []
    for name, item in routes.items():
        for method in item.methods or ("*",):
            other = seen.setdefault((item.host, item.path, method), name)
            if other != name:
                message = f"route has the host, path and method of route {other!r}"
                faults.append(Fault("model.E009", f"/routes/{name}", item.path, message))
    return faults


def _service_faults(doc: Document) -> list[Fault]:
    """Checks that routes go to services of the document, where it names any."""
    if not doc.services:
        return []
    faults = []
    for name, route in doc.routes.items():
        for service in route.split or (route.service,):
            if service not in doc.services:
                message = f"service {service!r} does not exist"
                faults.append(Fault("model.E014", f"/routes/{name}", service, message))
    return faults


def _policy_faults(policy: Policy) -> list[Fault]:
    faults = _number_fault("/policy/chain_retries", policy.chain_retries, 0, MAX_RETRIES)
    faults += _number_fault("/policy/retry_ratio", policy.retry_ratio, 0, 1)
    faults += _number_fault("/policy/quarantine_s", policy.quarantine_s, 0, 86400)
    return faults + _number_fault("/policy/retention_s", policy.retention_s, 1, 30 * 86400)


def validate_document(tree: Any) -> Result[Document]:
    """Returns the document of a JSON tree, or every fault found, each named by its path."""
    doc, faults = _convert(tree)
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
    faults += _clash_faults(doc.routes) + _service_faults(doc)
    faults += _policy_faults(doc.policy)
    if faults:
        return Err(tuple(faults))
    return Ok(doc)
