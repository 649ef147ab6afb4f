"""Counters, gauges and latency histograms in the Prometheus text format.

For processes that are scraped and must stay small; the OpenTelemetry exporter is for processes that
push their metrics.
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
        """Records a duration."""
        self.counts[bisect_left(BUCKETS_S, duration_s)] += 1
        self.total += duration_s


class MetricsRegistry:
    """Counters, gauges and histograms by name and label."""

    def __init__(self) -> None:
        self._counters: dict[tuple[str, str], int] = {}
        self._gauges: dict[tuple[str, str], float] = {}
        self._histograms: dict[tuple[str, str], Histogram] = {}

    def add(self, name: str, label: str = "", amount: int = 1) -> None:
        """Increments a counter."""
        key = (name, label)
        self._counters[key] = self._counters.get(key, 0) + amount

    def set(self, name: str, value: float, label: str = "") -> None:
        """Sets a gauge."""
        self._gauges[name, label] = value

    def observe(self, name: str, label: str, duration_s: float) -> None:
        """Records a duration in a histogram."""
        key = (name, label)
        histogram = self._histograms.get(key)
        if histogram is None:
            histogram = self._histograms[key] = Histogram()
        histogram.observe(duration_s)

    def render(self) -> bytes:
        """Returns all metrics in the text format that scrapers read."""
        lines = []
        for (name, label), value in sorted(self._counters.items()):
            lines.append(f"{PREFIX}{name}_total{_format_labels(label)} {value}")
        for (name, label), value in sorted(self._gauges.items()):
            lines.append(f"{PREFIX}{name}{_format_labels(label)} {value:g}")
        for (name, label), histogram in sorted(self._histograms.items()):
            lines += _format_histogram(name, label, histogram)
        return ("\n".join(lines) + "\n").encode()


def _format_labels(label: str, upper_bound: str = "") -> str:
    parts = [f'label="{label}"'] if label else []
    parts += [f'le="{upper_bound}"'] if upper_bound else []
    return "{" + ",".join(parts) + "}" if parts else ""


def _format_histogram(name: str, label: str, histogram: Histogram) -> list[str]:
    lines = []
    cumulative = 0
    for upper_bound, count in zip((*map(str, BUCKETS_S), "+Inf"), histogram.counts, strict=True):
        cumulative += count
        lines.append(
            f"{PREFIX}{name}_seconds_bucket{_format_labels(label, upper_bound)} {cumulative}"
        )
    lines.append(f"{PREFIX}{name}_seconds_sum{_format_labels(label)} {histogram.total:.6f}")
    lines.append(f"{PREFIX}{name}_seconds_count{_format_labels(label)} {cumulative}")
    return lines
