"""Which heartbeats an agent takes for a new lifetime of its endpoint.

Guards against review case 5: a heartbeat of another writer replaced the endpoint, whose
runs were started elsewhere at once while they went on.
"""

import asyncio
import unittest
from dataclasses import replace

from plantainhitch.clock import Clock
from plantainhitch.coordination.runs import agent_node, lifetime_check
from plantainhitch.coordination.runs.run_controller import RunController
from plantainhitch.protocol import messages as m
from plantainhitch.state.endpoints import End, EndpointReport
from plantainhitch.state.jobs import Room, RunKey

from .deployment import LEASE_TIMES
from .model_endpoint import ModelEndpoint

OWNER = b"entry"
CAPACITY = Room(4_000, 1_000, 0)
REPORT = EndpointReport("e-1", 1_000, 7, "pool", False, CAPACITY)
KEY = RunKey("job.0.0.0", 1)
POLL_S = 0.005
TIMEOUT_S = 2.0


class LifetimeTests(unittest.IsolatedAsyncioTestCase):
    """An agent whose endpoint is at work on a run of one owner."""

    async def asyncSetUp(self):
        self.endpoint = ModelEndpoint()
        clock = Clock()
        self.controller = RunController(clock, LEASE_TIMES, first_fence=1)
        self.recorded_reports = []
        self.node = agent_node.RunAgentNode(
            m.Hello(m.ROLE_AGENT, b"agent", "agent"),
            clock,
            self.controller,
            self.endpoint.connect,
            self.recorded_reports.append,
        )
        self.task = asyncio.create_task(self.node.run(asyncio.Event()))
        self.node.on_heartbeat(REPORT)
        await self.wait_until(lambda: self.controller.is_ready)
        self.controller.owners.link_opened(OWNER)
        self.controller.owners.link_resynced(OWNER, clock.now_ms())
        self.order_start(clock)
        await self.wait_until(
            lambda: KEY in self.controller.runs and self.controller.runs[KEY].is_listed
        )

    def order_start(self, clock):
        start = m.RunStart(KEY, "", Room(1_000, 10, 0), 5_000, 100)
        self.controller.handle_orders(OWNER, m.RunOrders(1, [start]), clock.now_ms())
        # The owner stays alive for the whole test.
        self.controller.owners.record_frame(OWNER, clock.now_ms() + 60_000, 0)
        self.node._inbox.post(agent_node.TimerTicked())

    async def asyncTearDown(self):
        self.task.cancel()
        await asyncio.gather(self.task, return_exceptions=True)
        await self.node.aclose()

    async def wait_until(self, condition):
        async with asyncio.timeout(TIMEOUT_S):
            while not condition():
                await asyncio.sleep(POLL_S)

    async def test_a_renewal_without_an_answer_is_refused_if_it_arrives_later(self):
        # Guards against a lease that a late renewal lengthens when nobody expects it.
        fence = self.controller.fence
        self.endpoint.is_silent = True
        await self.wait_until(lambda: self.controller.fence > fence)
        self.assertIn(KEY, self.controller.runs)  # the endpoint is not given up
        self.endpoint.is_silent = False
        await self.wait_until(lambda: self.endpoint.fence > fence)

    def send(self, **changes):
        """Send a heartbeat with these differences to the true one."""
        report = replace(REPORT, **changes)
        self.node.on_heartbeat(report)
        return report

    async def check_ignored(self, report):
        """Check that a heartbeat changes nothing, and that later ones count."""
        asked_count = len(self.endpoint.asked_ids)
        await self.wait_until(
            lambda: report.endpoint_id in self.endpoint.asked_ids[asked_count:]
        )
        await asyncio.sleep(20 * POLL_S)
        self.assertEqual(REPORT.lifetime, self.controller.endpoint.lifetime)
        self.assertEqual({KEY}, set(self.controller.runs))
        self.assertEqual(0, self.controller.crash_count)
        self.assertTrue(self.controller.is_ready)
        self.assertNotIn(report, self.recorded_reports)
        smaller = Room(2_000, 1_000, 0)
        self.send(sequence=8, capacity=smaller)
        await self.wait_until(lambda: self.controller.endpoint.capacity == smaller)
        self.assertEqual(1, self.endpoint.open_clients)

    async def test_a_heartbeat_of_an_unknown_id_ends_no_run(self):
        await self.check_ignored(self.send(endpoint_id="e-9", born_ms=10**15))

    async def test_a_heartbeat_with_another_birth_ends_no_run(self):
        for born_ms in (1, 1_001, 10**15):
            with self.subTest(born_ms=born_ms):
                await self.check_ignored(self.send(born_ms=born_ms, sequence=99))

    async def test_a_heartbeat_during_a_silence_of_the_endpoint_ends_no_run(self):
        # Nobody can say then whether it is true, and the lease decides about the runs.
        self.endpoint.is_silent = True
        report = self.send(endpoint_id="e-9")
        await asyncio.sleep(20 * POLL_S)
        self.assertEqual({KEY}, set(self.controller.runs))
        self.endpoint.is_silent = False
        await self.check_ignored(report)

    async def test_a_lifetime_that_answers_replaces_the_old_one(self):
        for endpoint_id, born_ms in (("e-2", 2_000), ("e-2", 3_000), ("e-3", 2_500)):
            with self.subTest(endpoint_id=endpoint_id, born_ms=born_ms):
                self.endpoint.restart(endpoint_id, born_ms)
                report = self.send(endpoint_id=endpoint_id, born_ms=born_ms, sequence=1)
                await self.wait_until(
                    lambda report=report: self.controller.endpoint == report
                )
                await self.wait_until(lambda: self.controller.is_ready)
                self.assertIn(report, self.recorded_reports)
                self.assertEqual({}, dict(self.controller.runs))
                self.assertEqual(1, self.endpoint.open_clients)
        (end,) = self.controller.next_report(OWNER).ends
        self.assertEqual(End.LOST, end.end)

    async def test_a_new_lifetime_whose_answers_are_lost_is_asked_again(self):
        self.endpoint.restart("e-2", 2_000)
        self.endpoint.is_silent = True
        report = self.send(endpoint_id="e-2", born_ms=2_000)
        await asyncio.sleep(20 * POLL_S)
        self.assertEqual(REPORT.lifetime, self.controller.endpoint.lifetime)
        self.endpoint.is_silent = False
        await self.wait_until(lambda: self.controller.endpoint == report)

    async def test_a_new_lifetime_that_has_seen_a_higher_fence_is_confirmed(self):
        # An order of an earlier agent reached it first.
        self.endpoint.restart("e-2", 2_000)
        self.endpoint.fence = self.controller.fence + 10
        report = self.send(endpoint_id="e-2", born_ms=2_000)
        await self.wait_until(lambda: self.controller.endpoint == report)

    async def test_a_flood_of_unknown_ids_does_not_keep_the_true_one_out(self):
        # None of them is answered, so that no check ends by itself.
        self.endpoint.is_silent = True
        for number in range(10 * lifetime_check.MAX_CHECKS):
            self.send(endpoint_id=f"odd-{number}", born_ms=10**15)
        self.endpoint.restart("e-2", 2_000)
        report = self.send(endpoint_id="e-2", born_ms=2_000)
        await asyncio.sleep(10 * POLL_S)
        self.endpoint.is_silent = False
        await self.wait_until(lambda: self.controller.endpoint == report)
        await self.wait_until(lambda: self.endpoint.open_clients == 1)


if __name__ == "__main__":
    unittest.main()
