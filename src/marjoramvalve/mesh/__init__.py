"""Proxying of calls between two nodes: the caller's egress and the upstream's ingress."""

from marjoramvalve.mesh.egress import Egress
from marjoramvalve.mesh.ingress import Ingress
from marjoramvalve.mesh.jobs import RunStats, UpstreamState
from marjoramvalve.mesh.nodes import MeshNode, MeshOptions
from marjoramvalve.mesh.quarantines import Quarantine
from marjoramvalve.mesh.root_limits import RootCallLimiter

__all__ = [
    "Egress",
    "Ingress",
    "MeshNode",
    "MeshOptions",
    "Quarantine",
    "RootCallLimiter",
    "RunStats",
    "UpstreamState",
]
