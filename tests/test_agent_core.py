"""Tests of ``AgentCore`` under a manual clock."""

import unittest

from plantainhitch.clock import ManualClock
from plantainhitch.coordination import agent_events as e
from plantainhitch.coordination.agent_core import AgentCore
from plantainhitch.coordination.slots import START_VALID_MS
from plantainhitch.coordination.start_queue import MAX_WAITING_PER_CLASS
from plantainhitch.outcomes import NotRun, Reason, Succeeded, Unknown
from plantainhitch.protocol import messages as m
from plantainhitch.state.classes import ClassDefinition, ClassDocument, TeamQuota
from plantainhitch.transport.addresses import Address

ENDPOINT = e.EndpointInfo("ep", Address("127.0.0.1", 1), slots=8)
DONE = Succeeded(b"1")
# After a drain was requested, no task may start at the endpoint later than this.
DRAIN_LIMIT_MS = 5_000


def make_document(version=1, **team_quotas):
    """Return a document with three classes, each in a team with the same name."""
    classes = [
        ClassDefinition("sync", 200, claims_at_least=0.25, team="sync"),
        ClassDefinition("render", 500, claims_at_least=0.5, team="render"),
        ClassDefinition("report", 30_000, claims_at_least=0.0, team="report"),
    ]
    teams = {name: TeamQuota(name, share) for name, share in team_quotas.items()}
    return ClassDocument(version, "id", "me", {c.name: c for c in classes}, teams)


class AgentDriver:
    """An ``AgentCore`` with the messages, starts and cancellations that it returned."""

    def __init__(self, slots=8, busy=0, **team_quotas):
        self.clock = ManualClock(1_000_000)
        self.core = AgentCore(self.clock, name="agent")
        self.sent = []
        self.started = []
        self.cancelled = []
        self.next_index = 0
        endpoint = e.EndpointInfo("ep", ENDPOINT.address, slots)
        self.handle(e.EndpointAnnounced(endpoint), e.BusySlotsPolled(busy, 0))
        self.document = make_document(**team_quotas)

    def handle(self, *events):
        """Handle events, run one round and return its messages."""
        for event in events:
            self.core.handle(event)
        result = self.core.run_round()
        self.sent.extend(result.messages)
        self.started.extend(result.starts)
        self.cancelled.extend(result.cancels)
        return result.messages

    def open_link(self, number, entry=None, version=1, link_number=0):
        """Open a link and deliver the configuration on it.

        ``link_number`` is the number that the entry has given to the link.
        """
        hello = m.Hello(
            m.ROLE_ENTRY,
            entry or b"entry%d" % number,
            "e",
            "z",
            configuration_version=version,
            link_number=link_number,
        )
        opened = e.LinkOpened(number, None, hello)
        configuration = m.Configuration(1, self.document.to_json())
        return self.handle(opened) + self.deliver(number, configuration)

    def deliver(self, number, message, ack=0, age_ms=0):
        """Deliver a message from an entry whose echo is ``age_ms`` old."""
        echo_ms = self.clock.now_ms() - age_ms
        return self.handle(
            e.FrameReceived(number, m.Envelope(message, 0, echo_ms, ack))
        )

    def send_starts(self, number, count=1, name="render", age_ms=0):
        """Deliver ``count`` new starts on a link; return the messages."""
        first, self.next_index = self.next_index, self.next_index + count
        starts = [make_start(index, name) for index in range(first, first + count)]
        return self.deliver(number, m.StartBatch(starts), age_ms=age_ms)

    def end_tasks(self, *starts, outcome=DONE):
        """End running tasks in one round; return its messages."""
        return self.handle(*(e.TaskEnded(start.key, outcome) for start in starts))


def make_start(index, name="render", attempt=1):
    """Return a start of one attempt of the test submission."""
    return m.Start(m.TaskKey(b"s" * 40, index, attempt), name, b"{}", 5_000)


def reports_in(messages):
    """Return all reports in the messages."""
    found = []
    for _, message in messages:
        if isinstance(message, m.ReportBatch):
            found.extend(message.reports)
    return found


def outcomes_in(messages):
    """Return the outcomes of all reports in the messages."""
    return [report.outcome for report in reports_in(messages)]


class StartTests(unittest.TestCase):
    """An attempt starts at most once, and only while it is allowed to."""

    def test_starts_beyond_the_slots_wait(self):
        driver = AgentDriver(slots=2)
        driver.open_link(1)
        self.assertEqual(driver.send_starts(1, 4), [])
        self.assertEqual([s.key.index for s in driver.started], [0, 1])
        ((_, batch),) = driver.end_tasks(driver.started[0])
        self.assertEqual(batch.spare, -1)
        self.assertEqual(batch.waiting, [m.Waiting("render", 1)])
        self.assertEqual([s.key.index for s in driver.started], [0, 1, 2])

    def test_duplicate_start_runs_once(self):
        driver = AgentDriver()
        driver.open_link(1)
        batch = m.StartBatch([make_start(0)])
        driver.deliver(1, batch)
        driver.deliver(1, batch)
        self.assertEqual(len(driver.started), 1)
        first = reports_in(driver.end_tasks(driver.started[0]))
        again = reports_in(driver.deliver(1, batch))
        self.assertEqual(first, again)
        self.assertEqual(len(driver.started), 1)

    def test_duplicate_after_acknowledgement_never_starts(self):
        driver = AgentDriver()
        driver.open_link(1)
        driver.send_starts(1)
        driver.end_tasks(driver.started[0])
        driver.deliver(1, m.StartBatch([make_start(0)]), ack=1)
        self.assertEqual(len(driver.started), 1)

    def test_stale_start_is_refused_for_good(self):
        driver = AgentDriver()
        driver.open_link(1)
        batch = m.StartBatch([make_start(0)])
        refused = NotRun(Reason.STALE_START)
        self.assertEqual(
            outcomes_in(driver.deliver(1, batch, age_ms=10_001)), [refused]
        )
        self.assertEqual(outcomes_in(driver.deliver(1, batch)), [refused])
        self.assertEqual(driver.started, [])

    def test_a_link_whose_hello_was_overtaken_does_not_become_the_newest(self):
        # The reports were sent on a link that the entry had closed.
        driver = AgentDriver(slots=1)
        driver.open_link(1, b"entry", link_number=2)
        driver.open_link(2, b"entry", link_number=1)
        driver.send_starts(1)
        ((number, _),) = driver.end_tasks(driver.started[0])
        self.assertEqual(1, number)

    def test_an_order_of_a_replaced_link_does_not_end_a_drain(self):
        # It was held up on the connection before the operator drained the endpoint.
        driver = AgentDriver()
        driver.open_link(1, b"entry", link_number=1)
        driver.open_link(2, b"entry", link_number=2)
        driver.deliver(2, m.Drain(True))
        driver.deliver(1, m.Drain(False))
        self.assertTrue(driver.core.is_draining)
        driver.deliver(2, m.Drain(False))
        self.assertFalse(driver.core.is_draining)

    def test_refused_waiting_start_is_reported_on_the_newest_link(self):
        # The link of the start may be dead without the agent having detected it. A
        # report on it would be lost, and the entry would keep waiting for it.
        for end_old_link in (True, False):
            with self.subTest(end_old_link=end_old_link):
                driver = AgentDriver(slots=1)
                driver.open_link(1, b"entry")
                driver.send_starts(1, 2)
                waiting = make_start(1).key
                driver.open_link(2, b"entry")
                driver.deliver(2, m.Resolve([waiting]))
                driver.clock.advance(START_VALID_MS + 1)
                ended = e.LinkEnded(1) if end_old_link else e.TimerTicked()
                ((number, batch),) = driver.handle(ended)
                self.assertEqual(number, 2)
                self.assertEqual([r.key for r in batch.reports], [waiting])

    def test_start_that_waited_through_a_pause_never_begins(self):
        # The first event after the pause frees a slot before any timer event has
        # removed the expired start.
        driver = AgentDriver(slots=1)
        driver.open_link(1)
        driver.send_starts(1, 2)
        driver.clock.advance(START_VALID_MS + 1)
        outcomes = outcomes_in(driver.end_tasks(driver.started[0]))
        self.assertIn(NotRun(Reason.STALE_START), outcomes)
        self.assertEqual(len(driver.started), 1)

    def test_validity_ends_before_a_drain_must_be_complete(self):
        driver = AgentDriver()
        driver.open_link(1)
        refused = outcomes_in(driver.send_starts(1, age_ms=DRAIN_LIMIT_MS))
        self.assertEqual(refused, [NotRun(Reason.STALE_START)])

    def test_queue_is_bounded_for_each_entry_and_class(self):
        driver = AgentDriver(slots=1)
        driver.open_link(1)
        driver.open_link(2)
        reports = reports_in(driver.send_starts(1, 1 + MAX_WAITING_PER_CLASS + 1))
        self.assertEqual([r.outcome.reason for r in reports], [Reason.OVERLOADED])
        self.assertEqual(driver.send_starts(2), [])
        self.assertEqual(driver.send_starts(1, name="sync"), [])

    def test_waiting_start_never_begins_late(self):
        driver = AgentDriver(slots=1)
        driver.open_link(1)
        driver.send_starts(1, 2)
        driver.clock.advance(10_001)
        (outcome,) = outcomes_in(driver.handle(e.TimerTicked()))
        self.assertEqual(outcome, NotRun(Reason.STALE_START))
        driver.end_tasks(driver.started[0])
        self.assertEqual(len(driver.started), 1)

    def test_waiting_starts_of_a_lost_link_never_begin(self):
        driver = AgentDriver(slots=1)
        driver.open_link(1, b"entry")
        driver.send_starts(1, 2)
        driver.handle(e.LinkEnded(1))
        driver.end_tasks(driver.started[0])
        driver.open_link(2, b"entry")
        keys = [make_start(index).key for index in range(2)]
        outcomes = outcomes_in(driver.deliver(2, m.Resolve(keys)))
        self.assertCountEqual(outcomes, [DONE, NotRun(Reason.STALE_START)])
        self.assertEqual(len(driver.started), 1)

    def test_cancelled_while_waiting_is_not_run(self):
        driver = AgentDriver(slots=1)
        driver.open_link(1)
        driver.send_starts(1, 2)
        keys = [make_start(index).key for index in range(2)]
        reports = reports_in(driver.deliver(1, m.CancelBatch(keys)))
        self.assertEqual(reports, [m.Report(keys[1], NotRun(Reason.CANCELLED))])
        self.assertEqual(driver.cancelled, [keys[0]])
        driver.end_tasks(driver.started[0])
        self.assertEqual(len(driver.started), 1)

    def test_nothing_starts_without_configuration(self):
        driver = AgentDriver()
        driver.handle(e.LinkOpened(1, None, m.Hello(m.ROLE_ENTRY, b"e1", "e")))
        (outcome,) = outcomes_in(driver.send_starts(1))
        self.assertEqual(outcome.reason, Reason.NO_CONFIGURATION)

    def test_older_configuration_is_ignored(self):
        driver = AgentDriver()
        driver.open_link(1)
        driver.deliver(1, m.Configuration(5, make_document(5).to_json()))
        driver.deliver(1, m.Configuration(4, make_document(4).to_json()))
        self.assertEqual(driver.core.configuration_version, 5)
        hello = m.Hello(m.ROLE_ENTRY, b"e2", "e", configuration_version=4)
        sent = driver.handle(e.LinkOpened(2, None, hello))
        versions = [x.version for _, x in sent if isinstance(x, m.Configuration)]
        self.assertEqual(versions, [5])

    def test_drain_refuses_at_once_and_lets_the_rest_finish(self):
        driver = AgentDriver(slots=1)
        driver.open_link(1)
        driver.send_starts(1, 2)
        sent = driver.deliver(1, m.Drain(True))
        self.assertTrue(sent[0][1].draining)
        self.assertEqual(outcomes_in(sent), [NotRun(Reason.DRAINING)])
        self.assertEqual(outcomes_in(driver.send_starts(1)), [NotRun(Reason.DRAINING)])
        driver.end_tasks(driver.started[0])
        self.assertEqual(len(driver.started), 1)
        self.assertFalse(driver.core.is_settled)
        driver.deliver(1, m.Heartbeat(), ack=3)
        self.assertTrue(driver.core.is_settled)
        driver.deliver(1, m.Drain(False))
        driver.send_starts(1)
        self.assertEqual(len(driver.started), 2)

    def test_nothing_starts_while_membership_is_read_again(self):
        driver = AgentDriver()
        driver.open_link(1)
        driver.handle(e.StartsPaused(True))
        driver.send_starts(1)
        self.assertEqual(driver.started, [])
        driver.handle(e.StartsPaused(False))
        self.assertEqual(len(driver.started), 1)


class ResolveTests(unittest.TestCase):
    """After a lost link, an entry gets the outcome of each attempt."""

    def test_each_attempt_is_resolved_after_a_lost_link(self):
        # Of three attempts one has ended, one runs and one never arrived.
        driver = AgentDriver()
        driver.open_link(1, b"entry")
        driver.send_starts(1, 2)
        driver.handle(e.LinkEnded(1))
        driver.end_tasks(driver.started[0])
        driver.open_link(2, b"entry")
        keys = [make_start(index).key for index in range(3)]
        reports = reports_in(driver.deliver(2, m.Resolve(keys)))
        found = {report.key.index: report.outcome for report in reports}
        self.assertEqual(found, {0: DONE, 2: NotRun(Reason.STALE_START)})
        driver.deliver(2, m.StartBatch([make_start(2)]))
        self.assertEqual(len(driver.started), 2)
        late = reports_in(driver.end_tasks(driver.started[1]))
        self.assertEqual([report.key.index for report in late], [1])

    def test_expired_attempts_are_reported_as_unknown(self):
        # An agent that has dropped the report of an attempt no longer knows whether
        # it ran, so reporting it as not run could make the entry start it twice.
        driver = AgentDriver()
        driver.open_link(1, b"entry")
        driver.send_starts(1)
        driver.end_tasks(driver.started[0])
        driver.handle(e.LinkEnded(1))
        driver.clock.advance(3_600_001)
        driver.handle(e.TimerTicked())
        driver.open_link(2, b"entry")
        outcomes = outcomes_in(driver.deliver(2, m.Resolve([make_start(0).key])))
        self.assertEqual(outcomes, [Unknown(Reason.ANSWER_EXPIRED)])


class SlotTests(unittest.TestCase):
    """Slots that may still be in use are not given to other tasks."""

    def test_slots_busy_before_a_restart_are_not_used(self):
        driver = AgentDriver(busy=5)
        driver.open_link(1)
        driver.send_starts(1, 6)
        self.assertEqual(len(driver.started), 3)
        driver.handle(e.BusySlotsPolled(4, 3))
        self.assertEqual(len(driver.started), 6)
        driver.handle(e.BusySlotsPolled(8, 6))
        self.assertEqual(driver.core.slots.available, 1)

    def test_a_task_that_may_still_run_keeps_its_slot(self):
        driver = AgentDriver(slots=2)
        driver.open_link(1)
        driver.send_starts(1, 2)
        driver.end_tasks(driver.started[0], outcome=Unknown(Reason.TIMED_OUT))
        self.assertEqual(driver.cancelled, [driver.started[0].key])
        self.assertTrue(driver.core.should_poll_busy_slots)
        driver.send_starts(1)
        driver.handle(e.BusySlotsPolled(2, 1))
        self.assertEqual(len(driver.started), 2)
        driver.handle(e.BusySlotsPolled(1, 1))
        self.assertEqual(len(driver.started), 3)

    def test_changed_announcement_is_sent_once(self):
        driver = AgentDriver(slots=2)
        driver.open_link(1)
        larger = e.EndpointInfo("ep", ENDPOINT.address, 4)
        sent = driver.handle(e.EndpointAnnounced(larger), e.BusySlotsPolled(0, 0))
        self.assertEqual([message.slots for _, message in sent], [4])
        self.assertEqual(
            driver.handle(e.EndpointAnnounced(larger), e.BusySlotsPolled(0, 0)), []
        )

    def test_unreachable_endpoint_gets_no_starts(self):
        driver = AgentDriver(slots=1)
        driver.open_link(1)
        driver.send_starts(1, 2)
        sent = driver.handle(e.BusySlotsPolled(None, 0), e.BusySlotsPolled(None, 0))
        self.assertFalse(sent[0][1].ready)
        self.assertEqual(outcomes_in(sent), [NotRun(Reason.ENDPOINT_REFUSED)])
        sent = driver.handle(e.BusySlotsPolled(0, 0))
        self.assertTrue(sent[0][1].ready)


class ShareTests(unittest.TestCase):
    """Free slots are assigned by targets, shares and quotas."""

    def run_for(self, driver, steps, classes, step_ms=10):
        """End the oldest task in each step, with starts of all classes waiting.

        Return the number of tasks started by class.
        """
        counts = dict.fromkeys(classes, 0)
        for _ in range(steps):
            for name in classes:
                self.refill(driver, name)
            driver.clock.advance(step_ms)
            oldest = next(iter(driver.core.slots.running))
            before = len(driver.started)
            driver.end_tasks(next(s for s in driver.started if s.key == oldest))
            for start in driver.started[before:]:
                counts[start.class_name] += 1
        return counts

    def refill(self, driver, name, link=1):
        """Refill the waiting starts of a class up to the limit."""
        started = sum(s.class_name == name for s in driver.started)
        sent_count = self.sent_counts.setdefault(name, 0)
        for _ in range(MAX_WAITING_PER_CLASS - (sent_count - started)):
            driver.send_starts(link, name=name)
            self.sent_counts[name] += 1

    def setUp(self):
        self.sent_counts = {}

    def flood(self, driver, name):
        """Fill all slots with tasks of one class."""
        driver.open_link(1)
        self.sent_counts[name] = driver.core.slots.capacity
        driver.send_starts(1, driver.core.slots.capacity, name)

    def test_under_a_flood_each_class_gets_its_share(self):
        driver = AgentDriver()
        self.flood(driver, "report")
        counts = self.run_for(driver, 400, ("sync", "render", "report"))
        self.assertGreaterEqual(counts["sync"], 0.95 * 0.25 * 400)
        self.assertGreaterEqual(counts["render"], 0.95 * 0.5 * 400)

    def test_flood_of_the_most_urgent_class_leaves_the_others_their_share(self):
        driver = AgentDriver()
        self.flood(driver, "sync")
        counts = self.run_for(driver, 400, ("sync", "render"))
        self.assertGreaterEqual(counts["render"], 0.95 * 0.5 * 400)

    def test_shares_are_work_conserving(self):
        driver = AgentDriver()
        self.flood(driver, "report")
        counts = self.run_for(driver, 100, ("report",))
        self.assertEqual(counts["report"], 100)

    def test_quota_caps_a_team(self):
        driver = AgentDriver(report=0.25)
        driver.open_link(1)
        driver.send_starts(1, 5, "report")
        self.assertEqual(len(driver.started), 2)
        driver.send_starts(1, 1, "render")
        self.assertEqual(len(driver.started), 3)
        driver.end_tasks(driver.started[0])
        self.assertEqual(len(driver.started), 4)

    def test_headroom_keeps_the_last_slot_from_a_long_flood_for_a_while(self):
        # Without a reserved slot, a flood of long tasks would hold every slot when a
        # start of "sync", which has a short target, arrives.
        driver = AgentDriver()
        driver.open_link(1)
        driver.send_starts(1, 1, "sync")
        driver.end_tasks(driver.started[0])
        driver.send_starts(1, 8, "report")
        driver.clock.advance(8_000)
        driver.send_starts(1, 4, "report")
        driver.end_tasks(driver.started[1])
        self.assertEqual(len(driver.started), 9)
        driver.send_starts(1, 1, "sync")
        self.assertEqual(driver.started[9].class_name, "sync")
        driver.end_tasks(driver.started[2])
        self.assertEqual(len(driver.started), 10)
        reserved_ms = 0
        while len(driver.started) == 10:
            driver.clock.advance(20)
            reserved_ms += 20
            driver.handle(e.TimerTicked())
        self.assertGreater(reserved_ms, 0)
        self.assertLessEqual(reserved_ms, 0.05 * 8 * 8_000)


if __name__ == "__main__":
    unittest.main()
