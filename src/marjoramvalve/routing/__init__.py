"""Routing: which route a request takes, and which upstream serves it."""

from marjoramvalve.routing.choices import Candidate, choose, subset
from marjoramvalve.routing.outliers import OutlierBook
from marjoramvalve.routing.tables import Matched, RouteTable

__all__ = ["Candidate", "Matched", "OutlierBook", "RouteTable", "choose", "subset"]
