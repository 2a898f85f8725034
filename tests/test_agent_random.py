"""Property tests of ``AgentCore`` on generated schedules.

A reference model records only what is visible from outside: which attempts began,
how often, and what was reported for each.
"""

import unittest

from hypothesis import given, settings, strategies as st

from plantainhitch.coordination import agent_events as e
from plantainhitch.outcomes import NotRun, Unknown
from plantainhitch.protocol import messages as m

from .test_agent_core import DONE, AgentDriver, make_start, reports_in

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
    """Drives an agent and checks its reports against the attempts that began."""

    def __init__(self, test):
        self.test = test
        self.driver = AgentDriver(slots=SLOTS)
        self.links = {}
        self.last_link_number = 0
        self.sent_keys = {entry: set() for entry in range(len(ENTRIES))}
        self.reported = {}
        self.running = []
        self.began_count = 0
        self.stale_keys = set()
        for entry in self.sent_keys:
            self.reconnect(entry)

    def reconnect(self, entry):
        """Replace the link of an entry, and resolve its attempts without a report."""
        if entry in self.links:
            self.check(self.driver.handle(e.LinkEnded(self.links[entry])))
        self.last_link_number += 1
        self.links[entry] = self.last_link_number
        self.check(self.driver.open_link(self.last_link_number, ENTRIES[entry]))
        keys = [key for key in self.sent_keys[entry] if key not in self.reported]
        self.check(self.driver.deliver(self.last_link_number, m.Resolve(sorted(keys))))

    def step(self, step):
        """Execute one step of a schedule."""
        match step:
            case ("start", entry, indexes, age_ms):
                self.start(entry, indexes, age_ms)
            case ("lost", entry, index):
                self.sent_keys[entry].add(make_start(index + 100 * entry).key)
            case ("cancel", entry, index):
                key = make_start(index + 100 * entry).key
                self.check(self.driver.deliver(self.links[entry], m.CancelBatch([key])))
            case ("relink", entry):
                self.reconnect(entry)
            case ("end", kind):
                self.end(OUTCOMES[kind])
            case ("count", busy):
                running = len(self.running)
                self.check(
                    self.driver.handle(e.BusySlotsPolled(running + busy, running))
                )
            case ("drain", draining):
                number = self.links[0]
                self.check(self.driver.deliver(number, m.Drain(draining)))
            case ("pass", duration_ms):
                self.driver.clock.advance(duration_ms)
                self.check(self.driver.handle(e.TimerTicked()))

    def start(self, entry, indexes, age_ms):
        """Deliver starts in one frame; the starts of a stale frame must not begin."""
        starts = [make_start(index + 100 * entry) for index in indexes]
        new = {start.key for start in starts} - self.sent_keys[entry]
        self.sent_keys[entry].update(new)
        if age_ms:
            self.stale_keys.update(new)
        batch = m.StartBatch(starts)
        self.check(self.driver.deliver(self.links[entry], batch, age_ms=age_ms))

    def end(self, outcome):
        """End the oldest running task."""
        if self.running:
            start = self.running.pop(0)
            self.check(self.driver.end_tasks(start, outcome=outcome))

    def check(self, messages):
        """Check the attempts that have just begun, and the reports in ``messages``."""
        began_keys = [start.key for start in self.driver.started]
        self.test.assertEqual(
            len(began_keys), len(set(began_keys)), "an attempt began twice"
        )
        self.running += self.driver.started[self.began_count :]
        self.began_count = len(began_keys)
        self.test.assertLessEqual(len(self.running), SLOTS)
        self.test.assertTrue(
            self.stale_keys.isdisjoint(began_keys), "a stale start began"
        )
        for report in reports_in(messages):
            earlier = self.reported.setdefault(report.key, report.outcome)
            self.test.assertEqual(
                earlier, report.outcome, "two outcomes for one attempt"
            )
            if report.outcome not in OUTCOMES.values():
                self.test.assertIsInstance(report.outcome, NotRun)
                self.test.assertNotIn(
                    report.key, began_keys, "reported as not run, but began"
                )

    def settle(self):
        """End all running attempts, and check that every attempt has an outcome."""
        self.check(self.driver.deliver(self.links[0], m.Drain(False)))
        for _ in range(30):
            self.end(DONE)
            self.check(self.driver.handle(e.BusySlotsPolled(0, 0)))
        for entry in self.sent_keys:
            self.reconnect(entry)
        open_keys = set().union(*self.sent_keys.values()) - set(self.reported)
        self.test.assertEqual(open_keys, set(), "attempts without an outcome")


class ScheduleTests(unittest.TestCase):
    """No schedule makes an attempt begin twice or produces a false report."""

    @settings(max_examples=300, derandomize=True, deadline=None, database=None)
    @given(STEPS)
    def test_every_attempt_has_one_true_outcome(self, steps):
        observer = Observer(self)
        for step in steps:
            observer.step(step)
        observer.settle()


if __name__ == "__main__":
    unittest.main()
