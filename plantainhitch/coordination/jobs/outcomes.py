"""The outcomes of jobs."""

import enum
from dataclasses import dataclass


class JobState(enum.Enum):
    """The final state of a job that ran to its end."""

    COMPLETED = "completed"
    FAILED = "failed"


@dataclass(frozen=True, slots=True)
class Ended:
    """The job ran to its end."""

    state: JobState


@dataclass(frozen=True, slots=True)
class NeverRan:
    """No task of the job has started, and none will start."""

    reason: str
    retry_after_s: int = 1


@dataclass(frozen=True, slots=True)
class GaveUp:
    """The job was cancelled after some tasks may have run."""

    reason: str


JobOutcome = Ended | NeverRan | GaveUp


def describe(outcome):
    """Return an outcome as text for the log."""
    match outcome:
        case Ended(state):
            return state.value
        case NeverRan(reason=reason):
            return f"never ran: {reason}"
        case GaveUp(reason):
            return f"given up: {reason}"
