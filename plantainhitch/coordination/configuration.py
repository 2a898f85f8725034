"""The class document that is in force, and how a new version comes into force.

The table ``configuration`` has a small row ``current`` that names the newest
version, a row for each version with its document, and a row for each change id
that names the version it became. One transaction writes the three, on condition
that ``current`` is as it was read and that the other two are absent. So of two
concurrent changes one wins, and whether a change whose reply was lost took effect
is settled by reading the row of its change id.

Versions only grow here: an older document is never taken, from wherever it comes.
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

REFRESH_MS = 1_000
# How long ``apply`` tries to find out whether its change took effect.
SETTLE_LIMIT_MS = 15_000
# How long ``apply`` tries to reach a store that fails without any effect.
STORE_PATIENCE_MS = 2_000
PUSH_LIMIT_MS = 1_000
MAX_HISTORY = 100
RETRY_AFTER_MS = 1_000

log = get_logger("configuration")


class ConfigurationStore:
    """The newest known class document, and changes to it.

    ``on_new_version(document)`` is called each time a newer version comes into force
    here, ``on_accepted(document)`` also where this process has just had it
    accepted, and so is the first to know. It returns a task that sends the
    document on; ``apply`` waits for it, up to ``PUSH_LIMIT_MS``, so that others
    have the version before its author is told that it is accepted.
    """

    def __init__(self, platform, clock, *, on_new_version=None, on_accepted=None):
        self._platform = platform
        self._clock = clock
        self._on_new_version = on_new_version
        self._on_accepted = on_accepted
        self._current = None
        self._is_reached = True

    @property
    def current(self):
        """The ``ClassDocument`` in force here, or None before there is any."""
        return self._current

    @property
    def version(self):
        """The version in force here, ``NO_VERSION`` before there is any."""
        return self._current.version if self._current else NO_VERSION

    def set_callbacks(self, on_new_version=None, on_accepted=None):
        """Set the functions that are told of new versions."""
        self._on_new_version = on_new_version
        self._on_accepted = on_accepted

    def adopt_if_newer(self, document):
        """Take a document if it is newer; return whether it was taken."""
        if document.version <= self.version:
            return False
        self._current = document
        log.info("configuration taken", version=document.version)
        if self._on_new_version is not None:
            self._on_new_version(document)
        return True

    async def refresh(self):
        """Take the newest version from the table; return whether it was reached."""
        found = await self._read_head()
        match found:
            case Success(head) if head.version <= self.version:
                is_reached = True
            case Success(head):
                is_reached = await self._fetch(head.version)
            case Failure(_):
                is_reached = False
        if self._is_reached and not is_reached:
            log.warning("configuration can't be read", version=self.version)
        self._is_reached = is_reached
        return is_reached

    async def run(self):
        """Refresh for ever, about once a second; never returns."""
        await poll(self._clock, REFRESH_MS, self.refresh)

    async def apply(self, base_version, change_id, author, classes, teams):
        """Make ``classes`` and ``teams`` the version after ``base_version``.

        ``classes`` and ``teams`` map names to ``ClassDefinition`` and ``TeamQuota``.
        Return Success(ClassDocument) or Failure(Refusal). The same change id may
        be applied again at any time: it takes effect once.
        """
        problems = _problems(change_id, classes, teams)
        if problems:
            return Failure(_bad_document(problems))
        document = ClassDocument(
            version=base_version + 1,
            change_id=change_id,
            author=author,
            classes=dict(classes),
            teams=dict(teams),
        )
        accepted = await self._settle(document)
        match accepted:
            case Success(accepted_document):
                await self._accept(accepted_document)
        return accepted

    async def history(self, limit):
        """Return Success of up to ``limit`` documents, newest first, or a Failure."""
        found = await self._read_head()
        match found:
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

    async def _accept(self, document):
        self.adopt_if_newer(document)
        is_newest = document.version == self.version
        if is_newest and self._on_accepted is not None:
            push = self._on_accepted(document)
            await asyncio.wait((push,), timeout=PUSH_LIMIT_MS / 1000)

    async def _settle(self, document):
        """Try until the change is accepted, refused, or time is up.

        A try whose effect is unknown is followed by the same conditional write:
        either it is applied now, or the conflict shows what the first one did, and
        then the first can't take effect any more.
        """
        begun_ms = self._clock.now_ms()
        backoff = Backoff()
        may_be_applied = False
        while True:
            attempt = await self._attempt(document)
            match attempt:
                case Success(_) | Failure(Refusal()):
                    return attempt
                case Failure(PlatformFault(kind=kind)):
                    may_be_applied = may_be_applied or kind is FaultKind.UNKNOWN
            wait_ms = backoff.next_delay_ms()
            limit_ms = SETTLE_LIMIT_MS if may_be_applied else STORE_PATIENCE_MS
            if self._clock.now_ms() + wait_ms - begun_ms > limit_ms:
                return Failure(_unsettled(document.change_id, may_be_applied))
            await self._clock.sleep_ms(wait_ms)

    async def _attempt(self, document):
        """Try once: Success(document), Failure(Refusal) or Failure(PlatformFault).

        The fault is UNKNOWN only where this try may have been applied.
        """
        earlier = await self._find_change(document.change_id)
        match earlier:
            case Success(None):
                pass
            case Success(found):
                return _same_or_refused(found, document)
            case Failure(fault):
                return Failure(_without_effect(fault))
        match await self._read_head():
            case Failure(fault):
                return Failure(_without_effect(fault))
            case Success(head):
                pass
        if head.version != document.version - 1:
            return await self._conflict(document, head)
        written = await self._platform.write(
            TABLE_CONFIGURATION, transaction_writes(document, head.revision)
        )
        match written:
            case Failure(fault) if fault.kind is FaultKind.CONFLICT:
                # Another change came first, or an earlier try of this one did.
                return await self._attempt(document)
        return written.map(lambda revision: document)

    async def _conflict(self, document, head):
        """Return the refusal, unless the change took effect in the meantime."""
        match await self._find_change(document.change_id):
            case Success(None):
                return Failure(_version_conflict(document, head))
            case Success(found):
                return _same_or_refused(found, document)
            case Failure(fault):
                return Failure(_without_effect(fault))

    async def _find_change(self, change_id):
        """Return Success(the change's document or None) or Failure(fault)."""
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

    async def _fetch(self, version):
        match await self._read_document(version):
            case Success(document):
                self.adopt_if_newer(document)
                return True
        return False


def _problems(change_id, classes, teams):
    """Return what is wrong with a change, as lines; empty where it is valid."""
    problems = [] if change_id else ["change_id: must not be empty"]
    checked = class_files.from_tables(
        {"classes": _tables(classes), "teams": _tables(teams)}
    )
    match checked:
        case Failure(found):
            problems.extend(str(problem) for problem in found)
    return problems


def _tables(items):
    """Return definitions by name as the tables of a class file."""
    tables = {name: asdict(item) for name, item in items.items()}
    for table in tables.values():
        del table["name"]
    return tables


def _same_or_refused(found, document):
    """Return the outcome for a change id that is in the table already."""
    if (found.classes, found.teams) == (document.classes, document.teams):
        return Success(found)
    message = (
        f"change id {document.change_id!r} was used for version {found.version} "
        "with another content"
    )
    return Failure(Refusal(ErrorCode.VERSION_CONFLICT, message, not_run=True))


def _without_effect(fault):
    """Return a fault of a read as one of a try that wrote nothing."""
    return PlatformFault(FaultKind.NOT_APPLIED, fault.detail)


def _unsettled(change_id, may_be_applied):
    if may_be_applied:
        return _outcome_unknown(change_id)
    return _store_down("the change was not made", not_run=True)


def _version_conflict(document, head):
    message = (
        f"version {document.version - 1} was read, but version {head.version} is in "
        f"force: change {head.change_id!r} by {head.author!r}"
    )
    return Refusal(ErrorCode.VERSION_CONFLICT, message, not_run=True)


def _bad_document(problems):
    count = len(problems)
    message = f"{count} error{'s' if count > 1 else ''} in the class document"
    return Refusal(
        ErrorCode.BAD_CONFIGURATION, message, not_run=True, details=tuple(problems)
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
