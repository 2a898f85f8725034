"""Tests of the load generator: seeded plans, ideal response times, results."""

import itertools
import random
import unittest

from plantainhitch.loadgen import arrivals, ideal, recorder, workloads


def best_makespan(run_times, fleet):
    """Return the optimal makespan by trying every assignment of tasks to slots."""
    speeds = [e.speed for e in fleet.endpoints for _ in range(e.slots)]
    best = float("inf")
    for slots in itertools.product(range(len(speeds)), repeat=len(run_times)):
        loads = [0.0] * len(speeds)
        for run_ms, slot in zip(run_times, slots, strict=True):
            loads[slot] += run_ms / speeds[slot]
        best = min(best, max(loads))
    return best


class IdealTests(unittest.TestCase):
    """The ideal response time against its lower bound and the optimum."""

    def test_one_task_runs_on_the_fastest_slot(self):
        fleet = ideal.Fleet.from_text("8*0.5,8*2")
        self.assertEqual(ideal.ideal_ms([100], fleet), 50)

    def test_slow_slots_are_used_only_where_they_end_first(self):
        fleet = ideal.Fleet.from_text("1*1,1*4")
        self.assertEqual(ideal.ideal_ms([100, 100, 100], fleet), 75)
        self.assertEqual(ideal.ideal_ms([100] * 5, fleet), 100)

    def test_between_the_lower_bound_and_near_the_optimum(self):
        fleet = ideal.Fleet.from_text("1*1,1*2,1*3")
        source = random.Random(7)
        for _ in range(25):
            run_times = [source.uniform(50, 1000) for _ in range(5)]
            optimum = best_makespan(run_times, fleet)
            self.assertLessEqual(
                ideal.lower_bound_ms(run_times, fleet), optimum * 1.000001
            )
            computed = ideal.ideal_ms(run_times, fleet)
            self.assertGreaterEqual(computed * 1.000001, optimum)
            # The known approximation ratio of longest-first on machines of unequal
            # speed.
            self.assertLessEqual(computed, optimum * 1.58)

    def test_malformed_fleet_is_rejected(self):
        for text in ("8", "0*1", "8*0", "x*1"):
            with self.assertRaisesRegex(ValueError, "slots"):
                ideal.Fleet.from_text(text)


class ArrivalTests(unittest.TestCase):
    """Planned arrivals."""

    fleet = ideal.Fleet.with_geometric_speeds(10, 8, 0.5, 2.0)

    def plan(self, seed, **extra):
        return arrivals.plan_jobs(
            workloads.TICKMARK, self.fleet, 0.6, 60, seed, **extra
        )

    def test_same_seed_gives_same_plan(self):
        self.assertEqual(self.plan(3), self.plan(3))
        self.assertNotEqual(self.plan(3), self.plan(4))

    def test_offered_work_is_the_load(self):
        offered = sum(job.work_ms for seed in range(5) for job in self.plan(seed))
        share = offered / (5 * 60_000 * self.fleet.capacity)
        self.assertAlmostEqual(share, 0.6, delta=0.06)

    def test_flood_changes_no_other_job(self):
        # With one random source for all classes, a flood would change every later job,
        # and runs with and without it could not be compared.
        flood = arrivals.Flood("render", 2.0, 10_000, 20_000)
        plain = self.plan(3)
        flooded = self.plan(3, floods=[flood], bursts=[arrivals.Burst("ping", 5, 9)])
        content = {(job.due_ms, job.tasks) for job in flooded}
        self.assertTrue(content.issuperset((job.due_ms, job.tasks) for job in plain))
        extra = [job for job in flooded if job.class_name == "render"]
        steady = [job for job in plain if job.class_name == "render"]
        self.assertGreater(len(extra), len(steady))

    def test_run_times_and_declared_times_are_in_range(self):
        for job in self.plan(5):
            for task in job.tasks:
                self.assertGreaterEqual(task.run_ms, 50)
                self.assertLessEqual(task.run_ms, 6_000)
                self.assertLessEqual(task.declared_ms, task.run_ms * 5 + 1)
                self.assertGreaterEqual(task.declared_ms, task.run_ms / 5 - 1)


class RecorderTests(unittest.TestCase):
    """Results of a run."""

    def test_percentiles_attainment_and_endings(self):
        records = recorder.Recorder({"render": 100})
        for response_ms in range(1, 201):
            records.add(
                recorder.JobRecord(
                    "render", 0, response_ms, 10.0, recorder.Ending.COMPLETE
                )
            )
        records.add(recorder.JobRecord("render", 0, 1.0, 10.0, recorder.Ending.NOT_RUN))
        figures = records.to_dict()["classes"]["render"]
        self.assertAlmostEqual(figures["response_ms"]["p50"], 100, delta=1)
        self.assertAlmostEqual(figures["response_to_ideal"]["p99"], 19.8, delta=0.1)
        self.assertEqual(figures["endings"], {"complete": 200, "not_run": 1})
        self.assertAlmostEqual(figures["attainment"], 100 / 201, delta=0.0001)
