"""HTTP routes for callers: ids, submissions and single requests."""

from typing import Annotated

import msgspec
from litestar import Request, get, post, put
from litestar.params import FromPath, HeaderParameter, QueryParameter
from litestar.response.base import ASGIResponse

from ..outcomes import NotRun
from ..protocol import json_codec, models
from ..protocol.calls import (
    MAX_WAIT_MS,
    Cancel,
    Fetch,
    JobAnswer,
    JobState,
    OpenIds,
    RequestAnswer,
    SingleRequest,
    Submit,
    SubmitWithKey,
)
from ..protocol.errors import ErrorCode, Refusal
from . import replies
from .openapi import operation

MAX_KEY_CHARACTERS = 200
STATUS_RUNNING = 202
TRACEPARENT_HEADER = "traceparent"
MAX_TRACEPARENT_CHARACTERS = 128

WaitMs = Annotated[
    int,
    QueryParameter(
        ge=0,
        le=MAX_WAIT_MS,
        description="How long to wait for the answer, in ms.",
    ),
]

_OPEN_IDS_DECODER = msgspec.json.Decoder(models.OpenIdsModel)
_REQUEST_DECODER = msgspec.json.Decoder(models.RequestModel)

_SUBMISSION_OPERATION = operation(
    models.AnswerModel, body=models.SubmissionModel, running=models.AnswerModel
)
_ANSWER_OPERATION = operation(models.AnswerModel, running=models.AnswerModel)


@post(
    "/v1/ids",
    status_code=200,
    operation_class=operation(models.IdsModel, body=models.OpenIdsModel),
)
async def open_ids(request: Request) -> ASGIResponse:
    """Open new submission ids."""
    model = await replies.read_body_model(request, _OPEN_IDS_DECODER)
    if isinstance(model, Refusal):
        return replies.refuse(request, model)
    return await _call_node(request, OpenIds(model.count))


@put(
    "/v1/submissions/{submission_id:str}",
    operation_class=_SUBMISSION_OPERATION,
)
async def submit(
    request: Request, submission_id: FromPath[str], wait_ms: WaitMs = 0
) -> ASGIResponse:
    """Submit a job under an id; the same again is idempotent."""
    submission = json_codec.read_id(submission_id)
    if isinstance(submission, Refusal):
        return replies.refuse(request, submission)
    job = await _read_job(request)
    if isinstance(job, Refusal):
        return replies.refuse(request, job)
    return await _call_node(request, Submit(submission, job, wait_ms))


@post(
    "/v1/submissions",
    status_code=200,
    operation_class=_SUBMISSION_OPERATION,
)
async def submit_with_key(
    request: Request,
    key: Annotated[
        str | None, HeaderParameter(name=replies.IDEMPOTENCY_KEY_HEADER)
    ] = None,
    wait_ms: WaitMs = 0,
) -> ASGIResponse:
    """Submit a job under the caller's own key, or under a new id without one."""
    job = await _read_job(request)
    if isinstance(job, Refusal):
        return replies.refuse(request, job)
    if key is None:
        return await _submit_under_new_id(request, job, wait_ms)
    if not 1 <= len(key) <= MAX_KEY_CHARACTERS:
        message = (
            f"{replies.IDEMPOTENCY_KEY_HEADER} has 1 to {MAX_KEY_CHARACTERS} characters"
        )
        return replies.refuse(
            request, Refusal(ErrorCode.BAD_FIELD, message, not_run=True)
        )
    return await _call_node(request, SubmitWithKey(key, job, wait_ms))


@get("/v1/submissions/{submission_id:str}", operation_class=_ANSWER_OPERATION)
async def fetch(
    request: Request, submission_id: FromPath[str], wait_ms: WaitMs = 0
) -> ASGIResponse:
    """Return a submission's answer, or that it is still running."""
    submission = json_codec.read_id(submission_id)
    if isinstance(submission, Refusal):
        return replies.refuse(request, submission)
    return await _call_node(request, Fetch(submission, wait_ms))


@post(
    "/v1/submissions/{submission_id:str}/cancel",
    status_code=200,
    operation_class=_ANSWER_OPERATION,
)
async def cancel(request: Request, submission_id: FromPath[str]) -> ASGIResponse:
    """Cancel what has not ended of a submission."""
    submission = json_codec.read_id(submission_id)
    if isinstance(submission, Refusal):
        return replies.refuse(request, submission)
    return await _call_node(request, Cancel(submission))


@post(
    "/v1/requests",
    status_code=200,
    operation_class=operation(models.RequestAnswerModel, body=models.RequestModel),
)
async def single_request(request: Request) -> ASGIResponse:
    """Run one request outside a job and return its outcome."""
    model = await replies.read_body_model(request, _REQUEST_DECODER)
    if isinstance(model, Refusal):
        return replies.refuse(request, model)
    call = SingleRequest(
        class_name=model.class_name,
        body=bytes(model.body),
        repeatable=model.repeatable,
        traceparent=_traceparent(request),
        declared_ms=model.declared_ms,
    )
    return await _call_node(request, call)


CALLER_ROUTES = [open_ids, submit, submit_with_key, fetch, cancel, single_request]


async def _read_job(request):
    body = await replies.read_json_body(request)
    if isinstance(body, Refusal):
        return body
    return json_codec.read_job(body, _traceparent(request))


async def _submit_under_new_id(request, job, wait_ms):
    id_list = await request.app.state.node.handle_call(OpenIds(1))
    if isinstance(id_list, Refusal):
        return replies.refuse(request, id_list)
    return await _call_node(request, Submit(id_list.ids[0], job, wait_ms))


async def _call_node(request, call):
    answer = await request.app.state.node.handle_call(call)
    if isinstance(answer, Refusal):
        return replies.refuse(request, answer, _class_name(call), by_owner=True)
    return replies.json_reply(
        json_codec.write_answer(answer),
        _http_status(answer),
        replies.reply_headers(request, _retry_after_ms(answer)),
    )


def _class_name(call):
    match call:
        case Submit(job=job) | SubmitWithKey(job=job):
            return job.class_name
        case SingleRequest(class_name=class_name):
            return class_name
    return ""


def _http_status(answer):
    running = isinstance(answer, JobAnswer) and answer.state is JobState.RUNNING
    return STATUS_RUNNING if running else 200


def _retry_after_ms(answer):
    match answer:
        case JobAnswer(retry_after_ms=retry_after_ms):
            return retry_after_ms
        case RequestAnswer(NotRun(retry_after_ms=retry_after_ms)):
            return retry_after_ms
    return 0


def _traceparent(request):
    return request.headers.get(TRACEPARENT_HEADER, "")[:MAX_TRACEPARENT_CHARACTERS]
