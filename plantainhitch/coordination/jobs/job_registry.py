"""The jobs of an entry, the callers that wait for them, and recent outcomes."""

from collections import OrderedDict

from ... import logs
from .outcomes import Ended, JobState, NeverRan, describe

# Outcomes kept for callers that submit a job again because the answer was lost; at the
# load of the sites this covers half a minute at each entry.
MAX_RECENT_OUTCOMES = 2_000

log = logs.get_logger("jobs")


class JobRegistry:
    """Jobs in progress by id; passes the outcome of each to its callers.

    ``on_outcome(queue, JobOutcome, took_ms)`` is called for each job. ``events`` is
    the ``EventLog`` of the jobs.
    """

    def __init__(self, clock, events, on_outcome):
        self._clock = clock
        self._events = events
        self._on_outcome = on_outcome
        self._jobs = {}
        # By job id: the ``on_end`` callbacks of the callers that wait for the job.
        self._callbacks_by_job = {}
        self._recent_outcomes = OrderedDict()

    @property
    def jobs(self):
        """The jobs by id, for reading only."""
        return self._jobs

    def attach_if_known(self, job_id, on_end):
        """Attach a caller to a job that is in progress or has recently ended.

        Return whether there is one; ``on_end`` has then been called if it has ended.
        """
        ended = self._recent_outcomes.get(job_id)
        if ended is not None:
            self._events.write_unusual("job submitted again", job=job_id, state="ended")
            on_end(ended)
            return True
        if job_id in self._jobs:
            self._events.write_unusual(
                "job submitted again", job=job_id, state="active"
            )
            self._callbacks_by_job[job_id].append(on_end)
            return True
        return False

    def add(self, job, on_end):
        """Add a job and its first caller."""
        self._jobs[job.job_id] = job
        self._callbacks_by_job[job.job_id] = [on_end]

    def refuse(self, job, outcome, on_end):
        """Pass the outcome of a job that was refused on arrival."""
        self._on_outcome(job.route.name, outcome, 0)
        on_end(outcome)

    def detach(self, job_id, on_end):
        """Remove a caller; return the job if no other caller waits for it, or None."""
        job = self._jobs.get(job_id)
        callbacks = self._callbacks_by_job.get(job_id, ())
        if on_end in callbacks:
            callbacks.remove(on_end)
            if callbacks:
                self._events.write_unusual(
                    "caller left", job=job_id, callers=len(callbacks)
                )
        return job if job is not None and not callbacks else None

    def finish(self, job, outcome):
        """Remove a job and pass its outcome to its callers."""
        del self._jobs[job.job_id]
        took_ms = self._clock.now_ms() - job.arrived_ms
        is_complete = outcome == Ended(JobState.COMPLETED)
        is_ordinary = is_complete or isinstance(outcome, NeverRan)
        write = self._events.write if is_ordinary else self._events.write_unusual
        write(
            "job completed" if is_complete else "job not completed",
            job=job.job_id,
            queue=job.route.name,
            outcome=describe(outcome),
            took_ms=took_ms,
            objective_ms=round(job.objective_ms),
            waiting_jobs=len(self._jobs),
        )
        self._on_outcome(job.route.name, outcome, took_ms)
        if isinstance(outcome, Ended):
            self._recent_outcomes[job.job_id] = outcome
            while len(self._recent_outcomes) > MAX_RECENT_OUTCOMES:
                self._recent_outcomes.popitem(last=False)
        for on_end in self._callbacks_by_job.pop(job.job_id):
            on_end(outcome)
