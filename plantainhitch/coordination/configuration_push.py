"""Pushes a configuration from entry to entry, independently of the store.

The entry whose change was accepted pushes it to all entries of its region and to
some entries of each other region, which forward it within their own regions. Polling
the table has the same effect, but is slower and does not work while the store is down.
"""

import asyncio
import random

# Number of entries of each other region to push to; they forward it in their region.
COPIES_PER_REGION = 2


class ConfigurationPusher:
    """Selects the entries to send to; ``await send(member, message)`` sends.

    ``send`` returns whether the message was written to a link to the member.
    """

    def __init__(self, member, membership, send, rng=None):
        self._member = member
        self._membership = membership
        self._send = send
        self._rng = rng or random.Random()

    async def push_to_all(self, message):
        """Push to the own region and to some entries of each other region."""
        pushes = [
            self._push_to_region(region, message)
            for region in self._membership.regions
            if region != self._member.region
        ]
        await asyncio.gather(self.push_to_own_region(message), *pushes)

    async def push_to_own_region(self, message):
        """Push to all other entries of the own region."""
        await asyncio.gather(
            *(
                self._send(member, message)
                for member in self._membership.entries(self._member.region)
                if member.incarnation != self._member.incarnation
            )
        )

    async def _push_to_region(self, region, message):
        """Push to entries of a region in random order, until enough sends succeed."""
        candidates = self._membership.entries(region)
        self._rng.shuffle(candidates)
        copies_needed = COPIES_PER_REGION
        while candidates and copies_needed > 0:
            batch, candidates = candidates[:copies_needed], candidates[copies_needed:]
            results = await asyncio.gather(
                *(self._send(member, message) for member in batch)
            )
            copies_needed -= sum(results)
