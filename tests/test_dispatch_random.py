"""Entry and agents together on drawn schedules, against a naive reference.

The reference is one queue without failures: each task runs once, in any order, and
its answer is the right one. Under faults an answer may be missing, and then the
submission is failed; it may never differ, and nothing may run that was "not run".
"""

import unittest
import unittest.mock

from hypothesis import given, settings, strategies as st

from plantainhitch.coordination import agent_events as e, slots
from plantainhitch.coordination.agent_core import AgentCore
from plantainhitch.outcomes import Failed, NotRun, Reason, Succeeded, Unknown
from plantainhitch.protocol.calls import JobState

from .small_world import World, answer_to

EXAMPLES = 300
SIDE = st.integers(0, 1)
ENDINGS = {
    "fails": Failed(Reason.TASK_FAILED, "no"),
    "lost": Unknown(Reason.ENDPOINT_LOST),
    "refused": NotRun(Reason.ENDPOINT_REFUSED),
}
CALM = (
    st.tuples(st.just("submit"), st.integers(1, 6)),
    st.tuples(st.just("resubmit"), st.integers(0, 5)),
    st.tuples(st.just("request"), st.booleans()),
    st.tuples(st.just("deliver"), SIDE, st.booleans()),
    st.tuples(st.just("finish"), SIDE),
    st.tuples(st.just("advance"), st.sampled_from((1, 20, 300))),
)
FAULTS = (
    st.tuples(st.just("cancel"), st.integers(0, 5)),
    st.tuples(st.just("end"), SIDE, st.sampled_from(tuple(ENDINGS))),
    st.tuples(st.just("cut"), SIDE),
    st.tuples(st.just("connect"), SIDE),
    st.tuples(st.just("kill"), SIDE),
    st.tuples(st.just("advance"), st.sampled_from((1_500, 5_000, 16_000))),
)


def schedules(*steps):
    """Return a strategy of schedules made of these steps."""
    return st.lists(st.one_of(*steps), min_size=5, max_size=60)


def do(world, step):
    """Do one step, then what the entry decides."""
    match step:
        case ("deliver", side, to_agent):
            world.sides[side].deliver(to_agent)
        case ("finish", side):
            world.sides[side].finish()
        case ("end", side, ending):
            world.sides[side].finish(ENDINGS[ending])
        case (("cut" | "connect" | "kill") as name, side):
            getattr(world.sides[side], name)()
        case (name, argument):
            getattr(world, name)(argument)
    world.place()


def violations(world):
    """Yield what the ledger and the answers have against each other."""
    for submission, job in world.submissions:
        for index, outcome in submission.outcomes.items():
            began = world.began[submission.id, index]
            if began > 1 and not submission.repeatable:
                yield f"began {began} times"
            if isinstance(outcome, NotRun) and began:
                yield f"not run, but began {began} times"
            if isinstance(outcome, Succeeded) and outcome.body != answer_to(index):
                yield f"answer {outcome.body!r} to task {index}"
        answer = submission.answer()
        if answer.state is JobState.COMPLETE:
            count = len(job.tasks) if job else 1
            if sorted(answer.outcomes) != list(range(count)):
                yield f"complete with {sorted(answer.outcomes)} of {count} tasks"


def run(schedule):
    """Run a schedule to the end of all its submissions; return the world."""
    world = World()
    for step in schedule:
        do(world, step)
    assert world.settle(), "some submission never ended"
    return world


class DispatchTests(unittest.TestCase):
    """Drawn schedules; the same ones in every run."""

    start_count = 0
    schedule_count = 0

    @classmethod
    def tearDownClass(cls):
        print(f"\n{cls.schedule_count} schedules, {cls.start_count} starts", end=" ")

    def check(self, schedule):
        world = run(schedule)
        type(self).schedule_count += 1
        type(self).start_count += world.began.total()
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


def begun_after_drain(world):
    """Drain an endpoint with frames under way; return how many starts follow it."""
    world.submit(6)
    world.place()
    side = world.sides[0]
    side.core.handle(e.DrainOrdered(True))
    before = world.began.total()
    for _ in range(10):
        side.deliver(to_agent=True)
        side.finish()
    return world.began.total() - before


class DrainTests(unittest.TestCase):
    """Nothing begins at a drained endpoint, whatever is under way to it."""

    def test_drained_endpoint_begins_nothing(self):
        self.assertEqual(begun_after_drain(World()), 0)

    def test_drain_that_only_tells_the_entries_is_found_out(self):
        patch = unittest.mock.patch.object
        with (
            patch(slots.SlotTable, "is_draining", False),
            patch(AgentCore, "is_draining", False),
        ):
            self.assertGreater(begun_after_drain(World()), 0)


class BrokenVariantTests(unittest.TestCase):
    """The same checks find variants that are broken on purpose."""

    def find(self, schedule):
        return list(violations(run(schedule)))

    def test_start_again_after_an_unknown_outcome(self):
        def always(task, outcome):
            return not isinstance(outcome, Succeeded) and task.attempt < 3

        schedule = [("submit", 1), ("deliver", 0, True), ("deliver", 1, True)]
        schedule += [("kill", 0), ("kill", 1)]
        self.assertEqual(self.find(schedule), [])
        with unittest.mock.patch(
            "plantainhitch.coordination.dispatcher.may_retry", always
        ):
            self.assertIn("began 2 times", self.find(schedule))

    def test_unseen_attempt_reported_not_run_although_it_began(self):
        schedule = [("submit", 1), ("deliver", 0, True), ("deliver", 1, True)]
        schedule += [("cut", 0), ("cut", 1), ("connect", 0), ("connect", 1)]
        self.assertEqual(self.find(schedule), [])

        def forgetful(table, entry, keys):
            from plantainhitch.protocol.messages import Report

            return [Report(key, NotRun(Reason.STALE_START)) for key in keys]

        with unittest.mock.patch.object(slots.SlotTable, "resolve", forgetful):
            self.assertTrue(self.find(schedule))
