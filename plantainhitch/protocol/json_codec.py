"""Conversion between the JSON of callers and the calls of ``protocol.calls``.

The ``read_...`` functions raise no errors for bad input: they return the decoded
value, or a ``Refusal`` that says what is wrong with the input.
"""

import hashlib
import operator

import msgspec

from ..outcomes import Failed, NotRun, Succeeded, Unknown
from ..state.ids import SubmissionId
from . import models
from .calls import MAX_TASKS, IdList, Job, JobAnswer, RequestAnswer, TaskSpec
from .errors import ErrorCode, Refusal

DIGEST_BYTES = 16

_by_index = operator.attrgetter("index")

_SUBMISSION_DECODER = msgspec.json.Decoder(models.SubmissionModel)
_ENCODER = msgspec.json.Encoder()


def read_model(body, decoder):
    """Return the model that ``decoder`` decodes from ``body``, or a ``Refusal``.

    The decoder skips raw fields, such as the bodies of tasks, without decoding their
    text. So the whole body is checked for valid UTF-8 here.
    """
    try:
        str(body, "utf-8")
        return decoder.decode(body)
    except msgspec.ValidationError as error:
        return Refusal(ErrorCode.BAD_FIELD, str(error), not_run=True)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        return Refusal(ErrorCode.BAD_JSON, str(error), not_run=True)


def read_job(body, traceparent=""):
    """Return the ``Job`` in the JSON ``body`` of a submission, or a ``Refusal``."""
    model = read_model(body, _SUBMISSION_DECODER)
    if isinstance(model, Refusal):
        return model
    if not model.tasks:
        return Refusal(ErrorCode.BAD_FIELD, "a job has at least 1 task", not_run=True)
    if len(model.tasks) > MAX_TASKS:
        message = f"{len(model.tasks)} tasks; a job has at most {MAX_TASKS}"
        return Refusal(ErrorCode.TOO_MANY_TASKS, message, not_run=True)
    tasks = [
        TaskSpec(task.index, bytes(task.body), task.declared_ms) for task in model.tasks
    ]
    if len({task.index for task in tasks}) != len(tasks):
        return _duplicate_index(tasks)
    digest = job_digest(model.class_name, tasks)
    return Job(model.class_name, tuple(tasks), digest, traceparent)


def job_digest(class_name, tasks):
    """Return a digest of a job's content, of ``DIGEST_BYTES`` bytes.

    It does not depend on the order of the tasks.
    """
    ordered = sorted(tasks, key=_by_index)
    lengths = [(task.index, task.declared_ms, len(task.body)) for task in ordered]
    header = f"{class_name}{lengths}"
    content = b"".join([header.encode(), *(task.body for task in ordered)])
    return hashlib.blake2b(content, digest_size=DIGEST_BYTES).digest()


def read_id(text):
    """Return the raw bytes of a submission id in text form, or a ``Refusal``."""
    submission_id = SubmissionId.from_text(text)
    # Base64 can encode the same bytes in several ways; only the canonical one is an id.
    if submission_id is None or submission_id.to_text() != text:
        message = f"not a submission id: {text[:80]!r}"
        return Refusal(ErrorCode.ID_MALFORMED, message, not_run=True)
    return submission_id.to_bytes()


def id_text(submission):
    """Return the text form of the submission id with the raw bytes ``submission``."""
    return SubmissionId.from_bytes(submission).to_text()


def write_answer(answer):
    """Return the JSON of an ``IdList``, ``JobAnswer`` or ``RequestAnswer``."""
    match answer:
        case IdList(ids):
            model = models.IdsModel([id_text(raw) for raw in ids])
        case JobAnswer():
            model = _answer_model(answer)
        case RequestAnswer(outcome):
            model = _request_model(outcome)
        case _:
            raise TypeError(f"no JSON encoding for {answer!r}")
    return _ENCODER.encode(model)


def write_error(refusal):
    """Return the JSON of a ``Refusal``."""
    body = models.ErrorBody(
        code=refusal.code.value,
        message=refusal.message,
        not_run=refusal.not_run,
        retry_after_ms=refusal.retry_after_ms,
        details=list(refusal.details),
    )
    return _ENCODER.encode(models.ErrorModel(body))


def _duplicate_index(tasks):
    seen = set()
    for task in tasks:
        if task.index in seen:
            break
        seen.add(task.index)
    message = f"index {task.index} stands twice"
    return Refusal(ErrorCode.DUPLICATE_INDEX, message, not_run=True)


def _answer_model(answer):
    tasks = [
        _outcome_model(index, answer.outcomes[index])
        for index in sorted(answer.outcomes)
    ]
    return models.AnswerModel(
        id=id_text(answer.submission),
        state=answer.state.value,
        not_run=answer.not_run,
        tasks=tasks,
    )


def _outcome_model(index, outcome):
    match outcome:
        case Succeeded(body):
            return models.OutcomeModel(index, "succeeded", msgspec.Raw(body))
        case Failed(reason, detail):
            return models.OutcomeModel(
                index, "failed", reason=reason.value, detail=detail
            )
        case NotRun(reason):
            return models.OutcomeModel(index, "not_run", reason=reason.value)
        case Unknown(reason):
            return models.OutcomeModel(index, "unknown", reason=reason.value)
    raise TypeError(f"not an outcome: {outcome!r}")


def _request_model(outcome):
    match outcome:
        case Succeeded(body):
            return models.RequestAnswerModel("succeeded", body=msgspec.Raw(body))
        case Failed(reason, detail):
            return models.RequestAnswerModel(
                "failed", reason=reason.value, detail=detail
            )
        case NotRun(reason, retry_after_ms):
            return models.RequestAnswerModel(
                "not_run",
                not_run=True,
                reason=reason.value,
                retry_after_ms=retry_after_ms,
            )
        case Unknown(reason):
            return models.RequestAnswerModel("unknown", reason=reason.value)
    raise TypeError(f"not an outcome: {outcome!r}")
