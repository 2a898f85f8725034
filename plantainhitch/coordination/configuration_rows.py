"""Rows of the table ``configuration``: keys, values and the commit transaction.

A row that no process can have written in its present form is reported as a fault of
the read. A damaged table thus blocks changes and reads, but does not affect the
configuration in force.
"""

from dataclasses import dataclass

import msgspec
from returns.result import Failure, Success

from ..json_input import decode_json
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
    """The row ``current`` as read; version 0 and no revision if there is no row."""

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
    """Return Success(Head) for the row ``current``, or Failure(PlatformFault)."""
    if row is None:
        return Success(Head())
    return _decode(row, HeadModel).map(
        lambda model: Head(model.version, model.change_id, model.author, row.revision)
    )


def document_from_row(row):
    """Return Success(ClassDocument) for a version's row, or a Failure."""
    if row is None:
        return _unreadable_row("a version's row is missing")
    try:
        return Success(ClassDocument.from_json(row.value))
    except (ValueError, TypeError) as error:
        return _unreadable_row(f"row {row.key!r}: {error}")


def change_from_row(row):
    """Return Success(ChangeModel) for a change id's row, or a Failure."""
    return _decode(row, ChangeModel)


def _decode(row, model):
    try:
        return Success(decode_json(row.value, model))
    except ValueError as error:
        return _unreadable_row(f"row {row.key!r}: {error}")


def _unreadable_row(detail):
    """Log a row that no process can have written, and return the Failure for it."""
    log.error("configuration row unreadable", why=detail)
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
