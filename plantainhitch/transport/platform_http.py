"""HTTP client of the platform's table service, based on httpx.

A call never takes longer than its timeout. A fault tells whether the call may have
had an effect: only a failure to connect, a 503 response or a client error (4xx)
proves that it had none.
"""

import asyncio
from http import HTTPStatus
from urllib.parse import quote

import msgspec
from returns.result import Failure, Success

from ..json_input import decode_json
from .httpx_loader import httpx
from .platform import FaultKind, Platform, PlatformFault
from .platform_models import (
    ChangesModel,
    ConflictModel,
    ReadModel,
    TransactionModel,
    WriteModel,
    WrittenModel,
)

MAX_CONNECTIONS = 8
IDLE_TIMEOUT_S = 30
# Errors that httpx raises before the request is written.
_NOT_SENT_ERRORS = (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout)


def _failure(kind, detail):
    return Failure(PlatformFault(kind, detail))


def _decode(content, model):
    """Return Success(model), or an UNKNOWN fault if ``content`` can't be decoded."""
    try:
        return Success(decode_json(content, model))
    except ValueError as error:
        return _failure(FaultKind.UNKNOWN, f"malformed response: {error}")


class PlatformClient(Platform):
    """A ``Platform`` at ``base_url``; a process has one client."""

    def __init__(self, base_url, timeout_ms):
        self._timeout_s = timeout_ms / 1000
        self._client = httpx.AsyncClient(
            base_url=base_url,
            timeout=self._timeout_s,
            trust_env=False,
            # The URL is plain HTTP, and a TLS context would take 2 MB.
            verify=False,
            limits=httpx.Limits(
                max_connections=MAX_CONNECTIONS,
                max_keepalive_connections=MAX_CONNECTIONS,
                keepalive_expiry=IDLE_TIMEOUT_S,
            ),
        )

    @classmethod
    def from_settings(cls, settings):
        """Return a client for the platform address in a ``settings.Settings``."""
        return cls(f"http://{settings.platform}", settings.platform_timeout_ms)

    async def read(self, table, key):
        """See ``Platform.read``."""
        path = f"/tables/{quote(table, safe='')}/rows/{quote(key, safe='')}"
        result = await self._call("GET", path, ReadModel)
        return result.map(lambda read: read.row.to_row() if read.row else None)

    async def changes(self, table, since_revision, limit=None):
        """See ``Platform.changes``."""
        path = f"/tables/{quote(table, safe='')}/changes?since={since_revision}"
        if limit is not None:
            path += f"&limit={limit}"
        result = await self._call("GET", path, ChangesModel)
        return result.map(ChangesModel.to_changes)

    async def write(self, table, writes):
        """See ``Platform.write``."""
        body = msgspec.json.encode(
            TransactionModel([WriteModel.from_write(write) for write in writes])
        )
        path = f"/tables/{quote(table, safe='')}/write"
        result = await self._call("POST", path, WrittenModel, body)
        return result.map(lambda written: written.revision)

    async def aclose(self):
        """Close the connections."""
        await self._client.aclose()

    async def _call(self, method, path, model, body=None):
        try:
            async with asyncio.timeout(self._timeout_s):
                response = await self._client.request(method, path, content=body)
        except _NOT_SENT_ERRORS as error:
            return _failure(FaultKind.NOT_APPLIED, f"not sent: {error}")
        except TimeoutError:
            return _failure(
                FaultKind.UNKNOWN, f"no response within {self._timeout_s} s"
            )
        except httpx.HTTPError as error:
            return _failure(FaultKind.UNKNOWN, f"{type(error).__name__}: {error}")
        return self._result_from_response(response, model)

    def _result_from_response(self, response, model):
        status = response.status_code
        if status == HTTPStatus.OK:
            return _decode(response.content, model)
        if status == HTTPStatus.CONFLICT:
            return _decode(response.content, ConflictModel).bind(_conflict_failure)
        if status == HTTPStatus.SERVICE_UNAVAILABLE or response.is_client_error:
            return _failure(FaultKind.NOT_APPLIED, f"HTTP status {status}")
        return _failure(FaultKind.UNKNOWN, f"HTTP status {status}")


def _conflict_failure(model):
    rows = tuple(row.to_row() for row in model.rows)
    return Failure(PlatformFault(FaultKind.CONFLICT, "condition not met", rows))
