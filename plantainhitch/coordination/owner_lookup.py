"""Finds the entry that issued an id, including one that has only just joined.

Membership polls the table once a second, so an id of an entry that has just joined
can arrive here before the entry's row does. Therefore the row is read from the table
before an id is called unknown. Calls on the same incarnation share one read, and the
rate of reads is limited, because callers can make up incarnations.
"""

import asyncio

from returns.result import Success

from ..protocol.errors import ErrorCode, Refusal

READS_PER_S = 20
RETRY_AFTER_MS = 1_000
_READ_WINDOW_MS = 1_000


class OwnerLookup:
    """Looks up entry incarnations in the membership, then in the table."""

    def __init__(self, membership, clock):
        self._membership = membership
        self._clock = clock
        self._pending_reads = {}
        self._window_start_ms = clock.now_ms()
        self._window_reads = 0

    async def find(self, incarnation):
        """Return the ``Member`` of an entry incarnation, or a ``Refusal``."""
        member = self._membership.find_entry(incarnation)
        if member is not None:
            return member
        pending_read = self._pending_reads.get(incarnation)
        if pending_read is None:
            if not self._allow_read():
                return _owner_undetermined("too many unknown ids")
            pending_read = asyncio.ensure_future(
                self._membership.read_entry(incarnation)
            )
            self._pending_reads[incarnation] = pending_read
            pending_read.add_done_callback(
                lambda _: self._pending_reads.pop(incarnation, None)
            )
        match await asyncio.shield(pending_read):
            case Success(None):
                return Refusal(ErrorCode.ID_UNKNOWN, "no known entry issued this id")
            case Success(member):
                return member
        return _owner_undetermined("the platform's table can't be reached")

    def _allow_read(self):
        now_ms = self._clock.now_ms()
        if now_ms - self._window_start_ms >= _READ_WINDOW_MS:
            self._window_start_ms = now_ms
            self._window_reads = 0
        self._window_reads += 1
        return self._window_reads <= READS_PER_S


def _owner_undetermined(reason):
    return Refusal(
        ErrorCode.OWNER_UNREACHABLE,
        f"the entry that owns this id isn't known here ({reason}); ask again",
        retry_after_ms=RETRY_AFTER_MS,
    )
