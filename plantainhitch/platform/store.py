"""The client of the platform's store of rows."""

from urllib.parse import quote, urlencode

import msgspec
from returns.result import Failure, Success

from ..transport.http_client import HttpAnswer, HttpClient, NotSent
from ..transport.platform import (
    ABSENT,
    Changes,
    FaultKind,
    Platform,
    PlatformFault,
    Row,
)

# Well above the few ms of a sound store, and of one that answers slowly for a while;
# short, because a call into an outage is lost and its end goes unnoticed meanwhile.
CALL_TIMEOUT_MS = 800
CONNECT_TIMEOUT_S = 0.4
# An own table prefix keeps the product's tables apart from other writers.
TABLE_PREFIX = "plantainhitch-"
OPERATOR_TABLE = "op"
MAX_ROWS = 500
_JSON = ((b"Content-Type", b"application/json"),)


class _RowModel(msgspec.Struct):
    key: str
    value: bytes | None = None
    ver: int = 0  # version of the row's last change
    tombstone: bool = False


class _RowsModel(msgspec.Struct):
    rows: list[_RowModel]
    ver: int  # newest version of the whole store
    truncated: bool = False


class _WrittenModel(msgspec.Struct):
    ver: int


class _ConflictModel(msgspec.Struct):
    rows: list[_RowModel]


class RowStore(Platform):
    """A ``Platform`` on the store; one table of the product is one table there."""

    def __init__(self, http):
        self._http = http

    @classmethod
    def from_deployment(cls, deployment, clock):
        """Return a client for the store of a ``Deployment``."""
        http = HttpClient(deployment.store, clock, connect_timeout_s=CONNECT_TIMEOUT_S)
        return cls(http)

    async def read(self, table, key):
        """See ``Platform.read``."""
        found = await self._rows(TABLE_PREFIX + table, key)
        return found.map(lambda rows: _first(rows.rows, key))

    async def changes(self, table, since_revision, limit=None):
        """See ``Platform.changes``; the limit is the store's own.

        Where the store has dropped the history, all rows are read anew; deletions
        in the gap are not shown then.
        """
        return await self._changes(TABLE_PREFIX + table, since_revision, 0)

    async def changes_of_operator(self, since_revision, wait_ms):
        """Return Success(Changes) or a Failure of what the operator writes.

        Waits up to ``wait_ms`` for a first change.
        """
        return await self._changes(OPERATOR_TABLE, since_revision, wait_ms)

    async def write(self, table, writes):
        """See ``Platform.write``."""
        name = TABLE_PREFIX + table
        body = {
            "expected_rev": [
                _place(name, write.key) | {"ver": write.expected_revision}
                for write in writes
                if write.expected_revision is not None
            ],
            "puts": [
                _place(name, write.key) | {"value": write.value}
                for write in writes
                if write.value is not None
            ],
            "remove": [
                _place(name, write.key) for write in writes if write.value is None
            ],
        }
        answer = await self._http.request(
            b"POST",
            b"/rows-tx",
            msgspec.json.encode(body),
            _JSON,
            timeout_ms=CALL_TIMEOUT_MS,
        )
        if isinstance(answer, HttpAnswer) and answer.status == 412:
            return _decode(answer, _ConflictModel, expected=412).bind(_conflict)
        return _decode(answer, _WrittenModel).map(lambda written: written.ver)

    async def aclose(self):
        """Close the connections."""
        await self._http.aclose()

    async def _changes(self, table, since_revision, wait_ms):
        if not since_revision:
            return await self._all(table)
        query = {"table": table, "after": since_revision, "wait_ms": wait_ms}
        answer = await self._get("/rows-feed", query, CALL_TIMEOUT_MS + wait_ms)
        if isinstance(answer, HttpAnswer) and answer.status == 410:
            return await self._all(table)
        return _decode(answer, _RowsModel).map(_to_changes)

    async def _rows(self, table, key):
        query = {"table": table, "part": "", "from": key, "to": f"{key}\0"}
        answer = await self._get("/rows-get", query, CALL_TIMEOUT_MS)
        return _decode(answer, _RowsModel)

    async def _all(self, table):
        """Return Success(Changes) with every row of a table, by pages."""
        rows, start, revision = [], "", None
        while True:
            query = {"table": table, "part": "", "limit": MAX_ROWS}
            if start:
                query["from"] = start
            answer = await self._get("/rows-get", query, CALL_TIMEOUT_MS)
            found = _decode(answer, _RowsModel)
            if isinstance(found, Failure):
                return found
            page = found.unwrap()
            # Changes after the first page are shown again by the next feed.
            revision = page.ver if revision is None else revision
            rows.extend(map(_to_row, page.rows))
            if not page.truncated or not page.rows:
                return Success(Changes(revision, tuple(rows)))
            start = f"{page.rows[-1].key}\0"

    async def _get(self, path, query, timeout_ms):
        target = f"{path}?{urlencode(query, quote_via=quote)}".encode()
        return await self._http.request(b"GET", target, timeout_ms=timeout_ms)


def _place(table, key):
    return {"table": table, "part": "", "key": key}


def _first(rows, key):
    return next((_to_row(row) for row in rows if row.key == key), None)


def _to_row(row):
    gone = row.tombstone or row.value is None
    return Row(row.key, None if gone else row.value, ABSENT if gone else row.ver)


def _to_changes(rows):
    return Changes(rows.ver, tuple(map(_to_row, rows.rows)))


def _conflict(model):
    rows = tuple(map(_to_row, model.rows))
    return Failure(PlatformFault(FaultKind.CONFLICT, "condition not met", rows))


def _decode(answer, model, expected=200):
    """Return Success(model), or a Failure that says whether the call had effect."""
    if isinstance(answer, NotSent):
        return _fault(FaultKind.NOT_APPLIED, answer.detail)
    if not isinstance(answer, HttpAnswer):
        return _fault(FaultKind.UNKNOWN, repr(answer))
    if answer.status != expected:
        certain = answer.status == 503 or 400 <= answer.status < 500
        kind = FaultKind.NOT_APPLIED if certain else FaultKind.UNKNOWN
        return _fault(kind, f"HTTP status {answer.status}")
    try:
        return Success(msgspec.json.decode(answer.body, type=model))
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        return _fault(FaultKind.UNKNOWN, f"unreadable answer: {error}")


def _fault(kind, detail):
    return Failure(PlatformFault(kind, detail))
