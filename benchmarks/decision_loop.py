"""Discrete-event simulation of endpoints, to compare placement policies.

Only decisions are simulated: there are no sockets, and a message takes ``HOP_MS``
and has no other cost.
"""

import heapq
import itertools
from collections import deque
from dataclasses import dataclass, field

from plantainhitch.clock import Clock
from plantainhitch.loadgen.ideal import ideal_ms

# One-way delay of a message between an entry and an agent.
HOP_MS = 0.5
# Run time of each task at an endpoint that fails everything.
FAST_FAILURE_MS = 5.0


class SimulatedClock(Clock):
    """The clock of an ``EventLoop``; ``now_ms`` is in whole ms, as in the product."""

    def __init__(self):
        self.exact_ms = 0.0

    def now_ms(self):
        """Return the time of the current event in ms, rounded down."""
        return int(self.exact_ms)


class EventLoop:
    """Runs callbacks in the order of their simulated times."""

    def __init__(self):
        self.clock = SimulatedClock()
        self._heap = []
        self._sequence_numbers = itertools.count()

    def call_later(self, delay_ms, callback, *arguments):
        """Schedule ``callback(*arguments)`` for ``delay_ms`` from now."""
        due_ms = self.clock.exact_ms + delay_ms
        heapq.heappush(
            self._heap, (due_ms, next(self._sequence_numbers), callback, arguments)
        )

    def run(self):
        """Run until no callback is scheduled."""
        while self._heap:
            due_ms, _, callback, arguments = heapq.heappop(self._heap)
            self.clock.exact_ms = due_ms
            callback(*arguments)


@dataclass(slots=True, eq=False)
class JobRun:
    """State of one job; ``entry`` is the number of the entry that serves it."""

    planned: object
    entry: int
    tasks_left: int
    failed_tasks: int = 0
    refused: bool = False
    ended_ms: float = 0.0
    ideal_response_ms: float = 0.0

    @property
    def ratio(self):
        """The response time divided by the ideal response time."""
        return (self.ended_ms - self.planned.due_ms) / self.ideal_response_ms


@dataclass(slots=True, eq=False)
class TaskRun:
    """State of one task; a policy may keep its own identifier in ``key``."""

    job: JobRun
    planned: object
    key: object = None

    @property
    def class_name(self):
        """The class of the task's job."""
        return self.job.planned.class_name


@dataclass(slots=True, eq=False)
class SimulatedEndpoint:
    """An endpoint with slots and a FIFO queue.

    ``outstanding`` counts the tasks that were sent to it and have not ended.
    """

    number: int
    slots: int
    speed: float
    failing_from_ms: float = float("inf")
    busy_slots: int = 0
    outstanding: int = 0
    queue: deque = field(default_factory=deque)

    def run_ms(self, task, now_ms):
        """Return the run time in ms of the task at this endpoint."""
        if now_ms >= self.failing_from_ms:
            return FAST_FAILURE_MS
        return task.planned.run_ms / self.speed


class Trial:
    """Simulates one plan of jobs under one policy.

    Calls the policy's ``submit(tasks)`` for each job,
    ``task_ended(endpoint, task, run_ms, failed)`` when a task ends at an endpoint,
    and then ``slot_free(endpoint)`` if the endpoint's queue is empty. ``failing`` is
    (endpoint number, from_ms) of an endpoint that fails every task from then on.
    ``starts`` lists (start_ms, endpoint number, failed) of each started task.
    """

    def __init__(self, fleet, jobs, policy, entries=3, failing=None):
        self.loop = EventLoop()
        self.entries = entries
        self.endpoints = [
            SimulatedEndpoint(number, endpoint.slots, endpoint.speed)
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
                ideal_response_ms=ideal_ms([task.run_ms for task in job.tasks], fleet),
            )
            for number, job in enumerate(jobs)
        ]
        self.policy = policy
        policy.attach(self)

    def run(self):
        """Simulate until all jobs have ended; return this trial."""
        for run in self.runs:
            self.loop.call_later(run.planned.due_ms, self._submit, run)
        self.loop.run()
        return self

    def send(self, endpoint, task):
        """Send a task to an endpoint, which receives it ``HOP_MS`` later."""
        endpoint.outstanding += 1
        self.loop.call_later(HOP_MS, self.receive_start, endpoint, task)

    def receive_start(self, endpoint, task):
        """Start the task in a free slot of the endpoint, or queue it."""
        if endpoint.busy_slots < endpoint.slots:
            self.start_task(endpoint, task)
        else:
            endpoint.queue.append(task)

    def start_task(self, endpoint, task):
        """Occupy a slot of the endpoint with the task and schedule its end."""
        now_ms = self.loop.clock.exact_ms
        endpoint.busy_slots += 1
        failed = now_ms >= endpoint.failing_from_ms
        self.starts.append((now_ms, endpoint.number, failed))
        run_ms = endpoint.run_ms(task, now_ms)
        self.loop.call_later(run_ms, self._end_task, endpoint, task, run_ms, failed)

    def record_task_end(self, task, failed=False):
        """Record at the entry that a task has ended."""
        job = task.job
        job.tasks_left -= 1
        job.failed_tasks += failed
        if not job.tasks_left:
            job.ended_ms = self.loop.clock.exact_ms

    def _submit(self, run):
        self.policy.submit([TaskRun(run, task) for task in run.planned.tasks])

    def _end_task(self, endpoint, task, run_ms, failed):
        endpoint.busy_slots -= 1
        endpoint.outstanding -= 1
        self.policy.task_ended(endpoint, task, run_ms, failed)
        if endpoint.queue:
            self.start_task(endpoint, endpoint.queue.popleft())
        else:
            self.policy.slot_free(endpoint)
