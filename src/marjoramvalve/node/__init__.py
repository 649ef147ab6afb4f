"""Connects the call path with the control plane within one process."""

from marjoramvalve.node.meters import LoadMeter
from marjoramvalve.node.quarantines import QuarantineSync

__all__ = ["LoadMeter", "QuarantineSync"]
