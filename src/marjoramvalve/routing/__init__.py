"""Routing: which route a request takes, and which upstream serves it."""

from marjoramvalve.routing.choices import Candidate, choose, subset
from marjoramvalve.routing.outliers import OutlierDetector
from marjoramvalve.routing.tables import RouteMatch, RouteTable

__all__ = ["Candidate", "RouteMatch", "OutlierDetector", "RouteTable", "choose", "subset"]
