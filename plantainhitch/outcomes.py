"""Outcomes of a task.

``NotRun`` is definite: only a process that would have started the task reports it, and
that process will never start it afterwards. Where a start can't be ruled out, the
outcome is ``Unknown``.
"""

import enum
from dataclasses import dataclass


class Reason(enum.StrEnum):
    """Why a task has not succeeded; the values are codes that callers rely on."""

    ANSWER_EXPIRED = "answer_expired"
    ANSWER_TOO_LARGE = "answer_too_large"
    BAD_ANSWER = "bad_answer"
    CANCELLED = "cancelled"
    CLASS_UNKNOWN = "class_unknown"
    DRAINING = "draining"
    ENDPOINT_FAILED = "endpoint_failed"
    ENDPOINT_LOST = "endpoint_lost"
    ENDPOINT_REFUSED = "endpoint_refused"
    EXPIRED = "expired"
    NO_CONFIGURATION = "no_configuration"
    NO_FIT = "no_fit"
    OVERLOADED = "overloaded"
    STALE_START = "stale_start"
    TASK_FAILED = "task_failed"
    TIMED_OUT = "timed_out"


@dataclass(frozen=True, slots=True)
class NotRun:
    """Under this attempt the task has not run and never will."""

    reason: Reason
    retry_after_ms: int = 0


@dataclass(frozen=True, slots=True)
class Succeeded:
    """The endpoint answered; ``body`` is the complete answer, one JSON value."""

    body: bytes


@dataclass(frozen=True, slots=True)
class Failed:
    """The task ran and failed; ``detail`` is a description for people."""

    reason: Reason
    detail: str = ""


@dataclass(frozen=True, slots=True)
class Unknown:
    """The task may or may not have run."""

    reason: Reason


Outcome = NotRun | Succeeded | Failed | Unknown
