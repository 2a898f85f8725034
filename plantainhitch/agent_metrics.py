"""Metrics of an agent in the Prometheus text format."""

from .text_metrics import TextMetrics

PREFIX = "plantainhitch_agent_"


def metrics_text(node):
    """Return the metrics of an ``AgentNode`` as text."""
    core = node.core
    counters = core.counters
    text = TextMetrics(PREFIX)
    text.gauge("slots", core.slots.capacity)
    text.gauge("running_tasks", len(core.slots.running))
    text.gauge("waiting_starts", core.waiting)
    text.gauge("kept_answer_bytes", core.slots.window.body_bytes)
    text.gauge("known_attempts", len(core.slots.window))
    text.gauge("links", len(node.links))
    text.gauge("draining", int(core.is_draining))
    text.gauge("configuration_version", core.configuration_version)
    text.counter("taken_total", counters.started)
    text.counters("refused_total", "reason", counters.refused)
    text.counters("outcomes_total", "outcome", counters.outcomes)
    text.counter("report_frames_total", counters.report_frames)
    return text.render()
