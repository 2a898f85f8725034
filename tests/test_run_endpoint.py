"""The stand-in for an endpoint at the bounds that the platform allows it."""

import asyncio
import unittest

from plantainhitch.standins.run_endpoint import RunEndpointStandIn

STOP_MS = 50
SLOW_CLOCK_RATE = 0.98
TASK, RUN = "job.0.0.0", 1
LONG_RUN = "10000"


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
        await asyncio.sleep(0.8 * STOP_MS / 1_000)
        timer = self.endpoint._timers[TASK]
        self.order("/run-stop")
        self.assertIs(timer, self.endpoint._timers[TASK])

    async def test_a_lapse_is_late_by_the_slow_clock_and_the_stop(self):
        self.endpoint.clock_rate = SLOW_CLOCK_RATE
        self.start(500)
        lists = await self.inventory(wait_ms=1_000)
        self.assertEqual(["lapsed"], [row[3] for row in lists["finished"]])
        self.assertGreaterEqual(self.elapsed_ms(), 500 / SLOW_CLOCK_RATE + STOP_MS)


if __name__ == "__main__":
    unittest.main()
