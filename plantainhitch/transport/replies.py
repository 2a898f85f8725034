"""Request bodies and replies of the entry's HTTP API, with one format for errors."""

import math
from dataclasses import replace

from litestar import Response
from litestar.exceptions import (
    HTTPException,
    InternalServerException,
    MethodNotAllowedException,
    NotFoundException,
    ValidationException,
)
from litestar.response.base import ASGIResponse

from ..logs import get_logger
from ..protocol import json_codec
from ..protocol.errors import ErrorCode, Refusal

JSON_TYPE = "application/json"
IDEMPOTENCY_KEY_HEADER = "idempotency-key"
SUBMISSIONS_PATH = "/v1/submissions/"
STATUS_TOO_LARGE = 413
STATUS_SERVER_ERROR = 500

_log = get_logger("http")


def json_reply(body, status=200, headers=None):
    """Return a reply with the JSON bytes ``body``, unchanged."""
    return ASGIResponse(
        body=body, status_code=status, media_type=JSON_TYPE, headers=headers
    )


def error_reply(refusal, request):
    """Return the reply for a ``Refusal``, with its ``Retry-After`` if it has one."""
    headers = reply_headers(request, refusal.retry_after_ms)
    return json_reply(json_codec.write_error(refusal), refusal.http_status, headers)


def refuse(request, refusal, class_name="", *, by_owner=False):
    """Count a refused call in the entry's metrics and return its reply.

    ``by_owner`` is set if the refusal was made by the entry that would own the
    job; only then may it claim "not run" for a call that names an id or a key.
    """
    _count_refusal(request, refusal, class_name)
    return error_reply(
        refusal if by_owner else _without_not_run(request, refusal), request
    )


def reply_headers(request, retry_after_ms=0):
    """Return the extra headers of a reply, or None if it needs none.

    ``Retry-After`` is in whole seconds, rounded up. An entry that isn't ready closes
    each connection with its reply, so that no connection is in use by the time it
    closes the remaining ones.
    """
    headers = {}
    if retry_after_ms:
        headers["retry-after"] = str(math.ceil(retry_after_ms / 1000))
    if not getattr(request.app.state.node, "ready", False):
        headers["connection"] = "close"
    return headers or None


async def read_json_body(request):
    """Return the bytes of a JSON request body, or a ``Refusal``.

    Reading a body over the application's limit raises an HTTP error, which
    ``handle_http_error`` turns into ``body_too_large``.
    """
    content_type = request.headers.get("content-type", "")
    media_type = content_type.partition(";")[0].strip().lower()
    if media_type != JSON_TYPE:
        message = f"content type {content_type[:80]!r}; send {JSON_TYPE}"
        return Refusal(ErrorCode.BAD_CONTENT_TYPE, message, not_run=True)
    try:
        return await request.body()
    except InternalServerException:
        # The caller disconnected before the end of the body and won't get the reply.
        return Refusal(ErrorCode.BAD_JSON, "the body was cut off", not_run=True)


async def read_body_model(request, decoder):
    """Return the decoded model of a JSON request body, or a ``Refusal``."""
    body = await read_json_body(request)
    return body if isinstance(body, Refusal) else json_codec.read_model(body, decoder)


def handle_http_error(request, error):
    """Return the error reply for an exception raised by litestar."""
    if error.status_code >= STATUS_SERVER_ERROR:
        return handle_unexpected_error(request, error)
    return _exception_reply(request, _refusal_from_error(request, error))


def handle_unexpected_error(request, error):
    """Log an unhandled exception and return an ``internal`` error reply."""
    _log.error(
        "request failed",
        path=request.url.path,
        method=request.method,
        exc_info=(type(error), error, error.__traceback__),
    )
    message = "the entry failed to answer; the outcome is unknown"
    return _exception_reply(request, Refusal(ErrorCode.INTERNAL, message))


def _count_refusal(request, refusal, class_name=""):
    # During startup there is no node yet, and so no metrics.
    metrics = getattr(request.app.state.node, "metrics", None)
    if metrics is not None:
        metrics.refused(class_name, refusal.code)


def _without_not_run(request, refusal):
    """Return the refusal, with ``not_run`` cleared if the call names an id or a key.

    A job may already run under that id or key, whatever is wrong with this call.
    """
    names_id = request.url.path.startswith(SUBMISSIONS_PATH)
    if refusal.not_run and (names_id or IDEMPOTENCY_KEY_HEADER in request.headers):
        return replace(refusal, not_run=False)
    return refusal


def _exception_reply(request, refusal):
    """Do what ``refuse`` does, but return the type that exception handlers return."""
    _count_refusal(request, refusal)
    refusal = _without_not_run(request, refusal)
    return Response(
        json_codec.write_error(refusal),
        status_code=refusal.http_status,
        media_type=JSON_TYPE,
        headers=reply_headers(request, refusal.retry_after_ms),
    )


def _refusal_from_error(request, error):
    match error:
        case NotFoundException():
            message = f"nothing at {request.url.path[:200]!r}"
            return Refusal(ErrorCode.NOT_FOUND, message, not_run=True)
        case MethodNotAllowedException():
            message = f"{request.method} is not allowed here"
            return Refusal(ErrorCode.BAD_METHOD, message, not_run=True)
        case HTTPException(status_code=status) if status == STATUS_TOO_LARGE:
            message = "the body is larger than this entry takes"
            return Refusal(ErrorCode.BODY_TOO_LARGE, message, not_run=True)
        case ValidationException():
            details = tuple(
                f"{item.get('key', '?')}: {item.get('message', '')}"
                for item in error.extra or ()
                if isinstance(item, dict)
            )
            message = "a parameter of the request is bad"
            return Refusal(ErrorCode.BAD_FIELD, message, True, details=details)
    return Refusal(ErrorCode.BAD_FIELD, error.detail, not_run=True)
