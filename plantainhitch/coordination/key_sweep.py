"""Deletes the rows of keys whose retention has ended.

Rows of keys are written once, so the order of their changes is that of their age,
and a sweep stops at the first one that is still held. How far the rows have been
gone through is kept in a row of the same table. Any number of entries may sweep:
the deletions are conditional, and an older mark only makes work.
"""

import msgspec
from returns.result import Failure, Success

from ..transport.platform import ABSENT, TABLE_KEYS, Write
from .keys import HOUR_MS, RETENTION_MS, read_binding

# Clocks of instances may differ by this much.
SWEEP_MARGIN_MS = HOUR_MS
PAGE_ROWS = 500
MAX_PAGES = 20
# No hash of a key, which is hexadecimal.
MARK_KEY = "swept"


class MarkModel(msgspec.Struct):
    """The value of the mark: all rows up to that revision have been gone through."""

    revision: int


class KeySweeper:
    """Goes through the oldest rows and deletes those that are due."""

    def __init__(self, platform, clock):
        self._platform = platform
        self._clock = clock
        self._mark = None

    async def sweep(self):
        """Go through up to ``MAX_PAGES`` pages; return how many rows were deleted."""
        if self._mark is None and not await self._read_mark():
            return 0
        deleted = 0
        for _ in range(MAX_PAGES):
            found = await self._platform.changes(TABLE_KEYS, self._mark, PAGE_ROWS)
            match found:
                case Failure(_):
                    break
                case Success(changes):
                    mark = self._mark_after(changes)
            due = [row for row in changes.rows if self._is_due(row, mark)]
            if due and not await self._delete(due, mark):
                break
            deleted += len(due)
            self._mark = mark
            if len(changes.rows) < PAGE_ROWS or mark < changes.revision:
                break
        return deleted

    async def _read_mark(self):
        read = await self._platform.read(TABLE_KEYS, MARK_KEY)
        match read:
            case Failure(_):
                return False
            case Success(None):
                self._mark = ABSENT
            case Success(row):
                self._mark = msgspec.json.decode(row.value, type=MarkModel).revision
        return True

    async def _delete(self, rows, mark):
        writes = [Write(row.key, None, row.revision) for row in rows]
        writes.append(Write(MARK_KEY, msgspec.json.encode(MarkModel(mark))))
        match await self._platform.write(TABLE_KEYS, writes):
            case Success(_):
                return True
        return False

    def _mark_after(self, changes):
        """Return the revision before the first row that is still held."""
        held = (row.revision for row in changes.rows if self._is_held(row))
        first = next(held, None)
        return changes.revision if first is None else first - 1

    def _is_held(self, row):
        binding = read_binding(row.value)
        return binding is not None and not self._has_ended(binding)

    def _is_due(self, row, mark):
        binding = read_binding(row.value)
        if binding is None or row.revision > mark:
            return False
        return self._has_ended(binding)

    def _has_ended(self, binding):
        age_ms = self._clock.wall_ms() - binding.bound_ms
        return age_ms > RETENTION_MS + SWEEP_MARGIN_MS
