"""Crashes of endpoints, and how many of them each task was running in.

A crash proves something against a task only in one case: if no other job had a run at
the endpoint, or just before. Sound tasks run beside one that crashes its endpoints, so
their counts can be as high as its own.
"""

from collections import OrderedDict
from dataclasses import dataclass
from typing import NamedTuple

from .jobs import job_id_of

# A task is proven to crash its endpoints after this many crashes without a run of
# another job at the endpoint.
PROOF_CRASHES = 2
# From this many crashes on, a task may run only where no other job has a run.
ISOLATION_CRASHES = 2
# Crashes remembered, for jobs that are submitted again at another entry.
MAX_KEPT_CRASHES = 500


class CrashedRun(NamedTuple):
    """A run that may have to do with the crash of an endpoint.

    ``run_ms`` is the time from the order to start it until the crash was noticed. If
    ``was_running`` is False, it is not known to have begun, or it was stopped just
    before: it may have caused the crash, which does not count against its task.
    """

    task: str
    queue: str
    run_ms: int = 0
    was_running: bool = True


@dataclass(frozen=True, slots=True)
class EndpointCrash:
    """The end of one lifetime of an endpoint without notice.

    Without ``runs`` it withdraws the report of that lifetime.
    ``endpoint_id`` and ``born_ms`` identify the lifetime, and ``age_ms`` is how long
    ago its end was noticed when the crash was reported.
    """

    endpoint_id: str
    born_ms: int
    runs: tuple[CrashedRun, ...]
    age_ms: int = 0

    @property
    def lifetime(self):
        """The key of the lifetime that ended."""
        return self.endpoint_id, self.born_ms

    @property
    def has_single_job(self):
        """Whether all runs belong to one job."""
        return len({job_id_of(run.task) for run in self.runs}) == 1


class CrashHistory:
    """The crashes that became known last, and the counts of their tasks."""

    def __init__(self, max_crashes=MAX_KEPT_CRASHES):
        self._max_crashes = max_crashes
        self._crashes = OrderedDict()
        # By task: all crashes, and those without a run of another job.
        self._counts = {}
        self._single_job_counts = {}

    def record(self, crash):
        """Record an ``EndpointCrash``; return False if it was known.

        One without runs withdraws that of its lifetime: the endpoint is at work.
        """
        if not crash.runs:
            if (withdrawn := self._crashes.pop(crash.lifetime, None)) is not None:
                self._add(withdrawn, -1)
            return False
        if crash.lifetime in self._crashes:
            return False
        self._crashes[crash.lifetime] = crash
        self._add(crash, 1)
        if len(self._crashes) > self._max_crashes:
            _, oldest = self._crashes.popitem(last=False)
            self._add(oldest, -1)
        return True

    def count(self, task):
        """Return the number of crashes in which a task was running."""
        return self._counts.get(task, 0)

    def is_proven(self, task):
        """Return whether a task is proven to crash its endpoints."""
        return self._single_job_counts.get(task, 0) >= PROOF_CRASHES

    def is_probable(self, task):
        """Return whether a task probably crashes its endpoints.

        It was running in several crashes, one of them without another job.
        """
        return self.count(task) >= PROOF_CRASHES and task in self._single_job_counts

    def needs_isolation(self, task):
        """Return whether a task may run only where no other job has a run."""
        return self.count(task) >= ISOLATION_CRASHES

    def _add(self, crash, change):
        for run in crash.runs:
            if not run.was_running:
                continue
            _add_to_count(self._counts, run.task, change)
            if crash.has_single_job:
                _add_to_count(self._single_job_counts, run.task, change)


def _add_to_count(counts, task, change):
    count = counts.get(task, 0) + change
    if count:
        counts[task] = count
    else:
        del counts[task]
