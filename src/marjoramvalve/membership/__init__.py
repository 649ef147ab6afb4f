"""Membership: configuration and roster as an instance knows them, liveness, relays, upstreams."""

from marjoramvalve.membership.configs import ConfigView, UpdateResult
from marjoramvalve.membership.failure_detectors import FailureDetector
from marjoramvalve.membership.placements import Placement, bucket_owner, keepers, relay_of
from marjoramvalve.membership.publishers import ConfigSource, Publisher
from marjoramvalve.membership.upstreams import LocalUpstream, LocalUpstreams, UpstreamStatus

__all__ = [
    "ConfigSource",
    "ConfigView",
    "FailureDetector",
    "LocalUpstream",
    "LocalUpstreams",
    "Placement",
    "Publisher",
    "UpdateResult",
    "UpstreamStatus",
    "bucket_owner",
    "keepers",
    "relay_of",
]
