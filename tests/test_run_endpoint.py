"""The stand-in for an endpoint at the bounds that the platform allows it."""

import asyncio
import random
import unittest

from plantainhitch.standins.run_endpoint import RunEndpointStandIn

from .deployed_world import World, active_run_count
from .harness import ProcessTestCase

STOP_MS = 50
SLOW_CLOCK_RATE = 0.98
TASK, RUN = "job.0.0.0", 1
LONG_RUN = "10000"
# Between the deaths of an entry and of an agent; within the lease of the entry.
DEATH_INTERVAL_S = 0.7
# The agent has listed a run by then; the end of an unconfirmed one needs a proof.
ACCEPT_S = 0.4
# An endpoint that takes far longer to stop a run than its bound.
BROKEN_STOP_MS = 2_500
# Longer than a lease and the time for which the agent renews it without an answer;
# shorter than a lease and such a stop.
HOLD_S = 1.8


class LateEndTests(unittest.IsolatedAsyncioTestCase):
    """Runs that end as late as an endpoint may end them.

    The stand-in ended them at once, so that no margin of a lease was ever needed.
    """

    def setUp(self):
        self.endpoint = RunEndpointStandIn("i-1", "pool")
        self.endpoint.stop_ms = STOP_MS
        self.began_s = None

    def order(self, path, **fields):
        call = {"task": TASK, "run": RUN, "fence": 1} | fields
        status, _ = self.endpoint._handle_order(path, call)
        self.assertEqual(200, status)

    async def inventory(self, wait_ms=0):
        call = {"fence": 1, "last_seen": 0, "wait_ms": wait_ms}
        _, lists = await self.endpoint._handle_hold(call)
        return lists

    def start(self, lease_ms):
        self.began_s = asyncio.get_running_loop().time()
        deadline_ms = self.endpoint._clock_ms() + lease_ms
        self.order("/run-start", spec=LONG_RUN, deadline_ms=deadline_ms)

    def elapsed_ms(self):
        return 1_000 * (asyncio.get_running_loop().time() - self.began_s)

    async def test_a_run_that_is_being_stopped_is_listed_until_it_has_ended(self):
        self.start(900)
        self.order("/run-stop")
        lists = await self.inventory()
        self.assertEqual([TASK], [row[0] for row in lists["running"]])
        self.assertEqual([], lists["finished"])
        lists = await self.inventory(wait_ms=10 * STOP_MS)
        self.assertEqual([], lists["running"])
        self.assertEqual(["stopped"], [row[3] for row in lists["finished"]])
        self.assertGreaterEqual(self.elapsed_ms(), STOP_MS)

    async def test_a_second_stop_does_not_put_the_end_off(self):
        self.start(900)
        self.order("/run-stop")
        timer = self.endpoint._timers[TASK]
        self.order("/run-stop")
        self.assertIs(timer, self.endpoint._timers[TASK])

    async def test_a_lapse_is_late_by_the_slow_clock_and_the_stop(self):
        self.endpoint.clock_rate = SLOW_CLOCK_RATE
        self.start(500)
        lists = await self.inventory(wait_ms=1_000)
        self.assertEqual(["lapsed"], [row[3] for row in lists["finished"]])
        self.assertGreaterEqual(self.elapsed_ms(), 500 / SLOW_CLOCK_RATE + STOP_MS)


async def wait_for_runs(world, count):
    """Wait until this many runs are at work."""
    async with asyncio.timeout(5):
        while sum(map(active_run_count, world.endpoints)) < count:
            await asyncio.sleep(0.01)


class DeployedTests(ProcessTestCase):
    """The deployed programs with endpoints that are late, within bounds and beyond."""

    async def test_runs_of_lost_owners_end_in_time_at_late_endpoints(self):
        # Issue 43: the margins of the leases had been tried with exact endpoints only.
        async with World(random.Random(43), entries=2, agents=3) as world:
            for endpoint in world.endpoints:
                endpoint.stop_ms, endpoint.clock_rate = STOP_MS, SLOW_CLOCK_RATE
            first, second = world.entries
            submission = world.submit(first, tasks=3, run_ms=2_500, next_entry=second)
            job = asyncio.create_task(submission)
            await wait_for_runs(world, 3)
            await first.process.kill()
            await asyncio.sleep(DEATH_INTERVAL_S)
            for agent, endpoint in zip(world.agents, world.endpoints, strict=True):
                if active_run_count(endpoint):
                    await agent.process.kill()
                    break
            self.assertEqual("completed", (await job).state)
            self.assertEqual([], world.violations())

    async def test_a_run_that_outlives_its_lease_is_logged(self):
        # Nothing told of such a run, beside which its task may run a second time.
        async with World(random.Random(44), entries=2, agents=2) as world:
            for endpoint in world.endpoints:
                endpoint.stop_ms = BROKEN_STOP_MS
            job = asyncio.create_task(world.submit(tasks=1, run_ms=4_000))
            await wait_for_runs(world, 1)
            ((agent, endpoint),) = [
                (agent, endpoint)
                for agent, endpoint in zip(world.agents, world.endpoints, strict=True)
                if active_run_count(endpoint)
            ]
            await asyncio.sleep(ACCEPT_S)
            agent.endpoint.hold()
            await asyncio.sleep(HOLD_S)
            agent.endpoint.heal()
            async with asyncio.timeout(5):
                while b'"run at work after its end"' not in agent.log.read_bytes():
                    await asyncio.sleep(0.05)
            await job


if __name__ == "__main__":
    unittest.main()
