"""Containment of queues whose tasks crash endpoints: which, how long, and where."""

import unittest

from plantainhitch.coordination.jobs.contained_queues import (
    CONTAINMENT_MS,
    SUSPICION_MS,
)
from plantainhitch.coordination.jobs.outcomes import GaveUp, NeverRan
from plantainhitch.coordination.jobs.sections import Division, Section, divide
from plantainhitch.protocol import messages as m
from plantainhitch.state.crashes import CrashedRun, EndpointCrash
from plantainhitch.state.endpoints import End
from plantainhitch.state.jobs import JobSpec, Room, StepSpec
from plantainhitch.state.queue_ranks import QueueRanks
from plantainhitch.state.routes import Route

from .test_job_scheduler import CAPACITY, ROUTE, SchedulerCase
from .test_run_controller import OTHER, OWNER, RunControllerCase

OTHER_ROUTE = Route("other", "host", "/o/", "pool", 0, 2, stretch=2.0, target_ms=100)
AGENTS = [b"agent-%d" % number for number in range(10)]


def crash(number, *runs, age_ms=0):
    """Return a crash; ``runs`` are triples of a job's number, a queue and a run time.

    The lifetime and the endpoint's id follow from ``number``.
    """
    return EndpointCrash(
        f"e-{number}",
        number,
        tuple(CrashedRun(f"{job:016x}.0.0.0", queue, ms) for job, queue, ms in runs),
        age_ms,
    )


class ContainmentCase(SchedulerCase):
    """A scheduler with ten agents."""

    def setUp(self):
        super().setUp()
        for name in (b"one", b"two"):
            self.scheduler.agent_unlinked(name, self.links[name])
        for name in AGENTS:
            self.join(name)

    def report_crash(self, reported, agent=AGENTS[0]):
        message = m.RunReports(
            1, 99, [], CAPACITY, (CAPACITY.cpu_millis,) * 6, crashes=[reported]
        )
        self.scheduler.handle_agent_message(agent, message)

    def blame(self, queue="queue", first_job=1):
        """Report two crashes, one of them with a task of a queue alone."""
        other = first_job + 1_000_000, "x", 700
        self.report_crash(crash(first_job, (first_job, queue, 60), other), AGENTS[0])
        self.report_crash(crash(first_job + 1, (first_job, queue, 60)), AGENTS[1])

    def advance(self, duration_ms):
        self.clock.advance(duration_ms)
        for name in AGENTS:
            self.links[name].last_received_ms = self.clock.now_ms()

    def place(self, route, jobs=12):
        """Submit one-task jobs; return the names of the agents that they start at."""
        names = set()
        for _ in range(jobs):
            self.job_number = getattr(self, "job_number", 1_000) + 1
            spec = JobSpec(
                f"{self.job_number:016x}", "", (StepSpec(1, Room(1_000, 10, 0), 200),)
            )
            on_end = self.outcomes.setdefault(spec.job_id, [])
            self.scheduler.submit(spec, route, 60_000, on_end.append)
            names.update(incarnation for incarnation, _ in self.starts())
        return names

    def is_kept_apart(self):
        """Return whether jobs of the two queues run on different endpoints."""
        names = []
        for route in (ROUTE, OTHER_ROUTE):
            names.append(self.place(route, 12))
            self.end_all_runs()
        self.assertTrue(all(names))
        return not names[0] & names[1]

    def end_all_runs(self):
        for name in AGENTS:
            agent = self.scheduler.fleet.get(name)
            ends = [m.RunEnd(t.key, End.DONE, "") for t in agent.tasks.values()]
            self.report(name, ends=ends)
        self.scheduler.run_round()


class ContainedQueueTests(ContainmentCase):
    """Which queues are contained, and for how long."""

    def test_jobs_of_a_probable_queue_and_of_others_run_on_different_endpoints(self):
        # Each further job of the kind crashed another endpoint, with all its runs.
        self.assertFalse(self.is_kept_apart())
        self.blame()
        self.assertTrue(self.is_kept_apart())

    def test_a_second_crash_right_after_the_start_contains_a_queue(self):
        self.report_crash(crash(1, (1, "queue", 60), (2, "other", 700)))
        self.assertFalse(self.is_kept_apart())
        self.report_crash(crash(2, (1, "queue", 60), (3, "other", 700)), AGENTS[1])
        self.assertTrue(self.is_kept_apart())

    def test_a_second_crash_long_after_the_start_contains_no_queue(self):
        # Long runs are in many crashes that others cause.
        self.report_crash(crash(1, (1, "queue", 900)))
        for number in range(2, 5):
            self.report_crash(crash(number, (number, "x", 1)), AGENTS[number])
        reported = crash(9, (1, "queue", 900), (9, "other", 60))
        self.report_crash(reported, AGENTS[9])
        self.assertFalse(self.is_kept_apart())

    def test_a_probable_queue_explains_crashes_and_releases_suspected_ones(self):
        for number in (1, 2):
            reported = crash(number, (1, "other", 60), (number + 1, "third", 5))
            self.report_crash(reported, AGENTS[number])
        queues = self.scheduler._containment._queues
        self.assertEqual({"other"}, queues.names("pool"))
        self.blame(first_job=5)
        self.assertEqual({"queue"}, queues.names("pool"))
        self.report_crash(crash(11, (11, "queue", 60), (12, "other", 60)), AGENTS[2])
        self.report_crash(crash(12, (13, "queue", 60), (12, "other", 60)), AGENTS[3])
        self.assertEqual({"queue"}, queues.names("pool"))

    def test_a_queue_with_one_deadly_job_is_contained_shortly(self):
        self.blame()
        self.advance(SUSPICION_MS + 1)
        self.assertFalse(self.is_kept_apart())

    def test_a_queue_with_several_deadly_jobs_is_contained_longer(self):
        self.blame()
        self.blame(first_job=5)
        self.advance(SUSPICION_MS + 1)
        self.assertTrue(self.is_kept_apart())
        self.advance(CONTAINMENT_MS)
        self.assertFalse(self.is_kept_apart())

    def test_a_queue_of_another_pool_is_not_kept_apart(self):
        self.blame()
        queues = self.scheduler._containment._queues
        self.assertEqual(frozenset(), set(queues.names("elsewhere")))

    def test_crashes_from_before_the_start_of_an_entry_contain_by_their_age(self):
        old = CONTAINMENT_MS + 1
        self.report_crash(crash(1, (1, "queue", 60), age_ms=old))
        self.report_crash(crash(2, (1, "queue", 60), age_ms=old), AGENTS[1])
        self.assertFalse(self.is_kept_apart())

    def test_an_entry_that_starts_later_learns_what_others_contain(self):
        # The owner of the deadly jobs was killed, and its successor crashed the fleet.
        loads = [m.QueueLoad("queue", 0.2, 100, 4_000), m.QueueLoad("other", 0.2, 100)]
        self.scheduler.handle_agent_message(AGENTS[0], m.QueueLoads(loads))
        self.assertTrue(self.is_kept_apart())
        self.advance(4_001)
        self.assertFalse(self.is_kept_apart())

    def test_probable_queues_are_reported_with_the_loads(self):
        self.place(ROUTE, 1)
        self.blame()
        self.advance(1_000)
        loads = [
            load
            for _, message in self.scheduler.run_round()
            if isinstance(message, m.QueueLoads)
            for load in message.loads
        ]
        self.assertTrue(loads)
        self.assertEqual({SUSPICION_MS - 1_000}, {load.contained_ms for load in loads})


class ContainedJobTests(ContainmentCase):
    """What becomes of the jobs of a contained queue."""

    def section_names(self, section):
        fleet = self.scheduler.fleet
        return divide(fleet.agents.values(), fleet._division)[section]

    def test_a_job_of_a_contained_queue_without_an_endpoint_is_refused_at_once(self):
        self.blame()
        for name in self.section_names(Section.CONTAINED):
            status = m.EndpointStatus("e", 1, "pool", ready=False, capacity=CAPACITY)
            self.scheduler.handle_agent_message(name.encode(), status)
        self.place(ROUTE, 1)
        (outcome,) = self.outcomes[f"{self.job_number:016x}"]
        self.assertIsInstance(outcome, NeverRan)
        self.assertEqual(1, len(self.place(OTHER_ROUTE, 1)))

    def test_others_use_the_whole_pool_if_their_part_is_down(self):
        self.blame()
        for name in self.section_names(Section.OPEN):
            status = m.EndpointStatus("e", 1, "pool", ready=False, capacity=CAPACITY)
            self.scheduler.handle_agent_message(name.encode(), status)
        self.assertEqual(1, len(self.place(OTHER_ROUTE, 1)))

    def test_a_suspected_job_of_a_contained_queue_is_isolated_and_given_up_late(self):
        self.blame()
        self.place(ROUTE, 1)
        job_id = f"{self.job_number:016x}"
        (task,) = self.scheduler.jobs[job_id].placed_tasks()
        agent = task.agent
        self.report_crash(crash(77, (self.job_number, "queue", 60)), agent)
        isolation = self.section_names(Section.ISOLATION)
        self.report(agent, ends=[m.RunEnd(task.key, End.LOST, "crashed")])
        ((incarnation, start),) = self.starts()
        self.assertIn(incarnation.decode(), isolation)
        self.assertTrue(start.is_isolated)
        ends = [m.RunEnd(start.key, End.NOT_STARTED, "no room in time")]
        for name in isolation:
            status = m.EndpointStatus("e", 1, "pool", ready=False, capacity=CAPACITY)
            self.scheduler.handle_agent_message(name.encode(), status)
        self.report(incarnation, ends=ends)
        self.advance(1_600)  # three objectives of 500 ms
        self.scheduler.run_round()
        (outcome,) = self.outcomes[job_id]
        self.assertIsInstance(outcome, GaveUp)


class DivisionTests(ContainmentCase):
    """The sections of a pool."""

    def divide(self, names, share, first_names=()):
        agents = [self.scheduler.fleet.get(name) for name in names]
        return divide(agents, Division(share, frozenset(first_names)))

    def test_the_sections_cover_the_pool_and_do_not_overlap(self):
        for share in (0.0, 0.2, 0.5):
            sections = self.divide(AGENTS, share)
            rest = sections[Section.ANY_CONTAINED]
            self.assertEqual(
                {name.decode() for name in AGENTS}, sections[Section.OPEN] | rest
            )
            self.assertFalse(sections[Section.OPEN] & rest)
            self.assertTrue(sections[Section.OPEN])
            self.assertTrue(sections[Section.CONTAINED])
            self.assertTrue(sections[Section.ISOLATION])

    def test_one_agent_belongs_to_the_contained_section_and_two_are_divided(self):
        self.assertEqual(set(), self.divide(AGENTS[:1], 0.4)[Section.OPEN])
        self.assertEqual(1, len(self.divide(AGENTS[:2], 0.9)[Section.OPEN]))

    def test_endpoints_that_crashed_are_contained_first_and_not_for_proofs(self):
        crashed = {"agent-3", "agent-7"}
        sections = self.divide(AGENTS, 0.4, crashed)
        self.assertLessEqual(crashed, sections[Section.CONTAINED])
        self.assertFalse(crashed & sections[Section.ISOLATION])

    def test_the_order_of_the_agents_does_not_matter(self):
        self.assertEqual(self.divide(AGENTS, 0.4), self.divide(AGENTS[::-1], 0.4))


class AgentTests(RunControllerCase):
    """What agents pass on between entries."""

    def test_a_contained_queue_is_passed_on_until_its_time_is_over(self):
        self.controller.handle_queue_loads(OWNER, [m.QueueLoad("q", 0.2, 100, 900)])
        self.controller.owners.link_closed(OWNER)
        self.clock.advance(400)
        total = self.controller.handle_queue_loads(OTHER, [])
        self.assertEqual([m.QueueLoad("q", 0.0, 0, 500)], total.loads)
        self.clock.advance(500)
        self.assertEqual([], self.controller.handle_queue_loads(OTHER, []).loads)

    def test_no_room_is_reserved_for_a_contained_queue(self):
        loads = [m.QueueLoad("short", 0.25, 100), m.QueueLoad("long", 0.5, 900)]
        self.assertGreater(QueueRanks(loads).reserved_share("long"), 0)
        loads[0] = m.QueueLoad("short", 0.25, 100, 1_000)
        self.assertEqual(0, QueueRanks(loads).reserved_share("long"))


if __name__ == "__main__":
    unittest.main()
