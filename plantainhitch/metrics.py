"""Metrics of an entry: counters and latencies per class.

Latencies are kept in HDR histograms over the last one to two minutes; counters count
since the process started. ``render`` returns the Prometheus text format. The number of
label values is bounded: classes beyond ``MAX_CLASSES`` share the label ``other``.
"""

import enum
from collections import defaultdict
from dataclasses import fields

from prometheus_client.core import (
    CounterMetricFamily,
    GaugeMetricFamily,
    Metric,
)
from prometheus_client.exposition import generate_latest

from .latencies import LatencyWindow
from .outcomes import Failed, NotRun, Succeeded, Unknown
from .protocol.errors import ErrorCode

PREFIX = "plantainhitch_"
MAX_CLASSES = 200
OTHER_CLASS = "other"
# Fields of ``EntryStatus`` that are exported as counters; the others are gauges.
COUNTER_FIELDS = frozenset(
    {
        "started",
        "retried",
        "refused_starts",
        "late_reports",
        "frames_sent",
        "bytes_sent",
    }
)


class Counter(enum.Enum):
    """The counters: name, help text, and the label that they have besides the class."""

    JOBS = ("jobs", "Jobs that have ended, by state.", "state")
    TASKS = ("tasks", "Tasks that have ended, by outcome.", "outcome")
    NOT_RUN = ("tasks_not_run", "Tasks not run, by reason.", "reason")
    REFUSALS = ("refusals", "Calls refused, by error code.", "code")


class Latency(enum.Enum):
    """The latencies in milliseconds: name and help text."""

    RESPONSE = ("response_ms", "From submission to answer, in ms.")
    QUEUE = ("queue_ms", "From submission to start, in ms.")
    RUN = ("run_ms", "Run time at the endpoint, in ms.")


class _Collector:
    """A collector of metric families, as the Prometheus library expects one."""

    def __init__(self, families):
        self._families = families

    def collect(self):
        """Return the families."""
        return self._families


class EntryMetrics:
    """Counters and latencies of an entry."""

    def __init__(self, clock):
        self._clock = clock
        self._counts = {counter: defaultdict(int) for counter in Counter}
        self._latencies = {latency: {} for latency in Latency}
        self._classes = set()

    def count(self, counter, class_name="", label="", amount=1):
        """Add ``amount`` to a counter; ``label`` is the value of its second label."""
        self._counts[counter][self._label(class_name), label] += amount

    def record(self, latency, class_name, latency_ms):
        """Record a latency in ms for a class."""
        windows = self._latencies[latency]
        name = self._label(class_name)
        window = windows.get(name)
        if window is None:
            window = windows[name] = LatencyWindow(self._clock)
        window.record(latency_ms)

    def value(self, counter, class_name="", label=""):
        """Return the current value of a counter."""
        return self._counts[counter].get((self._label(class_name), label), 0)

    def job_ended(self, class_name, state, response_ms):
        """Count a job by its ``JobState`` and record its response time."""
        self.count(Counter.JOBS, class_name, state.value)
        self.record(Latency.RESPONSE, class_name, response_ms)

    def task_ended(self, class_name, outcome, run_ms=0):
        """Count a task's outcome; ``run_ms`` is its run time at the endpoint."""
        _count_outcome(self, class_name, outcome, run_ms)

    def task_started(self, class_name, queued_ms):
        """Record how long a task waited for a slot."""
        self.record(Latency.QUEUE, class_name, queued_ms)

    def refused(self, class_name, code):
        """Count a call that was refused with an ``ErrorCode``."""
        # Callers may send any name; only names of existing classes become labels.
        known_name = "" if code is ErrorCode.CLASS_UNKNOWN else class_name
        self.count(Counter.REFUSALS, known_name, code.value)

    def render(self, status=None):
        """Return the Prometheus text format as bytes.

        The numeric fields of ``status``, a data class, are included.
        """
        families = [
            *(_counter_family(kind, counts) for kind, counts in self._counts.items()),
            *(
                _latency_family(kind, windows)
                for kind, windows in self._latencies.items()
            ),
            *_status_families(status),
        ]
        return generate_latest(_Collector(families))

    def _label(self, class_name):
        if class_name in self._classes:
            return class_name
        if len(self._classes) >= MAX_CLASSES:
            return OTHER_CLASS
        self._classes.add(class_name)
        return class_name


def outcome_name(outcome):
    """Return the name of an outcome's kind, as callers and metrics see it."""
    match outcome:
        case Succeeded():
            return "succeeded"
        case Failed():
            return "failed"
        case NotRun():
            return "not_run"
        case Unknown():
            return "unknown"
    raise TypeError(f"not an outcome: {outcome!r}")


def _count_outcome(metrics, class_name, outcome, run_ms):
    metrics.count(Counter.TASKS, class_name, outcome_name(outcome))
    if isinstance(outcome, NotRun):
        metrics.count(Counter.NOT_RUN, class_name, outcome.reason.value)
    elif run_ms:
        metrics.record(Latency.RUN, class_name, run_ms)


def _counter_family(counter, counts):
    name, text, label_name = counter.value
    family = CounterMetricFamily(PREFIX + name, text, labels=("class", label_name))
    for labels, value in counts.items():
        family.add_metric(labels, value)
    return family


def _latency_family(latency, windows):
    name, text = latency.value
    family = Metric(PREFIX + name, text, "summary")
    for class_name, window in windows.items():
        labels = {"class": class_name}
        for quantile, value in window.quantiles().items():
            quantile_labels = {**labels, "quantile": str(quantile)}
            family.add_sample(PREFIX + name, quantile_labels, value)
        family.add_sample(f"{PREFIX}{name}_count", labels, window.count)
        family.add_sample(f"{PREFIX}{name}_sum", labels, window.sum_ms)
    return family


def _status_families(status):
    """Yield a family for each numeric field; the keys of a mapping are classes."""
    for field in fields(status) if status else ():
        value = getattr(status, field.name)
        kind = (
            CounterMetricFamily if field.name in COUNTER_FIELDS else GaugeMetricFamily
        )
        text = f"The entry's {field.name.replace('_', ' ')}."
        if isinstance(value, dict):
            family = kind(PREFIX + field.name, text, labels=("class",))
            for class_name, number in value.items():
                family.add_metric((class_name,), number)
            yield family
        elif not isinstance(value, str):
            yield kind(PREFIX + field.name, text, value=value)
