"""An entry and two agents on generated schedules, compared with a simple reference.

The reference is a single queue without failures: each task runs once, in any order,
and gets the correct answer. Under faults an answer may be missing, and the submission
fails then. A wrong answer, a second run of a task that isn't repeatable and a run of
a task that was reported "not run" are violations under any schedule.
"""

import unittest
import unittest.mock

from hypothesis import given, settings, strategies as st

from plantainhitch.coordination import agent_events as e, slots
from plantainhitch.coordination.agent_core import AgentCore
from plantainhitch.outcomes import Failed, NotRun, Reason, Succeeded, Unknown
from plantainhitch.protocol.calls import JobState

from .dispatch_world import World, answer_to

EXAMPLES = 300
AGENT_INDEX = st.integers(0, 1)
END_OUTCOMES = {
    "fails": Failed(Reason.TASK_FAILED, "no"),
    "lost": Unknown(Reason.ENDPOINT_LOST),
    "refused": NotRun(Reason.ENDPOINT_REFUSED),
}
CALM = (
    st.tuples(st.just("submit"), st.integers(1, 6)),
    st.tuples(st.just("resubmit"), st.integers(0, 5)),
    st.tuples(st.just("request"), st.booleans()),
    st.tuples(st.just("deliver"), AGENT_INDEX, st.booleans()),
    st.tuples(st.just("finish"), AGENT_INDEX),
    st.tuples(st.just("advance"), st.sampled_from((1, 20, 300))),
)
FAULTS = (
    st.tuples(st.just("cancel"), st.integers(0, 5)),
    st.tuples(st.just("end"), AGENT_INDEX, st.sampled_from(tuple(END_OUTCOMES))),
    st.tuples(st.just("cut"), AGENT_INDEX),
    st.tuples(st.just("connect"), AGENT_INDEX),
    st.tuples(st.just("kill"), AGENT_INDEX),
    st.tuples(st.just("advance"), st.sampled_from((1_500, 5_000, 16_000))),
)


def schedules(*steps):
    """Return a Hypothesis strategy for schedules, lists of these steps."""
    return st.lists(st.one_of(*steps), min_size=5, max_size=60)


def run_step(world, step):
    """Run one step of a schedule, then a placement round of the entry."""
    match step:
        case ("deliver", agent_index, to_agent):
            world.agents[agent_index].deliver(to_agent)
        case ("finish", agent_index):
            world.agents[agent_index].finish()
        case ("end", agent_index, end_name):
            world.agents[agent_index].finish(END_OUTCOMES[end_name])
        case (("cut" | "connect" | "kill") as name, agent_index):
            getattr(world.agents[agent_index], name)()
        case (name, argument):
            getattr(world, name)(argument)
    world.place()


def violations(world):
    """Yield a text for each contradiction between the starts and the outcomes."""
    for submission, job in world.submissions:
        for index, outcome in submission.outcomes.items():
            start_count = world.start_counts[submission.id, index]
            if start_count > 1 and not submission.repeatable:
                yield f"began {start_count} times"
            if isinstance(outcome, NotRun) and start_count:
                yield f"not run, but began {start_count} times"
            if isinstance(outcome, Succeeded) and outcome.body != answer_to(index):
                yield f"answer {outcome.body!r} to task {index}"
        answer = submission.answer()
        if answer.state is JobState.COMPLETE:
            count = len(job.tasks) if job else 1
            if sorted(answer.outcomes) != list(range(count)):
                yield f"complete with {sorted(answer.outcomes)} of {count} tasks"


def run_schedule(schedule):
    """Run a schedule until all its submissions have ended; return the ``World``."""
    world = World()
    for step in schedule:
        run_step(world, step)
    assert world.run_to_end(), "some submission never ended"
    return world


class DispatchTests(unittest.TestCase):
    """Generated schedules, the same ones in every run.

    Hypothesis derives them from the source text of the test methods, so a renamed
    variable there generates other schedules.
    """

    start_count = 0
    schedule_count = 0

    @classmethod
    def tearDownClass(cls):
        print(f"\n{cls.schedule_count} schedules, {cls.start_count} starts", end=" ")

    def check(self, schedule):
        world = run_schedule(schedule)
        type(self).schedule_count += 1
        type(self).start_count += world.start_counts.total()
        self.assertEqual(list(violations(world)), [])
        return world

    @settings(max_examples=EXAMPLES, derandomize=True, deadline=None, database=None)
    @given(schedules(*CALM))
    def test_without_faults_every_answer_is_the_reference_s(self, schedule):
        world = self.check(schedule)
        for submission, job in world.submissions:
            count = len(job.tasks) if job else 1
            reference = {i: Succeeded(answer_to(i)) for i in range(count)}
            self.assertEqual(submission.answer().outcomes, reference)

    @settings(max_examples=EXAMPLES, derandomize=True, deadline=None, database=None)
    @given(schedules(*CALM, *CALM, *FAULTS))
    def test_under_faults_no_answer_is_wrong(self, schedule):
        self.check(schedule)


def starts_after_drain(world):
    """Drain an endpoint while starts are under way; return the starts after that."""
    world.submit(6)
    world.place()
    agent = world.agents[0]
    agent.core.handle(e.DrainOrdered(True))
    before = world.start_counts.total()
    for _ in range(10):
        agent.deliver(to_agent=True)
        agent.finish()
    return world.start_counts.total() - before


class DrainTests(unittest.TestCase):
    """No task begins at a drained endpoint.

    Starts that were sent before the entry knew of the drain arrive after it.
    """

    def test_drained_endpoint_begins_nothing(self):
        self.assertEqual(starts_after_drain(World()), 0)

    def test_detects_a_drain_that_only_informs_the_entries(self):
        patch_object = unittest.mock.patch.object
        with (
            patch_object(slots.SlotTable, "is_draining", False),
            patch_object(AgentCore, "is_draining", False),
        ):
            self.assertGreater(starts_after_drain(World()), 0)


class BrokenVariantTests(unittest.TestCase):
    """The checks above detect deliberately broken variants."""

    def violations_of(self, schedule):
        return list(violations(run_schedule(schedule)))

    def test_detects_a_retry_after_an_unknown_outcome(self):
        def retry_always(task, outcome):
            return not isinstance(outcome, Succeeded) and task.attempt < 3

        schedule = [("submit", 1), ("deliver", 0, True), ("deliver", 1, True)]
        schedule += [("kill", 0), ("kill", 1)]
        self.assertEqual(self.violations_of(schedule), [])
        with unittest.mock.patch(
            "plantainhitch.coordination.dispatcher.may_retry", retry_always
        ):
            self.assertIn("began 2 times", self.violations_of(schedule))

    def test_detects_a_not_run_report_of_an_attempt_that_began(self):
        schedule = [("submit", 1), ("deliver", 0, True), ("deliver", 1, True)]
        schedule += [("cut", 0), ("cut", 1), ("connect", 0), ("connect", 1)]
        self.assertEqual(self.violations_of(schedule), [])

        def resolve_as_not_run(table, entry, keys):
            from plantainhitch.protocol.messages import Report

            return [Report(key, NotRun(Reason.STALE_START)) for key in keys]

        with unittest.mock.patch.object(slots.SlotTable, "resolve", resolve_as_not_run):
            self.assertTrue(self.violations_of(schedule))
