"""Routing: matches requests to routes, chooses upstreams and ejects failing ones."""

from marjoramvalve.routing.choices import Candidate, choose, subset
from marjoramvalve.routing.outliers import OutlierDetector
from marjoramvalve.routing.tables import RouteMatch, RouteTable

__all__ = ["Candidate", "RouteMatch", "OutlierDetector", "RouteTable", "choose", "subset"]
