"""Encoding of calls that one entry forwards to another, and of their answers.

An entry forwards a call for a submission id that another incarnation has issued. The
body of ``messages.Call`` is a ``calls.Job`` where a job is submitted, that of
``messages.Reply`` a model of this module. Both are in MessagePack, in which task bodies
and answers stay raw bytes.
"""

import enum

import msgspec

from ..outcomes import Failed, NotRun, Reason, Succeeded, Unknown
from . import calls
from .errors import ErrorCode, Refusal


class Operation(enum.StrEnum):
    """The operations that can be forwarded."""

    SUBMIT = "submit"
    FETCH = "fetch"
    CANCEL = "cancel"


class OutcomeModel(msgspec.Struct, array_like=True):
    """The outcome of one task; which fields are used depends on ``kind``.

    ``body`` is the endpoint's answer, or the detail of a failure.
    """

    index: int
    kind: str
    reason: str = ""
    retry_after_ms: int = 0
    body: bytes = b""


class AnswerModel(msgspec.Struct, tag="answer", array_like=True):
    """A ``calls.JobAnswer``."""

    submission: bytes
    state: str
    outcomes: list[OutcomeModel]
    not_run: bool
    retry_after_ms: int


class RefusalModel(msgspec.Struct, tag="refusal", array_like=True):
    """An ``errors.Refusal``."""

    code: str
    message: str
    not_run: bool
    retry_after_ms: int
    details: list[str]


_job_decoder = msgspec.msgpack.Decoder(calls.Job)
_answer_decoder = msgspec.msgpack.Decoder(AnswerModel | RefusalModel)


def encode_job(job):
    """Return the body of the call that forwards a submission of ``job``."""
    return msgspec.msgpack.encode(job)


def decode_job(data):
    """Return the job in the body of a call; raise ``msgspec.DecodeError`` if bad."""
    return _job_decoder.decode(data)


def encode_answer(answer):
    """Return the body of the reply with a ``JobAnswer`` or a ``Refusal``."""
    return msgspec.msgpack.encode(_to_model(answer))


def decode_answer(data):
    """Return the ``JobAnswer`` or ``Refusal`` in the body of a reply.

    Raise ``msgspec.DecodeError`` or ValueError if the body is bad.
    """
    model = _answer_decoder.decode(data)
    if isinstance(model, RefusalModel):
        return Refusal(
            code=ErrorCode(model.code),
            message=model.message,
            not_run=model.not_run,
            retry_after_ms=model.retry_after_ms,
            details=tuple(model.details),
        )
    return calls.JobAnswer(
        submission=model.submission,
        state=calls.JobState(model.state),
        outcomes={item.index: _from_outcome_model(item) for item in model.outcomes},
        not_run=model.not_run,
        retry_after_ms=model.retry_after_ms,
    )


def _to_model(answer):
    match answer:
        case Refusal():
            return RefusalModel(
                answer.code.value,
                answer.message,
                answer.not_run,
                answer.retry_after_ms,
                list(answer.details),
            )
        case calls.JobAnswer():
            outcomes = [
                _to_outcome_model(index, outcome)
                for index, outcome in answer.outcomes.items()
            ]
            return AnswerModel(
                answer.submission,
                answer.state.value,
                outcomes,
                answer.not_run,
                answer.retry_after_ms,
            )
    raise TypeError(f"not an answer to a forwarded call: {answer!r}")


def _to_outcome_model(index, outcome):
    match outcome:
        case Succeeded(body):
            return OutcomeModel(index, "succeeded", body=body)
        case NotRun(reason, retry_after_ms):
            return OutcomeModel(index, "not_run", reason.value, retry_after_ms)
        case Failed(reason, detail):
            return OutcomeModel(index, "failed", reason.value, body=detail.encode())
        case Unknown(reason):
            return OutcomeModel(index, "unknown", reason.value)
    raise TypeError(f"not an outcome: {outcome!r}")


def _from_outcome_model(model):
    match model.kind:
        case "succeeded":
            return Succeeded(model.body)
        case "not_run":
            return NotRun(Reason(model.reason), model.retry_after_ms)
        case "failed":
            return Failed(Reason(model.reason), model.body.decode())
        case "unknown":
            return Unknown(Reason(model.reason))
    raise ValueError(f"unknown kind of outcome {model.kind!r}")
