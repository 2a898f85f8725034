"""The checks of the fleet soak, and a short run of it."""

import tempfile
import unittest
from pathlib import Path
from unittest import mock

from . import fleet_soak
from .fleet_soak import find_overlaps, group_overlaps
from .fleet_worker import ObservedEndpoint, ObservedRun
from .harness import ProcessTestCase


def observed_run(task, endpoint, began_s, ended_s, due_s=None):
    """Return a run that ended as lapsed."""
    return ObservedRun(
        task, 1, "1520", endpoint, began_s, ended_s, "lapsed", due_s=due_s
    )


class OverlapTests(unittest.TestCase):
    """Overlaps of the programs are told apart from those that the observer makes."""

    def test_an_overlap_of_the_programs_is_found(self):
        # A late endpoint process must not excuse an overlap that its rules allowed.
        first = observed_run("a.0.0.0", "i-1", 10.0, 11.5, due_s=11.4)
        second = observed_run("a.0.0.0", "i-2", 11.3, 12.0)
        lateness = {"i-1": [(11.35, 0.1), (20.0, 5.0)], "i-2": []}
        (overlap,) = find_overlaps([second, first], lateness, 30.0)
        self.assertFalse(overlap.is_by_observer)
        self.assertAlmostEqual(0.2, overlap.overlap_s)
        self.assertAlmostEqual(0.1, overlap.due_overlap_s)
        self.assertEqual(0.1, overlap.lateness_s)

    def test_an_overlap_by_a_late_endpoint_process_is_marked(self):
        # A run that lapsed in time, and whose process noticed it late, is no finding.
        first = observed_run("a.0.0.0", "i-1", 10.0, 11.5, due_s=11.2)
        second = observed_run("a.0.0.0", "i-2", 11.3, 12.0)
        (overlap,) = find_overlaps([first, second], {}, 30.0)
        self.assertTrue(overlap.is_by_observer)

    def test_a_run_without_an_end_overlaps_until_the_end(self):
        # A run that nobody ended must not be left out.
        first = observed_run("a.0.0.0", "i-1", 10.0, None)
        second = observed_run("a.0.0.0", "i-1", 12.0, 13.0)
        (overlap,) = find_overlaps([first, second], {}, 30.0)
        self.assertEqual(18.0, overlap.overlap_s)
        self.assertFalse(overlap.is_by_observer)

    def test_consecutive_runs_and_other_tasks_are_no_overlap(self):
        # A task that is placed again after its run has ended is allowed.
        runs = [
            observed_run("a.0.0.0", "i-1", 10.0, 11.0),
            observed_run("a.0.0.0", "i-2", 11.0, 12.0),
            observed_run("a.0.0.1", "i-3", 10.0, 12.0),
        ]
        self.assertEqual([], find_overlaps(runs, {}, 30.0))

    def test_runs_after_the_end_of_the_soak_do_not_count(self):
        # Endpoints that had been ended one by one made overlaps of the last runs.
        first = observed_run("a.0.0.0", "i-1", 10.0, None)
        second = observed_run("a.0.0.0", "i-2", 12.0, 13.0)
        self.assertEqual([], find_overlaps([first, second], {}, 11.5))

    def test_second_runs_of_one_round_are_one_group(self):
        # The shape of the record: second runs of several tasks in the same ms.
        runs = []
        for task, second_s in (("a", 11.0), ("b", 11.001), ("c", 11.5)):
            runs.append(observed_run(task, "i-1", 10.0, 12.0))
            runs.append(observed_run(task, "i-2", second_s, 12.0))
        groups = group_overlaps(find_overlaps(runs, {}, 30.0))
        self.assertEqual([2, 1], [len(group) for group in groups])
        self.assertEqual([], group_overlaps([]))


class ObservedEndpointTests(ProcessTestCase):
    """Ends of runs are recorded with the time at which they were due."""

    async def test_a_lease_that_is_noticed_late_has_its_own_end(self):
        # Without it an overlap made by a late endpoint process looks like a fault.
        endpoint = ObservedEndpoint("i-1", "z1")
        order = {"fence": 1, "task": "a.0.0.0", "run": 1, "spec": "5000"}
        endpoint._handle_order("/run-start", order | {"deadline_ms": 200})
        with mock.patch.object(endpoint, "_clock_ms", return_value=900):
            endpoint.expire_lease()
        (run,) = endpoint.records()
        self.assertEqual("lapsed", run.outcome)
        self.assertAlmostEqual(endpoint._lifetime_started_s + 0.201, run.due_s)


class ShortFleetSoakTests(ProcessTestCase):
    """The processes of the soak start, serve and are compared."""

    async def test_endpoints_refuse_connections_while_their_runs_go_on(self):
        # Issue 43: tasks ran twice when several endpoints refused connections at once.
        arguments = "--entries 2 --agents 4 --seconds 4 --jobs-per-s 5 --seed 1"
        options = fleet_soak.parse_options(
            [*arguments.split(), "--faults", "refuse_connections"]
        )
        with tempfile.TemporaryDirectory(prefix="plantainhitch-fleet-") as folder:
            self.assertEqual(0, await fleet_soak.soak(options, Path(folder)))
            self.assertEqual("", (Path(folder) / "findings.txt").read_text())


if __name__ == "__main__":
    unittest.main()
