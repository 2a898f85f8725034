"""The platform's table service over HTTP, by httpx.

A call never lasts longer than its timeout, and a fault says whether the call may
have had an effect: only a connection that never came about, an answer 503 or a
rejection (4xx) proves that it had none.
"""

import asyncio
from http import HTTPStatus
from urllib.parse import quote

import msgspec
from returns.result import Failure, Success

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
IDLE_CONNECTION_S = 30
# Errors of httpx that come before the request is written.
_NOT_SENT = (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout)


def _failure(kind, detail):
    return Failure(PlatformFault(kind, detail))


def _decode(content, model):
    """Return Success(model) or an UNKNOWN fault where the answer is unreadable."""
    try:
        return Success(msgspec.json.decode(content, type=model))
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        return _failure(FaultKind.UNKNOWN, f"unreadable answer: {error}")


class PlatformClient(Platform):
    """A ``Platform`` behind an address; one per process."""

    def __init__(self, base_url, timeout_ms):
        self._timeout_s = timeout_ms / 1000
        self._client = httpx.AsyncClient(
            base_url=base_url,
            timeout=self._timeout_s,
            trust_env=False,
            # The address is plain HTTP; a TLS context would cost 2 MB.
            verify=False,
            limits=httpx.Limits(
                max_connections=MAX_CONNECTIONS,
                max_keepalive_connections=MAX_CONNECTIONS,
                keepalive_expiry=IDLE_CONNECTION_S,
            ),
        )

    @classmethod
    def from_settings(cls, settings):
        """Return a client for the platform named in ``settings.Settings``."""
        return cls(f"http://{settings.platform}", settings.platform_timeout_ms)

    async def read(self, table, key):
        """See ``Platform.read``."""
        path = f"/tables/{quote(table, safe='')}/rows/{quote(key, safe='')}"
        answer = await self._call("GET", path, ReadModel)
        return answer.map(lambda read: read.row.to_row() if read.row else None)

    async def changes(self, table, since_revision, limit=None):
        """See ``Platform.changes``."""
        path = f"/tables/{quote(table, safe='')}/changes?since={since_revision}"
        if limit is not None:
            path += f"&limit={limit}"
        answer = await self._call("GET", path, ChangesModel)
        return answer.map(ChangesModel.to_changes)

    async def write(self, table, writes):
        """See ``Platform.write``."""
        body = msgspec.json.encode(
            TransactionModel([WriteModel.from_write(write) for write in writes])
        )
        path = f"/tables/{quote(table, safe='')}/write"
        answer = await self._call("POST", path, WrittenModel, body)
        return answer.map(lambda written: written.revision)

    async def aclose(self):
        """Close the connections."""
        await self._client.aclose()

    async def _call(self, method, path, model, body=None):
        try:
            async with asyncio.timeout(self._timeout_s):
                answer = await self._client.request(method, path, content=body)
        except _NOT_SENT as error:
            return _failure(FaultKind.NOT_APPLIED, f"not sent: {error}")
        except TimeoutError:
            return _failure(FaultKind.UNKNOWN, f"no answer in {self._timeout_s} s")
        except httpx.HTTPError as error:
            return _failure(FaultKind.UNKNOWN, f"{type(error).__name__}: {error}")
        return self._judge(answer, model)

    def _judge(self, answer, model):
        status = answer.status_code
        if status == HTTPStatus.OK:
            return _decode(answer.content, model)
        if status == HTTPStatus.CONFLICT:
            return _decode(answer.content, ConflictModel).bind(_conflict)
        if status == HTTPStatus.SERVICE_UNAVAILABLE or answer.is_client_error:
            return _failure(FaultKind.NOT_APPLIED, f"HTTP status {status}")
        return _failure(FaultKind.UNKNOWN, f"HTTP status {status}")


def _conflict(model):
    rows = tuple(row.to_row() for row in model.rows)
    return Failure(PlatformFault(FaultKind.CONFLICT, "condition not met", rows))
