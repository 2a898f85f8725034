"""Instrumentation of the dispatcher: counters, metrics and trace spans.

It is separate from the dispatcher to keep the scheduling logic free of it.
"""

from dataclasses import dataclass

from ..metrics import EntryMetrics, outcome_name
from ..outcomes import Succeeded
from ..protocol.calls import JobState
from ..traces import STATUS_OK, NullTracer

JOB_SPAN = "entry.job"
TASK_SPAN = "entry.task"


@dataclass(slots=True)
class DispatchCounts:
    """Counters since the start of the process."""

    started: int = 0
    refused_starts: int = 0
    retried: int = 0
    late_reports: int = 0


class DispatchObserver:
    """Records counters, metrics and spans of submissions and their tasks."""

    def __init__(self, clock, *, metrics=None, tracer=None):
        self._clock = clock
        self._metrics = metrics or EntryMetrics(clock)
        self._tracer = tracer or NullTracer()
        self._counts = DispatchCounts()

    @property
    def counts(self):
        """The ``DispatchCounts``."""
        return self._counts

    def job_queued(self, submission):
        """Begin the span of a submission whose tasks are being queued."""
        job = submission.job
        submission.span = self._tracer.start(JOB_SPAN, job.traceparent)
        submission.on_end.append(self._job_ended)

    def task_started(self, task):
        """Record the start of an attempt; its span is passed to the agent."""
        self._counts.started += 1
        self._metrics.task_started(task.class_name, task.sent_ms - task.enqueued_ms)
        task.span = self._tracer.start(TASK_SPAN, task.submission.span.traceparent)

    def task_reported(self, task, outcome, run_ms):
        """Record the outcome of an attempt that an agent has reported."""
        self._metrics.task_ended(task.class_name, outcome, run_ms)
        succeeded = isinstance(outcome, Succeeded)
        task.span.end(STATUS_OK if succeeded else outcome_name(outcome))

    def _job_ended(self, submission):
        elapsed_ms = submission.ended_ms - submission.begun_ms
        state = submission.state
        self._metrics.job_ended(submission.job.class_name, state, elapsed_ms)
        submission.span.end(STATUS_OK if state is JobState.COMPLETE else state.value)
