"""Metrics for OpenTelemetry. The call path counts in plain integers, which are read on export."""

from collections import Counter
from collections.abc import Callable, Iterable

from opentelemetry.metrics import CallbackOptions, Observation
from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.metrics.export import ConsoleMetricExporter, PeriodicExportingMetricReader

EXPORT_INTERVAL_MS = 10_000
METER_NAME = "marjoramvalve"


class Counters:
    """Counters by name and one label."""

    def __init__(self) -> None:
        self.values: Counter[tuple[str, str]] = Counter()

    def add(self, name: str, label: str = "", amount: int = 1) -> None:
        """Increments a counter."""
        self.values[name, label] += amount

    def by_label(self, name: str) -> dict[str, int]:
        """Returns the values of a counter by label."""
        return {
            label: value
            for (counter_name, label), value in self.values.items()
            if counter_name == name
        }


METRICS = {
    "calls": ("{call}", "Calls that ended, by outcome."),
    "refusals": ("{call}", "Calls refused, by reason."),
    "attempts": ("{attempt}", "Attempts sent to upstreams, by service."),
    "retries": ("{attempt}", "Attempts after the first, by service."),
    "answer_bytes": ("By", "Bytes of answers passed on."),
}


def _create_exporter(exporter: str, endpoint: str):
    if exporter == "console":
        return ConsoleMetricExporter()
    from opentelemetry.exporter.otlp.proto.http.metric_exporter import OTLPMetricExporter

    return OTLPMetricExporter(endpoint=f"{endpoint}/v1/metrics")


def set_up_metrics(exporter: str, endpoint: str, counters: Counters) -> Callable[[], None]:
    """Exports the counters on a thread of the SDK; returns the function that stops it."""
    if exporter == "none":
        return lambda: None
    reader = PeriodicExportingMetricReader(_create_exporter(exporter, endpoint), EXPORT_INTERVAL_MS)
    provider = MeterProvider([reader])
    meter = provider.get_meter(METER_NAME)
    for name, (unit, description) in METRICS.items():
        meter.create_observable_counter(
            f"marjoramvalve.{name}",
            [_create_callback(counters, name)],
            unit=unit,
            description=description,
        )
    return provider.shutdown


def _create_callback(counters: Counters, name: str):
    def observe(options: CallbackOptions) -> Iterable[Observation]:
        del options
        return [
            Observation(value, {"label": label}) for label, value in counters.by_label(name).items()
        ]

    return observe
