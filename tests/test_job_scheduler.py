"""Tests of the scheduler: placement, retries, refusals and lost agents, no sockets."""

import unittest

from plantainhitch.clock import ManualClock
from plantainhitch.coordination.jobs.fleet import HOLD_MS, SUSPECT_AFTER_MS
from plantainhitch.coordination.jobs.outcomes import Ended, GaveUp, JobState, NeverRan
from plantainhitch.coordination.jobs.retry_slots import RetrySlots
from plantainhitch.coordination.jobs.scheduler import Scheduler
from plantainhitch.protocol import messages as m
from plantainhitch.state.endpoints import End
from plantainhitch.state.jobs import JobSpec, Room, StepSpec
from plantainhitch.state.routes import Route

from .deployment import LEASE_TIMES

LEASE_MS = LEASE_TIMES.max_endpoint_ms
CAPACITY = Room(4_000, 1_000, 0)
ROUTE = Route("queue", "host", "/q/", "pool", 0, 2, stretch=2.0, target_ms=100)


class FakeLink:
    """Records messages; ``last_received_ms`` is set by the test."""

    def __init__(self, clock):
        self._clock = clock
        self.sent = []
        self.closed = ""
        self.is_busy = None
        self.last_received_ms = clock.now_ms()

    def set_busy(self, is_busy):
        """Record whether the agent needs echoes."""
        self.is_busy = is_busy

    def defer_echoes(self):
        """Do nothing: no echo is sent."""

    def release_echoes(self, stamp_ms):
        """Do nothing, as above."""

    def send(self, message):
        """Record a message."""
        self.sent.append(message)
        return True

    def close(self, why=""):
        """Record the reason."""
        self.closed = why


class SchedulerCase(unittest.TestCase):
    """A scheduler with two agents of equal room."""

    def setUp(self):
        self.clock = ManualClock(50_000)
        self.scheduler = Scheduler(self.clock, LEASE_TIMES)
        self.links = {}
        self.outcomes = {}
        self.callbacks = []
        for name in (b"one", b"two"):
            self.join(name)

    def join(self, incarnation, name=None, labels=(), capacity=CAPACITY):
        link = self.links[incarnation] = FakeLink(self.clock)
        text = name or incarnation.decode()
        hello = m.Hello(m.ROLE_AGENT, incarnation, text)
        self.scheduler.agent_linked(hello, link)
        status = m.EndpointStatus(
            f"e-{text}", 1, "pool", True, capacity=capacity, labels=labels
        )
        self.scheduler.handle_agent_message(incarnation, status)
        self.report(incarnation, capacity)

    def report(self, incarnation, free=CAPACITY, ends=(), orders_seen=99):
        message = m.RunReports(1, orders_seen, list(ends), free, (free.cpu_millis,) * 6)
        self.links[incarnation].last_received_ms = self.clock.now_ms()
        self.scheduler.handle_agent_message(incarnation, message)

    def submit(self, job_id="00000000000000aa", steps=None, caller_timeout_ms=60_000):
        steps = steps or (StepSpec(1, Room(1_000, 10, 0), 200),)
        spec = JobSpec(job_id, "payload", tuple(steps))
        self.callbacks.append(lambda end: self.outcomes.update({job_id: end}))
        self.scheduler.submit(spec, ROUTE, caller_timeout_ms, self.callbacks[-1])
        return self.starts()

    def starts(self):
        return [
            (agent.incarnation, start)
            for agent, message in self.scheduler.run_round()
            if isinstance(message, m.RunOrders)
            for start in message.starts
        ]

    def end_run(self, agent, start, how=End.DONE, reason="", run_ms=200):
        self.report(agent, ends=[m.RunEnd(start.key, how, reason, "", run_ms)])
        return self.starts()

    def renew_contact(self, *agents):
        for agent in agents:
            self.links[agent].last_received_ms = self.clock.now_ms()


class StepConstraintTests(SchedulerCase):
    """Spread, data locality and zone preference in the placement of a step."""

    def test_max_per_endpoint_is_respected(self):
        step = StepSpec(3, Room(100, 10, 0), 200, max_per_endpoint=1)
        incarnations = [incarnation for incarnation, _ in self.submit(steps=[step])]
        self.assertEqual([b"one", b"two"], sorted(incarnations))
        self.join(b"three")
        self.clock.advance(50)
        self.assertEqual([b"three"], [incarnation for incarnation, _ in self.starts()])

    def test_a_step_wider_than_the_fleet_runs_in_waves(self):
        step = StepSpec(40, Room(1_000, 10, 0), 200)
        self.assertEqual(8, len(self.submit(steps=[step])))

    def test_an_ended_run_no_longer_counts_towards_max_per_endpoint(self):
        step = StepSpec(1, Room(100, 10, 0), 200, max_per_endpoint=1)
        ((agent, start),) = self.submit(steps=[step])
        ((other, again),) = self.end_run(agent, start, End.FAILED)
        self.assertNotEqual(agent, other)
        self.assertGreater(again.key.run, start.key.run)

    def test_the_rack_of_the_data_is_preferred_while_it_has_room(self):
        fleet = self.scheduler.fleet
        for name, rack in ((b"one", "r1"), (b"two", "r2")):
            agent = fleet.get(name)
            agent.remote_factor = 3.0
            agent.status.rack = rack
        step = StepSpec(1, Room(2_500, 10, 0), 200, data_rack="r2")
        ((incarnation, start),) = self.submit(steps=[step])
        self.assertEqual((b"two", 200), (incarnation, start.estimate_ms))

    def test_equal_candidates_are_chosen_in_the_same_zone(self):
        fleet = self.scheduler.fleet
        fleet.get(b"one").is_cross_zone = True
        fleet.get(b"two").is_cross_zone = False
        step = StepSpec(3, Room(1_000, 10, 0), 200)
        self.assertEqual(
            {b"two"}, {incarnation for incarnation, _ in self.submit(steps=[step])}
        )

    def test_run_times_of_remote_data_do_not_raise_the_slowness(self):
        # The factor for remote data is divided out of observed run times; otherwise
        # the endpoint itself would be taken for slow.
        agent = self.scheduler.fleet.get(b"one")
        agent.remote_factor, agent.status.rack = 3.0, "r1"
        step = StepSpec(1, Room(1_000, 10, 0), 200, required_label="", data_rack="r9")
        usual = self.scheduler.fleet.current_slowness(agent)
        self.scheduler.agent_presumed_dead(b"two")
        self.scheduler.agent_unlinked(b"two", self.links[b"two"])
        ((incarnation, start),) = self.submit(steps=[step])
        self.end_run(incarnation, start, run_ms=600)
        self.assertAlmostEqual(usual, self.scheduler.fleet.current_slowness(agent))


class RetryAfterTests(SchedulerCase):
    """The Retry-After times of rejected jobs."""

    def refuse(self, jobs, work_ms):
        step = StepSpec(8, Room(1_000, 10, 0), work_ms)
        for number in range(jobs):
            self.submit(f"{number:016x}", steps=[step])
        self.clock.advance(work_ms)
        self.renew_contact(b"one", b"two")
        self.starts()
        return [o for o in self.outcomes.values() if isinstance(o, NeverRan)]

    def test_retry_times_rise_no_faster_than_capacity_frees_up(self):
        # Callers that all come back at once, or before their work can be started, are
        # only rejected again.
        refused = self.refuse(60, 400)
        retry_after_s = [outcome.retry_after_s for outcome in refused]
        self.assertEqual(sorted(retry_after_s), retry_after_s)
        self.assertGreaterEqual(retry_after_s[0], 1)
        # Each job is 3.2 core-seconds of work for 8 cores.
        self.assertGreaterEqual(
            retry_after_s[-1], min(10, len(retry_after_s) * 3.2 / 8)
        )

    def test_retry_after_is_bounded(self):
        slots = RetrySlots(self.clock)
        self.assertEqual(10, max(slots.reserve("queue", 0, 5_000) for _ in range(9)))
        self.clock.advance(60_000)
        self.assertEqual(1, slots.reserve("queue", 0, 100))
        self.assertEqual(1, slots.reserve("other", 0, 100))


class OutcomeTests(SchedulerCase):
    """The outcomes of jobs, and the order of their steps and attempts."""

    def test_a_job_whose_caller_leaves_before_the_round_starts_nothing(self):
        self.submit()
        job_id = "00000000000000bb"
        spec = JobSpec(job_id, "payload", (StepSpec(1, Room(1_000, 10, 0), 200),))

        def on_end(outcome):
            self.outcomes[job_id] = outcome

        self.scheduler.submit(spec, ROUTE, 60_000, on_end)
        self.scheduler.detach_caller(job_id, on_end, "the caller left")
        self.assertEqual([], self.starts())
        self.assertNotIn(job_id, self.scheduler.jobs)

    def test_a_new_job_starts_between_full_passes(self):
        for number in range(3):
            starts = self.submit(f"{number:016x}")
            self.assertEqual(1, len(starts))

    def test_a_job_is_complete_when_all_of_its_tasks_are_done(self):
        starts = self.submit(steps=[StepSpec(2, Room(1_000, 10, 0), 200)])
        self.assertEqual(2, len(starts))
        self.end_run(*starts[0])
        self.assertEqual({}, self.outcomes)
        self.end_run(*starts[1])
        outcome = self.outcomes["00000000000000aa"]
        self.assertEqual(Ended(JobState.COMPLETED), outcome)

    def test_a_step_waits_for_the_steps_before_it(self):
        room = Room(1_000, 10, 0)
        steps = [StepSpec(2, room, 200), StepSpec(1, room, 200, after=(0,))]
        first, second = self.submit(steps=steps)
        self.assertEqual([], self.end_run(*first))
        ((_, start),) = self.end_run(*second)
        self.assertEqual("00000000000000aa.0.1.0", start.key.task)

    def test_a_failed_task_is_retried_elsewhere_until_max_attempts(self):
        ((agent, start),) = self.submit()
        ((other, again),) = self.end_run(agent, start, End.FAILED)
        self.assertNotEqual(agent, other)
        self.assertGreater(again.key.run, start.key.run)
        self.end_run(other, again, End.FAILED)
        outcome = self.outcomes["00000000000000aa"]
        self.assertEqual(Ended(JobState.FAILED), outcome)

    def test_a_run_that_did_not_start_uses_no_attempt(self):
        ((agent, start),) = self.submit()
        for _ in range(5):
            ((agent, start),) = self.end_run(agent, start, End.NOT_STARTED, "room")
        self.assertEqual({}, self.outcomes)

    def test_without_a_usable_agent_a_job_is_refused(self):
        self.clock.advance(SUSPECT_AFTER_MS + 1)
        self.submit()
        self.assertIsInstance(self.outcomes["00000000000000aa"], NeverRan)

    def test_a_job_with_a_task_that_fits_nowhere_is_refused(self):
        self.submit(steps=[StepSpec(1, Room(9_000, 10, 0), 200)])
        self.assertIsInstance(self.outcomes["00000000000000aa"], NeverRan)

    def test_a_job_with_a_run_in_progress_is_not_reported_as_never_ran(self):
        # A caller that is told "never ran" may submit the job again, and its tasks
        # would run twice.
        ((agent, start),) = self.submit(caller_timeout_ms=500)
        self.clock.advance(501)
        self.renew_contact(b"one", b"two")
        self.scheduler.run_round()
        self.assertIsInstance(self.outcomes["00000000000000aa"], GaveUp)

    def test_a_job_whose_only_run_did_not_start_is_reported_as_never_ran(self):
        ((agent, start),) = self.submit(caller_timeout_ms=500)
        for name in (b"one", b"two"):
            self.report(name, free=Room())
        full = [m.RunEnd(start.key, End.NOT_STARTED, "no room in time")]
        self.report(agent, free=Room(), ends=full)
        self.clock.advance(501)
        self.renew_contact(b"one", b"two")
        self.scheduler.run_round()
        self.assertIsInstance(self.outcomes["00000000000000aa"], NeverRan)

    def test_runs_are_stopped_when_the_caller_leaves(self):
        ((agent, start),) = self.submit()
        self.scheduler.detach_caller("00000000000000aa", self.callbacks[0], "left")
        ((view, orders),) = self.scheduler.run_round()
        self.assertEqual([start.key], orders.stops)
        self.assertEqual(agent, view.incarnation)

    def test_a_job_in_progress_is_not_run_again(self):
        # A caller may submit the same job again before the entry notices that the first
        # call has ended; the job goes on for the second caller.
        ((agent, start),) = self.submit()
        self.assertEqual([], self.submit())
        self.scheduler.detach_caller("00000000000000aa", self.callbacks[0], "left")
        self.end_run(agent, start)
        outcome = self.outcomes["00000000000000aa"]
        self.assertEqual(Ended(JobState.COMPLETED), outcome)

    def test_a_job_that_has_ended_is_not_run_again(self):
        # The answer was lost, so the caller submits the same job again.
        self.end_run(*self.submit()[0])
        self.outcomes.clear()
        self.assertEqual([], self.submit())
        outcome = self.outcomes["00000000000000aa"]
        self.assertEqual(Ended(JobState.COMPLETED), outcome)


class ChangingCapacityTests(SchedulerCase):
    """Endpoints whose capacity shrinks and grows during their lifetime."""

    def resize(self, *agents, cpu_millis):
        for name in agents:
            capacity = Room(cpu_millis, 1_000, 0)
            status = m.EndpointStatus(
                f"e-{name.decode()}", 1, "pool", True, capacity=capacity
            )
            self.scheduler.handle_agent_message(name, status)
            self.report(name, capacity)

    def test_a_shrunk_endpoint_gets_no_task_that_no_longer_fits(self):
        self.resize(b"one", cpu_millis=500)
        ((agent, _),) = self.submit()
        self.assertEqual(b"two", agent)

    def test_an_endpoint_that_has_grown_gets_tasks_that_fit_now(self):
        step = StepSpec(1, Room(6_000, 10, 0), 200)
        self.resize(b"one", cpu_millis=8_000)
        ((agent, _),) = self.submit(steps=[step])
        self.assertEqual(b"one", agent)

    def test_a_job_that_fits_nowhere_any_more_is_refused_before_its_deadline(self):
        # It waited for room when all endpoints shrank.
        for name in (b"one", b"two"):
            self.report(name, Room(0, 1_000, 0))
        self.assertEqual([], self.submit(steps=[StepSpec(1, Room(3_000, 10, 0), 200)]))
        self.resize(b"one", b"two", cpu_millis=1_000)
        for _ in range(4):
            self.clock.advance(500)
            for name in (b"one", b"two"):
                self.report(name, Room(1_000, 1_000, 0))
            self.assertEqual([], self.starts())
        self.assertIsInstance(self.outcomes["00000000000000aa"], NeverRan)


class LossTests(SchedulerCase):
    """Silent, dead or replaced agents: at most one run of a task at a time."""

    def test_a_silent_agent_keeps_its_runs_until_both_leases_expire(self):
        # Until then the runs may be at work behind a broken network; a second run of
        # the task would overlap the first.
        ((agent, start),) = self.submit()
        other = b"two" if agent == b"one" else b"one"
        self.clock.advance(LEASE_TIMES.run_end_ms)
        self.report(other)
        self.assertEqual([], self.starts())
        self.clock.advance(200)
        self.report(other)
        ((incarnation, again),) = self.starts()
        self.assertEqual(other, incarnation)
        self.assertGreater(again.key.run, start.key.run)

    def test_the_link_of_a_silent_agent_is_closed_when_the_leases_expire(self):
        ((agent, _),) = self.submit()
        self.clock.advance(LEASE_TIMES.run_end_ms + 200)
        self.scheduler.run_round()
        self.assertTrue(self.links[agent].closed)

    def test_a_refused_connection_does_not_shorten_the_wait(self):
        # A cut network may refuse connections to an agent that is alive, or whose
        # endpoint has just had its lease renewed.
        ((agent, _),) = self.submit()
        other = b"two" if agent == b"one" else b"one"
        self.scheduler.agent_unlinked(agent, self.links[agent])
        self.scheduler.agent_presumed_dead(agent)
        self.clock.advance(LEASE_TIMES.run_end_ms)
        self.report(other)
        self.assertEqual([], self.starts())
        self.clock.advance(200)
        self.report(other)
        self.assertEqual(1, len(self.starts()))

    def test_a_new_agent_with_a_reconciled_endpoint_frees_the_runs_at_once(self):
        ((agent, _),) = self.submit()
        self.scheduler.agent_unlinked(agent, self.links[agent])
        self.join(b"new", name=agent.decode())
        self.assertEqual(1, len(self.starts()))

    def test_a_late_status_of_an_old_agent_does_not_remove_the_new_one(self):
        # The new agent is linked and not ready yet.
        hello = m.Hello(m.ROLE_AGENT, b"new", "one")
        self.scheduler.agent_linked(hello, FakeLink(self.clock))
        status = m.EndpointStatus("e-one", 1, "pool", True, capacity=CAPACITY)
        self.scheduler.handle_agent_message(b"one", status)
        self.assertIsNotNone(self.scheduler.fleet.get(b"new"))

    def test_a_new_link_to_the_same_agent_names_its_runs(self):
        ((agent, start),) = self.submit()
        self.scheduler.agent_unlinked(agent, self.links[agent])
        link = FakeLink(self.clock)
        self.scheduler.agent_linked(m.Hello(m.ROLE_AGENT, agent, "x"), link)
        ((_, orders),) = self.scheduler.run_round()
        self.assertEqual([start.key], orders.expected_runs)

    def test_an_agent_that_links_again_is_no_longer_taken_for_dead(self):
        # The new link shows that the process is alive, so its runs are not requeued.
        ((agent, _),) = self.submit()
        self.scheduler.agent_unlinked(agent, self.links[agent])
        self.scheduler.agent_presumed_dead(agent)
        self.links[agent] = FakeLink(self.clock)
        hello = m.Hello(m.ROLE_AGENT, agent, agent.decode())
        self.scheduler.agent_linked(hello, self.links[agent])
        self.clock.advance(LEASE_MS + 300)
        for name in (b"one", b"two"):
            self.report(name)
        self.assertEqual([], self.starts())

    def test_a_job_cancelled_without_a_link_is_not_named_after_a_resync(self):
        # The stop orders are lost with the link; the agent stops the runs that the
        # resync does not name.
        ((agent, _),) = self.submit()
        self.scheduler.agent_unlinked(agent, self.links[agent])
        self.scheduler.detach_caller("00000000000000aa", self.callbacks[0], "left")
        self.scheduler.run_round()
        link = FakeLink(self.clock)
        self.scheduler.agent_linked(m.Hello(m.ROLE_AGENT, agent, "x"), link)
        ((_, orders),) = self.scheduler.run_round()
        self.assertTrue(orders.is_resync)
        self.assertEqual([], orders.expected_runs)

    def test_the_end_of_an_older_run_is_ignored(self):
        ((agent, start),) = self.submit()
        ((_, again),) = self.end_run(agent, start, End.NOT_STARTED, "room")
        self.assertEqual([], self.end_run(agent, start, End.DONE))
        self.assertEqual({}, self.outcomes)


class HoldTests(SchedulerCase):
    """Endpoints that fail all their runs, or on which runs stall or are slow."""

    def fail_twice(self):
        for number in range(2):
            starts = self.submit(f"{number:016x}")
            self.end_run(starts[0][0], starts[0][1], End.FAILED)

    def test_an_endpoint_that_failed_twice_gets_single_probe_runs(self):
        agent = self.scheduler.fleet.get(b"one")
        for _ in range(2):
            self.scheduler.fleet.record_failure(agent)
        incarnations = {incarnation for incarnation, _ in self.submit()}
        self.assertEqual({b"two"}, incarnations)
        self.clock.advance(HOLD_MS)
        self.report(b"one")
        self.report(b"two", free=Room(0, 0, 0))
        starts = self.submit(
            "00000000000000bb", steps=[StepSpec(3, Room(1_000, 10, 0), 200)]
        )
        self.assertLessEqual(len(starts), 1)

    def test_a_success_ends_the_hold(self):
        fleet = self.scheduler.fleet
        agent = fleet.get(b"one")
        for _ in range(3):
            fleet.record_failure(agent)
        fleet.record_success(agent)
        self.assertIn(agent, fleet.usable_agents("pool"))

    def test_a_stalled_run_is_retried_elsewhere(self):
        ((agent, start),) = self.submit()
        ((other, _),) = self.end_run(agent, start, End.STOPPED, "stalled")
        self.assertNotEqual(agent, other)

    def test_a_low_pace_raises_the_slowness(self):
        fleet = self.scheduler.fleet
        agent = fleet.get(b"one")
        usual = fleet.current_slowness(agent)
        agent.pace = 0.25
        self.assertAlmostEqual(usual * 4, fleet.current_slowness(agent))


if __name__ == "__main__":
    unittest.main()
