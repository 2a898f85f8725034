"""Submitting a job through one or more entries until its answer is known.

``JobRunner`` opens an id, submits under it and, whenever a reply is lost, submits
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

WAIT_MS = 20_000
REPLY_MARGIN_MS = 5_000

_TRY_AGAIN = {
    ErrorCode.NOT_READY,
    ErrorCode.NO_CONFIGURATION,
    ErrorCode.OVERLOADED,
    ErrorCode.OWNER_UNREACHABLE,
    ErrorCode.STORE_DOWN,
}
_SETTLED_UNKNOWN = {
    ErrorCode.ANSWER_EXPIRED,
    ErrorCode.INTERNAL,
    ErrorCode.OWNER_LOST,
}
STATUS_SERVER_ERROR = 500

_ANSWER = msgspec.json.Decoder(models.AnswerModel)
_IDS = msgspec.json.Decoder(models.IdsModel)


@dataclass(frozen=True, slots=True)
class JobResult:
    """How a job ended for its caller.

    ``answer`` and its JSON ``raw`` are there once the job has ended; ``detail``
    says what is wrong where it didn't complete.
    """

    code: ExitCode
    submission: str = ""
    answer: models.AnswerModel | None = None
    raw: bytes = b""
    detail: str = ""


@dataclass(frozen=True, slots=True)
class Closed:
    """An id that was refused: nothing ran under it, and nothing ever will."""

    submission: str
    detail: str
    retry_after_ms: int

    def as_result(self):
        """Return the ``JobResult`` of a job that ends with this."""
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
    """Return (bodies, bad lines) of JSON lines; empty lines don't count."""
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
    """Runs jobs through an ``EntryClient``; a job may take ``timeout_ms``."""

    def __init__(self, client, clock, timeout_ms):
        self._client = client
        self._clock = clock
        self._timeout_ms = timeout_ms

    async def run(self, body, submission=""):
        """Submit the job in ``body`` and return its ``JobResult``.

        ``submission`` is an id opened before, the only one that is used then;
        empty opens one, and another wherever one was closed and never ran.
        """
        backoff = Backoff(self._clock, self._clock.now_ms() + self._timeout_ms)
        if submission:
            result = await self._submit(submission, body, backoff)
            return result.as_result() if isinstance(result, Closed) else result
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
                case Refused() if not _may_try_again(reply):
                    return JobResult(_exit_code(reply), detail=str(reply))
            # An id that was opened and lost is harmless: nothing runs under it.
            if not await backoff.wait(_retry_after_ms(reply)):
                return JobResult(ExitCode.FAILED, detail=f"nothing was run; {reply}")

    async def _submit(self, submission, body, backoff):
        """Return the ``JobResult`` of one id, or ``Closed``."""
        may_run = False
        is_submitted = False
        while True:
            reply = await self._ask(submission, None if is_submitted else body, backoff)
            match reply:
                case Answered(status=200, body=raw):
                    return _ended(submission, raw)
                case Answered():
                    is_submitted = may_run = True
                    backoff.reset()
                    if backoff.left_ms:
                        continue
                case Refused() if _closes_id(reply, may_run):
                    return Closed(submission, str(reply), reply.error.retry_after_ms)
                case Refused() if not _may_try_again(reply):
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

    async def _ask(self, submission, body, backoff):
        """Submit ``body``, or only wait for the answer where it is None."""
        wait_ms = min(WAIT_MS, backoff.left_ms)
        path = f"/v1/submissions/{quote(submission)}?wait_ms={wait_ms}"
        method = "GET" if body is None else "PUT"
        return await self._client.call(
            method, path, body, timeout_ms=wait_ms + REPLY_MARGIN_MS
        )


def _ended(submission, raw):
    answer = _ANSWER.decode(raw)
    if answer.state == "complete":
        return JobResult(ExitCode.OK, submission, answer, raw)
    outcomes = {task.outcome for task in answer.tasks}
    code = ExitCode.UNKNOWN if "unknown" in outcomes else ExitCode.FAILED
    return JobResult(code, submission, answer, raw, f"the job {answer.state}")


def _closes_id(refused, may_run):
    """Return whether a refusal proves that the id never runs.

    Other refusals speak of one call only, so they prove nothing where an earlier
    call under the same id may have been taken.
    """
    if refused.code == ErrorCode.ID_REFUSED:
        return True
    return refused.error.not_run and not may_run and _may_try_again(refused)


def _may_try_again(refused):
    return refused.code in _TRY_AGAIN


def _retry_after_ms(reply):
    return reply.error.retry_after_ms if isinstance(reply, Refused) else 0


def _exit_code(refused, may_run=False):
    """Return the exit code for a refusal that trying again won't change."""
    if refused.code in _SETTLED_UNKNOWN or may_run:
        return ExitCode.UNKNOWN
    status = HTTP_STATUS.get(refused.code, refused.status)
    return ExitCode.FAILED if status >= STATUS_SERVER_ERROR else ExitCode.USAGE
