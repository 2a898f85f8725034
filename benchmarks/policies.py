"""Reference placement policies to compare with the product's own.

A ``decision_loop.Trial`` drives each of them. The trial's ``extra_messages`` counts
the messages beyond one start and one report for each task.
"""

import heapq
import random
from collections import deque

from plantainhitch.state.estimates import RunTimeEstimates

from .decision_loop import HOP_MS

# Interval at which endpoint loads are published to all entries in the ``old`` view.
STATISTICS_INTERVAL_MS = 100


class Policy:
    """Base of the policies: learns run times from reports and places nothing."""

    name = "none"

    def __init__(self, seed=0):
        self.random = random.Random(f"{self.name} {seed}")
        self.estimates = RunTimeEstimates()
        self.trial = None

    def attach(self, trial):
        """Bind the policy to the trial that drives it."""
        self.trial = trial

    def submit(self, tasks):
        """Place the tasks of one job, a list of ``TaskRun``."""
        raise NotImplementedError

    def slot_free(self, endpoint):
        """Handle an endpoint that has a free slot and an empty queue."""

    def task_ended(self, endpoint, task, run_ms, failed):
        """Send the report of an ended task to its entry."""
        self.trial.loop.call_later(
            HOP_MS, self.receive_report, endpoint, task, run_ms, failed
        )

    def receive_report(self, endpoint, task, run_ms, failed):
        """Learn the run time of a task that succeeded and record the task's end."""
        if not failed:
            self.estimates.observe(endpoint.number, task.class_name, round(run_ms))
        self.trial.record_task_end(task, failed)


class Random(Policy):
    """Picks endpoints at random, weighted by their slots."""

    name = "random"

    def submit(self, tasks):
        """Send each task to a random endpoint."""
        endpoints = self.trial.endpoints
        weights = [endpoint.slots for endpoint in endpoints]
        chosen = self.random.choices(endpoints, weights, k=len(tasks))
        for endpoint, task in zip(chosen, tasks, strict=True):
            self.trial.send(endpoint, task)


class RoundRobin(Policy):
    """Each entry sends its tasks to the endpoints in turn."""

    name = "round robin"

    def attach(self, trial):
        """Let each entry begin at a different endpoint."""
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
    """Picks the endpoint with the least load, or the earliest expected end.

    ``view`` selects the load that an entry sees of an endpoint: ``own`` counts the
    entry's own outstanding tasks, ``fresh`` all outstanding tasks now, ``old`` all
    outstanding tasks at the last publication and those that the entry has sent
    since. With ``speeds``, endpoints are compared by expected end.
    """

    def __init__(self, view="own", speeds=False, seed=0):
        self.name = f"least outstanding, {view}" + (", speeds" if speeds else "")
        super().__init__(seed)
        self._view = view
        self._speeds = speeds

    def attach(self, trial):
        """Bind to the trial with no outstanding tasks."""
        super().attach(trial)
        count = len(trial.endpoints)
        self._own_outstanding = [[0] * count for _ in range(trial.entries)]
        self._published_loads = [0] * count
        self._sent_since_publication = [[0] * count for _ in range(trial.entries)]
        self._published_at_ms = 0.0

    def submit(self, tasks):
        """Send each task to the endpoint of the lowest cost; ties are random."""
        for task in tasks:
            self._publish_loads()
            entry = task.job.entry
            endpoint = min(
                self.trial.endpoints,
                key=lambda each: (
                    self.cost(each, task, self._load(entry, each)),
                    self.random.random(),
                ),
            )
            self._own_outstanding[entry][endpoint.number] += 1
            self._sent_since_publication[entry][endpoint.number] += 1
            self.trial.send(endpoint, task)

    def cost(self, endpoint, task, load):
        """Return the cost of placing the task at an endpoint with this load."""
        return _placement_cost(self, endpoint, task, load, self._speeds)

    def receive_report(self, endpoint, task, run_ms, failed):
        """Remove the task from the entry's own load of the endpoint."""
        super().receive_report(endpoint, task, run_ms, failed)
        self._own_outstanding[task.job.entry][endpoint.number] -= 1

    def _load(self, entry, endpoint):
        number = endpoint.number
        if self._view == "own":
            return self._own_outstanding[entry][number]
        if self._view == "fresh":
            return endpoint.outstanding
        return (
            self._published_loads[number] + self._sent_since_publication[entry][number]
        )

    def _publish_loads(self):
        """Publish all loads if the last publication is an interval old."""
        now_ms = self.trial.loop.clock.exact_ms
        if (
            self._view != "old"
            or now_ms - self._published_at_ms < STATISTICS_INTERVAL_MS
        ):
            return
        self._published_at_ms = now_ms
        self._published_loads = [each.outstanding for each in self.trial.endpoints]
        for since in self._sent_since_publication:
            since[:] = [0] * len(since)
        links = len(self.trial.endpoints) * self.trial.entries
        self.trial.extra_messages += links


class TwoProbes(Policy):
    """Probes the loads of two random endpoints and picks the lower cost."""

    def __init__(self, speeds=False, seed=0):
        self.name = "two probes" + (", speeds" if speeds else "")
        super().__init__(seed)
        self._speeds = speeds

    def submit(self, tasks):
        """Probe two endpoints for each task; place it one round trip later."""
        for task in tasks:
            probed = self.random.sample(self.trial.endpoints, 2)
            self.trial.extra_messages += 4
            self.trial.loop.call_later(2 * HOP_MS, self._send, probed, task)

    def _send(self, probed, task):
        endpoint = min(
            probed,
            key=lambda each: _placement_cost(
                self, each, task, each.outstanding, self._speeds
            ),
        )
        self.trial.send(endpoint, task)


class LateBinding(Policy):
    """Late binding: endpoints queue reservations, two for each task.

    An endpoint with a free slot requests a task of the next reservation's job from
    its entry, which has none if the job's tasks were all handed out.
    """

    name = "two probes, late binding"

    def attach(self, trial):
        """Bind to the trial with no reservations."""
        super().attach(trial)
        self._reservations = [deque() for _ in trial.endpoints]
        self._requests_in_flight = [0] * len(trial.endpoints)

    def submit(self, tasks):
        """Send the job's reservations to random endpoints."""
        endpoints = self.trial.endpoints
        queue = deque(tasks)
        count = 2 * len(tasks)
        chosen = self.random.sample(endpoints * -(-count // len(endpoints)), count)
        self.trial.extra_messages += count
        for endpoint in chosen:
            self.trial.loop.call_later(HOP_MS, self._reserve, endpoint, queue)

    def slot_free(self, endpoint):
        """Request a task for the next reservation if a slot is free."""
        free = (
            endpoint.slots
            - endpoint.busy_slots
            - self._requests_in_flight[endpoint.number]
        )
        if free > 0 and self._reservations[endpoint.number]:
            queue = self._reservations[endpoint.number].popleft()
            self._requests_in_flight[endpoint.number] += 1
            self.trial.extra_messages += 1
            self.trial.loop.call_later(HOP_MS, self._answer_request, endpoint, queue)

    def _reserve(self, endpoint, queue):
        self._reservations[endpoint.number].append(queue)
        self.slot_free(endpoint)

    def _answer_request(self, endpoint, queue):
        task = queue.popleft() if queue else None
        self.trial.extra_messages += task is None
        self.trial.loop.call_later(HOP_MS, self._receive_task, endpoint, task)

    def _receive_task(self, endpoint, task):
        self._requests_in_flight[endpoint.number] -= 1
        if task is not None:
            endpoint.outstanding += 1
            self.trial.receive_start(endpoint, task)
        else:
            self.slot_free(endpoint)


class PerfectKnowledge(Policy):
    """Central placement with true run times and speeds, as a reference.

    No real entry has this knowledge. The tasks of a job are placed longest first,
    each on the slot where it ends earliest. With ``sparing``, a task goes to the
    slowest endpoint where it ends no later than the job's tasks placed so far all
    end, which leaves faster slots to other jobs.
    """

    def __init__(self, sparing=False, seed=0):
        self.name = "perfect knowledge" + (", sparing" if sparing else "")
        super().__init__(seed)
        self._sparing = sparing

    def attach(self, trial):
        """Bind to the trial with all slots free."""
        super().attach(trial)
        self._free_at_ms = [[0.0] * each.slots for each in trial.endpoints]

    def submit(self, tasks):
        """Place each of the job's tasks on a slot; placements are final."""
        job_ends_ms = 0.0
        now_ms = self.trial.loop.clock.exact_ms + HOP_MS
        for task in sorted(tasks, key=lambda each: -each.planned.run_ms):
            candidates = []
            for endpoint in self.trial.endpoints:
                start_ms = max(now_ms, self._free_at_ms[endpoint.number][0])
                end_ms = start_ms + task.planned.run_ms / endpoint.speed
                candidates.append((end_ms, endpoint.number, endpoint))
            in_time = [each for each in candidates if each[0] <= job_ends_ms]
            if self._sparing and in_time:
                end_ms, _, endpoint = min(in_time, key=lambda each: each[2].speed)
            else:
                end_ms, _, endpoint = min(candidates)
            heapq.heapreplace(self._free_at_ms[endpoint.number], end_ms)
            job_ends_ms = max(job_ends_ms, end_ms)
            self.trial.send(endpoint, task)


def _placement_cost(policy, endpoint, task, load, speeds):
    """Return the load per slot, or with ``speeds`` the expected time to end in ms."""
    if not speeds:
        return load / endpoint.slots
    run_ms = policy.estimates.expected_ms(endpoint.number, task.class_name)
    waiting = max(0, load + 1 - endpoint.slots)
    return run_ms * (1 + waiting / endpoint.slots)
