"""Isolation of runs: tasks that may have crashed endpoints run beside no other job.

While a run that needs isolation is at the endpoint or waits for it, starts of other
jobs are refused, so that the endpoint empties.
"""

from .run import may_be_at_endpoint


class Isolation:
    """Which waiting starts may begin beside the runs that are at the endpoint."""

    def __init__(self, runs):
        self._jobs_at_endpoint = {run.job_id for run in runs if may_be_at_endpoint(run)}
        self._isolated_jobs = {run.job_id for run in runs if run.start.is_isolated}

    def excludes(self, run):
        """Return whether a start must not begin before the isolated runs have ended."""
        return not run.start.is_isolated and not self._isolated_jobs <= {run.job_id}

    def may_begin(self, run):
        """Return whether a waiting start may begin now, apart from its room."""
        if run.start.is_isolated:
            return self._jobs_at_endpoint <= {run.job_id}
        return not self.excludes(run)

    def record_begin(self, run):
        """Record that a start begins."""
        self._jobs_at_endpoint.add(run.job_id)
