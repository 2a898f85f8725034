"""Traces: one span for each hop, joined by W3C ``traceparent``.

``from_settings`` returns a tracer that exports by OTLP/HTTP where a collector is
configured (``traces_export``); without one the null tracer costs nothing and
opentelemetry is not even imported. Either way a ``traceparent`` that came in goes
on to the next hop::

    span = tracer.start("entry.submit", traceparent)
    ...  # send span.traceparent to the next hop
    span.end()
"""

import re

# version 00, 16 bytes of trace id, 8 bytes of span id, flags
_TRACEPARENT = re.compile(r"00-([0-9a-f]{32})-([0-9a-f]{16})-([0-9a-f]{2})")
_NO_TRACE = 0
_NO_SPAN = 0
SAMPLED = 1
STATUS_OK = "ok"


class TraceParent:
    """A valid ``traceparent``, taken apart."""

    __slots__ = ("span_id", "trace_id", "is_sampled")

    def __init__(self, trace_id, span_id, is_sampled):
        self.trace_id = trace_id
        self.span_id = span_id
        self.is_sampled = is_sampled

    @classmethod
    def from_text(cls, text):
        """Return the parent in ``text``, or None where it isn't valid."""
        found = _TRACEPARENT.fullmatch(text)
        if found is None:
            return None
        trace_id, span_id, flags = (int(part, 16) for part in found.groups())
        if trace_id == _NO_TRACE or span_id == _NO_SPAN:
            return None
        return cls(trace_id, span_id, bool(flags & SAMPLED))


class NullSpan:
    """A span that is not recorded; it hands on the ``traceparent`` that came in."""

    __slots__ = ("_traceparent",)

    def __init__(self, traceparent=""):
        self._traceparent = traceparent

    @property
    def traceparent(self):
        """What the next hop is to be sent."""
        return self._traceparent

    def annotate(self, **attributes):
        """Do nothing."""

    def end(self, status=STATUS_OK):
        """Do nothing."""


NULL_SPAN = NullSpan()


class NullTracer:
    """The tracer without a collector."""

    is_recording = False

    def start(self, name, traceparent=""):
        """Return a span that is not recorded."""
        return NullSpan(traceparent) if traceparent else NULL_SPAN

    def close(self):
        """Do nothing."""


def from_settings(settings):
    """Return the tracer that ``settings.Settings`` asks for."""
    if not settings.collector:
        return NullTracer()
    from .traces_export import Tracer

    return Tracer.for_collector(settings.collector, settings.name, settings.zone)
