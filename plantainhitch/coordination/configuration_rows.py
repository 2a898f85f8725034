"""The rows of the table ``configuration``: keys, values, and one transaction.

A row that nobody can have written as it is becomes a fault of the read, so that a
damaged table stops changes and reads, and never what is in force.
"""

from dataclasses import dataclass

import msgspec
from returns.result import Failure, Success

from ..logs import get_logger
from ..state.classes import NO_VERSION, ClassDocument
from ..transport.platform import ABSENT, FaultKind, PlatformFault, Write

CURRENT_KEY = "current"

log = get_logger("configuration")


class HeadModel(msgspec.Struct):
    """The value of the row ``current``."""

    version: int
    change_id: str
    author: str


class ChangeModel(msgspec.Struct):
    """The value of a change id's row."""

    version: int


@dataclass(frozen=True, slots=True)
class Head:
    """The row ``current`` as read; without a row, version 0 and no revision."""

    version: int = NO_VERSION
    change_id: str = ""
    author: str = ""
    revision: int = ABSENT


def version_key(version):
    """Return the key of a version's row."""
    return f"version/{version:010}"


def change_key(change_id):
    """Return the key of a change id's row."""
    return f"change/{change_id}"


def head_from_row(row):
    """Return Success(Head) of the row ``current``, or Failure(PlatformFault)."""
    if row is None:
        return Success(Head())
    return _decoded(row, HeadModel).map(
        lambda model: Head(model.version, model.change_id, model.author, row.revision)
    )


def document_from_row(row):
    """Return Success(ClassDocument) of a version's row, or a Failure."""
    if row is None:
        return _unreadable("a version's row is missing")
    try:
        return Success(ClassDocument.from_json(row.value))
    except (ValueError, TypeError) as error:
        return _unreadable(f"row {row.key!r}: {error}")


def change_from_row(row):
    """Return Success(ChangeModel) of a change id's row, or a Failure."""
    return _decoded(row, ChangeModel)


def _decoded(row, model):
    try:
        return Success(msgspec.json.decode(row.value, type=model))
    except msgspec.DecodeError as error:
        return _unreadable(f"row {row.key!r}: {error}")


def _unreadable(detail):
    """Return the fault for a row that nobody can have written as it is."""
    log.error("unreadable configuration", why=detail)
    return Failure(PlatformFault(FaultKind.NOT_APPLIED, detail))


def transaction_writes(document, head_revision):
    """Return the three conditional writes that make ``document`` the newest."""
    head = HeadModel(document.version, document.change_id, document.author)
    change = ChangeModel(document.version)
    encode = msgspec.json.encode
    return [
        Write(CURRENT_KEY, encode(head), head_revision),
        Write(version_key(document.version), document.to_json(), ABSENT),
        Write(change_key(document.change_id), encode(change), ABSENT),
    ]
