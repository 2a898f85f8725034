"""Removes what the table need not keep: rows of old members and expired keys.

Every entry does it now and then, at times of its own drawing. No entry is chosen
for it, because all deletions are conditional: who comes second finds nothing.
"""

import random

from .backoff import poll
from .key_sweep import PAGE_ROWS
from .membership import MAX_GARBAGE_ROWS

INTERVAL_MS = 10 * 60 * 1_000
# Between transactions while there is more to remove.
BATCH_PAUSE_MS = 1_000


class Housekeeper:
    """Runs ``Membership.collect_garbage`` and ``KeySweeper.sweep``."""

    def __init__(self, membership, sweeper, clock, draw=random.random):
        self._membership = membership
        self._sweeper = sweeper
        self._clock = clock
        self._draw = draw

    async def run(self):
        """Clean up for ever; never returns."""
        await self._clock.sleep_ms(round(INTERVAL_MS * self._draw()))
        await poll(self._clock, INTERVAL_MS, self.clean, draw=self._draw)

    async def clean(self):
        """Remove all there is to remove now; return True."""
        while await self._membership.collect_garbage() >= MAX_GARBAGE_ROWS:
            await self._clock.sleep_ms(BATCH_PAUSE_MS)
            await self._membership.refresh()
        while await self._sweeper.sweep() >= PAGE_ROWS:
            await self._clock.sleep_ms(BATCH_PAUSE_MS)
        return True
