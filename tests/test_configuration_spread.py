"""An accepted version reaches all regions although the store fails at once.

The store goes down as soon as the version has been written, so the entries can get
it only from one another.
"""

import asyncio
import unittest

from plantainhitch.clock import Clock
from plantainhitch.coordination.entry import EntryNode
from plantainhitch.protocol.messages import ROLE_ENTRY
from plantainhitch.standins.table import Faults, MemoryPlatform, TableService
from plantainhitch.state.classes import ClassDefinition
from plantainhitch.state.ids import IdIssuer
from plantainhitch.state.members import Member
from plantainhitch.transport import links
from plantainhitch.transport.addresses import Address

# The users' requirement, which is also the time limit of the test.
IN_FORCE_TIMEOUT_S = 6
CLASSES = {"render": ClassDefinition("render", answers_within_ms=100)}


class FailsAfterWrite(MemoryPlatform):
    """The store of one entry; writing a configuration starts an outage for all."""

    def __init__(self, tables, other_platforms):
        super().__init__(tables=tables)
        self._other_platforms = other_platforms

    async def write(self, table, writes):
        written = await super().write(table, writes)
        if table == "configuration":
            for platform in (self, *self._other_platforms):
                platform.set_faults(Faults(outage=True))
        return written


class SpreadTest(unittest.IsolatedAsyncioTestCase):
    """Entries of two regions in one process, with real links."""

    async def start(self, region, platform):
        """Start an entry and return it; it is stopped at the end of the test."""
        node = None
        server = await links.listen(
            Address("127.0.0.1", 0), Clock(), lambda link: node.serve_link(link)
        )
        address = Address(*server.sockets[0].getsockname()[:2])
        issuer = IdIssuer.with_random_key()
        member = Member(
            role=ROLE_ENTRY,
            incarnation=issuer.incarnation,
            name=str(address),
            zone=f"{region}-1",
            region=region,
            rack="",
            link=str(address),
            http="",
        )
        node = EntryNode(member, issuer, Clock(), platform)
        task = asyncio.create_task(node.run(asyncio.Event()))

        async def stop():
            task.cancel()
            server.close()
            platform.set_faults(Faults())
            await node.aclose()

        self.addAsyncCleanup(stop)
        return node

    async def wait_until(self, condition):
        """Wait until ``condition()`` is true, for at most ``IN_FORCE_TIMEOUT_S``."""
        async with asyncio.timeout(IN_FORCE_TIMEOUT_S):
            while not condition():
                await asyncio.sleep(0.02)

    async def test_all_regions_get_the_version_without_the_store(self):
        tables = TableService()
        platforms = [MemoryPlatform(tables=tables) for _ in range(4)]
        regions = ("south", "north", "north", "north")
        nodes = [
            await self.start(region, platform)
            for region, platform in zip(regions, platforms, strict=True)
        ]
        accepting = await self.start("south", FailsAfterWrite(tables, platforms))
        all_nodes = [accepting, *nodes]
        await self.wait_until(lambda: len(accepting._membership.entries("north")) == 3)
        await self.wait_until(
            lambda: all(len(n._membership.entries("north")) == 3 for n in nodes)
        )
        store = accepting.configuration
        accepted = await store.apply(0, "change-1", "ann", CLASSES, {})
        self.assertEqual(accepted.unwrap().version, 1)
        await self.wait_until(
            lambda: all(n.configuration.version == 1 for n in all_nodes)
        )
        self.assertTrue(all(platform.faults.outage for platform in platforms))
