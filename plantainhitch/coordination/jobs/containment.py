"""Decides how far jobs are contained whose tasks may crash their endpoints.

A job whose tasks were running in several crashes runs only where no other job does.
A task that crashes an endpoint there as well is proven to be the cause.
"""

from ...state.crashes import CrashHistory
from ...state.jobs import job_id_of

# A lost run proves nothing: its endpoint or agent may have been cut off. After this
# many of them, a task is isolated all the same, because a crash is not always seen.
ISOLATION_LOST_RUNS = 3
# After this many lost runs of a task its job is given up.
MAX_LOST_RUNS = 5


class Containment:
    """The crashes known to this entry, and what follows from them for its jobs."""

    def __init__(self):
        self._history = CrashHistory()

    def record(self, crash):
        """Record an ``EndpointCrash``; return the ids of its jobs, none if known."""
        if not self._history.record(crash):
            return set()
        return {job_id_of(run.task) for run in crash.runs}

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
        return any(
            self._history.needs_isolation(task.name)
            or task.lost_runs >= ISOLATION_LOST_RUNS
            for task in job.all_tasks()
        )

    def is_exhausted(self, task):
        """Return whether so many runs of a ``Task`` were lost that it is given up."""
        return task.lost_runs >= MAX_LOST_RUNS
