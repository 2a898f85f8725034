"""The class document in force, and the commit of new versions.

The table ``configuration`` has a small row ``current`` that names the newest
version, a row for each version with its document, and a row for each change id
that names the version the change became. One transaction writes all three rows, on
condition that ``current`` is as it was read and that the other two are absent.
Therefore only one of two concurrent changes is applied, and reading the row of a
change id tells whether a change whose reply was lost has been applied.

The version in force never decreases: an older document is ignored, whatever its
source.
"""

import asyncio
from dataclasses import asdict

from returns.result import Failure, Success

from ..logs import get_logger
from ..protocol.errors import ErrorCode, Refusal
from ..state import class_files
from ..state.classes import NO_VERSION, ClassDocument
from ..transport.platform import (
    TABLE_CONFIGURATION,
    FaultKind,
    PlatformFault,
)
from .backoff import Backoff, poll
from .configuration_rows import (
    CURRENT_KEY,
    change_from_row,
    change_key,
    document_from_row,
    head_from_row,
    transaction_writes,
    version_key,
)

REFRESH_INTERVAL_MS = 1_000
# How long ``apply`` retries to find out whether its change was applied.
UNKNOWN_RESULT_TIMEOUT_MS = 15_000
# How long ``apply`` retries while all writes are known to have failed.
STORE_DOWN_TIMEOUT_MS = 2_000
PUSH_TIMEOUT_MS = 1_000
MAX_HISTORY = 100
RETRY_AFTER_MS = 1_000

log = get_logger("configuration")


class ConfigurationStore:
    """The newest known class document, and changes to it.

    ``on_new_version(document)`` is called each time a newer version comes into force
    in this process. ``on_accepted(document)`` is called in addition when the version
    was accepted through this process, which then is the first to know it. It returns a
    task that pushes the document to other entries. ``apply`` waits for the task, up to
    ``PUSH_TIMEOUT_MS``, so that others have the version before its author is told that
    it was accepted.
    """

    def __init__(self, platform, clock, *, on_new_version=None, on_accepted=None):
        self._platform = platform
        self._clock = clock
        self._on_new_version = on_new_version
        self._on_accepted = on_accepted
        self._current = None
        self._is_table_reachable = True

    @property
    def current(self):
        """The ``ClassDocument`` in force in this process, or None if there is none."""
        return self._current

    @property
    def version(self):
        """The version in force in this process, ``NO_VERSION`` if there is none."""
        return self._current.version if self._current else NO_VERSION

    def set_callbacks(self, on_new_version=None, on_accepted=None):
        """Set the functions that are called for new versions."""
        self._on_new_version = on_new_version
        self._on_accepted = on_accepted

    def adopt_if_newer(self, document):
        """Put a document in force if it is newer; return whether it was."""
        if document.version <= self.version:
            return False
        self._current = document
        log.info("configuration in force", version=document.version)
        if self._on_new_version is not None:
            self._on_new_version(document)
        return True

    async def refresh(self):
        """Read the newest version from the table; return whether that succeeded."""
        result = await self._read_head()
        match result:
            case Success(head) if head.version <= self.version:
                is_reached = True
            case Success(head):
                is_reached = await self._fetch_version(head.version)
            case Failure(_):
                is_reached = False
        if self._is_table_reachable and not is_reached:
            log.warning("configuration table unreadable", version=self.version)
        self._is_table_reachable = is_reached
        return is_reached

    async def run(self):
        """Refresh about once a second; never returns."""
        await poll(self._clock, REFRESH_INTERVAL_MS, self.refresh)

    async def apply(self, base_version, change_id, author, classes, teams):
        """Commit ``classes`` and ``teams`` as the version after ``base_version``.

        ``classes`` and ``teams`` map names to ``ClassDefinition`` and ``TeamQuota``.
        Return Success(ClassDocument) or Failure(Refusal). A change id is idempotent:
        it may be applied again at any time and takes effect once.
        """
        errors = _validation_errors(change_id, classes, teams)
        if errors:
            return Failure(_bad_document(errors))
        document = ClassDocument(
            version=base_version + 1,
            change_id=change_id,
            author=author,
            classes=dict(classes),
            teams=dict(teams),
        )
        accepted = await self._commit(document)
        match accepted:
            case Success(accepted_document):
                await self._publish(accepted_document)
        return accepted

    async def history(self, limit):
        """Return Success of up to ``limit`` documents, newest first, or a Failure."""
        result = await self._read_head()
        match result:
            case Failure(_):
                return Failure(_store_down("the history can't be read"))
            case Success(head):
                oldest = max(head.version - min(limit, MAX_HISTORY), NO_VERSION)
        documents = []
        for version in range(head.version, oldest, -1):
            match await self._read_document(version):
                case Success(document):
                    documents.append(document)
                case Failure(_):
                    return Failure(_store_down("the history can't be read"))
        return Success(documents)

    async def _publish(self, document):
        self.adopt_if_newer(document)
        is_newest = document.version == self.version
        if is_newest and self._on_accepted is not None:
            push = self._on_accepted(document)
            await asyncio.wait((push,), timeout=PUSH_TIMEOUT_MS / 1000)

    async def _commit(self, document):
        """Retry until the change is accepted or refused, or the time limit is reached.

        An attempt with an unknown result is followed by the same conditional write.
        Either that write is applied, or its conflict shows whether the first one was.
        After either of them the first write can't take effect any more.
        """
        started_ms = self._clock.now_ms()
        backoff = Backoff()
        may_be_applied = False
        while True:
            attempt = await self._try_commit(document)
            match attempt:
                case Success(_) | Failure(Refusal()):
                    return attempt
                case Failure(PlatformFault(kind=kind)):
                    may_be_applied = may_be_applied or kind is FaultKind.UNKNOWN
            wait_ms = backoff.next_delay_ms()
            timeout_ms = (
                UNKNOWN_RESULT_TIMEOUT_MS if may_be_applied else STORE_DOWN_TIMEOUT_MS
            )
            if self._clock.now_ms() + wait_ms - started_ms > timeout_ms:
                return Failure(
                    _commit_timeout_refusal(document.change_id, may_be_applied)
                )
            await self._clock.sleep_ms(wait_ms)

    async def _try_commit(self, document):
        """Try once to commit a change.

        Return Success(document), Failure(Refusal) or Failure(PlatformFault). The kind
        of the fault is UNKNOWN only if this attempt may have been applied.
        """
        applied = await self._find_change(document.change_id)
        match applied:
            case Success(None):
                pass
            case Success(found):
                return _repeated_change_result(found, document)
            case Failure(fault):
                return Failure(_as_not_applied(fault))
        match await self._read_head():
            case Failure(fault):
                return Failure(_as_not_applied(fault))
            case Success(head):
                pass
        if head.version != document.version - 1:
            return await self._version_conflict_result(document, head)
        written = await self._platform.write(
            TABLE_CONFIGURATION, transaction_writes(document, head.revision)
        )
        match written:
            case Failure(fault) if fault.kind is FaultKind.CONFLICT:
                # Another change was committed first, or an earlier attempt at this one.
                return await self._try_commit(document)
        return written.map(lambda revision: document)

    async def _version_conflict_result(self, document, head):
        """Return a refusal, unless the change itself was applied in the meantime."""
        match await self._find_change(document.change_id):
            case Success(None):
                return Failure(_version_conflict(document, head))
            case Success(found):
                return _repeated_change_result(found, document)
            case Failure(fault):
                return Failure(_as_not_applied(fault))

    async def _find_change(self, change_id):
        """Return Success(document of the change, or None) or Failure(fault)."""
        read = await self._platform.read(TABLE_CONFIGURATION, change_key(change_id))
        match read:
            case Success(None) | Failure(_):
                return read
            case Success(row):
                change = change_from_row(row)
        match change:
            case Success(model):
                return await self._read_document(model.version)
        return change

    async def _read_head(self):
        """Return Success(Head) or Failure(fault)."""
        read = await self._platform.read(TABLE_CONFIGURATION, CURRENT_KEY)
        return read.bind(head_from_row)

    async def _read_document(self, version):
        """Return Success(ClassDocument) or Failure(fault)."""
        read = await self._platform.read(TABLE_CONFIGURATION, version_key(version))
        return read.bind(document_from_row)

    async def _fetch_version(self, version):
        match await self._read_document(version):
            case Success(document):
                self.adopt_if_newer(document)
                return True
        return False


def _validation_errors(change_id, classes, teams):
    """Return the errors in a change, one line each; empty if it is valid."""
    errors = [] if change_id else ["change_id: must not be empty"]
    checked = class_files.from_tables(
        {"classes": _tables(classes), "teams": _tables(teams)}
    )
    match checked:
        case Failure(found):
            errors.extend(str(error) for error in found)
    return errors


def _tables(items):
    """Convert definitions by name to the tables of a class file."""
    tables = {name: asdict(item) for name, item in items.items()}
    for table in tables.values():
        del table["name"]
    return tables


def _repeated_change_result(found, document):
    """Return the result for a change id that is already in the table."""
    if (found.classes, found.teams) == (document.classes, document.teams):
        return Success(found)
    message = (
        f"change id {document.change_id!r} was used for version {found.version} "
        "with another content"
    )
    return Failure(Refusal(ErrorCode.VERSION_CONFLICT, message, not_run=True))


def _as_not_applied(fault):
    """Return the fault for an attempt that failed in a read and wrote nothing."""
    return PlatformFault(FaultKind.NOT_APPLIED, fault.detail)


def _commit_timeout_refusal(change_id, may_be_applied):
    if may_be_applied:
        return _outcome_unknown(change_id)
    return _store_down("the change was not made", not_run=True)


def _version_conflict(document, head):
    message = (
        f"version {document.version - 1} was read, but version {head.version} is in "
        f"force: change {head.change_id!r} by {head.author!r}"
    )
    return Refusal(ErrorCode.VERSION_CONFLICT, message, not_run=True)


def _bad_document(errors):
    count = len(errors)
    message = f"{count} error{'s' if count > 1 else ''} in the class document"
    return Refusal(
        ErrorCode.BAD_CONFIGURATION, message, not_run=True, details=tuple(errors)
    )


def _store_down(message, not_run=False):
    return Refusal(
        ErrorCode.STORE_DOWN,
        f"the platform's table can't be reached: {message}",
        not_run=not_run,
        retry_after_ms=RETRY_AFTER_MS,
    )


def _outcome_unknown(change_id):
    return Refusal(
        ErrorCode.STORE_DOWN,
        "the outcome is unknown: the change may be in force soon; "
        f"apply it again with change id {change_id!r}, or read the version",
        retry_after_ms=RETRY_AFTER_MS,
    )
