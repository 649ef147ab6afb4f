"""Traces by OpenTelemetry: a span for each hop, W3C trace context, sampled at the root."""

import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

TRACER_NAME = "marjoramvalve"
SAMPLED = "01"


@dataclass(slots=True)
class Tracing:
    """Starts spans where a call is sampled; does nearly nothing elsewhere."""

    tracer: Any
    ratio: float
    rng: random.Random
    stop: Callable[[], None]

    def start(self, traceparent: str, name: str):
        """Returns a span, or None where the call is not sampled."""
        if self.tracer is None:
            return None
        if traceparent:
            if not traceparent.endswith("-" + SAMPLED):
                return None
        elif self.rng.random() >= self.ratio:
            return None
        from opentelemetry.trace.propagation.tracecontext import TraceContextTextMapPropagator

        context = TraceContextTextMapPropagator().extract({"traceparent": traceparent})
        return self.tracer.start_span(name, context=context)

    def traceparent(self, span, incoming: str) -> str:
        """Returns the header to hand down: that of the span, or the incoming one."""
        if span is None:
            return incoming
        context = span.get_span_context()
        return f"00-{context.trace_id:032x}-{context.span_id:016x}-{SAMPLED}"


def set_up_traces(
    exporter: str, endpoint: str, ratio: float, rng: random.Random, instance: str
) -> Tracing:
    """Returns tracing; spans are exported on a thread of the library, dropped when it is full."""
    if exporter == "none":
        return Tracing(None, 0.0, rng, lambda: None)
    from opentelemetry.sdk.resources import Resource
    from opentelemetry.sdk.trace import TracerProvider
    from opentelemetry.sdk.trace.export import BatchSpanProcessor, ConsoleSpanExporter

    if exporter == "console":
        sink = ConsoleSpanExporter(formatter=lambda span: span.to_json(indent=None) + "\n")
    else:
        from opentelemetry.exporter.otlp.proto.http.trace_exporter import OTLPSpanExporter

        sink = OTLPSpanExporter(endpoint=f"{endpoint}/v1/traces")
    resource = Resource.create({"service.name": TRACER_NAME, "service.instance.id": instance})
    provider = TracerProvider(resource=resource)
    provider.add_span_processor(BatchSpanProcessor(sink))
    return Tracing(provider.get_tracer(TRACER_NAME), ratio, rng, provider.shutdown)
