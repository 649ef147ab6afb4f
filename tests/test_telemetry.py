"""Telemetry: a span for each hop, structured logs, and nothing that blocks a call."""

import asyncio
import contextlib
import os
import random
import unittest

import structlog
from opentelemetry.sdk.trace import TracerProvider
from opentelemetry.sdk.trace.export import SimpleSpanProcessor
from opentelemetry.sdk.trace.export.in_memory_span_exporter import InMemorySpanExporter

from marjoramvalve.telemetry import (
    Counters,
    MetricsRegistry,
    RateLimitedWriter,
    Tracing,
    set_up_logs,
    set_up_metrics,
    set_up_traces,
)
from tests.nodes import respond_with
from tests.test_gateway import OK, GatewayCase

PARENT = "00-" + "a" * 32 + "-" + "b" * 16 + "-01"


class SpanTests(GatewayCase):
    """Spans of a chain of calls."""

    def test_each_hop_has_a_span_in_one_trace(self):
        exporter = InMemorySpanExporter()
        provider = TracerProvider()
        provider.add_span_processor(SimpleSpanProcessor(exporter))
        tracing = Tracing(provider.get_tracer("test"), 0.0, random.Random(1), lambda: None)
        self.bench.node.gateway.attempts.tracing = tracing

        async def go():
            heads = []
            await self.bench.upstream("stock", respond_with(OK, heads))
            await self.call("GET", "/stock", traceparent=PARENT)
            token = heads[0].split(b"Marjoramvalve-Token: ")[1].split(b"\r\n")[0].decode()
            await self.call("GET", "/stock", Marjoramvalve_Key="", Marjoramvalve_Token=token)
            await self.call("GET", "/stock")

        self.run_async(go())
        first, second = exporter.get_finished_spans()
        self.assertEqual(f"{first.context.trace_id:032x}", "a" * 32)
        self.assertEqual(second.parent.span_id, first.context.span_id)


class ExportTests(unittest.TestCase):
    """Exporters without a collector, and structured logs."""

    def test_absent_collector_does_not_block(self):
        tracing = set_up_traces("otlp", "http://127.0.0.1:9", 1.0, random.Random(1), "n1")
        counters = Counters()
        stop = set_up_metrics("otlp", "http://127.0.0.1:9", counters)
        for _ in range(5000):
            span = tracing.start("", "route")
            self.assertIsNotNone(span)
            span.end()
            counters.add("calls", "answered")
        self.assertEqual(counters.by_label("calls"), {"answered": 5000})
        del stop  # Stopping would wait for the collector; only a planned stop does.

    def test_log_events_are_structured(self):
        set_up_logs("info", "n1")
        with self.assertNoLogs(), structlog.testing.capture_logs() as events:
            structlog.get_logger("x").info("thing.happened", count=3)
        self.assertEqual(events[0]["event"], "thing.happened")


class LoopTests(unittest.TestCase):
    """The virtual-time event loop of scenarios."""

    def test_virtual_time_advances_without_waiting(self):
        from marjoramvalve.scenario.loops import VirtualLoop

        async def go():
            await asyncio.sleep(3600)
            return asyncio.get_running_loop().time()

        with asyncio.Runner(loop_factory=VirtualLoop) as runner:
            self.assertAlmostEqual(runner.run(go()), 3600, delta=1)


class MetricsRegistryTests(unittest.TestCase):
    """Counters, gauges and histograms in the text format."""

    def test_counters_gauges_and_histograms(self):
        metrics = MetricsRegistry()
        metrics.add("refusals", "503 overload")
        metrics.add("refusals", "503 overload", 2)
        metrics.set("waiting", 4)
        for duration_s in (0.004, 0.15, 60.0):
            metrics.observe("answered", "browse", duration_s)
        text = metrics.render().decode()
        self.assertIn('marjoramvalve_refusals_total{label="503 overload"} 3\n', text)
        self.assertIn("marjoramvalve_waiting 4\n", text)
        bucket = 'marjoramvalve_answered_seconds_bucket{label="browse",le="%s"} %d\n'
        for bound, count in (("0.005", 1), ("0.1", 1), ("0.2", 2), ("10.0", 2), ("+Inf", 3)):
            self.assertIn(bucket % (bound, count), text)
        self.assertIn('marjoramvalve_answered_seconds_count{label="browse"} 3\n', text)


class RateLimitedWriterTests(unittest.TestCase):
    """Log output that never blocks."""

    def setUp(self):
        self.reader, self.fd = os.pipe()
        self.addCleanup(os.close, self.reader)
        self.addCleanup(os.close, self.fd)
        os.set_blocking(self.reader, False)
        self.now = 0.0
        self.writer = RateLimitedWriter(5.0, lambda: self.now, self.fd)

    def test_dropped_lines_are_counted_and_logged(self):
        for number in range(8):
            self.writer.msg(f"line {number}")
        self.assertEqual(os.read(self.reader, 4096).count(b"\n"), 5)
        self.now = 1.0
        self.writer.msg("again")
        self.assertIn(b"lines=3\nagain\n", os.read(self.reader, 4096))

    def test_stalled_reader_does_not_block(self):
        for _ in range(40):
            self.now += 10.0
            self.writer.msg("x" * 8192)
        self.now += 10.0
        with contextlib.suppress(BlockingIOError):
            while os.read(self.reader, 1 << 16):
                pass
        self.writer.msg("later")
        self.assertRegex(os.read(self.reader, 4096), rb"lines=[1-9]\d*\nlater")
