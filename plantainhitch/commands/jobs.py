"""Submits a job through one or more entries until its answer is known.

``JobRunner`` opens an id and submits the job under it. If a reply is lost, it submits
again under the same id, which is idempotent.
"""

from dataclasses import dataclass
from urllib.parse import quote

import msgspec

from ..protocol import models
from ..protocol.calls import MAX_TASKS
from ..protocol.errors import HTTP_STATUS, ErrorCode
from .backoff import Backoff
from .client import Answered, NoReply, Refused
from .exit_codes import ExitCode

LONG_POLL_MS = 20_000
REPLY_MARGIN_MS = 5_000

_RETRYABLE = {
    ErrorCode.NOT_READY,
    ErrorCode.NO_CONFIGURATION,
    ErrorCode.OVERLOADED,
    ErrorCode.OWNER_UNREACHABLE,
    ErrorCode.STORE_DOWN,
}
# Codes that don't say whether the job was run, and that a retry won't change.
_UNKNOWN_OUTCOME = {
    ErrorCode.ANSWER_EXPIRED,
    ErrorCode.INTERNAL,
    ErrorCode.OWNER_LOST,
}
FIRST_SERVER_ERROR_STATUS = 500

_ANSWER = msgspec.json.Decoder(models.AnswerModel)
_IDS = msgspec.json.Decoder(models.IdsModel)


@dataclass(frozen=True, slots=True)
class JobResult:
    """How a job ended for its caller.

    ``answer`` and its JSON ``raw`` are set if the job has ended; ``detail`` is the
    reason if it didn't complete.
    """

    code: ExitCode
    submission: str = ""
    answer: models.AnswerModel | None = None
    raw: bytes = b""
    detail: str = ""


@dataclass(frozen=True, slots=True)
class IdClosed:
    """An id that was refused: nothing has run under it, and nothing will."""

    submission: str
    detail: str
    retry_after_ms: int

    def as_result(self):
        """Return the ``JobResult`` of a job whose last id is this one."""
        detail = f"nothing was run; {self.detail}"
        return JobResult(ExitCode.FAILED, self.submission, detail=detail)


@dataclass(frozen=True, slots=True)
class BadLine:
    """A line of a job file that isn't one JSON value."""

    number: int
    detail: str

    def __str__(self):
        return f"line {self.number}: {self.detail}"


def read_bodies(data):
    """Return (bodies, bad lines) of JSON lines; empty lines are skipped."""
    bodies = []
    bad_lines = []
    for number, line in enumerate(data.splitlines(), start=1):
        if not line.strip():
            continue
        try:
            msgspec.json.decode(line)
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            bad_lines.append(BadLine(number, str(error)))
            continue
        bodies.append(line.strip())
    if not bodies and not bad_lines:
        bad_lines.append(BadLine(1, "no task body in the file"))
    if len(bodies) > MAX_TASKS:
        detail = f"{len(bodies)} tasks; a job has at most {MAX_TASKS}"
        bad_lines.append(BadLine(MAX_TASKS + 1, detail))
    return bodies, bad_lines


def encode_job(class_name, bodies, declared_ms=0):
    """Return the JSON of a submission with one task for each body."""
    tasks = [
        models.TaskModel(index, msgspec.Raw(body), declared_ms)
        for index, body in enumerate(bodies)
    ]
    return msgspec.json.encode(models.SubmissionModel(class_name, tasks))


class JobRunner:
    """Runs jobs through an ``EntryClient``, each for ``timeout_ms`` at most."""

    def __init__(self, client, clock, timeout_ms):
        self._client = client
        self._clock = clock
        self._timeout_ms = timeout_ms

    async def run(self, body, submission=""):
        """Submit the job in ``body`` and return its ``JobResult``.

        ``submission`` is an id that was opened before; no other is used then. If it is
        empty, an id is opened, and another one each time that an id is closed.
        """
        backoff = Backoff(self._clock, self._clock.now_ms() + self._timeout_ms)
        if submission:
            result = await self._submit(submission, body, backoff)
            return result.as_result() if isinstance(result, IdClosed) else result
        while True:
            opened = await self._open_id(backoff)
            if isinstance(opened, JobResult):
                return opened
            result = await self._submit(opened, body, backoff)
            if isinstance(result, JobResult):
                return result
            if not await backoff.wait(result.retry_after_ms):
                return result.as_result()

    async def _open_id(self, backoff):
        while True:
            reply = await self._client.call("POST", "/v1/ids", b"{}")
            match reply:
                case Answered(body=body):
                    return _IDS.decode(body).ids[0]
                case Refused() if not _is_retryable(reply):
                    return JobResult(_exit_code(reply), detail=str(reply))
            # If the reply with an id was lost, nothing runs under that id.
            if not await backoff.wait(_retry_after_ms(reply)):
                return JobResult(ExitCode.FAILED, detail=f"nothing was run; {reply}")

    async def _submit(self, submission, body, backoff):
        """Return the ``JobResult`` of one id, or ``IdClosed``."""
        may_run = False
        is_submitted = False
        while True:
            reply = await self._call(
                submission, None if is_submitted else body, backoff
            )
            match reply:
                case Answered(status=200, body=raw):
                    return _result_from_answer(submission, raw)
                case Answered():
                    is_submitted = may_run = True
                    backoff.reset()
                    if backoff.left_ms:
                        continue
                case Refused() if _closes_id(reply, may_run):
                    return IdClosed(submission, str(reply), reply.error.retry_after_ms)
                case Refused() if not _is_retryable(reply):
                    code = _exit_code(reply, may_run)
                    return JobResult(code, submission, detail=str(reply))
                case Refused():
                    may_run = may_run or not reply.error.not_run
                    is_submitted = False
                case NoReply(sent=sent):
                    may_run = may_run or sent
                    is_submitted = False
            if not await backoff.wait(_retry_after_ms(reply)):
                code = ExitCode.UNKNOWN if may_run else ExitCode.FAILED
                return JobResult(code, submission, detail=f"gave up; {reply}")

    async def _call(self, submission, body, backoff):
        """Submit ``body``, or only wait for the answer if it is None."""
        wait_ms = min(LONG_POLL_MS, backoff.left_ms)
        path = f"/v1/submissions/{quote(submission)}?wait_ms={wait_ms}"
        method = "GET" if body is None else "PUT"
        return await self._client.call(
            method, path, body, timeout_ms=wait_ms + REPLY_MARGIN_MS
        )


def _result_from_answer(submission, raw):
    answer = _ANSWER.decode(raw)
    if answer.state == "complete":
        return JobResult(ExitCode.OK, submission, answer, raw)
    outcomes = {task.outcome for task in answer.tasks}
    code = ExitCode.UNKNOWN if "unknown" in outcomes else ExitCode.FAILED
    return JobResult(code, submission, answer, raw, f"the job {answer.state}")


def _closes_id(refused, may_run):
    """Return whether a refusal guarantees that the job never runs under the id.

    ID_REFUSED does. Other refusals are about one call, so they guarantee nothing if an
    earlier call under the same id may have been accepted.
    """
    if refused.code == ErrorCode.ID_REFUSED:
        return True
    return refused.error.not_run and not may_run and _is_retryable(refused)


def _is_retryable(refused):
    return refused.code in _RETRYABLE


def _retry_after_ms(reply):
    return reply.error.retry_after_ms if isinstance(reply, Refused) else 0


def _exit_code(refused, may_run=False):
    """Return the exit code for a refusal that a retry won't change."""
    if refused.code in _UNKNOWN_OUTCOME or may_run:
        return ExitCode.UNKNOWN
    status = HTTP_STATUS.get(refused.code, refused.status)
    return ExitCode.FAILED if status >= FIRST_SERVER_ERROR_STATUS else ExitCode.USAGE
