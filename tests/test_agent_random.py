"""The agent's decisions against a naive reference, on generated schedules.

The reference keeps only what an outside observer may hold: which attempts began,
how often, and what was said of each.
"""

import unittest

from hypothesis import given, settings, strategies as st

from plantainhitch.coordination import agent_events as e
from plantainhitch.outcomes import NotRun, Unknown
from plantainhitch.protocol import messages as m

from .test_agent_core import DONE, AgentDriver, reports_in, start_of

ENTRIES = (b"entry-a", b"entry-b")
SLOTS = 2
TASK = st.integers(0, 11)
TASKS = st.lists(TASK, min_size=1, max_size=4, unique=True)
ENTRY = st.integers(0, len(ENTRIES) - 1)

STEPS = st.lists(
    st.one_of(
        st.tuples(st.just("start"), ENTRY, TASKS, st.sampled_from((0, 0, 0, 10_001))),
        st.tuples(st.just("start"), ENTRY, TASKS, st.just(0)),
        st.tuples(st.just("lost"), ENTRY, TASK),
        st.tuples(st.just("cancel"), ENTRY, TASK),
        st.tuples(st.just("relink"), ENTRY),
        st.tuples(st.just("end"), st.sampled_from(("done", "unknown", "refused"))),
        st.tuples(st.just("count"), st.integers(0, SLOTS)),
        st.tuples(st.just("drain"), st.booleans()),
        st.tuples(st.just("pass"), st.sampled_from((10, 5_000, 10_001, 40_000))),
    ),
    min_size=10,
    max_size=60,
)
OUTCOMES = {
    "done": DONE,
    "unknown": Unknown("endpoint_lost"),
    "refused": NotRun("endpoint_refused"),
}


class Observer:
    """Drives an agent and checks what it says against what began."""

    def __init__(self, test):
        self.test = test
        self.driver = AgentDriver(slots=SLOTS)
        self.links = {}
        self.numbers = 0
        self.sent = {entry: set() for entry in range(len(ENTRIES))}
        self.said = {}
        self.running = []
        self.begun = 0
        self.stale = set()
        for entry in self.sent:
            self.relink(entry)

    def relink(self, entry):
        """Cut the link of an entry, dial again, and ask for what is open."""
        if entry in self.links:
            self.note(self.driver.do(e.LinkEnded(self.links[entry])))
        self.numbers += 1
        self.links[entry] = self.numbers
        self.note(self.driver.link(self.numbers, ENTRIES[entry]))
        keys = [key for key in self.sent[entry] if key not in self.said]
        self.note(self.driver.say(self.numbers, m.Resolve(sorted(keys))))

    def step(self, step):
        """Do one step of a schedule."""
        match step:
            case ("start", entry, indexes, age_ms):
                self.start(entry, indexes, age_ms)
            case ("lost", entry, index):
                self.sent[entry].add(start_of(index + 100 * entry).key)
            case ("cancel", entry, index):
                key = start_of(index + 100 * entry).key
                self.note(self.driver.say(self.links[entry], m.CancelBatch([key])))
            case ("relink", entry):
                self.relink(entry)
            case ("end", kind):
                self.end(OUTCOMES[kind])
            case ("count", busy):
                running = len(self.running)
                self.note(self.driver.do(e.BusySlotsPolled(running + busy, running)))
            case ("drain", draining):
                number = self.links[0]
                self.note(self.driver.say(number, m.Drain(draining)))
            case ("pass", duration_ms):
                self.driver.clock.advance(duration_ms)
                self.note(self.driver.do(e.TimerTicked()))

    def start(self, entry, indexes, age_ms):
        """Send starts in one frame; a stale frame must begin nothing."""
        starts = [start_of(index + 100 * entry) for index in indexes]
        new = {start.key for start in starts} - self.sent[entry]
        self.sent[entry].update(new)
        if age_ms:
            self.stale.update(new)
        batch = m.StartBatch(starts)
        self.note(self.driver.say(self.links[entry], batch, age_ms=age_ms))

    def end(self, outcome):
        """End the oldest running task."""
        if self.running:
            start = self.running.pop(0)
            self.note(self.driver.end(start, outcome=outcome))

    def note(self, messages):
        """Check what the agent has just said and begun."""
        begun = [start.key for start in self.driver.started]
        self.test.assertEqual(len(begun), len(set(begun)), "an attempt began twice")
        self.running += self.driver.started[self.begun :]
        self.begun = len(begun)
        self.test.assertLessEqual(len(self.running), SLOTS)
        self.test.assertTrue(self.stale.isdisjoint(begun), "a stale start began")
        for report in reports_in(messages):
            earlier = self.said.setdefault(report.key, report.outcome)
            self.test.assertEqual(earlier, report.outcome, "two outcomes for one")
            if report.outcome not in OUTCOMES.values():
                self.test.assertIsInstance(report.outcome, NotRun)
                self.test.assertNotIn(report.key, begun, "said not run, but began")

    def settle(self):
        """Let all that is open end; then every attempt has one outcome."""
        self.note(self.driver.say(self.links[0], m.Drain(False)))
        for _ in range(30):
            self.end(DONE)
            self.note(self.driver.do(e.BusySlotsPolled(0, 0)))
        for entry in self.sent:
            self.relink(entry)
        open_keys = set().union(*self.sent.values()) - set(self.said)
        self.test.assertEqual(open_keys, set(), "no outcome was ever said")


class ScheduleTests(unittest.TestCase):
    """No schedule makes the agent begin twice or say what isn't so."""

    @settings(max_examples=300, derandomize=True, deadline=None, database=None)
    @given(STEPS)
    def test_every_attempt_has_one_true_outcome(self, steps):
        observer = Observer(self)
        for step in steps:
            observer.step(step)
        observer.settle()


if __name__ == "__main__":
    unittest.main()
