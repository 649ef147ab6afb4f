"""OpenTelemetry traces: a span for each hop, W3C trace context, sampling at the root."""

import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

TRACER_NAME = "marjoramvalve"
SAMPLED_FLAGS = "01"


@dataclass(slots=True)
class Tracing:
    """Starts spans for sampled calls; costs next to nothing for other calls."""

    tracer: Any
    ratio: float
    rng: random.Random
    stop: Callable[[], None]

    def start(self, traceparent: str, name: str):
        """Returns a span, or None if the call is not sampled."""
        if self.tracer is None:
            return None
        if traceparent:
            if not traceparent.endswith("-" + SAMPLED_FLAGS):
                return None
        elif self.rng.random() >= self.ratio:
            return None
        from opentelemetry.trace.propagation.tracecontext import TraceContextTextMapPropagator

        context = TraceContextTextMapPropagator().extract({"traceparent": traceparent})
        return self.tracer.start_span(name, context=context)

    def traceparent(self, span, incoming: str) -> str:
        """Returns the traceparent to propagate: that of the span, or else the incoming one."""
        if span is None:
            return incoming
        context = span.get_span_context()
        return f"00-{context.trace_id:032x}-{context.span_id:016x}-{SAMPLED_FLAGS}"


def set_up_traces(
    exporter: str, endpoint: str, ratio: float, rng: random.Random, instance: str
) -> Tracing:
    """Returns tracing. Spans are exported on an SDK thread, and dropped while its queue is full."""
    if exporter == "none":
        return Tracing(None, 0.0, rng, lambda: None)
    from opentelemetry.sdk.resources import Resource
    from opentelemetry.sdk.trace import TracerProvider
    from opentelemetry.sdk.trace.export import BatchSpanProcessor, ConsoleSpanExporter

    if exporter == "console":
        span_exporter = ConsoleSpanExporter(formatter=lambda span: span.to_json(indent=None) + "\n")
    else:
        from opentelemetry.exporter.otlp.proto.http.trace_exporter import OTLPSpanExporter

        span_exporter = OTLPSpanExporter(endpoint=f"{endpoint}/v1/traces")
    resource = Resource.create({"service.name": TRACER_NAME, "service.instance.id": instance})
    provider = TracerProvider(resource=resource)
    provider.add_span_processor(BatchSpanProcessor(span_exporter))
    return Tracing(provider.get_tracer(TRACER_NAME), ratio, rng, provider.shutdown)
