"""Counters and latency histograms as text, for a process that must stay small.

The OpenTelemetry exporter serves processes that push; this one is for those that are asked.
"""

from bisect import bisect_left

BUCKETS_S = (0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 1.0, 1.5, 2.5, 5.0, 10.0)
PREFIX = "marjoramvalve_"
CONTENT_TYPE = b"Content-Type: text/plain; version=0.0.4\r\n"


class Histogram:
    """Durations in seconds, counted in fixed buckets."""

    __slots__ = ("counts", "total")

    def __init__(self) -> None:
        self.counts = [0] * (len(BUCKETS_S) + 1)
        self.total = 0.0

    def observe(self, duration_s: float) -> None:
        """Counts a duration."""
        self.counts[bisect_left(BUCKETS_S, duration_s)] += 1
        self.total += duration_s


class MetricsRegistry:
    """Counters by name and label, and histograms by name and label."""

    def __init__(self) -> None:
        self._counts: dict[tuple[str, str], int] = {}
        self._gauges: dict[str, float] = {}
        self._histograms: dict[tuple[str, str], Histogram] = {}

    def add(self, name: str, label: str = "", amount: int = 1) -> None:
        """Adds to a counter."""
        key = (name, label)
        self._counts[key] = self._counts.get(key, 0) + amount

    def set(self, name: str, value: float) -> None:
        """Sets a gauge."""
        self._gauges[name] = value

    def observe(self, name: str, label: str, duration_s: float) -> None:
        """Counts a duration in a histogram."""
        key = (name, label)
        found = self._histograms.get(key)
        if found is None:
            found = self._histograms[key] = Histogram()
        found.observe(duration_s)

    def render(self) -> bytes:
        """Returns everything in the text format that scrapers read."""
        lines = []
        for (name, label), value in sorted(self._counts.items()):
            lines.append(f"{PREFIX}{name}_total{_labels(label)} {value}")
        for name, value in sorted(self._gauges.items()):
            lines.append(f"{PREFIX}{name} {value:g}")
        for (name, label), found in sorted(self._histograms.items()):
            lines += _histogram_lines(name, label, found)
        return ("\n".join(lines) + "\n").encode()


def _labels(label: str, bound: str = "") -> str:
    parts = [f'label="{label}"'] if label else []
    parts += [f'le="{bound}"'] if bound else []
    return "{" + ",".join(parts) + "}" if parts else ""


def _histogram_lines(name: str, label: str, found: Histogram) -> list[str]:
    lines = []
    below = 0
    for bound, count in zip((*map(str, BUCKETS_S), "+Inf"), found.counts, strict=True):
        below += count
        lines.append(f"{PREFIX}{name}_seconds_bucket{_labels(label, bound)} {below}")
    lines.append(f"{PREFIX}{name}_seconds_sum{_labels(label)} {found.total:.6f}")
    lines.append(f"{PREFIX}{name}_seconds_count{_labels(label)} {below}")
    return lines
