"""Calls that the caller's border makes on an entry, and their answers.

The border turns HTTP into these data classes; ``coordination.entry`` serves them.
Submission ids are the raw bytes of ``state.ids.SubmissionId``.
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
    """One task of a job; ``body`` is a JSON value as written by the caller.

    ``declared_ms`` is the run time that the caller expects, 0 where not said.
    """

    index: int
    body: bytes
    declared_ms: int = 0


@dataclass(frozen=True, slots=True)
class Job:
    """The content of a submission; ``digest`` tells two contents apart."""

    class_name: str
    tasks: tuple[TaskSpec, ...]
    digest: bytes
    traceparent: str = ""


class JobState(enum.StrEnum):
    """Where a submission stands."""

    RUNNING = "running"
    COMPLETE = "complete"
    FAILED = "failed"


@dataclass(frozen=True, slots=True)
class JobAnswer:
    """A submission's state; ``outcomes`` by task index once it has ended.

    ``COMPLETE`` only where every task succeeded. ``not_run`` is True where no
    task of it ran or will run.
    """

    submission: bytes
    state: JobState
    outcomes: dict[int, Outcome]
    not_run: bool = False
    retry_after_ms: int = 0


@dataclass(frozen=True, slots=True)
class OpenIds:
    """Ask for ``count`` new submission ids; the answer is ``IdList``."""

    count: int


@dataclass(frozen=True, slots=True)
class IdList:
    """New submission ids, as raw bytes."""

    ids: tuple[bytes, ...]


@dataclass(frozen=True, slots=True)
class Submit:
    """Submit or resubmit a job and wait up to ``wait_ms`` for its answer.

    ``is_admitted``: the job passed ``Precheck`` here and isn't to be refused.
    """

    submission: bytes
    job: Job
    wait_ms: int = 0
    is_admitted: bool = False


@dataclass(frozen=True, slots=True)
class SubmitWithKey:
    """Submit under the caller's own key, bound to an id before anything starts."""

    key: str
    job: Job
    wait_ms: int = 0


@dataclass(frozen=True, slots=True)
class Precheck:
    """Ask whether a job would be taken now; the answer is None or a refusal."""

    job: Job


@dataclass(frozen=True, slots=True)
class Fetch:
    """Ask for a submission's answer, waiting up to ``wait_ms`` for its end."""

    submission: bytes
    wait_ms: int = 0


@dataclass(frozen=True, slots=True)
class Cancel:
    """Cancel what has not ended of a submission."""

    submission: bytes


@dataclass(frozen=True, slots=True)
class SingleRequest:
    """One call outside a job.

    ``repeatable`` None takes the class's default. An unrepeatable request runs
    at most once; a repeatable one may be tried again after an unknown outcome.
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
