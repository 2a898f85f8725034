"""Interface of the platform's table service.

Every write is a transaction of conditional writes to one table. Each table has a
revision that grows by one with every transaction; a row keeps the revision of
its last change, so a reader can request the changes since a revision.

``PlatformClient`` implements it over the HTTP protocol of
``docs/platform-protocol.md``; tests use an in-memory table with the same methods.
"""

import enum
from dataclasses import dataclass

ABSENT = 0

TABLE_CONFIGURATION = "configuration"
TABLE_MEMBERS = "members"
TABLE_KEYS = "keys"


@dataclass(frozen=True, slots=True)
class Row:
    """A row as read; ``value`` is None if the row has been deleted."""

    key: str
    value: bytes | None
    revision: int


@dataclass(frozen=True, slots=True)
class Write:
    """A write of one row; ``value`` None deletes it.

    ``expected_revision`` is the condition of the write: ``ABSENT`` requires that the
    row doesn't exist, a revision that it hasn't changed since, and None nothing.
    """

    key: str
    value: bytes | None
    expected_revision: int | None = None


@dataclass(frozen=True, slots=True)
class Changes:
    """Rows changed since a revision, and the revision up to which they are listed.

    ``is_complete`` is True if the rows are all of the table, so that rows that are
    missing don't exist.
    """

    revision: int
    rows: tuple[Row, ...]
    is_complete: bool = False


class FaultKind(enum.Enum):
    """How a call to the platform failed; see ``PlatformFault``."""

    NOT_APPLIED = "not_applied"
    UNKNOWN = "unknown"
    CONFLICT = "conflict"


@dataclass(frozen=True, slots=True)
class PlatformFault:
    """The failure of a call to the platform.

    ``NOT_APPLIED``: the call had no effect. ``UNKNOWN``: it may have had one.
    ``CONFLICT``: a condition wasn't met; ``rows`` are the current rows.
    """

    kind: FaultKind
    detail: str = ""
    rows: tuple[Row, ...] = ()


class Platform:
    """The operations of the table service; each returns a ``returns`` Result."""

    async def read(self, table, key):
        """Return Success(Row or None) or Failure(PlatformFault)."""
        raise NotImplementedError

    async def changes(self, table, since_revision, limit=None):
        """Return Success(Changes) or Failure(PlatformFault).

        With a ``limit`` of rows, the next page starts at the revision returned.
        """
        raise NotImplementedError

    async def write(self, table, writes):
        """Return Success(the new revision) or Failure(PlatformFault)."""
        raise NotImplementedError

    async def aclose(self):
        """Close the connections."""
