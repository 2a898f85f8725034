"""Deletes the rows of keys whose retention has ended.

Rows of keys are written once, so the table's change order is the order of their age,
and a sweep stops at the first row that is, or may be, still retained. The revision
that sweeps have reached, the cursor, is stored in a row of the same table. Any number
of entries may sweep at once: the deletions are conditional, and an older cursor only
causes repeated work.
"""

from typing import Annotated

import msgspec
from returns.result import Failure, Success

from ..json_input import decode_json
from ..logs import get_logger
from ..transport.platform import ABSENT, TABLE_KEYS, Write
from .keys import HOUR_MS, RETENTION_MS, read_binding

# The wall clocks of instances may differ by this much.
CLOCK_SKEW_MARGIN_MS = HOUR_MS
PAGE_ROWS = 500
MAX_PAGES_PER_SWEEP = 20
# Can't collide with the row of a key, whose name is a hexadecimal hash.
CURSOR_KEY = "swept"


log = get_logger("key-sweep")


class SweepCursorModel(msgspec.Struct):
    """The value of the cursor's row: all rows up to ``revision`` have been swept."""

    revision: Annotated[int, msgspec.Meta(ge=0, le=2**63 - 1)]


def _read_cursor_row(row):
    """Return the cursor in its row, or ``ABSENT`` if the row holds none."""
    try:
        return decode_json(row.value, SweepCursorModel).revision
    except ValueError as error:
        log.error("cursor unreadable", why=str(error))
        return ABSENT


class KeySweeper:
    """Scans the oldest rows and deletes those that are past their retention."""

    def __init__(self, platform, clock):
        self._platform = platform
        self._clock = clock
        self._cursor = None

    async def sweep(self):
        """Sweep up to ``MAX_PAGES_PER_SWEEP`` pages; return the number of deletions.

        A fault of the table ends the sweep early.
        """
        if self._cursor is None and not await self._read_cursor():
            return 0
        deleted = 0
        for _ in range(MAX_PAGES_PER_SWEEP):
            result = await self._platform.changes(TABLE_KEYS, self._cursor, PAGE_ROWS)
            match result:
                case Failure(_):
                    break
                case Success(changes):
                    deletable, cursor = self._split(changes)
            if deletable and not await self._delete(deletable, cursor):
                break
            deleted += len(deletable)
            self._cursor = cursor
            if len(changes.rows) < PAGE_ROWS or cursor < changes.revision:
                break
        return deleted

    async def _read_cursor(self):
        read = await self._platform.read(TABLE_KEYS, CURSOR_KEY)
        match read:
            case Failure(_):
                return False
            case Success(None):
                self._cursor = ABSENT
            case Success(row):
                self._cursor = _read_cursor_row(row)
        return True

    async def _delete(self, rows, cursor):
        writes = [Write(row.key, None, row.revision) for row in rows]
        writes.append(Write(CURSOR_KEY, msgspec.json.encode(SweepCursorModel(cursor))))
        match await self._platform.write(TABLE_KEYS, writes):
            case Success(_):
                return True
        return False

    def _split(self, changes):
        """Return the rows to delete, and the revision up to which all are swept.

        The age of an unreadable row is not known. It is past its retention if a row
        that was written after it is.
        """
        deletable, unreadable = [], []
        for row in changes.rows:
            if row.value is None or row.key == CURSOR_KEY:
                continue
            binding = read_binding(row.value)
            if binding is None:
                unreadable.append(row)
            elif self._is_past_retention(binding):
                deletable.extend((*unreadable, row))
                unreadable.clear()
            else:
                first_kept = unreadable[0] if unreadable else row
                return deletable, first_kept.revision - 1
        cursor = unreadable[0].revision - 1 if unreadable else changes.revision
        return deletable, cursor

    def _is_past_retention(self, binding):
        age_ms = self._clock.wall_ms() - binding.bound_ms
        return age_ms > RETENTION_MS + CLOCK_SKEW_MARGIN_MS
