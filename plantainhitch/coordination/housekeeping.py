"""Garbage collection in the platform's tables: rows of old members and expired keys.

Every entry does this periodically, at random times. No leader is elected for it: all
deletions are conditional, so an entry that comes second finds nothing to delete.
"""

import random

from .backoff import poll
from .key_sweep import PAGE_ROWS
from .membership import MAX_GARBAGE_ROWS

CLEAN_UP_INTERVAL_MS = 10 * 60 * 1_000
# The pause between batches while there is more to remove.
BATCH_PAUSE_MS = 1_000


class Housekeeper:
    """Periodically runs ``Membership.collect_garbage`` and ``KeySweeper.sweep``."""

    def __init__(self, membership, sweeper, clock, draw=random.random):
        self._membership = membership
        self._sweeper = sweeper
        self._clock = clock
        self._draw = draw

    async def run(self):
        """Clean up periodically until cancelled."""
        await self._clock.sleep_ms(round(CLEAN_UP_INTERVAL_MS * self._draw()))
        await poll(self._clock, CLEAN_UP_INTERVAL_MS, self.clean_up, draw=self._draw)

    async def clean_up(self):
        """Remove everything that may be removed now; return True, as ``poll`` needs."""
        while await self._membership.collect_garbage() >= MAX_GARBAGE_ROWS:
            await self._clock.sleep_ms(BATCH_PAUSE_MS)
            await self._membership.refresh()
        while await self._sweeper.sweep() >= PAGE_ROWS:
            await self._clock.sleep_ms(BATCH_PAUSE_MS)
        return True
