"""What crashes of endpoints prove against tasks, and who keeps the counts."""

import unittest

from plantainhitch.coordination.jobs.containment import MAX_LOST_RUNS
from plantainhitch.coordination.jobs.outcomes import Ended, GaveUp, JobState
from plantainhitch.coordination.runs.crash_suspects import CRASH_DELAY_MS
from plantainhitch.coordination.runs.run import StartOrder, StopOrder
from plantainhitch.protocol import messages as m
from plantainhitch.state.crashes import CrashedRun, CrashHistory, EndpointCrash
from plantainhitch.state.endpoints import Accepted, End, EndedRun
from plantainhitch.state.jobs import Room, StepSpec

from .deployment import LEASE_TIMES
from .test_job_scheduler import CAPACITY, LEASE_MS, SchedulerCase
from .test_run_controller import (
    OTHER,
    OWNER,
    RunControllerCase,
    heartbeat,
    run_start,
)

JOB = "00000000000000aa"
OTHER_JOB = "00000000000000bb"


def crash(number, *tasks):
    """Return the crash of one lifetime of an endpoint with these tasks."""
    runs = tuple(CrashedRun(task, "queue") for task in tasks)
    return EndpointCrash(f"e-{number}", number, runs)


class CrashHistoryTests(unittest.TestCase):
    """Counts of crashes by task."""

    def setUp(self):
        self.history = CrashHistory(max_crashes=3)

    def test_a_crash_is_counted_once_for_each_lifetime(self):
        self.assertTrue(self.history.record(crash(1, "a.0.0.0", "b.0.0.0")))
        self.assertFalse(self.history.record(crash(1, "a.0.0.0", "b.0.0.0")))
        self.assertEqual(1, self.history.count("a.0.0.0"))

    def test_crashes_beside_other_jobs_isolate_a_task_and_prove_nothing(self):
        for number in range(3):
            self.history.record(crash(number, "a.0.0.0", f"{number}.0.0.0"))
        self.assertTrue(self.history.needs_isolation("a.0.0.0"))
        self.assertFalse(self.history.is_proven("a.0.0.0"))

    def test_a_crash_without_runs_withdraws_that_of_its_lifetime(self):
        # Guards against proofs by endpoints that only refused connections.
        for number in (1, 2):
            self.history.record(crash(number, "a.0.0.0"))
            self.assertFalse(self.history.record(crash(number)))
            self.assertFalse(self.history.record(crash(number)))
        self.assertEqual(0, self.history.count("a.0.0.0"))
        self.assertFalse(self.history.is_proven("a.0.0.0"))
        self.assertTrue(self.history.record(crash(2, "a.0.0.0")))

    def test_one_crash_proves_nothing(self):
        self.history.record(crash(1, "a.0.0.0"))
        self.assertFalse(self.history.is_proven("a.0.0.0"))

    def test_two_crashes_without_other_jobs_prove_a_task(self):
        self.history.record(crash(1, "a.0.0.0", "b.0.0.0"))
        self.assertFalse(self.history.is_probable("a.0.0.0"))
        self.history.record(crash(2, "a.0.0.0", "a.0.0.1"))
        self.assertTrue(self.history.is_probable("a.0.0.0"))
        self.assertFalse(self.history.is_proven("a.0.0.0"))
        self.history.record(crash(3, "a.0.0.0"))
        self.assertTrue(self.history.is_proven("a.0.0.0"))
        self.assertFalse(self.history.is_proven("a.0.0.1"))
        self.assertFalse(self.history.is_proven("b.0.0.0"))

    def test_a_run_that_is_not_known_to_have_begun_is_not_counted(self):
        # It was ordered as the endpoint crashed. Its job was failed for a crash of
        # another one's.
        for number in range(2):
            run = CrashedRun("a.0.0.0", "queue", 1, was_running=False)
            self.history.record(EndpointCrash(f"e-{number}", number, (run,)))
        self.assertEqual(0, self.history.count("a.0.0.0"))
        self.assertFalse(self.history.is_proven("a.0.0.0"))

    def test_the_oldest_crashes_are_forgotten(self):
        for number in range(5):
            self.history.record(crash(number, "a.0.0.0", f"{number}.0.0.0"))
        self.assertEqual(3, self.history.count("a.0.0.0"))
        self.assertEqual(0, self.history.count("1.0.0.0"))


class AgentTests(RunControllerCase):
    """Crashes as an agent sees and reports them, and isolated runs."""

    def crashes(self, owner=OWNER):
        return self.controller.next_report(owner).crashes

    def test_a_crash_is_reported_to_all_owners_with_all_runs(self):
        # An entry where the job is submitted again must not start from nothing.
        self.link_owner(OTHER)
        first, second = run_start("a.0.0.0", queue="q"), run_start("b.0.0.0")
        self.start_runs(first)
        self.start_runs(second, owner=OTHER)
        self.controller.connection_refused()
        for owner in (OWNER, OTHER):
            ((reported),) = self.crashes(owner)
            self.assertEqual(("e-1", 1), reported.lifetime)
            runs = {CrashedRun("a.0.0.0", "q"), CrashedRun("b.0.0.0", "")}
            self.assertEqual(runs, set(reported.runs))
            self.assertEqual([], self.crashes(owner))

    def test_a_run_stopped_just_before_a_crash_may_have_caused_it(self):
        # A deadly run was stopped, and the crash that it had set off met the next run,
        # which had the endpoint to itself and was failed for it.
        stopped, isolated = run_start("a.0.0.0"), run_start("b.0.0.0", is_isolated=True)
        self.start_runs(stopped)
        self.deliver_inventory(ended=[EndedRun(1, stopped.key, End.STOPPED, "")])
        self.start_runs(isolated)
        self.controller.connection_refused()
        ((reported),) = self.crashes()
        self.assertFalse(reported.has_single_job)
        self.assertEqual(
            {"a.0.0.0": False, "b.0.0.0": True},
            {run.task: run.was_running for run in reported.runs},
        )

    def test_a_run_stopped_long_before_a_crash_has_not_caused_it(self):
        stopped, other = run_start("a.0.0.0"), run_start("b.0.0.0")
        self.start_runs(stopped)
        self.deliver_inventory(ended=[EndedRun(1, stopped.key, End.STOPPED, "")])
        self.start_runs(other)
        self.clock.advance(CRASH_DELAY_MS + 1)
        self.controller.connection_refused()
        ((reported),) = self.crashes()
        self.assertTrue(reported.has_single_job)

    def test_a_start_that_was_not_answered_before_the_crash_is_uncertain(self):
        accepted, ordered = run_start("a.0.0.0"), run_start("b.0.0.0")
        self.start_runs(accepted)
        self.send_orders(ordered)
        self.controller.connection_refused()
        ((reported),) = self.crashes()
        self.assertEqual(
            {"a.0.0.0": True, "b.0.0.0": False},
            {run.task: run.was_running for run in reported.runs},
        )

    def test_crashes_are_reported_again_on_a_new_link(self):
        # The owner of the runs died, and its successor links later.
        self.start_runs(run_start())
        self.controller.connection_refused()
        self.link_owner(OTHER)
        self.assertEqual(1, len(self.crashes(OTHER)))

    def test_a_new_lifetime_without_notice_is_a_crash_of_the_old_one(self):
        self.start_runs(run_start())
        self.controller.handle_heartbeat(heartbeat(born_ms=2))
        self.assertEqual(1, len(self.crashes()))

    def test_silence_and_an_announced_end_are_no_crashes(self):
        self.start_runs(run_start())
        self.controller.lease.record_renewal()
        self.clock.advance(LEASE_MS + 200)
        self.renew_owner_lease()
        self.controller.next_orders()
        self.controller.handle_heartbeat(heartbeat(born_ms=2))
        self.deliver_inventory(born_ms=2)
        self.start_runs(run_start(run=2))
        self.controller.handle_heartbeat(
            heartbeat(born_ms=2, sequence=2, draining=True)
        )
        self.controller.connection_refused()
        self.assertEqual([], self.crashes())

    def test_an_isolated_start_waits_until_other_jobs_have_ended(self):
        other = run_start("other.0.0.0")
        self.start_runs(other)
        isolated = run_start("job.0.0.0", wait_ms=2_000, is_isolated=True)
        self.assertEqual([], self.send_orders(isolated))
        self.assertEqual(0, self.controller.free_room.cpu_millis)
        self.deliver_inventory(ended=[EndedRun(1, other.key, End.DONE, "")])
        self.assertEqual([StartOrder(isolated)], self.controller.next_orders())

    def test_no_other_job_starts_beside_an_isolated_run(self):
        isolated = run_start("job.0.0.0", is_isolated=True)
        self.start_runs(isolated)
        other = run_start("other.0.0.0")
        self.assertEqual([], self.send_orders(other))
        self.assertEqual({other.key: End.NOT_STARTED}, self.reported_ends())

    def test_tasks_of_one_isolated_job_run_together(self):
        starts = [run_start(f"job.0.0.{n}", is_isolated=True) for n in range(3)]
        self.assertEqual(3, len(self.send_orders(*starts)))
        second = run_start("other.0.0.0", wait_ms=500, is_isolated=True)
        self.assertEqual([], self.send_orders(second))

    def test_other_jobs_start_again_when_the_isolated_run_has_ended(self):
        isolated = run_start("job.0.0.0", is_isolated=True)
        self.start_runs(isolated)
        self.deliver_inventory(ended=[EndedRun(1, isolated.key, End.DONE, "")])
        self.assertEqual(1, len(self.send_orders(run_start("other.0.0.0"))))

    def test_a_run_that_is_being_stopped_is_still_beside_an_isolated_start(self):
        other = run_start("other.0.0.0")
        self.start_runs(other)
        orders = self.send_orders(
            run_start("job.0.0.0", wait_ms=2_000, is_isolated=True), stops=[other.key]
        )
        self.assertEqual([StopOrder(other.key)], orders)
        self.controller.handle_stop_result(other.key, Accepted(self.clock.now_ms()))
        self.assertEqual([], self.controller.next_orders())

    def test_an_isolated_start_of_a_silent_owner_no_longer_keeps_others_out(self):
        self.start_runs(run_start("other.0.0.0"))
        self.link_owner(OTHER)
        isolated = run_start("job.0.0.0", wait_ms=5_000, is_isolated=True)
        self.send_orders(isolated, owner=OTHER)
        other_key = run_start("other.0.0.0").key
        self.pass_time(LEASE_TIMES.owner_ms, [other_key], heard_owners=[OWNER])
        self.clock.advance(1)
        self.renew_owner_lease()
        self.deliver_inventory(running=[other_key])
        self.controller.next_orders()
        self.assertEqual(1, len(self.send_orders(run_start("third.0.0.0"))))


class EntryTests(SchedulerCase):
    """What an entry does with its jobs after crashes."""

    def report_crash(self, reported, agent=b"one", ends=()):
        message = m.RunReports(
            1, 99, list(ends), CAPACITY, (CAPACITY.cpu_millis,) * 6, crashes=[reported]
        )
        for name in (b"one", b"two"):
            self.links[name].last_received_ms = self.clock.now_ms()
        self.scheduler.handle_agent_message(agent, message)

    def lose(self, number, agent, start, *others):
        """Report a crash under a run beside tasks of other jobs; return the starts."""
        ends = [m.RunEnd(start.key, End.LOST, "nothing listens at the endpoint")]
        self.report_crash(crash(number, start.key.task, *others), agent, ends)
        self.clock.advance(10)
        return self.starts()

    def test_a_task_is_isolated_after_two_crashes_and_failed_after_two_alone(self):
        ((agent, start),) = self.submit()
        ((agent, start),) = self.lose(1, agent, start, f"{OTHER_JOB}.0.0.0")
        self.assertFalse(start.is_isolated)
        ((agent, start),) = self.lose(2, agent, start, f"{OTHER_JOB}.0.0.1")
        self.assertTrue(start.is_isolated)
        ((agent, start),) = self.lose(3, agent, start)
        self.assertEqual([], self.lose(4, agent, start))
        self.assertEqual(Ended(JobState.FAILED), self.outcomes[JOB])

    def test_a_task_that_ran_alone_is_failed_after_two_crashes(self):
        ((agent, start),) = self.submit()
        ((agent, start),) = self.lose(1, agent, start)
        self.assertEqual([], self.lose(2, agent, start))
        self.assertEqual(Ended(JobState.FAILED), self.outcomes[JOB])

    def test_a_sound_task_beside_deadly_ones_completes(self):
        # It is in as many crashes as they are, and must not be given up for them.
        ((agent, start),) = self.submit()
        for number in range(2):
            ((agent, start),) = self.lose(number, agent, start, f"{number}.0.0.0")
        self.end_run(agent, start)
        self.assertEqual(Ended(JobState.COMPLETED), self.outcomes[JOB])

    def test_jobs_that_were_running_in_a_crash_are_not_placed_together_again(self):
        # All runs of a crashed endpoint were placed together on the next one, so that
        # the sound ones were lost again, and their counts said nothing.
        for name in (b"three", b"four"):
            self.join(name)
        jobs = [f"{number:016x}" for number in range(4)]
        starts = [self.submit(job)[0] for job in jobs]
        crashed = crash(1, *(start.key.task for _, start in starts))
        self.report_crash(crashed)
        for agent, start in starts:
            ends = [m.RunEnd(start.key, End.LOST, "nothing listens")]
            self.report(agent, ends=ends)
        self.clock.advance(10)
        self.assertEqual(4, len({agent for agent, _ in self.starts()}))

    def test_jobs_that_were_running_in_a_crash_need_not_wait_to_be_apart(self):
        # A crash without a deadly task is more common, and must not delay its jobs.
        jobs = [f"{number:016x}" for number in range(4)]
        starts = [self.submit(job)[0] for job in jobs]
        self.report_crash(crash(1, *(start.key.task for _, start in starts)))
        for agent, start in starts:
            ends = [m.RunEnd(start.key, End.LOST, "nothing listens")]
            self.report(agent, ends=ends)
        self.clock.advance(10)
        self.assertEqual(4, len(self.starts()))

    def test_an_endpoint_is_not_held_back_for_a_crash(self):
        ((agent, start),) = self.submit()
        for number in range(2):
            ((agent, start),) = self.lose(number, agent, start, f"{number}.0.0.0")
        fleet = self.scheduler.fleet
        self.assertFalse(any(a.is_held_back for a in fleet.agents.values()))

    def test_a_job_submitted_again_elsewhere_keeps_its_crashes(self):
        # The entry that owned the job died; this one heard of the crashes.
        self.report_crash(crash(1, f"{JOB}.0.0.0"))
        self.report_crash(crash(2, f"{JOB}.0.0.0"))
        self.assertEqual([], self.submit())
        self.assertEqual(Ended(JobState.FAILED), self.outcomes[JOB])

    def test_a_job_submitted_again_elsewhere_is_isolated_at_once(self):
        for number in range(2):
            self.report_crash(crash(number, f"{JOB}.0.0.0", f"{number}.0.0.0"))
        ((_, start),) = self.submit()
        self.assertTrue(start.is_isolated)

    def test_crashes_that_a_restarted_agent_reports_again_count_once(self):
        ((agent, start),) = self.submit()
        ((agent, start),) = self.lose(1, agent, start)
        self.report_crash(crash(1, start.key.task), b"two")
        self.assertNotIn(JOB, self.outcomes)

    def test_lost_runs_without_a_crash_isolate_a_task_and_do_not_fail_it(self):
        # A silent agent or a lapsed lease proves nothing against a task.
        ((agent, start),) = self.submit()
        for _ in range(MAX_LOST_RUNS - 1):
            ((agent, start),) = self.end_run(agent, start, End.LOST, "no answer")
        self.assertTrue(start.is_isolated)
        self.assertEqual([], self.end_run(agent, start, End.LOST, "no answer"))
        self.assertIsInstance(self.outcomes[JOB], GaveUp)

    def test_jobs_of_a_lost_agent_that_are_given_up_are_not_placed_again(self):
        steps = [StepSpec(2, Room(500, 10, 0), 200)]
        self.submit(steps=steps)
        for number in range(MAX_LOST_RUNS):
            agents = {t.agent for t in self.scheduler.jobs[JOB].placed_tasks()}
            for agent in agents:
                name = self.scheduler.fleet.get(agent).name
                self.join(b"%s-%d" % (name.encode(), number), name=name)
            self.clock.advance(10)
            self.starts()
            if JOB in self.outcomes:
                break
        self.assertIsInstance(self.outcomes[JOB], GaveUp)
        self.assertEqual([], self.starts())


if __name__ == "__main__":
    unittest.main()
