"""Tasks that crash the endpoints that start them; no network."""

import unittest

from plantainhitch.coordination.jobs.outcomes import Ended, GaveUp, JobState, NeverRan
from plantainhitch.state.jobs import job_id_of

from .fleet_sim import FLEET, PING, RENDER, SYNC, DeadlyJobs, FleetSim

LENGTH_MS = 14_000
FLOOD_START_MS = 3_000
FLOOD_MS = 8_000
# The time after which the kind of job that crashes endpoints is known.
KNOWN_AFTER_MS = 1_500
# Three times the objective of the largest short job, after which nothing is gained.
MAX_ANSWER_MS = 2_000
# After three crashes a task may be started twice more.
MAX_STARTS_AFTER_THREE_CRASHES = 2


class DeadlyTaskTests(unittest.TestCase):
    """A tenth of the short jobs have a task that crashes each endpoint."""

    @classmethod
    def setUpClass(cls):
        flood = DeadlyJobs("render", 0.1, FLOOD_START_MS, FLOOD_MS)
        cls.sim = FleetSim([RENDER, SYNC, PING], FLEET, deadly=flood)
        cls.sim.simulate(LENGTH_MS)

    def test_a_deadly_task_is_not_started_again_and_again(self):
        # One task was started on each endpoint in turn, until all of them were down.
        starts = self.sim.starts_after_three_crashes
        self.assertEqual(
            {},
            {t: n for t, n in starts.items() if n > MAX_STARTS_AFTER_THREE_CRASHES},
        )

    def test_the_callers_of_deadly_jobs_are_told_soon(self):
        # They waited until their own deadline, and their job was given up for that.
        deadly = [a for a in self.sim.answers if a.is_deadly]
        late = [a for a in deadly if not 0 < a.took_ms <= MAX_ANSWER_MS]
        self.assertEqual([], late)
        told = (NeverRan, GaveUp, Ended)
        self.assertTrue(all(isinstance(a.outcome, told) for a in deadly))
        self.assertNotIn(Ended(JobState.COMPLETED), [a.outcome for a in deadly])

    def test_a_job_whose_task_crashed_four_endpoints_has_failed(self):
        # Two crashes beside other jobs isolate it, and two without them prove it.
        crashes = self.sim.crashes_by_task
        jobs = {job_id_of(task) for task, count in crashes.items() if count >= 4}
        failed = {
            a.job_id
            for a in self.sim.answers
            if a.is_deadly and a.outcome == Ended(JobState.FAILED)
        }
        deadly = {a.job_id for a in self.sim.answers if a.is_deadly}
        self.assertEqual(set(), jobs & deadly - failed)

    def test_a_sound_job_is_not_failed_for_a_deadly_one_beside_it(self):
        wrong = [
            a
            for a in self.sim.answers
            if a.outcome == Ended(JobState.FAILED) and not a.is_deadly
        ]
        self.assertEqual([], wrong)

    def test_jobs_of_other_kinds_are_served_during_the_flood(self):
        # All endpoints were down for most of the time, for all kinds of jobs.
        for queue in ("sync", "ping"):
            served = self.sim.attainment(
                queue, FLOOD_START_MS + KNOWN_AFTER_MS, FLOOD_START_MS + FLOOD_MS
            )
            self.assertGreaterEqual(served, 0.85, queue)


if __name__ == "__main__":
    unittest.main()
