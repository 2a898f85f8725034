"""Models of the JSON of callers and operators, with validation.

The limits of fields are part of their types, so that decoding checks all of them.
Bodies of tasks stay raw: they are neither decoded into objects nor encoded again.
"""

from typing import Annotated, Any

import msgspec
from msgspec import Meta

from .calls import MAX_IDS_PER_CALL

MAX_INDEX = 2**32 - 1
MAX_DECLARED_MS = 24 * 60 * 60 * 1_000
MAX_NAME_CHARACTERS = 200

Name = Annotated[str, Meta(min_length=1, max_length=MAX_NAME_CHARACTERS)]
Index = Annotated[int, Meta(ge=0, le=MAX_INDEX)]
DeclaredMs = Annotated[int, Meta(ge=0, le=MAX_DECLARED_MS)]


class OpenIdsModel(msgspec.Struct, forbid_unknown_fields=True):
    """Body of ``POST /v1/ids``."""

    count: Annotated[int, Meta(ge=1, le=MAX_IDS_PER_CALL)] = 1


class IdsModel(msgspec.Struct):
    """New submission ids."""

    ids: list[str]


class TaskModel(msgspec.Struct, forbid_unknown_fields=True, gc=False):
    """One task of a submission; ``body`` is any JSON value."""

    index: Index
    body: msgspec.Raw
    declared_ms: DeclaredMs = 0


class SubmissionModel(msgspec.Struct, forbid_unknown_fields=True):
    """A job: tasks of one class, told apart by their index."""

    class_name: Name = msgspec.field(name="class")
    tasks: list[TaskModel]


class RequestModel(msgspec.Struct, forbid_unknown_fields=True):
    """A single request; ``repeatable`` null takes the class's default."""

    class_name: Name = msgspec.field(name="class")
    body: msgspec.Raw
    repeatable: bool | None = None
    declared_ms: DeclaredMs = 0


class OutcomeModel(msgspec.Struct, omit_defaults=True, gc=False):
    """The outcome of a task; ``body`` is the endpoint's answer where it succeeded.

    ``outcome`` is ``succeeded``, ``failed``, ``not_run`` or ``unknown``.
    """

    index: int
    outcome: str
    body: msgspec.Raw | msgspec.UnsetType = msgspec.UNSET
    reason: str = ""
    detail: str = ""


class AnswerModel(msgspec.Struct):
    """Where a submission stands; ``tasks`` once it has ended."""

    id: str
    state: str
    not_run: bool
    tasks: list[OutcomeModel]


class RequestAnswerModel(msgspec.Struct, omit_defaults=True):
    """The outcome of a single request."""

    outcome: str
    not_run: bool = False
    body: msgspec.Raw | msgspec.UnsetType = msgspec.UNSET
    reason: str = ""
    detail: str = ""
    retry_after_ms: int = 0


class ErrorBody(msgspec.Struct):
    """What went wrong; ``code`` is stable, ``message`` is for people."""

    code: str
    message: str
    not_run: bool = False
    retry_after_ms: int = 0
    details: list[str] = []


class ErrorModel(msgspec.Struct):
    """The body of every answer with an error status."""

    error: ErrorBody


class ClassesModel(msgspec.Struct):
    """One accepted version of the class document."""

    version: int
    change_id: str
    author: str
    classes: dict[str, dict[str, Any]]
    teams: dict[str, dict[str, Any]]


class ApplyModel(msgspec.Struct, forbid_unknown_fields=True):
    """Body of ``PUT /v1/classes``: a change on top of ``base_version``."""

    base_version: Annotated[int, Meta(ge=0)]
    change_id: Name
    author: Name
    classes: dict[str, dict[str, Any]]
    teams: dict[str, dict[str, Any]] = {}


class HistoryModel(msgspec.Struct):
    """Versions of the class document, newest first."""

    versions: list[ClassesModel]


class EndpointModel(msgspec.Struct):
    """One endpoint as the entry sees it."""

    name: str
    agent: str
    zone: str
    rack: str
    slots: int
    spare: int
    running: int
    draining: bool
    ready: bool
    held_back: bool
    linked: bool


class EndpointsModel(msgspec.Struct):
    """The endpoints that the entry knows."""

    endpoints: list[EndpointModel]


class DrainModel(msgspec.Struct):
    """What was ordered for an endpoint."""

    name: str
    draining: bool


class StatusModel(msgspec.Struct):
    """What an entry is doing; counters are since boot, ``queued`` is by class."""

    name: str
    incarnation: str
    zone: str
    ready: bool
    draining: bool
    configuration_version: int
    agents: int
    linked_agents: int
    submissions_running: int
    queued: dict[str, int]
    in_flight: int
    held_back: int
    started: int
    retried: int
    refused_starts: int
    late_reports: int
    frames_sent: int
    bytes_sent: int


class HealthModel(msgspec.Struct):
    """Whether the process serves."""

    ready: bool
