"""The two reference deployments, each with its call graph."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Service:
    """A service, with the number of its upstreams.

    `slots` and `connections` are per upstream. `work_s` is the mean time of a request's own work,
    in seconds, and `calls` names the services that each request calls in turn.
    """

    name: str
    upstreams: int
    slots: int
    connections: int
    work_s: float
    calls: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class EntryRoute:
    """A route that clients call, with its share of the load and its priority.

    `repeatable` routes are called with GET, others with POST and an idempotency key.
    """

    route: str
    service: str
    share: float
    priority: str
    repeatable: bool


@dataclass(frozen=True, slots=True)
class Deployment:
    """Failure domains, services, entry routes and each customer's share of the load.

    Delays are one way, in seconds.
    """

    name: str
    domains: tuple[str, ...]
    services: tuple[Service, ...]
    entries: tuple[EntryRoute, ...]
    customers: tuple[float, ...]
    client_delay_s: float
    inter_domain_delay_s: float = 0.001
    intra_domain_delay_s: float = 0.0002
    deadline_ms: int = 2000

    def service(self, name: str) -> Service:
        """Returns a service by name."""
        return next(item for item in self.services if item.name == name)

    def slot_seconds_per_call(self, name: str) -> dict[str, float]:
        """Returns the slot-seconds that one call of service `name` takes at each service."""
        slot_s_by_service: dict[str, float] = {}
        self._add_slot_seconds(name, slot_s_by_service)
        return slot_s_by_service

    def _add_slot_seconds(self, name: str, slot_s_by_service: dict[str, float]) -> float:
        service = self.service(name)
        slot_s = service.work_s + sum(
            self._add_slot_seconds(callee, slot_s_by_service) for callee in service.calls
        )
        slot_s_by_service[name] = slot_s_by_service.get(name, 0.0) + slot_s
        return slot_s

    def capacity(self) -> float:
        """Returns the calls per second, in the mix of the entries, that the slots can serve."""
        needed: dict[str, float] = {}
        for entry in self.entries:
            for name, slot_s in self.slot_seconds_per_call(entry.service).items():
                needed[name] = needed.get(name, 0.0) + entry.share * slot_s
        rates = []
        for name, slot_s in needed.items():
            service = self.service(name)
            rates.append(service.upstreams * service.slots / slot_s)
        return min(rates)


CUSTOMER_SHARES = (0.30, 0.24, 0.16, 0.10, 0.08, 0.05, 0.04, 0.03)

ASHTAR = Deployment(
    name="ashtar",
    domains=("amman", "irbid", "zarqa"),
    services=(
        Service("catalogue", 5, 40, 330, 0.10, ("ledger",)),
        Service("ledger", 4, 50, 390, 0.08, ("timberstore",)),
        Service("timberstore", 3, 60, 480, 0.06),
        Service("benchbook", 3, 15, 200, 0.08, ("timberstore",)),
    ),
    entries=(
        EntryRoute("catalogue", "catalogue", 0.55, "low", True),
        EntryRoute("bench", "benchbook", 0.20, "normal", True),
        EntryRoute("dues", "ledger", 0.15, "high", False),
        EntryRoute("order", "timberstore", 0.10, "high", False),
    ),
    customers=CUSTOMER_SHARES,
    client_delay_s=0.003,
)

CARDENAS = Deployment(
    name="cardenas",
    domains=("arauco", "laja", "nacimiento", "valdivia"),
    services=(
        Service("archivo", 5, 70, 530, 0.10),
        Service("caustificacion", 4, 75, 560, 0.08, ("archivo",)),
        Service("horno-cal", 4, 75, 560, 0.08, ("caustificacion",)),
        Service("licor-negro", 4, 30, 290, 0.06, ("archivo",)),
    ),
    entries=(
        EntryRoute("smelt", "archivo", 0.45, "low", True),
        EntryRoute("liquor", "licor-negro", 0.25, "normal", True),
        EntryRoute("signoff", "caustificacion", 0.15, "high", False),
        EntryRoute("dosing", "horno-cal", 0.15, "high", False),
    ),
    customers=CUSTOMER_SHARES,
    client_delay_s=0.001,
)

DEPLOYMENTS = {item.name: item for item in (ASHTAR, CARDENAS)}


def scale_slots(deployment: Deployment, factor: float) -> Deployment:
    """Returns a deployment with the slots of each upstream scaled.

    Connections are not scaled: they are divided among the instances, whose number is unchanged.
    """
    services = tuple(
        Service(
            item.name,
            item.upstreams,
            max(2, round(item.slots * factor)),
            item.connections,
            item.work_s,
            item.calls,
        )
        for item in deployment.services
    )
    return Deployment(
        deployment.name,
        deployment.domains,
        services,
        deployment.entries,
        deployment.customers,
        deployment.client_delay_s,
        deployment.inter_domain_delay_s,
        deployment.intra_domain_delay_s,
        deployment.deadline_ms,
    )
