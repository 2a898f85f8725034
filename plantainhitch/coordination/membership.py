"""Membership: the entries and agents that are registered in the platform's table.

A process writes its row once when it joins and once when it leaves, and renews it
once a day. Entries follow the table by reading the changes since the revision they
have, and keep the known members while the store is down. A member is never declared
dead because it is silent: see ``Membership.is_proved_dead``.
"""

import itertools
from dataclasses import replace

from returns.result import Failure, Success

from ..logs import get_logger
from ..protocol.errors import ErrorCode, Refusal
from ..protocol.messages import ROLE_AGENT, ROLE_ENTRY
from ..state.members import Member
from ..transport.platform import ABSENT, TABLE_MEMBERS, FaultKind, Write
from .backoff import Backoff, poll

REFRESH_INTERVAL_MS = 1_000
PAGE_ROWS = 1_000
DAY_MS = 24 * 60 * 60 * 1_000
RENEWAL_INTERVAL_MS = DAY_MS
# Rows of members that left, or that were last renewed, this long ago are deleted.
ROW_RETENTION_MS = 7 * DAY_MS
MAX_GARBAGE_ROWS = 100
DEREGISTER_TIMEOUT_MS = 5_000
DRAIN_PREFIX = "drain/"
_ROLE_PREFIXES = (f"{ROLE_ENTRY}/", f"{ROLE_AGENT}/")

log = get_logger("membership")


class Membership:
    """The known members, and this process's own registration.

    If ``region`` is given, agents of other regions are ignored, since an entry uses
    only those of its own region. ``on_change()`` is called after a refresh that brought
    changes, and when a member is added that was introduced.
    """

    def __init__(self, platform, clock, *, region=None, on_change=None, backoff=None):
        self._platform = platform
        self._clock = clock
        self._region = region
        self._on_change = on_change
        self._backoff = backoff or Backoff()
        self._revision = 0
        self._members = {}
        self._row_revisions = {}
        self._first_known_ms = {}
        self._proved_dead = set()
        self._drained = frozenset()
        self._own_member = None
        self._own_revision = ABSENT
        self._is_current = False
        self._is_declared_dead = False

    @property
    def member(self):
        """The ``Member`` as which this process registered, or None."""
        return self._own_member

    @property
    def is_current(self):
        """Whether the last refresh reached the table."""
        return self._is_current

    @property
    def is_declared_dead(self):
        """Whether the table has this process's incarnation marked as left.

        An entry marks it so when another incarnation answers at the address. This is
        final: the process should end and join again as a new incarnation.
        """
        return self._is_declared_dead

    @property
    def revision(self):
        """The table revision up to which changes have been read."""
        return self._revision

    @property
    def drained(self):
        """Names of the endpoints that operators have drained, as a frozenset."""
        return self._drained

    @property
    def regions(self):
        """Set of the regions that have entries."""
        present = (m for m in self._members.values() if not m.left)
        return {member.region for member in present if member.role == ROLE_ENTRY}

    def agents(self, region):
        """Return the agents of a region that have not left."""
        return self._present_in(ROLE_AGENT, region)

    def entries(self, region):
        """Return the entries of a region that have not left."""
        return self._present_in(ROLE_ENTRY, region)

    def find_entry(self, incarnation):
        """Return the entry with this incarnation, even if it has left, or None."""
        member = self._members.get(incarnation)
        return member if member is not None and member.role == ROLE_ENTRY else None

    def is_proved_dead(self, incarnation):
        """Return whether the incarnation is certain to start nothing any more.

        This is proved if it has deregistered or if another incarnation has answered
        at its address. Silence, a closed port or a deleted row prove nothing.
        """
        member = self._members.get(incarnation)
        if member is not None and member.left:
            return True
        return incarnation in self._proved_dead

    def present_members(self):
        """Return all members that have not left, this process among them."""
        members = [member for member in self._members.values() if not member.left]
        if (
            self._own_member is not None
            and self._own_member.incarnation not in self._members
        ):
            members.append(self._own_member)
        return members

    def unstored_members(self):
        """Return the members without a row that was read, this one among them."""
        return [
            member
            for member in self.present_members()
            if self._row_revisions.get(member.incarnation, ABSENT) == ABSENT
        ]

    def add_introduced(self, member):
        """Add a member that did not come from the table; return whether it is new.

        Its row replaces it once that has been read from the table.
        """
        is_known = member.incarnation in self._members
        if is_known or member.left or not self._is_in_scope(member):
            return False
        self._members[member.incarnation] = member
        self._row_revisions[member.incarnation] = ABSENT
        self._first_known_ms[member.incarnation] = self._clock.now_ms()
        if self._on_change is not None:
            self._on_change()
        return True

    def record_incarnation_at(self, address, incarnation, dialled_ms=None):
        """Record that ``incarnation`` answered at ``address``, an ``IP:port``.

        ``dialled_ms`` is the time at which the connection was started, on this clock
        (default: now). Members that became known only after that may have taken over
        the address since, so the answer proves nothing about them.
        """
        dialled_ms = self._clock.now_ms() if dialled_ms is None else dialled_ms
        self._proved_dead.discard(incarnation)
        for member in self._members.values():
            if member.link != address or member.incarnation == incarnation:
                continue
            if self._first_known_ms[member.incarnation] <= dialled_ms:
                self._proved_dead.add(member.incarnation)

    async def register(self, member):
        """Write this process's row, and retry until it is stored.

        The write is conditional on the row's absence. A write whose reply was lost
        therefore shows up as a conflict with an identical row, and a delayed duplicate
        of it cannot overwrite a later change.
        """
        self._own_member = replace(member, renewed_ms=self._clock.wall_ms())
        while not await self._write_own_row(ABSENT):
            await self._clock.sleep_ms(self._backoff.next_delay_ms())
        self._backoff.reset()

    async def deregister(self, timeout_ms=DEREGISTER_TIMEOUT_MS):
        """Mark this process's row as left; return whether that is certain.

        Call it when this process will start nothing any more. It is retried for up to
        ``timeout_ms``. The write is unconditional because it is final: a delayed
        duplicate changes nothing.
        """
        if self._own_member is None:
            return True
        self._own_member = replace(
            self._own_member, left=True, renewed_ms=self._clock.wall_ms()
        )
        write = Write(self._own_member.key, self._own_member.to_json())
        deadline_ms = self._clock.now_ms() + timeout_ms
        while True:
            match await self._platform.write(TABLE_MEMBERS, [write]):
                case Success():
                    return True
            wait_ms = self._backoff.next_delay_ms()
            if self._clock.now_ms() + wait_ms > deadline_ms:
                return False
            await self._clock.sleep_ms(wait_ms)

    async def renew(self):
        """Renew this process's row if that is due; return False if it failed."""
        own = self._own_member
        if own is None or own.left or self._is_declared_dead:
            return True
        if self._clock.wall_ms() - own.renewed_ms < RENEWAL_INTERVAL_MS:
            return True
        self._own_member = replace(own, renewed_ms=self._clock.wall_ms())
        if await self._write_own_row(self._own_revision):
            return True
        self._own_member = own
        return False

    async def refresh(self):
        """Read the changes of the table; return whether the table was reached."""
        has_changed = False
        while True:
            result = await self._platform.changes(
                TABLE_MEMBERS, self._revision, PAGE_ROWS
            )
            match result:
                case Failure(fault):
                    self._handle_read_fault(fault)
                    return False
                case Success(changes):
                    for row in changes.rows:
                        self._apply_row(row)
                    has_changed = has_changed or bool(changes.rows)
                    self._revision = changes.revision
            if len(changes.rows) < PAGE_ROWS:
                break
        self._is_current = True
        if has_changed and self._on_change is not None:
            self._on_change()
        return True

    async def refresh_drain(self, name):
        """Read only the drain order of one endpoint; return whether that succeeded.

        An agent uses this, since it needs no other members.
        """
        match await self._platform.read(TABLE_MEMBERS, DRAIN_PREFIX + name):
            case Success(row):
                self._set_drained(name, row is not None)
                self._is_current = True
                return True
            case Failure(fault):
                self._handle_read_fault(fault)
        return False

    async def read_entry(self, incarnation):
        """Read the row of one entry; return Success(Member or None) or a Failure.

        This is for an incarnation that the last refresh has not brought yet.
        """
        key = f"{ROLE_ENTRY}/{incarnation.hex()}"
        result = await self._platform.read(TABLE_MEMBERS, key)
        match result:
            case Failure(fault):
                self._handle_read_fault(fault)
                return result
            case Success(row) if (
                row is not None and self.find_entry(incarnation) is None
            ):
                self._apply_row(row)
        return Success(self.find_entry(incarnation))

    async def run(self):
        """Refresh and renew periodically; never returns."""
        await poll(self._clock, REFRESH_INTERVAL_MS, self._refresh_and_renew)

    async def set_drained(self, name, draining):
        """Store an operator's drain order for an endpoint; return None or a Refusal."""
        value = b"1" if draining else None
        write = Write(DRAIN_PREFIX + name, value)
        result = await self._platform.write(TABLE_MEMBERS, [write])
        match result:
            case Failure(fault):
                is_certain = fault.kind is FaultKind.NOT_APPLIED
                message = (
                    "the order was not stored" if is_certain else "outcome unknown"
                )
                return Refusal(ErrorCode.STORE_DOWN, message, not_run=is_certain)
        self._set_drained(name, draining)
        return None

    async def collect_garbage(self):
        """Delete old rows and mark members that are proved dead as left.

        Return the number of rows written, at most ``MAX_GARBAGE_ROWS``. Any entry may
        call this at any time, as the writes are conditional on the known revisions.
        """
        writes = list(itertools.islice(self._garbage_writes(), MAX_GARBAGE_ROWS))
        if not writes:
            return 0
        match await self._platform.write(TABLE_MEMBERS, writes):
            case Success():
                return len(writes)
        return 0

    def _present_in(self, role, region):
        return [
            member
            for member in self._members.values()
            if member.role == role and member.region == region and not member.left
        ]

    async def _refresh_and_renew(self):
        return await self.refresh() and await self.renew()

    async def _write_own_row(self, expected_revision):
        """Write the own row; return whether it is now stored."""
        write = Write(
            self._own_member.key, self._own_member.to_json(), expected_revision
        )
        match await self._platform.write(TABLE_MEMBERS, [write]):
            case Success(revision):
                self._own_revision = revision
                return True
            case Failure(fault) if fault.kind is FaultKind.CONFLICT:
                return self._handle_own_conflict(fault.rows[0], write.value)
            case Failure(fault):
                log.warning("own row not written", kind=fault.kind, why=fault.detail)
        return False

    def _handle_own_conflict(self, row, value):
        """Adopt the conflicting row's revision.

        Return whether the row is the one that this process wrote.
        """
        if row.value is None:
            self._own_revision = ABSENT
            return False
        self._own_revision = row.revision
        stored_member = _read_member(row)
        if stored_member is not None and stored_member.left:
            log.critical(
                "own row marked as left by another process; restart this process",
                key=row.key,
            )
            self._is_declared_dead = True
        return row.value == value

    def _handle_read_fault(self, fault):
        if self._is_current:
            log.warning("members table unreadable", kind=fault.kind, why=fault.detail)
        self._is_current = False

    def _apply_row(self, row):
        if row.key.startswith(DRAIN_PREFIX):
            name = row.key.removeprefix(DRAIN_PREFIX)
            self._set_drained(name, row.value is not None)
        elif row.key.startswith(_ROLE_PREFIXES):
            self._apply_member_row(row)

    def _apply_member_row(self, row):
        if row.value is None:
            self._remove_member(row.key)
            return
        member = _read_member(row)
        if member is not None and self._is_in_scope(member):
            self._members[member.incarnation] = member
            self._row_revisions[member.incarnation] = row.revision
            self._first_known_ms.setdefault(member.incarnation, self._clock.now_ms())

    def _is_in_scope(self, member):
        if member.role == ROLE_ENTRY or self._region is None:
            return True
        return member.region == self._region

    def _remove_member(self, key):
        try:
            incarnation = bytes.fromhex(key.partition("/")[2])
        except ValueError:
            return
        member = self._members.get(incarnation)
        if member is None or member.key != key:
            return  # the row named no member
        del self._members[incarnation]
        self._row_revisions.pop(incarnation, None)
        self._first_known_ms.pop(incarnation, None)
        self._proved_dead.discard(incarnation)

    def _set_drained(self, name, draining):
        change = frozenset((name,))
        self._drained = self._drained | change if draining else self._drained - change

    def _garbage_writes(self):
        now_ms = self._clock.wall_ms()
        for incarnation, member in self._members.items():
            revision = self._row_revisions[incarnation]
            age_ms = now_ms - member.renewed_ms if member.renewed_ms else 0
            if age_ms > ROW_RETENTION_MS:
                yield Write(member.key, None, revision)
            elif incarnation in self._proved_dead and not member.left:
                left = replace(member, left=True, renewed_ms=now_ms)
                yield Write(member.key, left.to_json(), revision)


def _read_member(row):
    """Return the member in a row, or None if it is unreadable."""
    try:
        member = Member.from_json(row.value)
        if member.key != row.key:
            raise ValueError("the key is not that of the member")
    except (ValueError, TypeError) as error:
        log.error("member row unreadable", key=row.key, why=str(error))
        return None
    return member
