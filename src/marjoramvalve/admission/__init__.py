"""Admission control for upstreams: concurrency limits, slot leases and a fair queue."""

from marjoramvalve.admission.callers import SlotCaller, SlotDemand
from marjoramvalve.admission.limits import AimdLimit, GradientLimit, Limit, StaticLimit, Window
from marjoramvalve.admission.owners import SlotOwner
from marjoramvalve.admission.queues import FairQueue, Waiter

__all__ = [
    "AimdLimit",
    "FairQueue",
    "GradientLimit",
    "Limit",
    "SlotCaller",
    "SlotDemand",
    "SlotOwner",
    "StaticLimit",
    "Waiter",
    "Window",
]
