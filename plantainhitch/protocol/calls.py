"""Calls to an entry by its HTTP API, and their answers.

The HTTP routes for callers turn requests into these data classes;
``coordination.entry`` handles them. Submission ids are the raw bytes of
``state.ids.SubmissionId``.
"""

import enum
from dataclasses import dataclass

from ..outcomes import Outcome
from .errors import Refusal

MAX_TASKS = 1_000
MAX_IDS_PER_CALL = 1_000
MAX_WAIT_MS = 60_000


@dataclass(frozen=True, slots=True)
class TaskSpec:
    """One task of a job; ``body`` is a JSON value, exactly as the caller sent it.

    ``declared_ms`` is the run time that the caller expects, 0 if not given.
    """

    index: int
    body: bytes
    declared_ms: int = 0


@dataclass(frozen=True, slots=True)
class Job:
    """The content of a submission; ``digest`` tells different contents apart."""

    class_name: str
    tasks: tuple[TaskSpec, ...]
    digest: bytes
    traceparent: str = ""


class JobState(enum.StrEnum):
    """The state of a submission; the values are part of answers to callers."""

    RUNNING = "running"
    COMPLETE = "complete"
    FAILED = "failed"


@dataclass(frozen=True, slots=True)
class JobAnswer:
    """A submission's state and, once it has ended, its ``outcomes`` by task index.

    The state is ``COMPLETE`` only if every task succeeded. ``not_run`` is True if no
    task of the submission has run or will run.
    """

    submission: bytes
    state: JobState
    outcomes: dict[int, Outcome]
    not_run: bool = False
    retry_after_ms: int = 0


@dataclass(frozen=True, slots=True)
class OpenIds:
    """Issue ``count`` new submission ids; the answer is an ``IdList``."""

    count: int


@dataclass(frozen=True, slots=True)
class IdList:
    """New submission ids, as raw bytes."""

    ids: tuple[bytes, ...]


@dataclass(frozen=True, slots=True)
class Submit:
    """Submit or resubmit a job and wait up to ``wait_ms`` for its end.

    ``is_admitted`` means that the job has passed ``Precheck`` at this entry, so
    admission control does not refuse it any more.
    """

    submission: bytes
    job: Job
    wait_ms: int = 0
    is_admitted: bool = False


@dataclass(frozen=True, slots=True)
class SubmitWithKey:
    """Submit a job under a key of the caller's choice, instead of a submission id.

    The key is bound to an id before anything of the job starts.
    """

    key: str
    job: Job
    wait_ms: int = 0


@dataclass(frozen=True, slots=True)
class Precheck:
    """Ask whether a job would be admitted now; the answer is None or a ``Refusal``."""

    job: Job


@dataclass(frozen=True, slots=True)
class Fetch:
    """Ask for a submission's answer and wait up to ``wait_ms`` for its end."""

    submission: bytes
    wait_ms: int = 0


@dataclass(frozen=True, slots=True)
class Cancel:
    """Cancel the tasks of a submission that have not ended."""

    submission: bytes


@dataclass(frozen=True, slots=True)
class SingleRequest:
    """A request for one task outside any job.

    A ``repeatable`` request may be retried after an unknown outcome; any other runs
    at most once. None means the class's default. ``declared_ms`` is as in
    ``TaskSpec``.
    """

    class_name: str
    body: bytes
    repeatable: bool | None = None
    traceparent: str = ""
    declared_ms: int = 0


@dataclass(frozen=True, slots=True)
class RequestAnswer:
    """The outcome of a single request."""

    outcome: Outcome


Call = OpenIds | Submit | SubmitWithKey | Precheck | Fetch | Cancel | SingleRequest
Answer = IdList | JobAnswer | RequestAnswer | Refusal
