"""Finds the entry that issued an id, also one that has joined just now.

Membership follows the table once a second, so the ids of an entry that has just
joined can reach another entry before its row does. Such an id isn't called unknown
before the table has been asked for that one row. Reads are shared by calls on the
same incarnation and limited in number, since strangers can make up incarnations.
"""

import asyncio

from returns.result import Success

from ..protocol.errors import ErrorCode, Refusal

READS_PER_S = 20
RETRY_AFTER_MS = 1_000
_WINDOW_MS = 1_000


class OwnerLookup:
    """Looks incarnations up, in membership first and then in the table."""

    def __init__(self, membership, clock):
        self._membership = membership
        self._clock = clock
        self._reads = {}
        self._window_began_ms = clock.now_ms()
        self._window_reads = 0

    async def find(self, incarnation):
        """Return the ``Member`` of an entry incarnation, or a ``Refusal``."""
        member = self._membership.find_entry(incarnation)
        if member is not None:
            return member
        reading = self._reads.get(incarnation)
        if reading is None:
            if not self._may_read():
                return _undecided("too many unknown ids")
            reading = asyncio.ensure_future(self._membership.read_entry(incarnation))
            self._reads[incarnation] = reading
            reading.add_done_callback(lambda _: self._reads.pop(incarnation, None))
        match await asyncio.shield(reading):
            case Success(None):
                return Refusal(ErrorCode.ID_UNKNOWN, "no known entry issued this id")
            case Success(member):
                return member
        return _undecided("the platform's table can't be reached")

    def _may_read(self):
        now_ms = self._clock.now_ms()
        if now_ms - self._window_began_ms >= _WINDOW_MS:
            self._window_began_ms = now_ms
            self._window_reads = 0
        self._window_reads += 1
        return self._window_reads <= READS_PER_S


def _undecided(why):
    return Refusal(
        ErrorCode.OWNER_UNREACHABLE,
        f"the entry that owns this id isn't known here ({why}); ask again",
        retry_after_ms=RETRY_AFTER_MS,
    )
