"""The metrics of a deployment's agents, in the Prometheus text format."""

import collections

from .coordination.runs.forecast import pace
from .text_metrics import TextMetrics


def run_metrics_text(node):
    """Return the metrics of a ``RunAgentNode`` as text."""
    controller = node.controller
    phases = collections.Counter(run.phase.value for run in controller.runs.values())
    text = TextMetrics("plantainhitch_agent_")
    text.gauges("runs", "phase", phases)
    text.counters("run_ends_total", "end", controller.end_counts)
    text.counter("endpoint_crashes_total", controller.crash_count)
    text.counter("endpoint_refusals_total", controller.lifetime.refusal_count)
    text.counter("endpoint_replacements_total", controller.lifetime.replacement_count)
    text.counter("late_runs_total", controller.late_run_count)
    text.gauge("ready", int(controller.is_ready))
    text.gauge("endpoint_known", int(controller.lifetime.is_known))
    text.gauge("zone_evacuated", int(controller.is_evacuated))
    text.gauge("endpoint_silent", int(controller.lease.is_suspect))
    text.gauge("used_cpu_millis", controller.used_room.cpu_millis)
    text.gauge("free_cpu_millis", controller.free_room.cpu_millis)
    text.gauge("pace", round(pace(controller.runs.values()), 3))
    text.gauge("slowness", round(controller.performance.slowness, 3))
    text.gauge("consecutive_failures", controller.performance.consecutive_failures)
    text.gauge("cold_for_ms", controller.warm_up.cold_for_ms)
    text.gauge("links", len(controller.owners.linked_incarnations))
    text.gauge("fence", controller.fence)
    return text.render()
