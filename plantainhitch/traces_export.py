"""Spans recorded with opentelemetry and exported over OTLP/HTTP.

Export runs in a separate thread; if the collector is slow or unreachable, spans are
dropped and requests are not affected. Imported only if a collector is configured.
"""

import secrets
from urllib.parse import urlsplit

from opentelemetry import trace
from opentelemetry.context import Context
from opentelemetry.exporter.otlp.proto.http.trace_exporter import OTLPSpanExporter
from opentelemetry.sdk.resources import Resource
from opentelemetry.sdk.trace import TracerProvider
from opentelemetry.sdk.trace.export import BatchSpanProcessor

from .clock import Clock
from .traces import STATUS_OK, NullSpan, TraceParent

SERVICE_NAME = "plantainhitch"
TRACES_PATH = "/v1/traces"
# Limit for spans that wait for export; spans beyond it are dropped.
MAX_QUEUED_SPANS = 4_096
MAX_SPANS_PER_EXPORT = 512
EXPORT_INTERVAL_MS = 1_000
EXPORT_TIMEOUT_MS = 2_000
# Requests without a ``traceparent`` start a new trace, up to this many per second;
# the others are not recorded. With a ``traceparent``, its sampled flag decides.
NEW_TRACES_PER_S = 100
SECOND_MS = 1_000
_NO_PARENT = Context()


class Span:
    """A recorded span: one hop of a request, from ``Tracer.start`` until ``end``."""

    __slots__ = ("_span", "_traceparent")

    def __init__(self, span):
        self._span = span
        context = span.get_span_context()
        self._traceparent = f"00-{context.trace_id:032x}-{context.span_id:016x}-01"

    @property
    def traceparent(self):
        """The ``traceparent`` to send to the next hop, with this span as parent."""
        return self._traceparent

    def annotate(self, **attributes):
        """Add attributes; values are strings, numbers or booleans."""
        self._span.set_attributes(attributes)

    def end(self, status=STATUS_OK):
        """End the span; a ``status`` other than ``STATUS_OK`` marks an error."""
        if status != STATUS_OK:
            self._span.set_status(trace.Status(trace.StatusCode.ERROR, status))
        self._span.end()


class Tracer:
    """Records spans and exports them in the background."""

    is_recording = True

    def __init__(self, provider, clock):
        self._provider = provider
        self._tracer = provider.get_tracer(SERVICE_NAME)
        self._clock = clock
        self._second = -1
        self._new_traces_in_second = 0

    @classmethod
    def for_collector(cls, collector, process_name, zone, clock=None):
        """Return a tracer that exports to ``collector``, an ``IP:port`` or a URL."""
        exporter = OTLPSpanExporter(
            endpoint=traces_url(collector), timeout=EXPORT_TIMEOUT_MS / 1000
        )
        resource = Resource(
            {
                "service.name": SERVICE_NAME,
                "service.instance.id": process_name,
                "cloud.availability_zone": zone,
            }
        )
        provider = TracerProvider(resource=resource, shutdown_on_exit=False)
        provider.add_span_processor(
            BatchSpanProcessor(
                exporter,
                max_queue_size=MAX_QUEUED_SPANS,
                max_export_batch_size=MAX_SPANS_PER_EXPORT,
                schedule_delay_millis=EXPORT_INTERVAL_MS,
                export_timeout_millis=EXPORT_TIMEOUT_MS,
            )
        )
        return cls(provider, clock or Clock())

    def start(self, name, traceparent=""):
        """Start a span with the caller's ``traceparent`` as parent, or a new trace."""
        parent = TraceParent.from_text(traceparent)
        if parent is None:
            return self._start_trace(name)
        if not parent.is_sampled:
            return NullSpan(traceparent)
        return Span(self._tracer.start_span(name, context=_context_from_parent(parent)))

    def close(self):
        """Export the queued spans, for a bounded time, and stop the export thread."""
        self._provider.shutdown()

    def _start_trace(self, name):
        second = self._clock.now_ms() // SECOND_MS
        if second != self._second:
            self._second = second
            self._new_traces_in_second = 0
        self._new_traces_in_second += 1
        if self._new_traces_in_second > NEW_TRACES_PER_S:
            return NullSpan(_new_unsampled_parent())
        return Span(self._tracer.start_span(name, context=_NO_PARENT))


def traces_url(collector):
    """Return the URL of a collector given as ``IP:port`` or as a URL."""
    url = collector if "://" in collector else f"http://{collector}"
    path = urlsplit(url).path.rstrip("/")
    return url if path else url.rstrip("/") + TRACES_PATH


def _new_unsampled_parent():
    """Return a new ``traceparent`` whose sampled flag is off: no hop records it."""
    return f"00-{secrets.token_hex(16)}-{secrets.token_hex(8)}-00"


def _context_from_parent(parent):
    context = trace.SpanContext(
        trace_id=parent.trace_id,
        span_id=parent.span_id,
        is_remote=True,
        trace_flags=trace.TraceFlags(trace.TraceFlags.SAMPLED),
    )
    return trace.set_span_in_context(trace.NonRecordingSpan(context), _NO_PARENT)
