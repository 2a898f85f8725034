"""The lease renewals of an agent: how long its inventories wait at the endpoint."""

import asyncio
import unittest

from plantainhitch.clock import ManualClock
from plantainhitch.coordination.inbox import Inbox
from plantainhitch.coordination.runs.endpoint_session import (
    IDLE_INVENTORY_WAIT_MS,
    INVENTORY_WAIT_MS,
    EndpointSession,
)
from plantainhitch.coordination.runs.run_controller import RunController
from plantainhitch.protocol import messages as m
from plantainhitch.state.endpoints import EndpointReport, Inventory
from plantainhitch.state.jobs import Room, RunKey

from .deployment import LEASE_TIMES

OWNER = b"entry"
CAPACITY = Room(4_000, 1_000, 0)


class InventoryClient:
    """An endpoint client that answers inventories and records their waits."""

    def __init__(self):
        self.waits_ms = []
        self.asked = asyncio.Event()

    async def inventory(self, fence, last_end_number, lease_expiry_ms, wait_ms):
        """Answer with no runs."""
        self.waits_ms.append(wait_ms)
        self.asked.set()
        await asyncio.sleep(0)
        return Inventory(1, 1, (), ())

    def close(self):
        """Do nothing."""


class InventoryTests(unittest.IsolatedAsyncioTestCase):
    """Load pattern: answers of the endpoint are lost while it has many short runs."""

    async def asyncSetUp(self):
        self.clock = ManualClock(10_000)
        self.controller = RunController(self.clock, LEASE_TIMES, first_fence=1)
        self.client = InventoryClient()
        session = EndpointSession(self.clock, self.controller, Inbox())
        report = EndpointReport("e-1", 1, 1, "pool", False, CAPACITY)
        self.controller.handle_heartbeat(report)
        self.controller.handle_inventory(Inventory(1, 1, (), ()))
        session.begin(report, self.client)
        self.tasks = session.tasks

    async def asyncTearDown(self):
        tasks = list(self.tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def next_wait_ms(self):
        """Return the wait of the inventory after the next."""
        for _ in range(2):
            self.client.asked.clear()
            await self.client.asked.wait()
        return self.client.waits_ms[-1]

    async def test_an_idle_agent_asks_rarely(self):
        self.assertEqual(IDLE_INVENTORY_WAIT_MS, await self.next_wait_ms())

    async def test_an_agent_with_runs_asks_often(self):
        # No end is known before the next inventory if the answer of one is lost.
        self.controller.owners.link_opened(OWNER)
        start = m.RunStart(RunKey("job.0.0.0", 1), "", Room(1, 1, 0), 100, 100)
        orders = m.RunOrders(1, [start], is_resync=True)
        self.controller.handle_orders(OWNER, orders, self.clock.now_ms())
        self.assertEqual(INVENTORY_WAIT_MS, await self.next_wait_ms())
        self.assertLess(INVENTORY_WAIT_MS, 150)


if __name__ == "__main__":
    unittest.main()
