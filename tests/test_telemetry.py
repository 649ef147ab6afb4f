"""Telemetry: a span for each hop, logs of one line, nothing that blocks a call."""

import asyncio
import random
import unittest

import structlog
from opentelemetry.sdk.trace import TracerProvider
from opentelemetry.sdk.trace.export import SimpleSpanProcessor
from opentelemetry.sdk.trace.export.in_memory_span_exporter import InMemorySpanExporter

from marjoramvalve.telemetry import Counters, Tracing, set_up_logs, set_up_metrics, set_up_traces
from tests.nodes import answers
from tests.test_gateway import OK, GatewayCase

PARENT = "00-" + "a" * 32 + "-" + "b" * 16 + "-01"


class SpanTests(GatewayCase):
    """Spans of a chain."""

    def test_a_span_for_each_hop_in_one_trace(self):
        exporter = InMemorySpanExporter()
        provider = TracerProvider()
        provider.add_span_processor(SimpleSpanProcessor(exporter))
        tracing = Tracing(provider.get_tracer("test"), 0.0, random.Random(1), lambda: None)
        self.bench.node.gateway.attempts.tracing = tracing

        async def go():
            heads = []
            await self.bench.upstream("stock", answers(OK, heads))
            await self.call("GET", "/stock", traceparent=PARENT)
            token = heads[0].split(b"Marjoramvalve-Token: ")[1].split(b"\r\n")[0].decode()
            await self.call("GET", "/stock", Marjoramvalve_Key="", Marjoramvalve_Token=token)
            await self.call("GET", "/stock")

        self.run_async(go())
        first, second = exporter.get_finished_spans()
        self.assertEqual(f"{first.context.trace_id:032x}", "a" * 32)
        self.assertEqual(second.parent.span_id, first.context.span_id)


class ExportTests(unittest.TestCase):
    """Exporters that lead nowhere."""

    def test_absent_collector_blocks_nothing(self):
        tracing = set_up_traces("otlp", "http://127.0.0.1:9", 1.0, random.Random(1), "n1")
        counters = Counters()
        stop = set_up_metrics("otlp", "http://127.0.0.1:9", counters)
        for _ in range(5000):
            span = tracing.start("", "route")
            self.assertIsNotNone(span)
            span.end()
            counters.add("calls", "answered")
        self.assertEqual(counters.of("calls"), {"answered": 5000})
        del stop  # Stopping waits for the collector, which only a planned stop does.

    def test_logs_are_one_line_of_pairs(self):
        set_up_logs("info", "n1")
        with self.assertNoLogs(), structlog.testing.capture_logs() as found:
            structlog.get_logger("x").info("thing.happened", count=3)
        self.assertEqual(found[0]["event"], "thing.happened")


class LoopTests(unittest.TestCase):
    """The virtual loop of scenarios."""

    def test_time_moves_without_waiting(self):
        from marjoramvalve.scenario.loops import VirtualLoop

        async def go():
            await asyncio.sleep(3600)
            return asyncio.get_running_loop().time()

        with asyncio.Runner(loop_factory=VirtualLoop) as runner:
            self.assertAlmostEqual(runner.run(go()), 3600, delta=1)
