"""Decides in which order waiting jobs are placed, and which are turned away."""

import math

from .job_admission import Cause

# Interval of the passes over all waiting jobs: below the age of what is known of the
# agents' free room.
FULL_PASS_INTERVAL_MS = 8


class PlacementPasses:
    """The passes over the waiting jobs of a scheduler.

    ``jobs`` are all jobs by id, ``section_of(job)`` returns the ``Section`` of a job.
    ``order_start(task, candidate, is_late)`` orders the start of a task, and
    ``cancel_job(job, reason, retry_after_s)`` ends a job. The others are the
    scheduler's ``Placement``, ``Demand``, ``JobAdmission`` and ``RetrySlots``.
    """

    def __init__(
        self,
        clock,
        jobs,
        *,
        section_of,
        placement,
        demand,
        admission,
        retry_slots,
        order_start,
        cancel_job,
    ):
        self._clock = clock
        self._jobs = jobs
        self._section_of = section_of
        self._placement = placement
        self._demand = demand
        self._admission = admission
        self._retry_slots = retry_slots
        self._order_start = order_start
        self._cancel_job = cancel_job
        self._full_pass_ms = 0
        # Jobs with tasks that became ready after the last pass; a dict without values.
        self._newly_ready = {}
        # Rank and due time of the first job that the last full pass left waiting.
        self._first_waiting = (math.inf, 0.0)

    def add_ready(self, job):
        """Consider a job in the next pass: some of its tasks may have become ready."""
        self._newly_ready[job] = None

    def discard(self, job):
        """Forget a job that has ended."""
        self._newly_ready.pop(job, None)

    def run(self):
        """Start the tasks that find room, in the order of the jobs' ranks.

        Between full passes, only jobs with newly ready tasks are considered.
        """
        now_ms = self._clock.now_ms()
        is_full_pass = now_ms - self._full_pass_ms >= FULL_PASS_INTERVAL_MS
        if is_full_pass:
            self._full_pass_ms = now_ms
        jobs = self._jobs.values() if is_full_pass else self._newly_ready
        waiting = [job for job in jobs if job.has_ready_tasks]
        self._newly_ready = {}
        if not waiting:
            if is_full_pass:
                self._record_waiting([])
            return
        placement = self._placement
        rounds = {}
        ranked = [(placement.rank(job), job.due_ms, job) for job in waiting]
        for rank, due_ms, job in sorted(ranked, key=lambda item: item[:2]):
            if not is_full_pass and (rank, due_ms) > self._first_waiting:
                continue  # more urgent work found no room in the last full pass
            if not job.has_started and placement.is_too_late(job):
                self._cancel_job(job, "too late to be of use")
                continue
            key = job.route.pool, self._section_of(job)
            if key not in rounds:
                rounds[key] = placement.begin_round(*key)
            self._place_job(job, rank, rounds[key], is_full_pass)
        if is_full_pass:
            self._record_waiting(ranked)

    def _record_waiting(self, ranked):
        """Record the work of the jobs that wait and have not started, by queue."""
        waiting = {}
        self._first_waiting = (math.inf, 0.0)
        for rank, due_ms, job in ranked:
            if not job.has_started and job.job_id in self._jobs:
                self._first_waiting = min(self._first_waiting, (rank, due_ms))
                name = job.route.name
                waiting[name] = waiting.get(name, 0.0) + job.work_core_ms
                if not job.is_delayed:
                    job.is_delayed = True
                    self._admission.count(job, Cause.DELAYED)
        self._demand.record_waiting(waiting)

    def _place_job(self, job, rank, placement_round, is_full_pass):
        is_late = self._placement.is_demoted(job)
        for task, candidate in placement_round.select(job, rank):
            self._order_start(task, candidate, is_late)
        if job.has_started or not is_full_pass:
            return  # only a full pass knows the work ahead of a job
        if placement_round.is_infeasible(job):
            for task, candidate in placement_round.select_late(job):
                self._order_start(task, candidate, is_late=True)
            if not job.has_started:
                wait_ms = placement_round.service_time_ms(
                    job, placement_round.work_ahead
                )
                self._admission.refused_waiting(job, wait_ms)
                retry_after_s = self._retry_slots.reserve(
                    job.route.name,
                    wait_ms,
                    placement_round.service_time_ms(job, job.work_core_ms),
                )
                self._cancel_job(job, "too much is waiting", retry_after_s)
        else:
            placement_round.work_ahead += job.work_core_ms
