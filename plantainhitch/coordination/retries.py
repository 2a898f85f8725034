"""The retry policy of tasks, and the outcomes that count against an endpoint.

A task of a submission starts at most once: it is retried only after proof that it
did not run. A repeatable request is also retried after an unknown outcome.
"""

from ..outcomes import Failed, NotRun, Reason, Unknown

# Total attempts of a task whose attempts were all proved not to have run.
MAX_ATTEMPTS = 8
# Further attempts of a repeatable request after unknown outcomes.
MAX_REPEATS = 3

ENDPOINT_FAULTS = frozenset(
    (
        Reason.BAD_ANSWER,
        Reason.ENDPOINT_FAILED,
        Reason.ENDPOINT_LOST,
        Reason.ENDPOINT_REFUSED,
        Reason.TASK_FAILED,
        Reason.TIMED_OUT,
    )
)


def may_retry(task, outcome):
    """Return whether a ``PendingTask`` may be retried after an attempt's outcome."""
    submission = task.submission
    if submission.is_cancelled or submission.has_failed:
        return False
    match outcome:
        case NotRun(reason=Reason.OVERLOADED):
            # The agent's queue was full; the limit on time in the queue bounds retries.
            return True
        case NotRun():
            return task.attempt < MAX_ATTEMPTS
        case Unknown() | Failed(reason=Reason.ENDPOINT_FAILED):
            return submission.repeatable and task.attempt <= MAX_REPEATS
    return False


def is_endpoint_fault(outcome):
    """Return whether an outcome counts as a failure of the endpoint."""
    match outcome:
        case NotRun(reason) | Failed(reason) | Unknown(reason):
            return reason in ENDPOINT_FAULTS
    return False
