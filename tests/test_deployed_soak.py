"""A short run of the soak of the deployed programs, with fixed schedules.

``python -m tests.deployed_soak --seeds 1-50`` plays drawn ones. A seed that was ever
broken stays here, with a line on the cause.
"""

import time
import unittest
from unittest import mock

from . import deployed_soak as soak
from .deployed_world import (
    CPU_MILLIS,
    LedgerEndpoint,
    Submission,
    TaskRun,
    broken_promises,
    overlaps,
)
from .harness import ProcessTestCase

CHAOS_SEED = 3
ORDERLY_SEED = 11
# By seed, what was broken once.
BROKEN_ONCE = {
    18: "a start that reached the next lifetime of its endpoint ran beside another",
    21: "the same",
    55: "an agent that was stopped while it loaded counted as failed",
}


class ShortSoakTests(ProcessTestCase):
    """Faults that overlap, on separate processes."""

    async def test_losses_of_everything_and_of_connections(self):
        faults = (soak.kill_everything, soak.hold_link, soak.late_orders)
        self.assertEqual([], await soak.run_seed(CHAOS_SEED, faults))

    async def test_seeds_that_were_broken_once(self):
        for seed, cause in BROKEN_ONCE.items():
            with self.subTest(seed=seed, cause=cause):
                self.assertEqual([], await soak.run_seed(seed))

    async def test_orderly_changes_under_traffic(self):
        faults = (soak.replace_in_turn, soak.drain_endpoint, soak.configuration_storm)
        self.assertEqual([], await soak.run_seed(ORDERLY_SEED, faults))


class CheckTests(unittest.TestCase):
    """The checks of the soak find each kind of broken promise."""

    def test_two_runs_at_once_are_found(self):
        first = TaskRun("a.0.0.0", 1, "", "i-1", 10.0, 12.0, "done")
        second = TaskRun("a.0.0.0", 2, "", "i-2", 11.0, 13.0, "done")
        self.assertEqual(1, len(list(overlaps([second, first]))))
        second.began = 12.5
        self.assertEqual([], list(overlaps([second, first])))

    def test_answers_that_endpoints_do_not_bear_out_are_found(self):
        run = TaskRun("a.0.0.0", 1, "30", "i-1", 10.0, 12.0, "stopped")
        for job in (
            Submission("a", "30", 1, [503]),
            Submission("a", "30", 1, [200], "completed"),
            Submission("a", "30", 1, [200], "failed"),
            Submission("a", "31", 1, [0]),
        ):
            self.assertEqual(1, len(list(broken_promises(job, [run]))), job)
        self.assertEqual(
            [], list(broken_promises(Submission("a", "30", 1, [0]), [run]))
        )

    def test_an_endpoint_keeps_the_ends_of_a_crash(self):
        endpoint = LedgerEndpoint("i-1")
        endpoint.runs.append(TaskRun("a.0.0.0", 1, "", "i-1", time.monotonic()))
        endpoint._running["a.0.0.0"] = 1
        endpoint._timers["a.0.0.0"] = mock.Mock()
        endpoint.crash()
        self.assertEqual("crash", endpoint.runs[0].how)
        self.assertEqual(CPU_MILLIS, endpoint.cpu_millis)


if __name__ == "__main__":
    unittest.main()
