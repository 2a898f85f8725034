"""The task queues of an entry, one for each class.

Removal from the middle of a queue takes constant time: the task is marked as no
longer queued and skipped when it reaches the front.
"""

import heapq
import itertools
from collections import deque
from dataclasses import dataclass

from ..outcomes import NotRun, Unknown
from ..protocol.calls import TaskSpec
from ..protocol.messages import TaskKey
from ..traces import NULL_SPAN
from .submissions import Submission


@dataclass(slots=True, eq=False)
class PendingTask:
    """A task without a final outcome: queued, or in flight to an agent.

    ``rank_ms`` orders the queue, the smallest first. ``excluded_agent`` is the name
    of the agent that reported the last attempt. ``may_have_run`` is True once an
    attempt has ended without proof that it did not run. Times are on the entry's
    clock.
    """

    submission: Submission
    spec: TaskSpec
    enqueued_ms: int
    rank_ms: float = 0.0
    attempt: int = 1
    is_queued: bool = False
    excluded_agent: str = ""
    may_have_run: bool = False
    sent_ms: int = 0
    span: object = NULL_SPAN

    @property
    def class_name(self):
        """The name of the class of the task's job."""
        return self.submission.job.class_name

    @property
    def key(self):
        """The ``TaskKey`` of the current attempt."""
        return TaskKey(self.submission.id, self.spec.index, self.attempt)

    def final_outcome(self, outcome):
        """Return the outcome of the task, given that of its last attempt.

        "Not run" becomes unknown if an earlier attempt may have run.
        """
        if self.may_have_run and isinstance(outcome, NotRun):
            return Unknown(outcome.reason)
        return outcome


class ClassQueue:
    """The queued tasks of one class, in the order of ``rank_ms``."""

    def __init__(self):
        self._heap = []
        # The same tasks in the order of insertion; those no longer queued are skipped.
        self._by_age = deque()
        self._insertion_numbers = itertools.count()
        self._size = 0

    def __len__(self):
        return self._size

    def push(self, task):
        """Add a task, behind those of the same rank."""
        task.is_queued = True
        task.submission.queued.add(task)
        heapq.heappush(self._heap, (task.rank_ms, next(self._insertion_numbers), task))
        self._by_age.append(task)
        self._size += 1

    def remove(self, task):
        """Remove a queued task from any position."""
        self._mark_removed(task)

    def peek(self):
        """Return the first task, or None."""
        heap = self._heap
        while heap and not heap[0][2].is_queued:
            heapq.heappop(heap)
        return heap[0][2] if heap else None

    def pop(self):
        """Remove and return the first task, or None."""
        task = self.peek()
        if task is not None:
            heapq.heappop(self._heap)
            self._mark_removed(task)
        return task

    def oldest(self):
        """Return the task that was added first, or None."""
        by_age = self._by_age
        while by_age and not by_age[0].is_queued:
            by_age.popleft()
        return by_age[0] if by_age else None

    def _mark_removed(self, task):
        task.is_queued = False
        task.submission.queued.discard(task)
        self._size -= 1


class ClassQueues:
    """A ``ClassQueue`` for each class, created on first use."""

    def __init__(self):
        self._queues = {}

    def for_class(self, class_name):
        """Return the queue of a class."""
        queue = self._queues.get(class_name)
        if queue is None:
            queue = self._queues[class_name] = ClassQueue()
        return queue

    def non_empty(self):
        """Return the (class name, queue) pairs of the queues that hold tasks."""
        return [(name, queue) for name, queue in self._queues.items() if len(queue)]

    def task_count(self):
        """Return the number of queued tasks of all classes."""
        return sum(len(queue) for queue in self._queues.values())
