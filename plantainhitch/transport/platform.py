"""The platform's table service as the rest of the program sees it.

Every write is a transaction of conditional writes to one table. Each table has a
revision that grows by one with every transaction; a row keeps the revision of
its last change, so a reader can ask for what changed since a revision.

``PlatformClient`` speaks the HTTP protocol of ``docs/platform-protocol.md``;
tests use an in-memory table behind the same methods.
"""

import enum
from dataclasses import dataclass

ABSENT = 0

TABLE_CONFIGURATION = "configuration"
TABLE_MEMBERS = "members"
TABLE_KEYS = "keys"


@dataclass(frozen=True, slots=True)
class Row:
    """A row as read; ``value`` is None where the row has been deleted."""

    key: str
    value: bytes | None
    revision: int


@dataclass(frozen=True, slots=True)
class Write:
    """A write of one row; ``value`` None deletes it.

    ``expected_revision`` is a condition: ``ABSENT`` for a row that must not
    exist, a revision for a row that must not have changed since, None for none.
    """

    key: str
    value: bytes | None
    expected_revision: int | None = None


@dataclass(frozen=True, slots=True)
class Changes:
    """Rows changed since a revision, and the table's revision now."""

    revision: int
    rows: tuple[Row, ...]


class FaultKind(enum.Enum):
    """What went wrong with a call to the platform."""

    NOT_APPLIED = "not_applied"
    UNKNOWN = "unknown"
    CONFLICT = "conflict"


@dataclass(frozen=True, slots=True)
class PlatformFault:
    """A call that failed.

    ``NOT_APPLIED``: the call has had no effect. ``UNKNOWN``: it may have had.
    ``CONFLICT``: a condition did not hold; ``rows`` are the rows as they are.
    """

    kind: FaultKind
    detail: str = ""
    rows: tuple[Row, ...] = ()


class Platform:
    """The operations on the table service; each returns a ``returns`` Result."""

    async def read(self, table, key):
        """Return Success(Row or None) or Failure(PlatformFault)."""
        raise NotImplementedError

    async def changes(self, table, since_revision, limit=None):
        """Return Success(Changes) or Failure(PlatformFault).

        With a ``limit`` of rows, the revision in the answer is where to go on.
        """
        raise NotImplementedError

    async def write(self, table, writes):
        """Return Success(the new revision) or Failure(PlatformFault)."""
        raise NotImplementedError

    async def aclose(self):
        """Release the connections."""
