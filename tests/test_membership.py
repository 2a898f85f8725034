"""Tests of ``Membership``: joins in an outage, proofs of death, garbage collection."""

import unittest
from dataclasses import replace

from plantainhitch.clock import ManualClock
from plantainhitch.coordination.membership import (
    MAX_GARBAGE_ROWS,
    PAGE_ROWS,
    RENEWAL_INTERVAL_MS,
    ROW_RETENTION_MS,
    Membership,
)
from plantainhitch.protocol.messages import ROLE_AGENT, ROLE_ENTRY
from plantainhitch.standins.table import Faults, MemoryPlatform
from plantainhitch.state.members import Member
from plantainhitch.transport.platform import TABLE_MEMBERS, Write


def member(number, role=ROLE_ENTRY, region="south", link=None):
    """Return a member whose incarnation, name and port derive from its number."""
    return Member(
        role=role,
        incarnation=number.to_bytes(16),
        name=f"{role}-{number}",
        zone="south-1",
        region=region,
        rack="r1",
        link=link or f"10.0.0.1:{10_000 + number}",
        http="",
        renewed_ms=1,
    )


class OutageClock(ManualClock):
    """A manual clock that ends the platform's outage at ``outage_ends_ms``."""

    def __init__(self, start_ms):
        super().__init__(start_ms)
        self.platform = None
        self.outage_ends_ms = 0

    async def sleep_ms(self, duration_ms):
        await super().sleep_ms(duration_ms)
        if self.outage_ends_ms and self.now_ms() >= self.outage_ends_ms:
            self.platform.set_faults(Faults(lose_replies=1))
            self.outage_ends_ms = 0


class MembershipTest(unittest.IsolatedAsyncioTestCase):
    """Joining, following the table and leaving, under a manual clock."""

    def setUp(self):
        self.clock = OutageClock(1_000)
        self.platform = MemoryPlatform(self.clock)
        self.clock.platform = self.platform
        self.membership = Membership(self.platform, self.clock)

    def new_membership(self):
        return Membership(self.platform, self.clock)

    async def put_rows(self, *members):
        writes = [Write(item.key, item.to_json()) for item in members]
        await self.platform.write(TABLE_MEMBERS, writes)

    async def test_join_waits_through_outage_and_lost_reply(self):
        # The reply to the first write after the outage is lost. The repeated write
        # conflicts with the stored row, which must count as success.
        self.platform.set_faults(Faults(outage=True))
        self.clock.outage_ends_ms = 60_000
        self.assertFalse(await self.membership.refresh())
        await self.new_membership().register(member(1))
        self.assertTrue(await self.membership.refresh())
        self.assertEqual(
            [m.name for m in self.membership.entries("south")], ["entry-1"]
        )
        self.assertEqual(self.platform.table(TABLE_MEMBERS).revision, 1)
        self.assertLess(self.platform.counters.writes, 30)

    async def test_knows_members_through_outage(self):
        await self.put_rows(
            member(1), member(2, ROLE_AGENT), member(3, ROLE_AGENT, "north")
        )
        await self.membership.refresh()
        self.platform.set_faults(Faults(outage=True))
        self.assertFalse(await self.membership.refresh())
        self.assertFalse(self.membership.is_current)
        self.assertEqual([m.name for m in self.membership.agents("south")], ["agent-2"])
        self.assertEqual(
            self.membership.find_entry(member(1).incarnation).name, "entry-1"
        )
        self.assertFalse(self.membership.is_proved_dead(member(1).incarnation))

    async def test_long_table_is_read_in_pages(self):
        count = 2 * PAGE_ROWS + 5
        await self.put_rows(*(member(n, ROLE_AGENT) for n in range(count - 1)))
        await self.put_rows(member(count))
        for number in range(0, count, 7):
            await self.put_rows(member(number, ROLE_AGENT))
        await self.membership.refresh()
        self.assertEqual(len(self.membership.agents("south")), count - 1)

    async def test_deregistered_is_dead_and_late_register_cannot_undo_it(self):
        # A delayed duplicate of the registration arrives after the deregistration. If
        # it replaced the row, the member would count as alive again.
        joining = self.new_membership()
        await joining.register(member(1))
        self.assertTrue(await joining.deregister())
        late_writer = Membership(self.platform, self.clock)
        late_writer._own_member = replace(member(1), renewed_ms=5)
        self.assertFalse(await late_writer._write_own_row(0))
        await self.membership.refresh()
        self.assertTrue(self.membership.is_proved_dead(member(1).incarnation))
        self.assertEqual(self.membership.entries("south"), [])
        self.assertIsNotNone(self.membership.find_entry(member(1).incarnation))

    async def test_leaving_in_an_outage_takes_a_bounded_time(self):
        joining = self.new_membership()
        await joining.register(member(1))
        self.platform.set_faults(Faults(outage=True))
        started_ms = self.clock.now_ms()
        self.assertFalse(await joining.deregister(timeout_ms=3_000))
        self.assertLessEqual(self.clock.now_ms() - started_ms, 3_000)

    async def test_only_an_answer_at_the_address_proves_death(self):
        old, new = member(1, link="10.0.0.1:1"), member(2, link="10.0.0.1:1")
        await self.put_rows(old)
        await self.membership.refresh()
        self.clock.advance(RENEWAL_INTERVAL_MS)
        self.assertFalse(self.membership.is_proved_dead(old.incarnation))
        self.membership.record_incarnation_at("10.0.0.1:1", new.incarnation)
        self.assertTrue(self.membership.is_proved_dead(old.incarnation))
        self.assertEqual(await self.membership.collect_garbage(), 1)
        other = Membership(self.platform, self.clock)
        await other.refresh()
        self.assertTrue(other.is_proved_dead(old.incarnation))

    async def test_an_answer_dialled_earlier_proves_nothing(self):
        # The member took over the address after the connection had been started, so
        # the answer of its predecessor must not prove it dead.
        dialled_ms = self.clock.now_ms()
        self.clock.advance(1)
        await self.put_rows(member(2, link="10.0.0.1:1"))
        await self.membership.refresh()
        predecessor = member(1).incarnation
        self.membership.record_incarnation_at("10.0.0.1:1", predecessor, dialled_ms)
        self.assertFalse(self.membership.is_proved_dead(member(2).incarnation))

    async def test_garbage_is_bounded_and_spares_the_renewed(self):
        await self.put_rows(*(member(n) for n in range(MAX_GARBAGE_ROWS + 10)))
        joining = self.new_membership()
        await joining.register(member(1_000))
        for _ in range(8):
            self.clock.advance(RENEWAL_INTERVAL_MS)
            self.assertTrue(await joining.renew())
        self.assertGreater(8 * RENEWAL_INTERVAL_MS, ROW_RETENTION_MS)
        await self.membership.refresh()
        self.assertEqual(await self.membership.collect_garbage(), MAX_GARBAGE_ROWS)
        await self.membership.refresh()
        self.assertEqual(await self.membership.collect_garbage(), 10)
        await self.membership.refresh()
        names = [m.name for m in self.membership.entries("south")]
        self.assertEqual(names, ["entry-1000"])

    async def test_drains_are_shared(self):
        self.assertIsNone(await self.new_membership().set_drained("host-1", True))
        await self.membership.refresh()
        self.assertEqual(self.membership.drained, frozenset({"host-1"}))
        agent = self.new_membership()
        self.assertTrue(await agent.refresh_drain("host-1"))
        self.assertTrue(await agent.refresh_drain("host-2"))
        self.assertEqual(agent.drained, frozenset({"host-1"}))
        await self.new_membership().set_drained("host-1", False)
        await self.membership.refresh()
        self.assertEqual(self.membership.drained, frozenset())
