"""The agent's decisions under a manual clock."""

import unittest

from plantainhitch.clock import ManualClock
from plantainhitch.coordination import agent_events as e
from plantainhitch.coordination.agent_core import AgentCore
from plantainhitch.outcomes import NotRun, Reason, Succeeded, Unknown
from plantainhitch.protocol import messages as m
from plantainhitch.state.classes import ClassDefinition, ClassDocument, TeamQuota
from plantainhitch.transport.addresses import Address

ENDPOINT = e.EndpointInfo("ep", Address("127.0.0.1", 1), slots=8)
DONE = Succeeded(b"1")


def document(version=1, **team_quotas):
    """Return a document with three classes, each in a team of its own name."""
    classes = [
        ClassDefinition("sync", 200, claims_at_least=0.25, team="sync"),
        ClassDefinition("render", 500, claims_at_least=0.5, team="render"),
        ClassDefinition("report", 30_000, claims_at_least=0.0, team="report"),
    ]
    teams = {name: TeamQuota(name, share) for name, share in team_quotas.items()}
    return ClassDocument(version, "id", "me", {c.name: c for c in classes}, teams)


class AgentDriver:
    """An ``AgentCore`` and what it sent, started and cancelled so far."""

    def __init__(self, slots=8, busy=0, **team_quotas):
        self.clock = ManualClock(1_000_000)
        self.core = AgentCore(self.clock, name="agent")
        self.sent = []
        self.started = []
        self.cancelled = []
        self.numbers = 0
        endpoint = e.EndpointInfo("ep", ENDPOINT.address, slots)
        self.do(e.Announced(endpoint), e.BusyCounted(busy, 0))
        self.document = document(**team_quotas)

    def do(self, *events):
        """Handle events in one round and return the messages it sent."""
        for event in events:
            self.core.handle(event)
        result = self.core.round()
        self.sent.extend(result.messages)
        self.started.extend(result.starts)
        self.cancelled.extend(result.cancels)
        return result.messages

    def link(self, number, entry=None, version=1):
        """Open a link and hand over the configuration."""
        hello = m.Hello(
            m.ROLE_ENTRY, entry or b"entry%d" % number, "e", "z", 1, version
        )
        opened = e.LinkOpened(number, None, hello)
        configuration = m.Configuration(1, self.document.to_json())
        return self.do(opened) + self.say(number, configuration)

    def say(self, number, message, ack=0, age_ms=0):
        """Let an entry send a message whose echo is ``age_ms`` old."""
        echo_ms = self.clock.now_ms() - age_ms
        return self.do(e.LinkSaid(number, m.Envelope(message, 0, echo_ms, ack)))

    def start(self, number, count=1, name="render", age_ms=0):
        """Start new tasks on a link; return the messages."""
        first, self.numbers = self.numbers, self.numbers + count
        starts = [start_of(index, name) for index in range(first, first + count)]
        return self.say(number, m.StartBatch(starts), age_ms=age_ms)

    def end(self, *starts, outcome=DONE):
        """End running tasks in one round; return the messages."""
        return self.do(*(e.TaskEnded(start.key, outcome) for start in starts))

    def granted(self, messages=None):
        """Return the credits granted in ``messages`` by (link, tag)."""
        found = {}
        for number, message in self.sent if messages is None else messages:
            match message:
                case m.GrantBatch(credits) | m.ReportBatch(grants=credits):
                    for credit in credits:
                        key = (number, credit.class_name)
                        found[key] = found.get(key, 0) + credit.count
        return found


def start_of(index, name="render", attempt=1):
    """Return a start of the test's submission."""
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


def demand(**counts):
    """Return a demand message."""
    return m.Demand([m.Credit(name, count) for name, count in counts.items()])


class StartTests(unittest.TestCase):
    """An attempt is taken at most once, and only when it may be."""

    def test_one_entry_gets_all_idle_slots(self):
        driver = AgentDriver()
        self.assertEqual(driver.granted(driver.link(1)), {(1, ""): 8})

    def test_duplicate_start_runs_once(self):
        driver = AgentDriver()
        driver.link(1)
        batch = m.StartBatch([start_of(0)])
        driver.say(1, batch)
        driver.say(1, batch)
        self.assertEqual(len(driver.started), 1)
        first = reports_in(driver.end(driver.started[0]))
        again = reports_in(driver.say(1, batch))
        self.assertEqual(first, again)
        self.assertEqual(len(driver.started), 1)

    def test_duplicate_after_acknowledgement_never_starts(self):
        driver = AgentDriver()
        driver.link(1)
        driver.start(1)
        driver.end(driver.started[0])
        driver.say(1, m.StartBatch([start_of(0)]), ack=1)
        self.assertEqual(len(driver.started), 1)

    def test_stale_start_is_refused_for_good(self):
        driver = AgentDriver()
        driver.link(1)
        batch = m.StartBatch([start_of(0)])
        refused = NotRun(Reason.STALE_START)
        self.assertEqual(outcomes_in(driver.say(1, batch, age_ms=10_001)), [refused])
        self.assertEqual(outcomes_in(driver.say(1, batch)), [refused])
        self.assertEqual(driver.started, [])

    def test_start_without_credit_is_refused(self):
        driver = AgentDriver(slots=2)
        driver.link(1)
        outcomes = outcomes_in(driver.start(1, 3))
        self.assertEqual([o.reason for o in outcomes], [Reason.NO_GRANT])
        self.assertEqual(len(driver.started), 2)

    def test_nothing_is_granted_without_configuration(self):
        driver = AgentDriver()
        hello = m.Hello(m.ROLE_ENTRY, b"e1", "e")
        driver.do(e.LinkOpened(1, None, hello))
        self.assertEqual(driver.granted(), {})
        (outcome,) = outcomes_in(driver.start(1))
        self.assertEqual(outcome.reason, Reason.NO_CONFIGURATION)

    def test_older_configuration_is_never_taken(self):
        driver = AgentDriver()
        driver.link(1)
        driver.say(1, m.Configuration(5, document(5).to_json()))
        driver.say(1, m.Configuration(4, document(4).to_json()))
        self.assertEqual(driver.core.configuration_version, 5)
        hello = m.Hello(m.ROLE_ENTRY, b"e2", "e", configuration_version=4)
        sent = driver.do(e.LinkOpened(2, None, hello))
        versions = [x.version for _, x in sent if isinstance(x, m.Configuration)]
        self.assertEqual(versions, [5])

    def test_drain_refuses_at_once_and_lets_the_rest_finish(self):
        driver = AgentDriver()
        driver.link(1)
        driver.start(1)
        sent = driver.say(1, m.Drain(True))
        self.assertTrue(sent[-1][1].draining)
        self.assertEqual(outcomes_in(driver.start(1)), [NotRun(Reason.DRAINING)])
        driver.end(driver.started[0])
        self.assertFalse(driver.core.is_settled)
        driver.say(1, m.Heartbeat(), ack=2)
        self.assertTrue(driver.core.is_settled)
        sent = driver.say(1, m.Drain(False))
        self.assertEqual(driver.granted(sent), {(1, ""): 8})


class ResolveTests(unittest.TestCase):
    """After a cut, an entry learns what became of each attempt."""

    def test_after_a_cut_each_attempt_is_accounted_for(self):
        driver = AgentDriver()
        driver.link(1, b"entry")
        driver.start(1, 2)
        driver.do(e.LinkEnded(1))
        driver.end(driver.started[0])
        driver.link(2, b"entry")
        keys = [start_of(index).key for index in range(3)]
        reports = reports_in(driver.say(2, m.Resolve(keys)))
        found = {report.key.index: report.outcome for report in reports}
        self.assertEqual(found, {0: DONE, 2: NotRun(Reason.STALE_START)})
        driver.say(2, m.StartBatch([start_of(2)]))
        self.assertEqual(len(driver.started), 2)
        late = reports_in(driver.end(driver.started[1]))
        self.assertEqual([report.key.index for report in late], [1])

    def test_forgotten_attempts_are_unknown_not_unrun(self):
        driver = AgentDriver()
        driver.link(1, b"entry")
        driver.start(1)
        driver.end(driver.started[0])
        driver.do(e.LinkEnded(1))
        driver.clock.advance(3_600_001)
        driver.do(e.Ticked())
        driver.link(2, b"entry")
        outcomes = outcomes_in(driver.say(2, m.Resolve([start_of(0).key])))
        self.assertEqual(outcomes, [Unknown(Reason.ANSWER_EXPIRED)])


class SlotTests(unittest.TestCase):
    """Slots that may be in use are not granted."""

    def test_slots_busy_before_a_restart_are_not_granted(self):
        driver = AgentDriver(busy=5)
        self.assertEqual(driver.granted(driver.link(1)), {(1, ""): 3})
        driver.clock.advance(1_000)
        sent = driver.do(e.BusyCounted(1, 0), e.Ticked())
        self.assertEqual(driver.core.credits_out, 7 if driver.granted(sent) else 3)
        driver.start(1, 3)
        driver.end(*driver.started)
        self.assertEqual(driver.core.credits_out, 7)

    def test_a_task_that_may_still_run_keeps_its_slot(self):
        driver = AgentDriver(slots=2)
        driver.link(1)
        driver.start(1, 2)
        driver.end(driver.started[0], outcome=Unknown(Reason.TIMED_OUT))
        self.assertEqual(driver.cancelled, [driver.started[0].key])
        self.assertEqual(driver.core.credits_out, 0)
        self.assertTrue(driver.core.should_ask_busy)
        driver.do(e.BusyCounted(2, 1))
        self.assertEqual(driver.core.slots.vacant, 0)
        driver.do(e.BusyCounted(1, 1))
        self.assertEqual(driver.core.slots.vacant, 1)

    def test_unreachable_endpoint_gets_no_grants(self):
        driver = AgentDriver()
        driver.link(1)
        sent = driver.do(e.BusyCounted(None, 0), e.BusyCounted(None, 0))
        self.assertFalse(sent[0][1].ready)
        self.assertEqual(driver.core.credits_out, 0)
        sent = driver.do(e.BusyCounted(0, 0))
        self.assertEqual(driver.granted(sent), {(1, ""): 8})


class ShareTests(unittest.TestCase):
    """Free slots go to whom the targets, the shares and the quotas say."""

    def flood(self, driver, name, link=1):
        """Let a class fill every slot and want more."""
        driver.say(link, demand(**{name: 1_000}))
        while driver.core.slots.vacant:
            free = driver.core.slots.vacant
            driver.start(link, free, name)

    def run_for(self, driver, steps, classes, run_steps=10):
        """End an eighth of the tasks each step, serving the demand of classes."""
        counts = dict.fromkeys(classes, 0)
        for _ in range(steps):
            driver.clock.advance(100 // run_steps)
            running = driver.core.slots.running
            oldest = next(iter(running))
            sent = driver.end(next(s for s in driver.started if s.key == oldest))
            for (link, tag), count in driver.granted(sent).items():
                counts[tag] += count
                driver.start(link, count, tag)
            wanted = dict.fromkeys(classes, 100)
            driver.say(1, demand(**wanted))
        return counts

    def test_under_a_flood_each_class_gets_its_share(self):
        driver = AgentDriver()
        driver.link(1)
        self.flood(driver, "report")
        counts = self.run_for(driver, 400, ("sync", "render", "report"))
        self.assertGreaterEqual(counts["sync"], 0.95 * 0.25 * 400)
        self.assertGreaterEqual(counts["render"], 0.95 * 0.5 * 400)

    def test_flood_of_the_most_urgent_class_leaves_the_others_their_share(self):
        driver = AgentDriver()
        driver.link(1)
        self.flood(driver, "sync")
        counts = self.run_for(driver, 400, ("sync", "render"))
        self.assertGreaterEqual(counts["render"], 0.95 * 0.5 * 400)

    def test_shares_are_work_conserving(self):
        driver = AgentDriver()
        driver.link(1)
        self.flood(driver, "report")
        counts = self.run_for(driver, 100, ("report",))
        self.assertEqual(counts["report"], 100)

    def test_quota_caps_a_team(self):
        driver = AgentDriver(report=0.25)
        driver.link(1)
        driver.start(1, 8, "render")
        driver.say(1, demand(report=100))
        sent = driver.end(*driver.started)
        self.assertEqual(driver.granted(sent)[1, "report"], 2)
        driver.start(1, 2, "report")
        self.assertEqual(len(driver.started), 10)
        (outcome,) = outcomes_in(driver.start(1, 1, "report"))
        self.assertEqual(outcome.reason, Reason.QUOTA)

    def test_idle_credits_are_recalled_for_an_entry_that_waits(self):
        driver = AgentDriver()
        driver.link(1)
        driver.link(2)
        self.assertEqual(driver.core.credits_out, 8)
        driver.clock.advance(100)
        sent = driver.say(2, demand(render=3))
        recalls = [(n, x) for n, x in sent if isinstance(x, m.Recall)]
        self.assertEqual(recalls, [(1, m.Recall([m.Credit("", 3)]))])
        sent = driver.say(1, m.Returned([m.Credit("", 2)]))
        self.assertEqual(sum(driver.granted(sent).values()), 2)
        self.assertEqual({link for link, _ in driver.granted(sent)}, {2})

    def test_headroom_keeps_the_last_slot_from_a_long_flood_for_a_while(self):
        driver = AgentDriver()
        driver.link(1)
        driver.start(1, 1, "sync")
        driver.end(driver.started[0])
        self.flood(driver, "report")
        long_ones = [s for s in driver.started if s.class_name == "report"]
        driver.clock.advance(8_000)
        self.assertEqual(driver.granted(driver.end(long_ones[0])), {})
        sent = driver.say(1, demand(sync=1, report=100))
        self.assertEqual(driver.granted(sent), {(1, "sync"): 1})
        driver.start(1, 1, "sync")
        held_ms = 0
        self.assertEqual(driver.granted(driver.end(long_ones[1])), {})
        while not driver.granted(driver.do(e.Ticked())):
            driver.clock.advance(20)
            held_ms += 20
        self.assertLessEqual(held_ms, 0.05 * 8 * 8_000)


if __name__ == "__main__":
    unittest.main()
