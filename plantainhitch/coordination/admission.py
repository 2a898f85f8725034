"""Admission control: refuses jobs that could not start in time.

The queue of a class may hold as many tasks as its recent start rate serves within the
class's target. A refusal proves that no task of the job has run.
"""

import math
from dataclasses import dataclass

from ..protocol.errors import ErrorCode, Refusal

RATE_WINDOW_MS = 1_000
# Shorter queues are never refused on the rate, which is unknown after idle times.
MIN_QUEUE_TASKS = 1_000
MAX_QUEUE_TASKS = 50_000
MIN_RETRY_AFTER_MS = 100
MAX_RETRY_AFTER_MS = 30_000


@dataclass(slots=True)
class DecayingRate:
    """A rate of events per ms, in which older events weigh exponentially less.

    ``weighted_count`` is the sum of the weights at ``updated_ms``.
    """

    window_ms: int
    weighted_count: float = 0.0
    updated_ms: int = 0

    def add(self, now_ms, count=1):
        """Count ``count`` events at ``now_ms``."""
        self._decay(now_ms)
        self.weighted_count += count

    def per_ms(self, now_ms):
        """Return the events per ms at ``now_ms``."""
        self._decay(now_ms)
        return self.weighted_count / self.window_ms

    def _decay(self, now_ms):
        elapsed_ms = now_ms - self.updated_ms
        if elapsed_ms > 0:
            self.weighted_count *= math.exp(-elapsed_ms / self.window_ms)
            self.updated_ms = now_ms


class Admission:
    """Decides whether a job is admitted to the queue of its class."""

    def __init__(self, clock, *, min_queue=MIN_QUEUE_TASKS, max_queue=MAX_QUEUE_TASKS):
        self._clock = clock
        self._min_queue = min_queue
        self._max_queue = max_queue
        self._rates = {}

    def record_starts(self, class_name, count=1):
        """Record that ``count`` tasks of the class have been sent to agents."""
        self._rate(class_name).add(self._clock.now_ms(), count)

    def expected_wait_ms(self, class_name, queued):
        """Return the expected wait in ms behind ``queued`` tasks; may be infinite."""
        if not queued:
            return 0
        rate = self._rate(class_name).per_ms(self._clock.now_ms())
        return queued / rate if rate > 0 else math.inf

    def check(self, document, job, queued):
        """Return None to admit the job behind ``queued`` tasks, else a ``Refusal``."""
        if document is None:
            return _not_run_refusal(ErrorCode.NO_CONFIGURATION, "no configuration yet")
        definition = document.classes.get(job.class_name)
        if definition is None:
            return _not_run_refusal(
                ErrorCode.CLASS_UNKNOWN, f"no class {job.class_name!r}"
            )
        if queued and queued + len(job.tasks) > self._max_queue:
            return self._overload_refusal(definition, queued)
        if queued <= self._min_queue:
            return None
        wait_ms = self.expected_wait_ms(definition.name, queued)
        if wait_ms > definition.answers_within_ms:
            return self._overload_refusal(definition, queued)
        return None

    def retry_after_ms(self, definition, queued):
        """Return the advised delay in ms: until the wait is half the class's target."""
        wait_ms = self.expected_wait_ms(definition.name, queued)
        excess_ms = wait_ms - definition.answers_within_ms / 2
        return int(min(max(excess_ms, MIN_RETRY_AFTER_MS), MAX_RETRY_AFTER_MS))

    def _overload_refusal(self, definition, queued):
        return Refusal(
            ErrorCode.OVERLOADED,
            f"{queued} tasks of class {definition.name!r} already wait",
            not_run=True,
            retry_after_ms=self.retry_after_ms(definition, queued),
        )

    def _rate(self, class_name):
        rate = self._rates.get(class_name)
        if rate is None:
            rate = self._rates[class_name] = DecayingRate(RATE_WINDOW_MS)
        return rate


def _not_run_refusal(code, message):
    return Refusal(code, message, not_run=True)
