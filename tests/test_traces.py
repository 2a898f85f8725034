"""Export of spans to an OTLP/HTTP collector, and the null tracer."""

import subprocess
import sys
import threading
import unittest
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

from opentelemetry.proto.collector.trace.v1 import trace_service_pb2

from plantainhitch import traces, traces_export
from plantainhitch.clock import ManualClock

CALLER = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"
UNSAMPLED = CALLER[:-2] + "00"


class Collector:
    """An OTLP/HTTP collector in a thread; ``spans`` has the spans it received."""

    def __init__(self):
        self.spans = []
        collector = self

        class Handler(BaseHTTPRequestHandler):
            def do_POST(self):  # noqa: N802
                body = self.rfile.read(int(self.headers["content-length"]))
                request = trace_service_pb2.ExportTraceServiceRequest()
                request.ParseFromString(collector.decompress(self.headers, body))
                for resource in request.resource_spans:
                    for scope in resource.scope_spans:
                        collector.spans.extend(scope.spans)
                self.send_response(200)
                self.send_header("content-length", "0")
                self.end_headers()

            def log_message(self, *arguments):
                pass

        self._server = ThreadingHTTPServer(("127.0.0.1", 0), Handler)
        self.address = f"127.0.0.1:{self._server.server_port}"
        threading.Thread(target=self._server.serve_forever, daemon=True).start()

    @staticmethod
    def decompress(headers, body):
        import gzip

        return gzip.decompress(body) if headers.get("content-encoding") else body

    def close(self):
        self._server.shutdown()
        self._server.server_close()


class ExportTest(unittest.TestCase):
    """Spans as a collector receives them."""

    def test_spans_of_a_request_are_exported_with_their_parents(self):
        collector = Collector()
        self.addCleanup(collector.close)
        tracer = traces_export.Tracer.for_collector(collector.address, "e1", "z1")
        entry = tracer.start("entry.submit", CALLER)
        agent = tracer.start("agent.run", entry.traceparent)
        agent.annotate(index=3)
        agent.end("timed_out")
        entry.end()
        tracer.close()
        spans = {span.name: span for span in collector.spans}
        self.assertEqual(set(spans), {"entry.submit", "agent.run"})
        self.assertEqual(spans["entry.submit"].parent_span_id.hex(), CALLER[36:52])
        self.assertEqual(
            spans["agent.run"].parent_span_id, spans["entry.submit"].span_id
        )
        self.assertEqual({s.trace_id.hex() for s in spans.values()}, {CALLER[3:35]})
        self.assertEqual(spans["agent.run"].status.message, "timed_out")

    def test_sampled_flag_and_rate_limit_decide_what_is_recorded(self):
        collector = Collector()
        self.addCleanup(collector.close)
        tracer = traces_export.Tracer.for_collector(
            collector.address, "e1", "z1", ManualClock()
        )
        self.assertEqual(tracer.start("hop", UNSAMPLED).traceparent, UNSAMPLED)
        count = traces_export.NEW_TRACES_PER_S + 5
        parents = [tracer.start("hop").traceparent for _ in range(count)]
        sampled = [p for p in parents if traces.TraceParent.from_text(p).is_sampled]
        self.assertEqual(len(sampled), traces_export.NEW_TRACES_PER_S)
        tracer.close()


class NullTest(unittest.TestCase):
    """Tracing without a collector."""

    def test_incoming_traceparent_is_passed_on(self):
        tracer = traces.NullTracer()
        self.assertEqual(tracer.start("hop", CALLER).traceparent, CALLER)
        self.assertEqual(tracer.start("hop").traceparent, "")

    def test_opentelemetry_is_not_imported(self):
        program = (
            "import sys, types, plantainhitch.traces as t;"
            "t.from_settings(types.SimpleNamespace(collector=''));"
            "sys.exit('opentelemetry' in sys.modules)"
        )
        done = subprocess.run([sys.executable, "-c", program], check=False)
        self.assertEqual(done.returncode, 0)

    def test_invalid_traceparents_are_rejected(self):
        for text in ("", "x", CALLER[:-1], "00-" + "0" * 32 + CALLER[35:]):
            with self.subTest(text=text):
                self.assertIsNone(traces.TraceParent.from_text(text))
