"""Short runs of the soak of the deployed programs, with fixed seeds.

``python -m tests.deployed_soak --seeds 1-50`` runs more seeds. A seed that once gave a
violation is added to ``REGRESSION_SEEDS``, with the cause.
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
    contradictions,
    overlapping_runs,
)
from .harness import ProcessTestCase

CRASH_SEED = 3
GRACEFUL_SEED = 11
# Seeds that once gave violations, with the cause.
REGRESSION_SEEDS = {
    18: "a start that arrived in the endpoint's next lifetime ran beside another run",
    21: "the same",
    55: "an agent stopped while it was loading was counted as failed",
}


class ShortSoakTests(ProcessTestCase):
    """Overlapping faults on separate processes."""

    async def test_crashes_and_broken_connections(self):
        faults = (soak.kill_everything, soak.hold_link, soak.late_orders)
        self.assertEqual([], await soak.run_seed(CRASH_SEED, faults))

    async def test_regression_seeds(self):
        for seed, cause in REGRESSION_SEEDS.items():
            with self.subTest(seed=seed, cause=cause):
                self.assertEqual([], await soak.run_seed(seed))

    async def test_planned_changes_under_traffic(self):
        faults = (soak.replace_in_turn, soak.drain_endpoint, soak.configuration_storm)
        self.assertEqual([], await soak.run_seed(GRACEFUL_SEED, faults))


class CheckTests(unittest.TestCase):
    """The checks of the soak detect each kind of violation."""

    def test_overlapping_runs_are_found(self):
        first = TaskRun("a.0.0.0", 1, "", "i-1", 10.0, 12.0, "done")
        second = TaskRun("a.0.0.0", 2, "", "i-2", 11.0, 13.0, "done")
        self.assertEqual(1, len(list(overlapping_runs([second, first]))))
        second.began_s = 12.5
        self.assertEqual([], list(overlapping_runs([second, first])))

    def test_answers_that_runs_contradict_are_found(self):
        run = TaskRun("a.0.0.0", 1, "30", "i-1", 10.0, 12.0, "stopped")
        for job in (
            Submission("a", "30", 1, [503]),
            Submission("a", "30", 1, [200], "completed"),
            Submission("a", "30", 1, [200], "failed"),
            Submission("a", "31", 1, [0]),
        ):
            self.assertEqual(1, len(list(contradictions(job, [run]))), job)
        self.assertEqual([], list(contradictions(Submission("a", "30", 1, [0]), [run])))

    def test_a_crash_ends_the_recorded_runs(self):
        endpoint = LedgerEndpoint("i-1")
        endpoint.runs.append(TaskRun("a.0.0.0", 1, "", "i-1", time.monotonic()))
        endpoint._running["a.0.0.0"] = 1
        endpoint._timers["a.0.0.0"] = mock.Mock()
        endpoint.crash()
        self.assertEqual("crash", endpoint.runs[0].outcome)
        self.assertEqual(CPU_MILLIS, endpoint.cpu_millis)


if __name__ == "__main__":
    unittest.main()
