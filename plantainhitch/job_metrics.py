"""Metrics of an entry that schedules jobs, in the Prometheus text format."""

import collections

from .coordination.jobs.outcomes import Ended
from .latencies import LatencyWindow
from .text_metrics import TextMetrics

# Queues beyond this many share one label, which bounds the size of a page.
MAX_QUEUES = 100
OTHER_QUEUE = "other"


class JobMetrics:
    """Counters and latencies of the jobs of one entry."""

    def __init__(self, clock):
        self._clock = clock
        self._outcomes = collections.Counter()
        self._refusals = collections.Counter()
        self._response_times = {}

    def record_job(self, queue, outcome, took_ms):
        """Count the outcome of a job and record the response time of one that ended."""
        if isinstance(outcome, Ended):
            self._outcomes[outcome.state.value] += 1
            self._response_window(queue).record(took_ms)
        else:
            self._outcomes[type(outcome).__name__] += 1
            self._refusals[outcome.reason] += 1

    def render(self, node):
        """Return the metrics as text; ``node`` is the ``JobEntryNode``."""
        scheduler, table = node.scheduler, node.routes
        agents = scheduler.fleet.agents.values()
        text = TextMetrics("plantainhitch_")
        text.counters("jobs_total", "outcome", self._outcomes)
        text.counters("jobs_not_ended_total", "reason", self._refusals)
        text.multi_counters(
            "jobs_short_total",
            ("queue", "priority", "cause"),
            scheduler.admission.counts,
        )
        text.gauge("shortage", int(bool(scheduler.admitted_parts)))
        text.gauges("admitted", "queue", scheduler.admitted_parts)
        text.latencies("job_ms", "queue", self._response_times)
        text.gauge("jobs", len(scheduler.jobs))
        text.gauge("ready", int(node.ready))
        text.gauge("configuration_version", table.version if table else 0)
        text.gauge("agents", len(agents))
        text.gauge("agents_linked", sum(agent.link is not None for agent in agents))
        text.gauge("agents_ready", sum(agent.is_ready for agent in agents))
        text.gauge("agents_held_back", sum(agent.is_held_back for agent in agents))
        text.gauge("peers", node.peer_count)
        zones = {agent.zone: 0 for agent in agents}
        zones |= dict.fromkeys(scheduler.evacuations.zones, 1)
        text.gauges("zone_evacuated", "zone", zones)
        text.gauges("slowness", "agent", {a.name: a.slowness for a in agents})
        text.gauges("runs", "agent", {a.name: len(a.tasks) for a in agents})
        return text.render()

    def _response_window(self, queue):
        if queue not in self._response_times and (
            len(self._response_times) >= MAX_QUEUES
        ):
            queue = OTHER_QUEUE
        return self._response_times.setdefault(queue, LatencyWindow(self._clock))
