"""Admits or refuses each arriving job by the admission level.

Of a queue's jobs, smaller ones are admitted more often: the part of admitted jobs
falls with the square root of their work. The jobs of twice the mean work are therefore
still admitted 0.7 times as often as those of the mean.
"""

import enum
import math
from collections import Counter

from ...state.estimates import RunningMean

SHORTAGE_REASON = "capacity goes to more urgent work"
# Combinations of queue, priority and cause that are counted apart.
MAX_COUNTS = 300
OTHER_QUEUE = "other"


class Cause(enum.Enum):
    """What shortage did to a job."""

    DELAYED = "delayed"
    REFUSED_ON_ARRIVAL = "refused on arrival"
    REFUSED_WAITING = "refused while waiting"


class JobAdmission:
    """The admission decisions of one entry.

    A queue's admitted parts are added up, and a job is admitted when the sum reaches
    1. This spreads the refused jobs evenly without random numbers.
    """

    def __init__(self, events, demand, fleet):
        self._events = events
        self._demand = demand
        self._fleet = fleet
        self._mean_work_by_queue = {}
        self._credit_by_queue = {}
        self._counts = Counter()

    @property
    def counts(self):
        """Jobs by (queue, priority, text of the ``Cause``)."""
        return self._counts

    def count(self, job, cause):
        """Count a job that was delayed or refused for want of capacity."""
        key = job.route.name, job.route.priority, cause.value
        if key not in self._counts and len(self._counts) >= MAX_COUNTS:
            key = OTHER_QUEUE, 0, cause.value
        self._counts[key] += 1

    def refused_waiting(self, job, wait_ms):
        """Record that a job is refused for which ``wait_ms`` of work is ahead."""
        self.count(job, Cause.REFUSED_WAITING)
        self._events.write(
            "work ahead of job",
            job=job.job_id,
            queue=job.route.name,
            wait_ms=round(wait_ms),
            ahead=self._demand.work_ahead_ms(job.route.name),
        )

    def admits(self, job):
        """Return whether an arriving job is admitted."""
        queue, work = job.route.name, max(job.work_core_ms, 1.0)
        mean = self._mean_work_by_queue.setdefault(queue, RunningMean(work))
        mean.observe(work)
        self._demand.update_level(self._fleet_cpu_millis(job))
        admission = self._demand.level.admission(queue)
        if admission.admitted >= 1.0:
            self._credit_by_queue.pop(queue, None)
            return True
        part = min(admission.admitted * math.sqrt(mean.value / work), 1.0)
        credit = self._credit_by_queue.get(queue, 0.5) + part
        is_admitted = credit >= 1.0
        self._credit_by_queue[queue] = credit - is_admitted
        if not is_admitted:
            self.count(job, Cause.REFUSED_ON_ARRIVAL)
            self._events.write(
                "job refused",
                job=job.job_id,
                queue=queue,
                why=SHORTAGE_REASON,
                priority=job.route.priority,
                admitted=round(admission.admitted, 3),
                wait_ms=round(1_000 * admission.ahead_s),
                ahead=self._demand.work_ahead_ms(queue),
            )
        return is_admitted

    def retry_after_s(self, job, retry_slots):
        """Return the Retry-After in seconds of a refused job."""
        admission = self._demand.level.admission(job.route.name)
        cpu_millis = max(self._fleet_cpu_millis(job), 1.0)
        return retry_slots.reserve(
            job.route.name,
            1_000 * admission.ahead_s,
            1_000 * job.work_core_ms / cpu_millis,
        )

    def _fleet_cpu_millis(self, job):
        return self._fleet.pool_view(job.route.pool).effective_cpu_millis
