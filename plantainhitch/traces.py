"""Distributed traces: one span per hop, linked by W3C ``traceparent`` headers.

``from_settings`` returns a tracer that exports over OTLP/HTTP if a collector is
configured (see ``traces_export``), else the null tracer, which records nothing and
doesn't import opentelemetry. Both pass an incoming ``traceparent`` on to the next
hop::

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
    """The parsed form of a valid ``traceparent``."""

    __slots__ = ("span_id", "trace_id", "is_sampled")

    def __init__(self, trace_id, span_id, is_sampled):
        self.trace_id = trace_id
        self.span_id = span_id
        self.is_sampled = is_sampled

    @classmethod
    def from_text(cls, text):
        """Return the parsed ``text``, or None if it isn't valid."""
        match = _TRACEPARENT.fullmatch(text)
        if match is None:
            return None
        trace_id, span_id, flags = (int(group, 16) for group in match.groups())
        if trace_id == _NO_TRACE or span_id == _NO_SPAN:
            return None
        return cls(trace_id, span_id, bool(flags & SAMPLED))


class NullSpan:
    """A span that is not recorded; it passes on the incoming ``traceparent``."""

    __slots__ = ("_traceparent",)

    def __init__(self, traceparent=""):
        self._traceparent = traceparent

    @property
    def traceparent(self):
        """The ``traceparent`` to send to the next hop."""
        return self._traceparent

    def annotate(self, **attributes):
        """Do nothing."""

    def end(self, status=STATUS_OK):
        """Do nothing."""


NULL_SPAN = NullSpan()


class NullTracer:
    """The tracer of a process without a collector; it records nothing."""

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
