"""Outcomes of jobs, as values."""

import enum
from dataclasses import dataclass


class JobState(enum.Enum):
    """How a job ended."""

    COMPLETED = "completed"
    FAILED = "failed"


@dataclass(frozen=True, slots=True)
class Ended:
    """The job has run to its end."""

    state: JobState


@dataclass(frozen=True, slots=True)
class NeverRan:
    """No task of the job has started, and none will."""

    reason: str
    retry_after_s: int = 1


@dataclass(frozen=True, slots=True)
class GaveUp:
    """Some tasks may have run; nothing of the job goes on."""

    reason: str


JobOutcome = Ended | NeverRan | GaveUp


def describe(outcome):
    """Return an outcome in words, for the log."""
    match outcome:
        case Ended(state):
            return state.value
        case NeverRan(reason=reason):
            return f"never ran: {reason}"
        case GaveUp(reason):
            return f"given up: {reason}"
