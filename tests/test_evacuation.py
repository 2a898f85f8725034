"""The evacuation of availability zones: each decision, without a network."""

import asyncio
import unittest
from types import SimpleNamespace
from unittest import mock

import msgspec
from returns.result import Success

from plantainhitch.clock import Clock, ManualClock
from plantainhitch.coordination import evacuation
from plantainhitch.coordination.evacuation import (
    ALL_EVACUATED_REASON,
    UNKNOWN_REASON,
    ZONE_EVACUATED_REASON,
    EvacuationState,
)
from plantainhitch.coordination.events import AgentLinked
from plantainhitch.coordination.jobs import entry_node
from plantainhitch.coordination.jobs.entry_node import JobEntryNode
from plantainhitch.coordination.jobs.outcomes import GaveUp, NeverRan
from plantainhitch.coordination.jobs.scheduler import Scheduler
from plantainhitch.coordination.runs.run_controller import RunController
from plantainhitch.platform import configuration, store
from plantainhitch.platform.configuration import OperatorSource
from plantainhitch.protocol import messages as m
from plantainhitch.state.endpoints import End
from plantainhitch.state.evacuations import EvacuatedZones
from plantainhitch.state.jobs import Room, StepSpec
from plantainhitch.state.members import Member
from plantainhitch.state.routes import Route
from plantainhitch.transport.platform import Changes, Row

from .deployment import LEASE_TIMES
from .test_job_scheduler import FakeLink, SchedulerCase
from .test_run_controller import OWNER, RunControllerCase, heartbeat, run_start

ROUTE = Route("queue", "host", "/q/", "pool", 0, 2, 1.6, 60, 0, False)
CAPACITY = Room(4_000, 1_000, 0)
ROW = configuration.EVACUATION_PREFIX
EARLIER_VERSION = m.EVACUATIONS_VERSION - 1


def evacuated(revision, *zones):
    """Return the set of ``zones`` at a revision."""
    return EvacuatedZones(revision, frozenset(zones))


class StateTests(unittest.TestCase):
    """The newest revision wins, in whatever order the sets arrive."""

    def setUp(self):
        self.clock = ManualClock(10_000)
        self.state = EvacuationState(self.clock)

    def test_a_set_that_a_paused_process_sends_late_does_not_end_an_evacuation(self):
        self.assertFalse(self.state.is_known)
        self.assertTrue(self.state.apply(evacuated(7, "a")))
        self.assertFalse(self.state.apply(evacuated(6)))
        self.assertFalse(self.state.apply(evacuated(7)))
        self.assertTrue(self.state.covers("a"))
        self.assertTrue(self.state.apply(evacuated(8)))
        self.assertFalse(self.state.covers("a"))
        self.assertTrue(self.state.is_known)

    def test_begin_and_end_are_logged_once_with_the_age_of_what_was_known(self):
        with mock.patch.object(evacuation, "log") as log:
            self.state.apply(evacuated(1))
            self.clock.advance(900)
            self.state.apply(evacuated(2, "a"))
            self.state.apply(evacuated(3, "a"))
            self.state.apply(evacuated(4))
        fields = {"zone": "a", "revision": 2, "age_ms": 900}
        self.assertEqual(
            [mock.call("zone evacuation begins", **fields)], log.warning.mock_calls
        )
        self.assertEqual(1, len(log.notice.mock_calls))


class ScriptedStore:
    """Answers calls with the next of ``answers``; records the revisions asked for."""

    def __init__(self, *answers):
        self.answers = list(answers)
        self.calls = []

    async def operator_changes(self, since_revision, wait_ms):
        """Return the next answer."""
        self.calls.append(since_revision)
        return Success(self.answers.pop(0))


class SourceTests(unittest.IsolatedAsyncioTestCase):
    """Reading the operator's table."""

    def read_by(self, *answers):
        self.sets = []
        self.store = ScriptedStore(*answers)
        return OperatorSource(self.store, self.sets.append)

    async def test_a_complete_read_replaces_the_set(self):
        rows = Row(f"{ROW}a", b"{}", 3), Row("config", None, 0), Row("other", b"", 1)
        source = self.read_by(Changes(9, rows, True), Changes(10, (), True))
        self.assertEqual((9, None), (await source.read()).unwrap())
        await source.read()
        self.assertEqual([evacuated(9, "a"), evacuated(10)], self.sets)

    async def test_a_change_in_the_feed_is_followed_by_a_complete_read(self):
        # The feed may have lost the row of another zone, which then would count as
        # not evacuated at a revision above that of its row.
        change = Changes(12, (Row(f"{ROW}b", b"{}", 12),))
        rows = Row(f"{ROW}a", b"{}", 11), Row(f"{ROW}b", b"{}", 12)
        source = self.read_by(change, Changes(12, rows, True))
        await source.wait(9, 700)
        self.assertEqual([9, 0], self.store.calls)
        self.assertEqual([evacuated(12, "a", "b")], self.sets)

    async def test_an_answer_without_changes_gives_no_set(self):
        # A feed that has stopped silently names a new version all the same.
        source = self.read_by(Changes(12, ()))
        await source.wait(9, 700)
        self.assertEqual([], self.sets)

    async def test_history_that_was_discarded_replaces_the_set(self):
        source = self.read_by(Changes(12, (), True))
        await source.wait(9, 700)
        self.assertEqual([evacuated(12)], self.sets)

    async def test_an_unreadable_row_counts_and_is_logged_once(self):
        rows = Row(f"{ROW}a", b"{", 3), Row(ROW, b"{}", 4)
        source = self.read_by(Changes(9, rows, True), Changes(10, rows, True))
        with mock.patch.object(configuration, "log") as log:
            await source.read()
            await source.read()
        self.assertEqual([evacuated(9, "a"), evacuated(10, "a")], self.sets)
        self.assertEqual(2, len(log.error.mock_calls))

    def test_a_value_that_is_not_bytes_leaves_the_other_rows_readable(self):
        # Written by hand, it made the configuration unreadable as well.
        body = b'{"ver":5,"rows":[{"key":"evacuate/a","value":{},"ver":4},'
        body += (
            b'{"key":"config","value":"e30=","ver":3},{"key":"x","tombstone":true}]}'
        )
        model = msgspec.json.decode(body, type=store._RowsModel)
        rows = store._to_changes(model).rows
        self.assertEqual([b"", b"{}", None], [row.value for row in rows])


class PlacementTests(SchedulerCase):
    """Where an entry starts tasks, and which jobs it refuses."""

    def setUp(self):
        super().setUp()
        for incarnation, zone in ((b"one", "a"), (b"two", "b")):
            self.scheduler.fleet.get(incarnation).zone = zone

    def evacuate(self, revision, *zones):
        self.scheduler.evacuations.apply(evacuated(revision, *zones))
        self.scheduler.evacuations_changed()

    def test_nothing_is_placed_before_the_set_is_known(self):
        state = EvacuationState(self.clock)
        self.scheduler = Scheduler(self.clock, LEASE_TIMES, evacuations=state)
        self.join(b"one")
        self.assertEqual([], self.submit("0" * 16))
        self.assertEqual(UNKNOWN_REASON, self.outcomes["0" * 16].reason)

    def test_no_start_goes_to_an_evacuated_zone(self):
        self.scheduler.fleet.pool_view("pool")  # views are kept for some ms
        self.evacuate(2, "a")
        starts = self.submit(steps=[StepSpec(4, Room(1_000, 10, 0), 200)])
        self.assertEqual([b"two"] * 4, [agent for agent, _ in starts])

    def test_a_start_that_the_agent_refuses_is_placed_in_another_zone(self):
        self.evacuate(1, "b")
        ((agent, start),) = self.submit()
        self.assertEqual(b"one", agent)
        self.evacuate(2, "a")
        ((agent, _),) = self.end_run(
            agent, start, End.NOT_STARTED, ZONE_EVACUATED_REASON
        )
        self.assertEqual(b"two", agent)
        self.assertEqual({}, self.outcomes)

    def test_jobs_are_refused_at_once_where_every_zone_is_evacuated(self):
        self.submit(steps=[StepSpec(8, Room(1_000, 10, 0), 200)])
        self.assertEqual([], self.submit("1" * 16))  # it waits for room
        self.assertEqual({}, self.outcomes)
        self.evacuate(2, "a", "b", "no such zone")
        self.assertEqual([], self.submit("2" * 16))
        for job_id in ("1" * 16, "2" * 16):
            outcome = self.outcomes[job_id]
            self.assertIsInstance(outcome, NeverRan)
            self.assertEqual(ALL_EVACUATED_REASON, outcome.reason)
        self.evacuate(3)
        self.report(b"one")
        self.assertEqual(1, len(self.submit("3" * 16)))

    def test_runs_in_progress_end_by_themselves(self):
        self.evacuate(1, "b")
        ((agent, start),) = self.submit()
        self.evacuate(2, "a", "b")
        self.clock.advance(20)
        self.assertEqual([], self.scheduler.run_round())  # no stop either
        self.assertEqual({}, self.outcomes)
        self.clock.advance(20)
        self.assertEqual([], self.end_run(agent, start, End.FAILED))
        self.assertIsInstance(*self.outcomes.values(), GaveUp)


class AgentTests(RunControllerCase):
    """An agent decides by the newest set, whatever its owners order."""

    def setUp(self):
        super().setUp()
        self.controller = RunController(
            self.clock, LEASE_TIMES, first_fence=5, zone="a"
        )
        self.controller.handle_heartbeat(heartbeat())
        self.deliver_inventory()
        self.link_owner(OWNER)

    def reasons(self):
        return [end.reason for end in self.controller.next_report(OWNER).ends]

    def test_starts_are_accepted_until_a_set_is_known(self):
        # Entries of an earlier build send none.
        self.assertEqual(1, len(self.send_orders(run_start())))

    def test_an_entry_that_was_paused_can_start_nothing(self):
        self.controller.handle_evacuations(evacuated(5, "a"))
        self.controller.handle_evacuations(evacuated(4))
        self.assertFalse(self.controller.status().ready)
        isolated = run_start("other.0.0.0", is_isolated=True)
        self.assertEqual([], self.send_orders(run_start(), isolated))
        self.assertEqual([ZONE_EVACUATED_REASON] * 2, self.reasons())

    def test_waiting_starts_are_refused_and_runs_in_progress_go_on(self):
        running, waiting = run_start(cpu=4_000), run_start("other.0.0.0")
        self.start_runs(running)
        self.assertEqual([], self.send_orders(waiting))
        self.controller.handle_evacuations(evacuated(5, "a", "c"))
        self.assertEqual([ZONE_EVACUATED_REASON], self.reasons())
        self.assertEqual([], self.controller.next_orders())
        self.assertEqual([running.key], list(self.controller.runs))

    def test_an_order_in_flight_is_not_sent(self):
        start = run_start()
        self.send_orders(start)
        self.assertTrue(self.controller.may_send_start(start.key))
        self.controller.handle_evacuations(evacuated(5, "a"))
        self.assertFalse(self.controller.may_send_start(start.key))

    def test_the_endpoint_is_used_again_once_the_row_is_removed(self):
        self.controller.handle_evacuations(evacuated(5, "a"))
        self.controller.handle_evacuations(evacuated(6, "b"))
        self.assertTrue(self.controller.status().ready)
        self.assertEqual(1, len(self.send_orders(run_start())))


class NodeTests(unittest.IsolatedAsyncioTestCase):
    """What an entry sends to agents and peers."""

    async def asyncSetUp(self):
        clock = Clock()
        member = Member(m.ROLE_ENTRY, b"own", "own", "z", "r", "", "own:1", "")
        self.membership = mock.Mock()
        self.membership.agents.return_value = []
        self.membership.entries.return_value = []
        self.membership.unstored_members.return_value = []
        self.state = EvacuationState(clock)
        self.scheduler = Scheduler(clock, LEASE_TIMES, evacuations=self.state)
        self.routes = SimpleNamespace(table=SimpleNamespace(version=4, document=b"{}"))
        self.node = JobEntryNode(
            SimpleNamespace(region="r"),
            member,
            clock,
            self.scheduler,
            self.routes,
            self.membership,
            None,
        )
        self.clock = clock

    def link_agent(self, incarnation, version=m.PROTOCOL_VERSION):
        link = FakeLink(self.clock)
        hello = m.Hello(m.ROLE_AGENT, incarnation, "agent", "a", version)
        self.node._handle_event(AgentLinked(hello, "", link))
        for agent, message in self.scheduler.run_round():
            agent.link.send(message)
        return link

    async def link_peer(self, version=m.PROTOCOL_VERSION):
        link = FakeLink(self.clock)

        async def run(on_message):
            link.deliver = lambda message: on_message(m.Envelope(message))
            await asyncio.Event().wait()

        link.run = run
        hello = m.Hello(m.ROLE_ENTRY, b"peer", "peer", "z", version)
        task = asyncio.create_task(self.node._peers._serve(link, hello))
        self.addCleanup(task.cancel)
        await asyncio.sleep(0)
        return link

    async def test_an_agent_gets_the_set_before_the_first_orders(self):
        self.node.apply_evacuations(evacuated(3, "b"))
        link = self.link_agent(b"one")
        self.assertEqual(m.Evacuations(3, ("b",)), link.sent[0])
        self.assertIsInstance(link.sent[1], m.RunOrders)

    async def test_a_peer_gets_the_set_before_the_configuration(self):
        self.node.apply_evacuations(evacuated(3, "b"))
        link = await self.link_peer()
        self.assertEqual(m.Evacuations(3, ("b",)), link.sent[0])
        self.assertIn(m.Configuration(4, b"{}"), link.sent)

    async def test_a_set_from_a_peer_goes_on_to_agents_and_peers(self):
        # The store is unavailable to this entry, and its agents have no other.
        agent, peer = self.link_agent(b"one"), await self.link_peer()
        self.assertFalse(self.node.ready)
        peer.deliver(m.Evacuations(8, ("a",)))
        self.assertTrue(self.node.ready)
        self.assertIn(m.Evacuations(8, ("a",)), agent.sent)
        self.assertEqual(m.Evacuations(8, ("a",)), peer.sent[-1])

    async def test_a_newer_revision_of_the_same_zones_is_not_sent(self):
        # The table is read each second by each entry.
        self.node.apply_evacuations(evacuated(3, "b"))
        link = self.link_agent(b"one")
        count = len(link.sent)
        self.node.apply_evacuations(evacuated(4, "b"))
        self.assertEqual(count, len(link.sent))
        self.assertEqual(4, self.state.current.revision)

    async def test_an_older_set_of_a_peer_is_answered_by_the_newer_one(self):
        # The row of b was removed and written again between two reads of this entry,
        # and the peer has told agents of the removal.
        self.node.apply_evacuations(evacuated(3, "b"))
        agent, peer = self.link_agent(b"one"), await self.link_peer()
        self.node.apply_evacuations(evacuated(9, "b"))
        peer.deliver(m.Evacuations(8, ()))
        self.assertEqual(m.Evacuations(9, ("b",)), agent.sent[-1])
        self.assertEqual(m.Evacuations(9, ("b",)), peer.sent[-1])
        peer.deliver(m.Evacuations(9, ("b",)))
        self.assertEqual(1, peer.sent.count(m.Evacuations(9, ("b",))))

    async def test_missing_endpoints_and_zones_are_logged(self):
        def member(role, zone):
            return Member(role, zone.encode(), zone, zone, "r", "", zone, "")

        self.membership.agents.return_value = [member(m.ROLE_AGENT, "a")]
        self.membership.entries.return_value = [member(m.ROLE_ENTRY, "b")]
        self.state.apply(evacuated(3, "a", "b", "c"))
        with (
            mock.patch.object(entry_node, "log") as log,
            mock.patch.object(entry_node, "ZONE_REPORT_DELAY_MS", 0),
        ):
            await self.node._report_zones()
        logged = {call.kwargs["zone"]: call.args[0] for call in log.warning.mock_calls}
        self.assertEqual(
            {
                "b": "the evacuated zone has no endpoints",
                "c": "no process is known in the evacuated zone",
            },
            logged,
        )
        log.error.assert_called_once_with(ALL_EVACUATED_REASON, zones=["a", "b", "c"])

    async def test_a_process_of_an_earlier_build_is_sent_none(self):
        # It would close the link, as it can't decode the message.
        self.node.apply_evacuations(evacuated(3, "b"))
        links = [
            self.link_agent(b"one", EARLIER_VERSION),
            await self.link_peer(EARLIER_VERSION),
        ]
        self.node.apply_evacuations(evacuated(4, "c"))
        for link in links:
            kinds = {type(message) for message in link.sent}
            self.assertNotIn(m.Evacuations, kinds)


if __name__ == "__main__":
    unittest.main()
