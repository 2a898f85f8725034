"""The metrics of a deployment's agents, in the Prometheus text format."""

import collections

from .coordination.runs.forecast import pace
from .text_metrics import TextMetrics


def run_metrics_text(node):
    """Return the metrics of a ``RunAgentNode`` as text."""
    book = node.book
    phases = collections.Counter(run.phase.value for run in book.runs.values())
    text = TextMetrics("plantainhitch_agent_")
    text.gauges("runs", "phase", phases)
    text.counters("run_ends_total", "end", book.end_counts)
    text.gauge("ready", int(book.is_ready))
    text.gauge("endpoint_silent", int(book.lease.is_suspect))
    text.gauge("used_cpu_millis", book.used.cpu_millis)
    text.gauge("free_cpu_millis", book.free.cpu_millis)
    text.gauge("pace", round(pace(book.runs.values()), 3))
    text.gauge("links", len(book.owners.linked))
    text.gauge("fence", book.fence)
    return text.render()
