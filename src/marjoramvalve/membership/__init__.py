"""Membership: the instances' view of configuration and roster, liveness, relays, upstreams."""

from marjoramvalve.membership.configs import ConfigView, Taken
from marjoramvalve.membership.failure_detectors import SilenceWatch
from marjoramvalve.membership.placements import Placement, bucket_owner, keepers, relay_of
from marjoramvalve.membership.publishers import Publisher, Source
from marjoramvalve.membership.upstreams import LocalUpstream, LocalUpstreams, UpstreamStatus

__all__ = [
    "ConfigView",
    "LocalUpstream",
    "LocalUpstreams",
    "Placement",
    "Publisher",
    "SilenceWatch",
    "Source",
    "Taken",
    "UpstreamStatus",
    "bucket_owner",
    "keepers",
    "relay_of",
]
