"""A fake entry node for tests of the HTTP API, with replies set by the test."""

from dataclasses import dataclass, field, fields

from returns.result import Failure, Success

from plantainhitch.clock import ManualClock
from plantainhitch.coordination.entry_views import EntryStatus
from plantainhitch.metrics import EntryMetrics
from plantainhitch.outcomes import Succeeded
from plantainhitch.protocol.calls import (
    Cancel,
    Fetch,
    IdList,
    JobAnswer,
    JobState,
    OpenIds,
    RequestAnswer,
    SingleRequest,
    Submit,
    SubmitWithKey,
)
from plantainhitch.protocol.errors import ErrorCode, Refusal
from plantainhitch.state.classes import ClassDocument
from plantainhitch.state.ids import IdIssuer


@dataclass(frozen=True)
class FakeEndpoint:
    """An endpoint, with the fields of ``EndpointView``."""

    name: str = "endpoint-1"
    agent: str = "agent-1"
    zone: str = "zone-a"
    rack: str = "rack-1"
    slots: int = 8
    spare: int = 2
    running: int = 1
    draining: bool = False
    ready: bool = True
    held_back: bool = False
    linked: bool = True


@dataclass
class FakeConfiguration:
    """An in-memory configuration store; a change has to name the newest version."""

    versions: list = field(default_factory=list)

    @property
    def current(self):
        """The newest version, or None before the first."""
        return self.versions[-1] if self.versions else None

    async def apply(self, base_version, change_id, author, classes, teams):
        """Apply a change whose base is the newest version; refuse any other.

        Repeating the newest change, by its id, returns its version again.
        """
        if self.current and self.current.change_id == change_id:
            return Success(self.current)
        newest = self.current.version if self.current else 0
        if base_version != newest:
            message = f"version {newest} by {self.current.author} is in force"
            return Failure(Refusal(ErrorCode.VERSION_CONFLICT, message, not_run=True))
        document = ClassDocument(newest + 1, change_id, author, classes, teams)
        self.versions.append(document)
        return Success(document)

    async def history(self, limit):
        """Return the newest versions, newest first."""
        return Success(self.versions[::-1][:limit])


class FakeNode:
    """Answers every call at once, and records it in ``calls``.

    If ``crash`` is set, every call raises it; else if ``refusal`` is set, every call
    returns it.
    """

    def __init__(self):
        self.issuer = IdIssuer.with_random_key()
        self.calls = []
        self.refusal = None
        self.crash = None
        self.ready = True
        self.state = JobState.COMPLETE
        self.configuration = FakeConfiguration()
        self.metrics = EntryMetrics(ManualClock())
        self.drained = []

    async def handle_call(self, call):
        """Answer a call; each task of a job succeeds with its own body."""
        self.calls.append(call)
        if self.crash:
            raise self.crash
        if self.refusal:
            return self.refusal
        match call:
            case OpenIds(count):
                return IdList(tuple(i.to_bytes() for i in self.issuer.issue(count)))
            case Submit(submission, job) | SubmitWithKey(submission, job):
                return self._job_answer(submission, job.tasks)
            case Fetch(submission) | Cancel(submission):
                return self._job_answer(submission, ())
            case SingleRequest(body=body):
                return RequestAnswer(Succeeded(body))
        raise TypeError(call)

    def endpoints(self):
        """Return one endpoint."""
        return [FakeEndpoint()]

    async def set_endpoint_draining(self, name, draining):
        """Record the change in ``drained``; only ``endpoint-1`` is known."""
        if name != "endpoint-1":
            return Refusal(ErrorCode.NOT_FOUND, f"no endpoint {name!r}", not_run=True)
        self.drained.append((name, draining))
        return None

    def status(self):
        """Return a status with 3 queued render tasks and 7 runs started."""
        int_fields = {
            field.name: 0 for field in fields(EntryStatus) if field.type is int
        }
        return EntryStatus(
            name="entry-1",
            incarnation="00",
            zone="zone-a",
            ready=self.ready,
            draining=False,
            queued={"render": 3},
            **{**int_fields, "started": 7},
        )

    def _job_answer(self, submission, tasks):
        if isinstance(submission, str):
            submission = self.issuer.issue(1)[0].to_bytes()
        if self.state is JobState.RUNNING:
            return JobAnswer(submission, self.state, {})
        outcomes = {task.index: Succeeded(task.body) for task in tasks}
        return JobAnswer(submission, self.state, outcomes)
