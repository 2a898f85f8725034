"""Finds tasks that are overdue: in a queue, or in flight without a report."""

from dataclasses import dataclass

from ..outcomes import Reason
from .queues import ClassQueue, PendingTask

# How long after its timeout a task's report may arrive.
REPORT_GRACE_MS = 15_000
# How long a task that fits no known endpoint waits for a larger one to join.
NO_FIT_WAIT_MS = 3_000
# The same while no agent is known at all.
NO_AGENT_WAIT_MS = 10_000


@dataclass(frozen=True, slots=True)
class WaitLimit:
    """How long a task may wait in its queue, and its reason for "not run" then."""

    wait_ms: int
    reason: Reason


@dataclass(frozen=True, slots=True)
class OverdueTask:
    """A task that has exceeded its time in the queue."""

    queue: ClassQueue
    task: PendingTask
    reason: Reason


class ExpiryChecker:
    """Finds overdue tasks; removing and finishing them is the caller's part."""

    def __init__(self, clock, queues, placement):
        self._clock = clock
        self._queues = queues
        self._placement = placement

    def overdue_reports(self, agent, document):
        """Return a list of (key, task) in flight at the agent with overdue reports."""
        now_ms = self._clock.now_ms()
        overdue = []
        for key, task in agent.in_flight.items():
            age_ms = now_ms - task.sent_ms
            # The oldest come first, and no limit is shorter than the grace.
            if age_ms <= REPORT_GRACE_MS:
                break
            if age_ms > _report_limit_ms(task, document):
                overdue.append((key, task))
        return overdue

    def overdue_queued(self, document, has_agents):
        """Yield each ``OverdueTask``; the caller removes it before taking the next."""
        now_ms = self._clock.now_ms()
        for name, queue in self._queues.non_empty():
            definition = document.classes.get(name)
            if definition is None:
                continue
            limit = self._wait_limit(definition, has_agents)
            while (task := queue.oldest()) is not None:
                if now_ms - task.enqueued_ms <= limit.wait_ms:
                    break
                yield OverdueTask(queue, task, limit.reason)

    def _wait_limit(self, definition, has_agents):
        if self._placement.any_fits(definition):
            max_wait_ms = max(definition.timeout_ms, definition.answers_within_ms)
            return WaitLimit(max_wait_ms, Reason.EXPIRED)
        wait_ms = NO_FIT_WAIT_MS if has_agents else NO_AGENT_WAIT_MS
        return WaitLimit(wait_ms, Reason.NO_FIT)


def _report_limit_ms(task, document):
    definition = document.classes.get(task.class_name) if document else None
    return (definition.timeout_ms if definition else 0) + REPORT_GRACE_MS
