"""An event heap and endpoints without sockets, to drive decision classes by hand.

It measures decisions only: messages take ``HOP_MS`` and cost nothing else.
"""

import heapq
import itertools
from collections import deque
from dataclasses import dataclass, field

from plantainhitch.clock import Clock
from plantainhitch.loadgen.ideal import ideal_ms

HOP_MS = 0.5
FAST_FAILURE_MS = 5.0


class EventClock(Clock):
    """The clock of an ``EventLoop``, in whole milliseconds as processes see it."""

    def __init__(self):
        self.exact_ms = 0.0

    def now_ms(self):
        """Return the time of the current event."""
        return int(self.exact_ms)


class EventLoop:
    """Runs calls in the order of their times."""

    def __init__(self):
        self.clock = EventClock()
        self._heap = []
        self._numbers = itertools.count()

    def after(self, delay_ms, call, *arguments):
        """Run ``call`` ``delay_ms`` from now."""
        due_ms = self.clock.exact_ms + delay_ms
        heapq.heappush(self._heap, (due_ms, next(self._numbers), call, arguments))

    def run(self):
        """Run until nothing is left to do."""
        while self._heap:
            due_ms, _, call, arguments = heapq.heappop(self._heap)
            self.clock.exact_ms = due_ms
            call(*arguments)


@dataclass(slots=True, eq=False)
class JobRun:
    """A job on its way; ``entry`` is the number of the entry that serves it."""

    planned: object
    entry: int
    left: int
    failed_tasks: int = 0
    refused: bool = False
    ended_ms: float = 0.0
    best_ms: float = 0.0

    @property
    def ratio(self):
        """The response against the ideal."""
        return (self.ended_ms - self.planned.due_ms) / self.best_ms


@dataclass(slots=True, eq=False)
class TaskRun:
    """A task on its way; ``key`` is free for a policy's own use."""

    job: JobRun
    planned: object
    key: object = None

    @property
    def class_name(self):
        """The class of the task's job."""
        return self.job.planned.class_name


@dataclass(slots=True, eq=False)
class EndpointRun:
    """An endpoint with slots and a queue; ``outstanding`` counts both."""

    number: int
    slots: int
    speed: float
    failing_from_ms: float = float("inf")
    busy: int = 0
    outstanding: int = 0
    queue: deque = field(default_factory=deque)

    def run_ms(self, task, now_ms):
        """Return how long the task takes here."""
        if now_ms >= self.failing_from_ms:
            return FAST_FAILURE_MS
        return task.planned.run_ms / self.speed


class Trial:
    """One plan of jobs under one policy.

    The policy's ``submit(tasks)`` is called for each job, its
    ``task_ended(endpoint, task, run_ms, failed)`` when a task ends at an endpoint,
    and ``slot_free(endpoint)`` when a slot then has nothing queued.
    """

    def __init__(self, fleet, jobs, policy, entries=3, failing=None):
        self.loop = EventLoop()
        self.entries = entries
        self.endpoints = [
            EndpointRun(number, endpoint.slots, endpoint.speed)
            for number, endpoint in enumerate(fleet.endpoints)
        ]
        if failing is not None:
            number, from_ms = failing
            self.endpoints[number].failing_from_ms = from_ms
        self.extra_messages = 0
        self.starts = []
        self.runs = [
            JobRun(
                job,
                number % entries,
                len(job.tasks),
                best_ms=ideal_ms([task.run_ms for task in job.tasks], fleet),
            )
            for number, job in enumerate(jobs)
        ]
        self.policy = policy
        policy.attach(self)

    def run(self):
        """Run all jobs to their ends and return this trial."""
        for run in self.runs:
            self.loop.after(run.planned.due_ms, self._submit, run)
        self.loop.run()
        return self

    def send(self, endpoint, task):
        """Send a start; it reaches the endpoint one hop later."""
        endpoint.outstanding += 1
        self.loop.after(HOP_MS, self.arrive, endpoint, task)

    def arrive(self, endpoint, task):
        """A start is at the endpoint: run it now or once a slot is free."""
        if endpoint.busy < endpoint.slots:
            self.begin(endpoint, task)
        else:
            endpoint.queue.append(task)

    def begin(self, endpoint, task):
        """Run a task in a free slot."""
        now_ms = self.loop.clock.exact_ms
        endpoint.busy += 1
        failed = now_ms >= endpoint.failing_from_ms
        self.starts.append((now_ms, endpoint.number, failed))
        run_ms = endpoint.run_ms(task, now_ms)
        self.loop.after(run_ms, self._end, endpoint, task, run_ms, failed)

    def finish(self, task, failed=False):
        """A report is at the entry: count the task."""
        job = task.job
        job.left -= 1
        job.failed_tasks += failed
        if not job.left:
            job.ended_ms = self.loop.clock.exact_ms

    def _submit(self, run):
        self.policy.submit([TaskRun(run, task) for task in run.planned.tasks])

    def _end(self, endpoint, task, run_ms, failed):
        endpoint.busy -= 1
        endpoint.outstanding -= 1
        self.policy.task_ended(endpoint, task, run_ms, failed)
        if endpoint.queue:
            self.begin(endpoint, endpoint.queue.popleft())
        else:
            self.policy.slot_free(endpoint)
