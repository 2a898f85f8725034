"""A transactional table in memory, and a ``Platform`` over it with faults.

``Table`` and ``ObjectStore`` hold the state behind the HTTP stand-in as well;
``MemoryPlatform`` serves unit tests without a socket.
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
    """A transaction that wrote nothing; ``rows`` are those it expected otherwise."""

    rows: tuple[Row, ...]


class Table:
    """One table: each transaction raises its revision by one."""

    def __init__(self):
        self._revision = 0
        # By key, in the order of the last change; deleted rows stay as tombstones.
        self._rows = OrderedDict()

    @property
    def revision(self):
        """The number of transactions so far."""
        return self._revision

    def read(self, key):
        """Return the row, or None where there is none."""
        row = self._rows.get(key)
        return row if row is not None and row.value is not None else None

    def changes(self, since_revision, limit=None):
        """Return the rows changed after a revision, the oldest change first.

        With a ``limit`` the answer stops after that many rows, and its revision
        is that of the last one, to go on from.
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
        # Rows of one transaction stay together, so that the caller can go on.
        return Changes(last, tuple(row for row in rows if row.revision <= last))

    def write(self, writes):
        """Apply all writes and return the revision, or a ``WriteConflict``."""
        conflicts = tuple(
            self._as_it_is(write.key) for write in writes if not self._holds(write)
        )
        if conflicts:
            return WriteConflict(conflicts)
        self._revision += 1
        for write in writes:
            self._rows[write.key] = Row(write.key, write.value, self._revision)
            self._rows.move_to_end(write.key)
        return self._revision

    def _as_it_is(self, key):
        return self._rows.get(key) or Row(key, None, ABSENT)

    def _holds(self, write):
        if write.expected_revision is None:
            return True
        row = self.read(write.key)
        found = ABSENT if row is None else row.revision
        return found == write.expected_revision


class TableService:
    """Tables by name; a table exists from its first use."""

    def __init__(self):
        self._tables = {}

    def table(self, name):
        """Return the table called ``name``."""
        return self._tables.setdefault(name, Table())


@dataclass(frozen=True, slots=True)
class Faults:
    """What goes wrong with calls from now on.

    ``outage``: every call fails without effect. ``delay_ms``: added to each call.
    ``lose_replies``: that many next writes take effect, and their replies are
    lost. ``lose_requests``: that many next writes are lost without effect.
    """

    outage: bool = False
    delay_ms: int = 0
    lose_replies: int = 0
    lose_requests: int = 0


@dataclass(slots=True)
class Counters:
    """Calls that reached the platform, those in an outage included."""

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
        """Calls so far."""
        return self._counters

    def set_faults(self, faults):
        """Put ``faults`` in force."""
        self._faults = faults

    def table(self, name):
        """Return the table itself, to look at in a test."""
        return self._tables.table(name)

    async def read(self, table, key):
        """See ``Platform.read``."""
        self._counters.reads += 1
        fault = await self._before_call()
        return fault or Success(self._tables.table(table).read(key))

    async def changes(self, table, since_revision, limit=None):
        """See ``Platform.changes``."""
        self._counters.reads += 1
        fault = await self._before_call()
        return fault or Success(
            self._tables.table(table).changes(since_revision, limit)
        )

    async def write(self, table, writes):
        """See ``Platform.write``."""
        self._counters.writes += 1
        fault = await self._before_call()
        if fault is not None:
            return fault
        if self._faults.lose_requests:
            self._take("lose_requests")
            return Failure(PlatformFault(FaultKind.UNKNOWN, "request lost"))
        written = self._tables.table(table).write(writes)
        if self._faults.lose_replies:
            self._take("lose_replies")
            return Failure(PlatformFault(FaultKind.UNKNOWN, "reply lost"))
        match written:
            case WriteConflict(rows):
                return Failure(PlatformFault(FaultKind.CONFLICT, "", rows))
        return Success(written)

    async def _before_call(self):
        await self._clock.sleep_ms(self._faults.delay_ms)
        if self._faults.outage:
            return Failure(PlatformFault(FaultKind.NOT_APPLIED, "outage"))
        return None

    def _take(self, fault):
        left = getattr(self._faults, fault) - 1
        self._faults = replace(self._faults, **{fault: left})
