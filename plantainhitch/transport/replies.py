"""HTTP replies and request bodies of the border, with one shape for all errors."""

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
KEY_HEADER = "idempotency-key"
SUBMISSIONS_PATH = "/v1/submissions/"
STATUS_TOO_LARGE = 413
STATUS_SERVER_ERROR = 500

_log = get_logger("http")


def json_reply(body, status=200, headers=None):
    """Return a reply that carries the JSON bytes ``body`` as they are."""
    return ASGIResponse(
        body=body, status_code=status, media_type=JSON_TYPE, headers=headers
    )


def error_reply(refusal, request):
    """Return the reply for a ``Refusal``, with ``Retry-After`` where it has one."""
    headers = reply_headers(request, refusal.retry_after_ms)
    return json_reply(json_codec.write_error(refusal), refusal.http_status, headers)


def refuse(request, refusal, class_name="", *, by_owner=False):
    """Count a refused call in the entry's metrics and return its reply.

    ``by_owner``: the refusal comes from the entry that would have run the job.
    """
    _count(request, refusal, class_name)
    return error_reply(refusal if by_owner else _cautious(request, refusal), request)


def reply_headers(request, retry_after_ms=0):
    """Return the headers of a reply, or None where it needs none.

    ``Retry-After`` is in whole seconds, rounded up. An entry that isn't ready has
    its callers' connections end with the reply, so that none is in use by the
    time it closes those that are left.
    """
    headers = {}
    if retry_after_ms:
        headers["retry-after"] = str(math.ceil(retry_after_ms / 1000))
    if not getattr(request.app.state.node, "ready", False):
        headers["connection"] = "close"
    return headers or None


async def read_json(request):
    """Return the bytes of a JSON request body, or a ``Refusal``.

    A body over the app's limit raises while it is read; ``handle_http_error``
    turns that into ``body_too_large``.
    """
    content_type = request.headers.get("content-type", "")
    media_type = content_type.partition(";")[0].strip().lower()
    if media_type != JSON_TYPE:
        message = f"content type {content_type[:80]!r}; send {JSON_TYPE}"
        return Refusal(ErrorCode.BAD_CONTENT_TYPE, message, not_run=True)
    try:
        return await request.body()
    except InternalServerException:
        # The caller has gone before the end of the body; nobody reads the reply.
        return Refusal(ErrorCode.BAD_JSON, "the body was cut off", not_run=True)


async def read_model(request, decoder):
    """Return the model of a JSON request body, or a ``Refusal``."""
    body = await read_json(request)
    return body if isinstance(body, Refusal) else json_codec.read_model(body, decoder)


def handle_http_error(request, error):
    """Turn an exception of the HTTP library into an error reply."""
    if error.status_code >= STATUS_SERVER_ERROR:
        return handle_crash(request, error)
    return _exception_reply(request, _refusal_for(request, error))


def handle_crash(request, error):
    """Log an exception that nothing caught, and answer ``internal``."""
    _log.error(
        "request failed",
        path=request.url.path,
        method=request.method,
        exc_info=(type(error), error, error.__traceback__),
    )
    message = "the entry failed to answer; the outcome is unknown"
    return _exception_reply(request, Refusal(ErrorCode.INTERNAL, message))


def _count(request, refusal, class_name=""):
    # While the process starts there is no node yet, and so no metrics.
    metrics = getattr(request.app.state.node, "metrics", None)
    if metrics is not None:
        metrics.refused(class_name, refusal.code)


def _cautious(request, refusal):
    """Return the refusal, without "not run" where the call names an id or a key.

    Something may run under these, whatever is wrong with this call.
    """
    names_id = request.url.path.startswith(SUBMISSIONS_PATH)
    if refusal.not_run and (names_id or KEY_HEADER in request.headers):
        return replace(refusal, not_run=False)
    return refusal


def _exception_reply(request, refusal):
    """Return what ``refuse`` does, as the kind that exception handlers give."""
    _count(request, refusal)
    refusal = _cautious(request, refusal)
    return Response(
        json_codec.write_error(refusal),
        status_code=refusal.http_status,
        media_type=JSON_TYPE,
        headers=reply_headers(request, refusal.retry_after_ms),
    )


def _refusal_for(request, error):
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
