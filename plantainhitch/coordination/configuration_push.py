"""Sends a configuration from entry to entry, so that it needs no store.

The entry that had a change accepted sends it to all entries of its region and to
some of each other region; those pass it on within their own regions. Polling the
table does the same, only later, and not while the store is down.
"""

import asyncio
import random

# Entries of another region that are to have it from us; they pass it on.
COPIES_PER_REGION = 2


class ConfigurationPusher:
    """Chooses whom to send to; ``await push(member, message)`` sends.

    ``push`` returns whether the message was written to a link to the member.
    """

    def __init__(self, member, membership, push, rng=None):
        self._member = member
        self._membership = membership
        self._push = push
        self._rng = rng or random.Random()

    async def push_to_all(self, message):
        """Send to the own region and on to all others."""
        others = [
            self._push_some(region, message)
            for region in self._membership.regions
            if region != self._member.region
        ]
        await asyncio.gather(self.push_to_own_region(message), *others)

    async def push_to_own_region(self, message):
        """Send to all other entries of the own region."""
        await asyncio.gather(
            *(
                self._push(member, message)
                for member in self._membership.entries(self._member.region)
                if member.incarnation != self._member.incarnation
            )
        )

    async def _push_some(self, region, message):
        """Send to entries of a region, a few at a time, until enough have it."""
        waiting = self._membership.entries(region)
        self._rng.shuffle(waiting)
        missing = COPIES_PER_REGION
        while waiting and missing > 0:
            tried, waiting = waiting[:missing], waiting[missing:]
            written = await asyncio.gather(
                *(self._push(member, message) for member in tried)
            )
            missing -= sum(written)
