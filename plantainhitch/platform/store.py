"""The client of the platform's row store."""

from urllib.parse import quote, urlencode

import msgspec
from returns.result import Failure, Success

from ..json_input import decode_json
from ..transport.http_client import HttpClient, HttpResponse, NotSent
from ..transport.platform import (
    ABSENT,
    Changes,
    FaultKind,
    Platform,
    PlatformFault,
    Row,
)

# Well above the few ms in which a healthy store answers, and above the answer time of
# one that is slow for a while. It is short because a call during an outage fails only
# after this time, and the end of the outage is not noticed before.
CALL_TIMEOUT_MS = 800
CONNECT_TIMEOUT_S = 0.4
# The prefix separates the product's tables from those of other writers.
TABLE_PREFIX = "plantainhitch-"
OPERATOR_TABLE = "op"
MAX_ROWS = 500
_JSON_HEADERS = ((b"Content-Type", b"application/json"),)


class _RowModel(msgspec.Struct):
    key: str
    # Other writers may leave a value of another type, which must not make the other
    # rows unreadable.
    value: msgspec.Raw = msgspec.Raw(b"null")
    ver: int = 0  # the store's version at the last change of the row
    tombstone: bool = False


class _RowsModel(msgspec.Struct):
    rows: list[_RowModel]
    ver: int  # the newest version of the whole store
    truncated: bool = False


class _WrittenModel(msgspec.Struct):
    ver: int


class _ConflictModel(msgspec.Struct):
    rows: list[_RowModel]


class RowStore(Platform):
    """A ``Platform`` whose tables are tables of the platform's row store."""

    def __init__(self, http):
        self._http = http

    @classmethod
    def from_deployment(cls, deployment, clock):
        """Return a client for the store of a ``Deployment``."""
        http = HttpClient(deployment.store, clock, connect_timeout_s=CONNECT_TIMEOUT_S)
        return cls(http)

    async def read(self, table, key):
        """See ``Platform.read``."""
        result = await self._read_rows(TABLE_PREFIX + table, key)
        return result.map(lambda rows: _find_row(rows.rows, key))

    async def changes(self, table, since_revision, limit=None):
        """See ``Platform.changes``; ``limit`` is ignored, as the store has its own.

        The value of a row that is not encoded as bytes is empty.

        If the store has discarded the history since ``since_revision``, all rows are
        returned. Rows that were deleted meanwhile are then missing from the result.
        """
        return await self._changes(TABLE_PREFIX + table, since_revision, 0)

    async def operator_changes(self, since_revision, wait_ms):
        """Return Success(Changes) of the operator's table, or a Failure.

        Waits up to ``wait_ms`` for a first change.
        """
        return await self._changes(OPERATOR_TABLE, since_revision, wait_ms)

    async def write(self, table, writes):
        """See ``Platform.write``."""
        full_name = TABLE_PREFIX + table
        body = {
            "expected_rev": [
                _row_address(full_name, write.key) | {"ver": write.expected_revision}
                for write in writes
                if write.expected_revision is not None
            ],
            "puts": [
                _row_address(full_name, write.key) | {"value": write.value}
                for write in writes
                if write.value is not None
            ],
            "remove": [
                _row_address(full_name, write.key)
                for write in writes
                if write.value is None
            ],
        }
        answer = await self._http.request(
            b"POST",
            b"/rows-tx",
            msgspec.json.encode(body),
            _JSON_HEADERS,
            timeout_ms=CALL_TIMEOUT_MS,
        )
        if isinstance(answer, HttpResponse) and answer.status == 412:
            return _decode(answer, _ConflictModel, expected=412).bind(_to_conflict)
        return _decode(answer, _WrittenModel).map(lambda written: written.ver)

    async def aclose(self):
        """Close the connections."""
        await self._http.aclose()

    async def _changes(self, table, since_revision, wait_ms):
        if not since_revision:
            return await self._read_all(table)
        query = {"table": table, "after": since_revision, "wait_ms": wait_ms}
        answer = await self._get("/rows-feed", query, CALL_TIMEOUT_MS + wait_ms)
        if isinstance(answer, HttpResponse) and answer.status == 410:
            return await self._read_all(table)
        return _decode(answer, _RowsModel).map(_to_changes)

    async def _read_rows(self, table, key):
        query = {"table": table, "part": "", "from": key, "to": f"{key}\0"}
        answer = await self._get("/rows-get", query, CALL_TIMEOUT_MS)
        return _decode(answer, _RowsModel)

    async def _read_all(self, table):
        """Return Success(Changes) with all rows of a table, or a Failure.

        The rows are read in pages of ``MAX_ROWS``.
        """
        rows, first_key, revision = [], "", None
        while True:
            query = {"table": table, "part": "", "limit": MAX_ROWS}
            if first_key:
                query["from"] = first_key
            answer = await self._get("/rows-get", query, CALL_TIMEOUT_MS)
            result = _decode(answer, _RowsModel)
            if isinstance(result, Failure):
                return result
            page = result.unwrap()
            # The revision is that of the first page, so the next feed repeats changes
            # made while later pages were read.
            revision = page.ver if revision is None else revision
            rows.extend(map(_to_row, page.rows))
            if not page.truncated or not page.rows:
                return Success(Changes(revision, tuple(rows), is_complete=True))
            first_key = f"{page.rows[-1].key}\0"

    async def _get(self, path, query, timeout_ms):
        target = f"{path}?{urlencode(query, quote_via=quote)}".encode()
        return await self._http.request(b"GET", target, timeout_ms=timeout_ms)


def _row_address(table, key):
    return {"table": table, "part": "", "key": key}


def _find_row(rows, key):
    return next((_to_row(row) for row in rows if row.key == key), None)


def _to_row(row):
    value = _decode_raw_value(row.value)
    is_deleted = row.tombstone or value is None
    return Row(
        row.key, None if is_deleted else value, ABSENT if is_deleted else row.ver
    )


def _decode_raw_value(raw):
    """Return the bytes in a row's JSON value, empty if it is none, or None for null."""
    try:
        return decode_json(raw, bytes | None)
    except ValueError:
        return b""


def _to_changes(rows):
    return Changes(rows.ver, tuple(map(_to_row, rows.rows)))


def _to_conflict(model):
    rows = tuple(map(_to_row, model.rows))
    return Failure(PlatformFault(FaultKind.CONFLICT, "condition not met", rows))


def _decode(answer, model, expected=200):
    """Return Success(model), or a Failure whose kind tells if the call had effect."""
    if isinstance(answer, NotSent):
        return _fault(FaultKind.NOT_APPLIED, answer.detail)
    if not isinstance(answer, HttpResponse):
        return _fault(FaultKind.UNKNOWN, repr(answer))
    if answer.status != expected:
        is_certain = answer.status == 503 or 400 <= answer.status < 500
        kind = FaultKind.NOT_APPLIED if is_certain else FaultKind.UNKNOWN
        return _fault(kind, f"HTTP status {answer.status}")
    try:
        return Success(decode_json(answer.body, model))
    except ValueError as error:
        return _fault(FaultKind.UNKNOWN, f"unreadable answer: {error}")


def _fault(kind, detail):
    return Failure(PlatformFault(kind, detail))
