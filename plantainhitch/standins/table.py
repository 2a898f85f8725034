"""A transactional table in memory, and a ``Platform`` on it with fault injection.

``Table`` also holds the state of the HTTP stand-in; ``MemoryPlatform`` is for unit
tests without a socket.
"""

from collections import OrderedDict
from dataclasses import dataclass, replace

from returns.result import Failure, Success

from ..clock import Clock
from ..transport.platform import (
    ABSENT,
    Changes,
    FaultKind,
    Platform,
    PlatformFault,
    Row,
)


@dataclass(frozen=True, slots=True)
class WriteConflict:
    """A rejected transaction; ``rows`` are those at other revisions than expected."""

    rows: tuple[Row, ...]


class Table:
    """One table; each applied transaction increments its revision."""

    def __init__(self):
        self._revision = 0
        # Rows by key, ordered by their last change; deleted rows stay as tombstones.
        self._rows = OrderedDict()

    @property
    def revision(self):
        """The number of transactions applied so far."""
        return self._revision

    def read(self, key):
        """Return the row, or None if there is no such row."""
        row = self._rows.get(key)
        return row if row is not None and row.value is not None else None

    def changes(self, since_revision, limit=None):
        """Return the rows changed after a revision, the oldest change first.

        With a ``limit`` the result stops after that many rows and the others of the
        last one's transaction. Its revision is then that of the last row, from which
        the next call continues.
        """
        rows = []
        for row in reversed(self._rows.values()):
            if row.revision <= since_revision:
                break
            rows.append(row)
        rows.reverse()
        if limit is None or len(rows) <= limit:
            return Changes(self._revision, tuple(rows))
        last = rows[limit - 1].revision
        # All rows of a transaction are returned together, so that a caller that
        # continues after its revision misses none.
        return Changes(last, tuple(row for row in rows if row.revision <= last))

    def write(self, writes):
        """Apply all writes and return the new revision, or a ``WriteConflict``."""
        conflicts = tuple(
            self._current_row(write.key)
            for write in writes
            if not self._is_expected(write)
        )
        if conflicts:
            return WriteConflict(conflicts)
        self._revision += 1
        for write in writes:
            self._rows[write.key] = Row(write.key, write.value, self._revision)
            self._rows.move_to_end(write.key)
        return self._revision

    def _current_row(self, key):
        return self._rows.get(key) or Row(key, None, ABSENT)

    def _is_expected(self, write):
        if write.expected_revision is None:
            return True
        row = self.read(write.key)
        current_revision = ABSENT if row is None else row.revision
        return current_revision == write.expected_revision


class TableService:
    """Tables by name; a table is created at its first use."""

    def __init__(self):
        self._tables = {}

    def table(self, name):
        """Return the table called ``name``."""
        return self._tables.setdefault(name, Table())


@dataclass(frozen=True, slots=True)
class Faults:
    """Faults in force.

    ``outage``: every call fails without effect. ``delay_ms``: delay of each call.
    ``lose_replies``: number of next writes that take effect, but whose replies are
    lost. ``lose_requests``: number of next writes that are lost without effect.
    """

    outage: bool = False
    delay_ms: int = 0
    lose_replies: int = 0
    lose_requests: int = 0


@dataclass(slots=True)
class Counters:
    """Numbers of calls to the platform, including those during an outage."""

    reads: int = 0
    writes: int = 0


class MemoryPlatform(Platform):
    """A platform in the same process, with faults set by ``set_faults``."""

    def __init__(self, clock=None, tables=None):
        self._clock = clock or Clock()
        self._tables = tables or TableService()
        self._faults = Faults()
        self._counters = Counters()

    @property
    def faults(self):
        """The faults in force."""
        return self._faults

    @property
    def counters(self):
        """Numbers of calls so far."""
        return self._counters

    def set_faults(self, faults):
        """Replace the faults in force."""
        self._faults = faults

    def table(self, name):
        """Return the table itself, for inspection in a test."""
        return self._tables.table(name)

    async def read(self, table, key):
        """See ``Platform.read``."""
        self._counters.reads += 1
        fault = await self._apply_delay_and_outage()
        return fault or Success(self._tables.table(table).read(key))

    async def changes(self, table, since_revision, limit=None):
        """See ``Platform.changes``."""
        self._counters.reads += 1
        fault = await self._apply_delay_and_outage()
        return fault or Success(
            self._tables.table(table).changes(since_revision, limit)
        )

    async def write(self, table, writes):
        """See ``Platform.write``."""
        self._counters.writes += 1
        fault = await self._apply_delay_and_outage()
        if fault is not None:
            return fault
        if self._faults.lose_requests:
            self._decrement_fault("lose_requests")
            return Failure(PlatformFault(FaultKind.UNKNOWN, "request lost"))
        written = self._tables.table(table).write(writes)
        if self._faults.lose_replies:
            self._decrement_fault("lose_replies")
            return Failure(PlatformFault(FaultKind.UNKNOWN, "reply lost"))
        match written:
            case WriteConflict(rows):
                return Failure(PlatformFault(FaultKind.CONFLICT, "", rows))
        return Success(written)

    async def _apply_delay_and_outage(self):
        await self._clock.sleep_ms(self._faults.delay_ms)
        if self._faults.outage:
            return Failure(PlatformFault(FaultKind.NOT_APPLIED, "outage"))
        return None

    def _decrement_fault(self, fault):
        remaining = getattr(self._faults, fault) - 1
        self._faults = replace(self._faults, **{fault: remaining})
