"""Stand-ins at the interfaces, for tests, the demo and the benches."""

from marjoramvalve.fakes.upstreams import FakeUpstream, FakeUpstreamOptions

__all__ = ["FakeUpstream", "FakeUpstreamOptions"]
