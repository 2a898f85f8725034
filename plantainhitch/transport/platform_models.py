"""The JSON bodies of the platform protocol (``docs/platform-protocol.md``)."""

import msgspec

from .platform import Changes, Row, Write


class RowModel(msgspec.Struct):
    """A row; ``value`` is base64 in JSON, and null if the row has been deleted."""

    key: str
    value: bytes | None
    revision: int

    @classmethod
    def from_row(cls, row):
        """Return the model of a ``Row``."""
        return cls(row.key, row.value, row.revision)

    def to_row(self):
        """Return the ``Row``."""
        return Row(self.key, self.value, self.revision)


class ReadModel(msgspec.Struct):
    """The response to a read; ``row`` is null if there is none."""

    row: RowModel | None


class ChangesModel(msgspec.Struct):
    """The response to a request for changes."""

    revision: int
    rows: list[RowModel]

    @classmethod
    def from_changes(cls, changes):
        """Return the model of ``Changes``."""
        return cls(changes.revision, [RowModel.from_row(row) for row in changes.rows])

    def to_changes(self):
        """Return the ``Changes``."""
        return Changes(self.revision, tuple(row.to_row() for row in self.rows))


class WriteModel(msgspec.Struct):
    """One write of a transaction."""

    key: str
    value: bytes | None
    expected_revision: int | None = None

    @classmethod
    def from_write(cls, write):
        """Return the model of a ``Write``."""
        return cls(write.key, write.value, write.expected_revision)

    def to_write(self):
        """Return the ``Write``."""
        return Write(self.key, self.value, self.expected_revision)


class TransactionModel(msgspec.Struct):
    """The request body of a transaction."""

    writes: list[WriteModel]


class WrittenModel(msgspec.Struct):
    """The response to a transaction that was applied."""

    revision: int


class ConflictModel(msgspec.Struct):
    """The response to a transaction with a condition that wasn't met."""

    rows: list[RowModel]
