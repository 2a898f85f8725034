"""Lookup of the entry that owns an id, in particular of one that has just joined.

The membership here may not have read the row of a new entry yet. If its ids were
refused as unknown, callers would give up on submissions that are running.
"""

import asyncio
import unittest

from plantainhitch.clock import ManualClock
from plantainhitch.coordination.membership import Membership
from plantainhitch.coordination.owner_lookup import READS_PER_S, OwnerLookup
from plantainhitch.protocol.errors import ErrorCode
from plantainhitch.protocol.messages import ROLE_ENTRY
from plantainhitch.standins.table import Faults, MemoryPlatform
from plantainhitch.state.members import Member

JOINED = b"j" * 16
UNREGISTERED = b"s" * 16


class OwnerLookupTests(unittest.IsolatedAsyncioTestCase):
    """Lookups after another entry has registered since the last refresh."""

    async def asyncSetUp(self):
        self.clock = ManualClock(1_000)
        self.platform = MemoryPlatform(self.clock)
        membership = Membership(self.platform, self.clock)
        await membership.refresh()
        self.member = Member(
            *(ROLE_ENTRY, JOINED, "entry-2", "south-1", "south", ""),
            link="10.0.0.1:1",
            http="",
        )
        await Membership(self.platform, self.clock).register(self.member)
        self.owners = OwnerLookup(membership, self.clock)

    async def test_entry_that_has_just_joined_is_found(self):
        found = await self.owners.find(JOINED)
        self.assertEqual(found.incarnation, JOINED)

    async def test_unregistered_incarnation_is_unknown(self):
        found = await self.owners.find(UNREGISTERED)
        self.assertEqual(found.code, ErrorCode.ID_UNKNOWN)

    async def test_owner_is_undetermined_while_the_store_is_down(self):
        self.platform.set_faults(Faults(outage=True))
        found = await self.owners.find(JOINED)
        self.assertEqual(found.code, ErrorCode.OWNER_UNREACHABLE)
        self.assertFalse(found.not_run)

    async def test_reads_for_made_up_ids_are_limited(self):
        reads_before = self.platform.counters.reads
        made_up = [number.to_bytes(16) for number in range(10 * READS_PER_S)]
        found = await asyncio.gather(*map(self.owners.find, made_up))
        self.assertEqual(self.platform.counters.reads - reads_before, READS_PER_S)
        self.assertEqual(found[-1].code, ErrorCode.OWNER_UNREACHABLE)
        self.clock.advance(1_000)
        self.assertEqual((await self.owners.find(JOINED)).incarnation, JOINED)
