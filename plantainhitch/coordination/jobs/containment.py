"""Decides how far jobs are contained whose tasks may crash their endpoints.

A job whose tasks were running in several crashes is isolated: it runs only where no
other job does. A task that crashes endpoints there as well is proven to be the cause.

A queue is contained once one of its tasks appears to crash endpoints, since its next
jobs may do the same: its jobs are then placed in a part of the pool only, and those
among them that were running in a crash are isolated.
"""

from ...state.crashes import CrashHistory
from ...state.jobs import job_id_of
from .contained_queues import ContainedQueues
from .placement import TOO_LATE_FACTOR
from .sections import Division, Section

# A lost run proves nothing: its endpoint or agent may have been cut off. After this
# many of them, a task is isolated all the same, because a crash is not always seen.
ISOLATION_LOST_RUNS = 3
# After this many lost runs of a task its job is given up.
MAX_LOST_RUNS = 5
# The other queues keep this part of the processor that is theirs by their usual loads.
OTHERS_SHARE_FACTOR = 0.8
MAX_CONTAINED_SHARE = 0.5


class Containment:
    """The crashes known to this entry, and what follows from them for its jobs."""

    def __init__(self, clock, fleet, demand):
        self._clock = clock
        self._fleet = fleet
        self._demand = demand
        self._history = CrashHistory()
        self._queues = ContainedQueues(
            clock, self._history, lambda: len(self._fleet.agents)
        )

    def record(self, crash, agent):
        """Record an ``EndpointCrash``; return the ids of its jobs, none if known.

        ``agent`` is the ``AgentView`` of the endpoint.
        """
        if not self._history.record(crash):
            return set()
        self._queues.record(crash, agent)
        self._divide_pools(agent.status.pool)
        return {job_id_of(run.task) for run in crash.runs}

    def learn(self, loads, pool):
        """Contain the queues that other entries contain, by the ``QueueLoad`` objects.

        An agent of the pool passes them on, also to entries that start later.
        """
        contained = [load for load in loads if load.contained_ms > 0]
        for load in contained:
            self._queues.learn(load.queue, pool, load.contained_ms)
        if contained:
            self._divide_pools(pool)

    def probable_ms(self):
        """Return for how long each queue with a probable cause stays contained."""
        return self._queues.probable_ms()

    def crash_count(self, task):
        """Return how many endpoints have crashed while a ``Task`` ran there."""
        return self._history.count(task.name)

    def is_suspect(self, job):
        """Return whether a task of a job was running when an endpoint crashed."""
        return any(self._history.count(task.name) for task in job.all_tasks())

    def is_deadly(self, job):
        """Return whether a task of a job is proven to crash its endpoints."""
        return any(self._history.is_proven(task.name) for task in job.all_tasks())

    def needs_isolation(self, job):
        """Return whether a job may run only where no other job has a run."""
        is_contained = self._is_contained(job)
        return any(
            self._history.needs_isolation(task.name)
            or (is_contained and self._history.count(task.name))
            or task.lost_runs >= ISOLATION_LOST_RUNS
            for task in job.all_tasks()
        )

    def is_exhausted(self, task):
        """Return whether so many runs of a ``Task`` were lost that it is given up."""
        return task.lost_runs >= MAX_LOST_RUNS

    def is_past_use(self, job):
        """Return whether an isolated job of a contained queue comes too late to be run.

        Such jobs wait for few endpoints, most of which are down after a run of another
        one.
        """
        limit_ms = job.arrived_ms + TOO_LATE_FACTOR * job.objective_ms
        return (
            job.is_isolated
            and self._clock.now_ms() > limit_ms
            and self._is_contained(job)
        )

    def section(self, job):
        """Return the ``Section`` of its pool where a job is placed."""
        contained = self._queues.names(job.route.pool)
        is_contained = job.route.name in contained
        if job.is_isolated:
            return Section.ISOLATION if is_contained else Section.ANY_CONTAINED
        if is_contained:
            return Section.CONTAINED
        return Section.OPEN if contained else Section.WHOLE

    def _is_contained(self, job):
        return job.route.name in self._queues.names(job.route.pool)

    def _divide_pools(self, pool):
        if contained := self._queues.names(pool):
            share = self._contained_share(contained)
            self._fleet.set_division(Division(share, self._queues.crashed_agents))

    def _contained_share(self, contained):
        """Return the share of the processor for the queues with names in a set."""
        loads = self._demand.ranks.loads.values()
        total = sum(load.share for load in loads)
        others = sum(load.share for load in loads if load.queue not in contained)
        others_share = others / total if total else 0.0
        return min(1 - OTHERS_SHARE_FACTOR * others_share, MAX_CONTAINED_SHARE)
