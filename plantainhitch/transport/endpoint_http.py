"""The endpoint over HTTP, as ``docs/endpoint-protocol.md`` describes it.

What the exchange came to is turned into an outcome here. ``NotRun`` is said only
where no byte of the request was written or the endpoint itself refused; a reused
connection that is reset leaves open whether the endpoint read the request, so
that is ``Unknown``.
"""

import msgspec

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

# For a start that names no timeout.
MAX_TIMEOUT_MS = 600_000
REFUSED_RETRY_MS = 500
MAX_DETAIL_CHARS = 2_000
_TASK_TYPE = (b"Content-Type", b"application/json")


class _CancelBody(msgspec.Struct):
    submission: str
    index: int
    attempt: int


class _StatusBody(msgspec.Struct):
    busy: int


class HttpEndpointClient(EndpointClient):
    """Runs tasks at the endpoint behind one ``HttpClient``."""

    def __init__(self, client):
        self._client = client

    @classmethod
    def from_address(cls, address, clock):
        """Return a client of the endpoint at ``address``."""
        return cls(HttpClient(address, clock))

    @property
    def address(self):
        """The endpoint's address."""
        return self._client.address

    async def run(self, start):
        """Run one ``Start``; see ``EndpointClient.run``.

        A task that outlasts its timeout is ``Unknown``: it may still finish.
        """
        result = await self._client.request(
            b"POST",
            b"/tasks",
            start.body,
            _task_headers(start),
            timeout_ms=start.timeout_ms or MAX_TIMEOUT_MS,
        )
        return _outcome(result)

    async def cancel(self, key):
        """Ask the endpoint to stop an attempt, without waiting for long."""
        body = msgspec.json.encode(
            _CancelBody(key.submission.hex(), key.index, key.attempt)
        )
        await self._client.request(b"POST", b"/tasks/cancel", body, (_TASK_TYPE,))

    async def busy_slots(self):
        """Return how many slots are in use, or None where the endpoint is silent."""
        result = await self._client.request(b"GET", b"/status")
        if not isinstance(result, HttpResponse) or result.status != 200:
            return None
        try:
            return msgspec.json.decode(result.body, type=_StatusBody).busy
        except msgspec.DecodeError:
            return None

    async def aclose(self):
        """Close the connections."""
        await self._client.aclose()


def _task_headers(start):
    headers = [
        _TASK_TYPE,
        (b"Plantainhitch-Submission", start.key.submission.hex().encode()),
        (b"Plantainhitch-Index", b"%d" % start.key.index),
        (b"Plantainhitch-Attempt", b"%d" % start.key.attempt),
        (b"Plantainhitch-Class", start.class_name.encode()),
    ]
    if start.traceparent:
        headers.append((b"traceparent", start.traceparent.encode()))
    return headers


def _outcome(result):
    match result:
        case NotSent():
            return NotRun(Reason.ENDPOINT_REFUSED, REFUSED_RETRY_MS)
        case ConnectionLost():
            return Unknown(Reason.ENDPOINT_LOST)
        case TimedOut():
            return Unknown(Reason.TIMED_OUT)
        case ResponseTooLarge():
            return Failed(Reason.ANSWER_TOO_LARGE)
        case HttpResponse(status=200, body=body):
            return _checked_answer(body)
        case HttpResponse(status=503, headers=headers) if (
            headers.get(b"plantainhitch-not-run") == b"1"
        ):
            return NotRun(Reason.ENDPOINT_REFUSED, REFUSED_RETRY_MS)
        case HttpResponse(status=status, body=body):
            detail = body[:MAX_DETAIL_CHARS].decode(errors="replace")
            return Failed(Reason.TASK_FAILED, f"status {status}: {detail}")


def _checked_answer(body):
    """Return the answer where it is one whole JSON value."""
    try:
        msgspec.json.decode(body, type=msgspec.Raw)
    except msgspec.DecodeError as error:
        return Failed(Reason.BAD_ANSWER, str(error))
    return Succeeded(body)
