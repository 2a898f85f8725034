"""Placement policies to compare with the product's own.

Each one is a plain class that a ``decision_loop.Trial`` drives. ``extra_messages``
of the trial counts what goes beyond one start and one report for each task.
"""

import heapq
import random
from collections import deque

from plantainhitch.state.estimates import RunTimeEstimates

from .decision_loop import HOP_MS

# How often shared load statistics are published in the ``old`` view.
STATISTICS_STEP_MS = 100


class Policy:
    """What all policies share: learnt run times, and doing nothing."""

    name = "none"

    def __init__(self, seed=0):
        self.random = random.Random(f"{self.name} {seed}")
        self.estimates = RunTimeEstimates()
        self.trial = None

    def attach(self, trial):
        """Serve this trial from now on."""
        self.trial = trial

    def submit(self, tasks):
        """Take in the tasks of one job."""
        raise NotImplementedError

    def slot_free(self, endpoint):
        """Note that a slot has nothing to do."""

    def task_ended(self, endpoint, task, run_ms, failed):
        """Report the end of a task to its entry."""
        self.trial.loop.after(HOP_MS, self.reported, endpoint, task, run_ms, failed)

    def reported(self, endpoint, task, run_ms, failed):
        """Learn from a report and count the task."""
        if not failed:
            self.estimates.observe(endpoint.number, task.class_name, round(run_ms))
        self.trial.finish(task, failed)


class Random(Policy):
    """Any endpoint, by slots."""

    name = "random"

    def submit(self, tasks):
        """Send each task to a random endpoint."""
        endpoints = self.trial.endpoints
        weights = [endpoint.slots for endpoint in endpoints]
        chosen = self.random.choices(endpoints, weights, k=len(tasks))
        for endpoint, task in zip(chosen, tasks, strict=True):
            self.trial.send(endpoint, task)


class RoundRobin(Policy):
    """Each entry goes through the endpoints in turn."""

    name = "round robin"

    def attach(self, trial):
        """Start each entry at another endpoint."""
        super().attach(trial)
        self._next = [3 * entry for entry in range(trial.entries)]

    def submit(self, tasks):
        """Send each task to the next endpoint."""
        endpoints = self.trial.endpoints
        for task in tasks:
            entry = task.job.entry
            self.trial.send(endpoints[self._next[entry] % len(endpoints)], task)
            self._next[entry] += 1


class LeastOutstanding(Policy):
    """The endpoint with the least load, or with the earliest expected end.

    ``view`` is what an entry knows of the load: ``own`` its own tasks, ``fresh``
    all tasks now, ``old`` all tasks at the last step, with its own since then.
    """

    def __init__(self, view="own", speeds=False, seed=0):
        self.name = f"least outstanding, {view}" + (", speeds" if speeds else "")
        super().__init__(seed)
        self._view = view
        self._speeds = speeds

    def attach(self, trial):
        """Start with nothing outstanding."""
        super().attach(trial)
        count = len(trial.endpoints)
        self._own = [[0] * count for _ in range(trial.entries)]
        self._published = [0] * count
        self._since = [[0] * count for _ in range(trial.entries)]
        self._published_at_ms = 0.0

    def submit(self, tasks):
        """Send each task to the best endpoint."""
        for task in tasks:
            self._publish()
            entry = task.job.entry
            endpoint = min(
                self.trial.endpoints,
                key=lambda each: (
                    self.cost(each, task, self._load(entry, each)),
                    self.random.random(),
                ),
            )
            self._own[entry][endpoint.number] += 1
            self._since[entry][endpoint.number] += 1
            self.trial.send(endpoint, task)

    def cost(self, endpoint, task, load):
        """Return what the policy minimises."""
        return _cost(self, endpoint, task, load, self._speeds)

    def reported(self, endpoint, task, run_ms, failed):
        """Count the task out."""
        super().reported(endpoint, task, run_ms, failed)
        self._own[task.job.entry][endpoint.number] -= 1

    def _load(self, entry, endpoint):
        number = endpoint.number
        if self._view == "own":
            return self._own[entry][number]
        if self._view == "fresh":
            return endpoint.outstanding
        return self._published[number] + self._since[entry][number]

    def _publish(self):
        """Publish the loads of the step that has ended, one step old."""
        now_ms = self.trial.loop.clock.exact_ms
        if self._view != "old" or now_ms - self._published_at_ms < STATISTICS_STEP_MS:
            return
        self._published_at_ms = now_ms
        self._published = [each.outstanding for each in self.trial.endpoints]
        for since in self._since:
            since[:] = [0] * len(since)
        links = len(self.trial.endpoints) * self.trial.entries
        self.trial.extra_messages += links


class TwoProbes(Policy):
    """Ask two random endpoints for their load and take the better one."""

    def __init__(self, speeds=False, seed=0):
        self.name = "two probes" + (", speeds" if speeds else "")
        super().__init__(seed)
        self._speeds = speeds

    def submit(self, tasks):
        """Probe for each task; the answers come a round trip later."""
        for task in tasks:
            probed = self.random.sample(self.trial.endpoints, 2)
            self.trial.extra_messages += 4
            self.trial.loop.after(2 * HOP_MS, self._send, probed, task)

    def _send(self, probed, task):
        endpoint = min(
            probed,
            key=lambda each: _cost(self, each, task, each.outstanding, self._speeds),
        )
        self.trial.send(endpoint, task)


class LateBinding(Policy):
    """Two reservations for each task; a free slot asks the entry for a task."""

    name = "two probes, late binding"

    def attach(self, trial):
        """Start with no reservations."""
        super().attach(trial)
        self._reservations = [deque() for _ in trial.endpoints]
        self._asking = [0] * len(trial.endpoints)

    def submit(self, tasks):
        """Put the job's reservations on random endpoints."""
        endpoints = self.trial.endpoints
        queue = deque(tasks)
        count = 2 * len(tasks)
        chosen = self.random.sample(endpoints * -(-count // len(endpoints)), count)
        self.trial.extra_messages += count
        for endpoint in chosen:
            self.trial.loop.after(HOP_MS, self._reserve, endpoint, queue)

    def slot_free(self, endpoint):
        """Ask for a task of the next reservation."""
        free = endpoint.slots - endpoint.busy - self._asking[endpoint.number]
        if free > 0 and self._reservations[endpoint.number]:
            queue = self._reservations[endpoint.number].popleft()
            self._asking[endpoint.number] += 1
            self.trial.extra_messages += 1
            self.trial.loop.after(HOP_MS, self._give, endpoint, queue)

    def _reserve(self, endpoint, queue):
        self._reservations[endpoint.number].append(queue)
        self.slot_free(endpoint)

    def _give(self, endpoint, queue):
        task = queue.popleft() if queue else None
        self.trial.extra_messages += task is None
        self.trial.loop.after(HOP_MS, self._given, endpoint, task)

    def _given(self, endpoint, task):
        self._asking[endpoint.number] -= 1
        if task is not None:
            endpoint.outstanding += 1
            self.trial.arrive(endpoint, task)
        else:
            self.slot_free(endpoint)


class PerfectKnowledge(Policy):
    """One queue, true run times and speeds known: a reference, not a choice.

    The tasks of a job are placed longest first where they end first; ``sparing``
    then puts each further task on the slowest slot that does not end after the
    job's longest one, which leaves fast slots to others.
    """

    def __init__(self, sparing=False, seed=0):
        self.name = "perfect knowledge" + (", sparing" if sparing else "")
        super().__init__(seed)
        self._sparing = sparing

    def attach(self, trial):
        """Start with all slots free."""
        super().attach(trial)
        self._free_at_ms = [[0.0] * each.slots for each in trial.endpoints]

    def submit(self, tasks):
        """Place the job's tasks for good."""
        job_ends_ms = 0.0
        now_ms = self.trial.loop.clock.exact_ms + HOP_MS
        for task in sorted(tasks, key=lambda each: -each.planned.run_ms):
            options = []
            for endpoint in self.trial.endpoints:
                free_ms = max(now_ms, self._free_at_ms[endpoint.number][0])
                end_ms = free_ms + task.planned.run_ms / endpoint.speed
                options.append((end_ms, endpoint.number, endpoint))
            in_time = [each for each in options if each[0] <= job_ends_ms]
            if self._sparing and in_time:
                end_ms, _, endpoint = min(in_time, key=lambda each: each[2].speed)
            else:
                end_ms, _, endpoint = min(options)
            heapq.heapreplace(self._free_at_ms[endpoint.number], end_ms)
            job_ends_ms = max(job_ends_ms, end_ms)
            self.trial.send(endpoint, task)


def _cost(policy, endpoint, task, load, speeds):
    """Return the relative load, or the expected end in ms where speeds count."""
    if not speeds:
        return load / endpoint.slots
    run_ms = policy.estimates.expected_ms(endpoint.number, task.class_name)
    waiting = max(0, load + 1 - endpoint.slots)
    return run_ms * (1 + waiting / endpoint.slots)
