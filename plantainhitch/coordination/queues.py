"""Queues of tasks that wait at an entry, one for each class.

Cancelling a task takes constant time: it is marked, and skipped when the queue
comes to it.
"""

import heapq
import itertools
from collections import deque
from dataclasses import dataclass

from ..outcomes import NotRun, Unknown
from ..protocol.calls import TaskSpec
from ..protocol.messages import TaskKey
from ..traces import UNTRACED
from .submissions import Submission


@dataclass(slots=True, eq=False)
class PendingTask:
    """One task on its way: queued, or sent to an agent.

    ``excluded`` is the name of the agent that refused it last;
    ``may_have_run`` is True once an attempt has ended without a proof that it did
    not run.
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
    span: object = UNTRACED

    @property
    def class_name(self):
        """The class of the task's job."""
        return self.submission.job.class_name

    @property
    def key(self):
        """The key of the current attempt."""
        return TaskKey(self.submission.id, self.spec.index, self.attempt)

    def final_outcome(self, outcome):
        """Return what may be said of all attempts, where the last had ``outcome``."""
        if self.may_have_run and isinstance(outcome, NotRun):
            return Unknown(outcome.reason)
        return outcome


class ClassQueue:
    """Waiting tasks of one class, the one with the smallest ``rank`` first."""

    def __init__(self):
        self._heap = []
        # The same tasks by age; those no longer queued are skipped.
        self._by_age = deque()
        self._insertion_numbers = itertools.count()
        self._size = 0

    def __len__(self):
        return self._size

    def push(self, task):
        """Put ``work`` in, behind those of the same rank."""
        task.is_queued = True
        task.submission.queued.add(task)
        heapq.heappush(self._heap, (task.rank_ms, next(self._insertion_numbers), task))
        self._by_age.append(task)
        self._size += 1

    def remove(self, task):
        """Take ``work`` out, wherever it stands."""
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
        """Return the task that was put in first, or None."""
        by_age = self._by_age
        while by_age and not by_age[0].is_queued:
            by_age.popleft()
        return by_age[0] if by_age else None

    def _mark_removed(self, task):
        task.is_queued = False
        task.submission.queued.discard(task)
        self._size -= 1


class ClassQueues:
    """The queues of all classes."""

    def __init__(self):
        self._queues = {}

    def for_class(self, class_name):
        """Return the queue of a class."""
        queue = self._queues.get(class_name)
        if queue is None:
            queue = self._queues[class_name] = ClassQueue()
        return queue

    def non_empty(self):
        """Return the (class name, queue) pairs with tasks in them."""
        return [(name, queue) for name, queue in self._queues.items() if len(queue)]

    def task_count(self):
        """Return how many tasks wait in all."""
        return sum(len(queue) for queue in self._queues.values())
