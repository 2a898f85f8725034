"""HTTP client of the endpoint, as ``docs/endpoint-protocol.md`` describes it.

It maps the result of each HTTP request to an outcome. The outcome is ``NotRun`` only
if no byte of the request was written or the endpoint itself refused the task. If a
reused connection is reset, the endpoint may have read the request, so the outcome
is ``Unknown``.
"""

import msgspec

from ..json_input import decode_json
from ..outcomes import Failed, NotRun, Reason, Succeeded, Unknown
from .endpoint import EndpointClient
from .http_client import (
    ConnectionLost,
    HttpClient,
    HttpResponse,
    NotSent,
    ResponseTooLarge,
    TimedOut,
)

# Used for a ``Start`` whose timeout_ms is 0.
DEFAULT_TASK_TIMEOUT_MS = 600_000
REFUSED_RETRY_AFTER_MS = 500
MAX_DETAIL_CHARACTERS = 2_000
_JSON_CONTENT_TYPE = (b"Content-Type", b"application/json")


class _CancelBody(msgspec.Struct):
    submission: str
    index: int
    attempt: int


class _StatusBody(msgspec.Struct):
    busy: int


class HttpEndpointClient(EndpointClient):
    """An ``EndpointClient`` that sends its requests through one ``HttpClient``."""

    def __init__(self, client):
        self._client = client

    @classmethod
    def from_address(cls, address, clock):
        """Return a client for the endpoint at ``address``."""
        return cls(HttpClient(address, clock))

    @property
    def address(self):
        """The endpoint's address."""
        return self._client.address

    async def run(self, start):
        """Run one ``Start``; see ``EndpointClient.run``.

        A task that exceeds its timeout is ``Unknown``, because it may still finish.
        """
        result = await self._client.request(
            b"POST",
            b"/tasks",
            start.body,
            _task_headers(start),
            timeout_ms=start.timeout_ms or DEFAULT_TASK_TIMEOUT_MS,
        )
        return _outcome_from_result(result)

    async def cancel(self, key):
        """Ask the endpoint to stop an attempt; the result of the request is ignored.

        The default timeout of ``HttpClient.request`` bounds the wait for the response.
        """
        body = msgspec.json.encode(
            _CancelBody(key.submission.hex(), key.index, key.attempt)
        )
        await self._client.request(
            b"POST", b"/tasks/cancel", body, (_JSON_CONTENT_TYPE,)
        )

    async def busy_slots(self):
        """Return the number of slots in use; see ``EndpointClient.busy_slots``."""
        result = await self._client.request(b"GET", b"/status")
        if not isinstance(result, HttpResponse) or result.status != 200:
            return None
        try:
            return decode_json(result.body, _StatusBody).busy
        except ValueError:
            return None

    async def aclose(self):
        """Close the connections."""
        await self._client.aclose()


def _task_headers(start):
    headers = [
        _JSON_CONTENT_TYPE,
        (b"Plantainhitch-Submission", start.key.submission.hex().encode()),
        (b"Plantainhitch-Index", b"%d" % start.key.index),
        (b"Plantainhitch-Attempt", b"%d" % start.key.attempt),
        (b"Plantainhitch-Class", start.class_name.encode()),
    ]
    if start.traceparent:
        headers.append((b"traceparent", start.traceparent.encode()))
    return headers


def _outcome_from_result(result):
    match result:
        case NotSent():
            return NotRun(Reason.ENDPOINT_REFUSED, REFUSED_RETRY_AFTER_MS)
        case ConnectionLost():
            return Unknown(Reason.ENDPOINT_LOST)
        case TimedOut():
            return Unknown(Reason.TIMED_OUT)
        case ResponseTooLarge():
            return Failed(Reason.ANSWER_TOO_LARGE)
        case HttpResponse(status=200, body=body):
            return _outcome_from_body(body)
        case HttpResponse(status=503, headers=headers) if (
            headers.get(b"plantainhitch-not-run") == b"1"
        ):
            return NotRun(Reason.ENDPOINT_REFUSED, REFUSED_RETRY_AFTER_MS)
        case HttpResponse(status=status, body=body):
            detail = body[:MAX_DETAIL_CHARACTERS].decode(errors="replace")
            return Failed(Reason.TASK_FAILED, f"status {status}: {detail}")


def _outcome_from_body(body):
    """Return ``Succeeded`` if the body is a valid JSON value, else ``Failed``."""
    try:
        decode_json(body, msgspec.Raw)
    except ValueError as error:
        return Failed(Reason.BAD_ANSWER, str(error))
    return Succeeded(body)
