"""The run controller of an agent, without an endpoint or links."""

import math
import random
import unittest
from dataclasses import replace

import logbook

from plantainhitch.clock import ManualClock
from plantainhitch.coordination.runs.crash_suspects import CRASH_DELAY_MS
from plantainhitch.coordination.runs.endpoint_lease import (
    LOSS_MARGIN_MS,
    SUSPECT_AFTER_MS,
)
from plantainhitch.coordination.runs.run import Phase, StartOrder, StopOrder
from plantainhitch.coordination.runs.run_changes import STOP_RETRY_MS
from plantainhitch.coordination.runs.run_controller import (
    CHECK_INTERVAL_MS,
    RunController,
)
from plantainhitch.protocol import messages as m
from plantainhitch.state.endpoints import (
    Accepted,
    ActiveRun,
    End,
    EndedRun,
    EndpointReport,
    Inventory,
    NoAnswer,
    Rejected,
    Rejection,
)
from plantainhitch.state.jobs import Room, RunKey

from .deployment import BOUNDS, LEASE_TIMES

OWNER = b"entry-1"
OTHER = b"entry-2"
LEASE_MS = LEASE_TIMES.max_endpoint_ms
OWNER_LEASE_MS = LEASE_TIMES.owner_ms
RESUBMIT_MS = BOUNDS.resubmit_ms
INVENTORY_INTERVAL_MS = 50
CAPACITY = Room(4_000, 1_000, 0)


def heartbeat(born_ms=1, sequence=1, draining=False, capacity=CAPACITY):
    """Return a heartbeat of the endpoint."""
    return EndpointReport("e-1", born_ms, sequence, "pool", draining, capacity)


def run_start(task="job.0.0.0", run=1, cpu=1_000, wait_ms=100, **fields):
    """Return an order to start a run."""
    key = RunKey(task, run)
    return m.RunStart(key, "spec", Room(cpu, 10, 0), 100, wait_ms, **fields)


class RunControllerCase(unittest.TestCase):
    """A controller with a ready endpoint and one owner that is alive."""

    def setUp(self):
        self.clock = ManualClock(10_000)
        self.controller = RunController(self.clock, LEASE_TIMES, first_fence=5)
        self.controller.handle_heartbeat(heartbeat())
        self.order_numbers = iter(range(1, 1_000))
        self.percent = 10
        self.deliver_inventory()
        self.link_owner(OWNER)

    def link_owner(self, owner):
        self.controller.owners.link_opened(owner)
        self.controller.owners.link_resynced(owner, self.clock.now_ms())

    def renew_owner_lease(self, owner=OWNER):
        self.controller.owners.record_frame(owner, self.clock.now_ms(), 0)

    def deliver_inventory(self, running=(), ended=(), born_ms=1, percent=10):
        rows = tuple(ActiveRun(key, "", percent) for key in running)
        now_ms = self.clock.now_ms()
        self.controller.handle_inventory(Inventory(now_ms, born_ms, rows, tuple(ended)))

    def pass_time(self, duration_ms, running=(), heard_owners=()):
        """Let the endpoint answer, and some owners be heard, for this long."""
        for _ in range(duration_ms // INVENTORY_INTERVAL_MS):
            self.clock.advance(INVENTORY_INTERVAL_MS)
            self.percent += 1
            self.deliver_inventory(running, percent=self.percent)
            for owner in heard_owners:
                self.renew_owner_lease(owner)
            self.controller.renew_lease()

    def send_orders(
        self, *starts, stops=(), expected_runs=(), owner=OWNER, echo_ms=None
    ):
        orders = m.RunOrders(
            next(self.order_numbers), list(starts), list(stops), list(expected_runs)
        )
        now_ms = self.clock.now_ms()
        self.controller.handle_orders(
            owner, orders, now_ms if echo_ms is None else echo_ms
        )
        return self.controller.next_orders()

    def start_runs(self, *starts, owner=OWNER):
        orders = self.send_orders(*starts, owner=owner)
        for start in starts:
            self.controller.handle_start_result(
                start.key, Accepted(self.clock.now_ms())
            )
        return orders

    def let_lease_end(self, owner=OWNER):
        """Let the endpoint's lease expire without an answer; ``owner`` is heard."""
        lost_ms = self.controller.lease.end_ms + LOSS_MARGIN_MS + CHECK_INTERVAL_MS
        if lost_ms > self.clock.now_ms():
            self.clock.advance(int(lost_ms) - self.clock.now_ms())
        self.renew_owner_lease(owner)
        return self.controller.next_orders()

    def reported_ends(self, owner=OWNER):
        return {end.key: end.end for end in self.controller.next_report(owner).ends}


class StartTests(RunControllerCase):
    """Room, the order of waiting starts, and repeated orders."""

    def test_room_is_never_exceeded(self):
        starts = [run_start(f"job.0.0.{index}") for index in range(6)]
        orders = self.send_orders(*starts)
        self.assertEqual(4, len(orders))
        self.assertEqual(CAPACITY.cpu_millis, self.controller.used_room.cpu_millis)

    def test_a_run_that_is_being_stopped_still_takes_room(self):
        full_size = run_start(cpu=4_000)
        self.start_runs(full_size)
        self.send_orders(stops=[full_size.key])
        self.assertEqual([], self.send_orders(run_start("other.0.0.0")))

    def test_room_is_freed_when_the_end_is_listed(self):
        full_size = run_start(cpu=4_000)
        self.start_runs(full_size)
        waiting_start = run_start("other.0.0.0")
        self.assertEqual([], self.send_orders(waiting_start))
        self.deliver_inventory(ended=[EndedRun(1, full_size.key, End.DONE, "")])
        self.assertEqual([StartOrder(waiting_start)], self.controller.next_orders())
        self.assertEqual({full_size.key: End.DONE}, self.reported_ends())

    def test_a_start_without_room_before_its_deadline_is_refused_at_once(self):
        """Guards against starts that wait for room that is not free in time.

        Several owners expect the same room to become free and send starts for it. The
        start that finds none before its deadline has to be refused at once, so that its
        owner can place the run elsewhere.
        """
        full_size = run_start(cpu=4_000)
        self.start_runs(full_size)
        for number in range(2):
            self.send_orders(run_start(f"other.0.0.{number}", cpu=3_000, wait_ms=100))
        first, second = RunKey("other.0.0.0", 1), RunKey("other.0.0.1", 1)
        self.assertIn(first, self.controller.runs)  # the run takes 100 ms
        self.assertNotIn(second, self.controller.runs)
        self.assertEqual({second: End.NOT_STARTED}, self.reported_ends())

    def test_a_start_is_refused_at_its_wait_deadline(self):
        self.start_runs(run_start(cpu=4_000))
        expiring_start = run_start("other.0.0.0", wait_ms=50)
        self.send_orders(expiring_start)
        self.clock.advance(60)
        self.renew_owner_lease()
        self.controller.next_orders()
        self.assertEqual(End.NOT_STARTED, self.reported_ends()[expiring_start.key])

    def test_a_repeated_order_starts_one_run(self):
        first = run_start()
        self.assertEqual([StartOrder(first)], self.send_orders(first))
        self.assertEqual([], self.send_orders(first))

    def test_an_order_for_an_ended_run_reports_its_end_again(self):
        first = run_start()
        self.start_runs(first)
        self.deliver_inventory(ended=[EndedRun(1, first.key, End.DONE, "")])
        self.reported_ends()
        self.assertEqual([], self.send_orders(first))
        self.assertEqual({first.key: End.DONE}, self.reported_ends())

    def test_a_newer_run_waits_for_the_end_of_the_older_one(self):
        older, newer = run_start(run=1), run_start(run=2)
        self.start_runs(older)
        self.link_owner(OTHER)
        self.assertEqual([StopOrder(older.key)], self.send_orders(newer, owner=OTHER))
        self.deliver_inventory(ended=[EndedRun(1, older.key, End.STOPPED, "")])
        self.assertEqual([StartOrder(newer)], self.controller.next_orders())

    def test_a_delayed_older_start_of_an_owner_does_not_stop_the_newer_run(self):
        # Its link was replaced, and the frames of the old one arrive last.
        newer = run_start(run=2)
        self.send_orders(newer)
        self.controller.handle_start_result(newer.key, Accepted(1))
        self.assertEqual([], self.send_orders(run_start(run=1)))
        self.assertEqual([newer.key], list(self.controller.runs))
        ends = self.controller.next_report(OWNER).ends
        self.assertEqual(
            [(RunKey("job.0.0.0", 1), End.NOT_STARTED)],
            [(end.key, end.end) for end in ends],
        )

    def test_a_run_of_another_owner_replaces_one_with_a_higher_number(self):
        # The caller submitted its job again, at an entry that numbers runs anew.
        self.link_owner(OTHER)
        older = run_start(run=2)
        self.send_orders(older)
        self.controller.handle_start_result(older.key, Accepted(1))
        orders = self.send_orders(run_start(run=1), owner=OTHER)
        self.assertIn(StopOrder(older.key), orders)

    def test_a_new_lifetime_is_not_suspect_for_the_silence_of_the_old_one(self):
        self.clock.advance(SUSPECT_AFTER_MS + 1)
        self.assertTrue(self.controller.lease.is_suspect)
        self.controller.handle_heartbeat(heartbeat(born_ms=2))
        self.assertFalse(self.controller.lease.is_suspect)

    def test_starts_are_ordered_by_load_of_the_queue_then_by_slack(self):
        self.start_runs(run_start(cpu=4_000))
        self.controller.handle_queue_loads(
            OWNER, [m.QueueLoad("busy", 0.4, 300), m.QueueLoad("rare", 0.1, 300)]
        )
        busy_start = run_start("a.0.0.0", queue="busy", slack_ms=1)
        later = run_start("b.0.0.0", queue="rare", slack_ms=90)
        sooner = run_start("c.0.0.0", queue="rare", slack_ms=10)
        self.send_orders(busy_start, later, sooner)
        self.deliver_inventory(
            ended=[EndedRun(1, RunKey("job.0.0.0", 1), End.DONE, "")]
        )
        started = [order.start for order in self.controller.next_orders()]
        self.assertEqual([sooner, later, busy_start], started)

    def test_room_is_reserved_for_the_queue_with_less_load_and_slack(self):
        self.controller.handle_queue_loads(
            OWNER, [m.QueueLoad("short", 0.25, 100), m.QueueLoad("long", 0.5, 900)]
        )
        long_starts = [run_start(f"a.0.0.{n}", queue="long") for n in range(4)]
        self.assertEqual(3, len(self.send_orders(*long_starts)))
        self.assertEqual(1, len(self.send_orders(run_start("b.0.0.0", queue="short"))))

    def test_draining_refuses_waiting_and_new_starts(self):
        self.start_runs(run_start(cpu=4_000))
        waiting_start = run_start("a.0.0.0")
        self.send_orders(waiting_start)
        self.controller.handle_heartbeat(heartbeat(sequence=2, draining=True))
        new_start = run_start("b.0.0.0")
        self.assertEqual([], self.send_orders(new_start))
        ends = self.reported_ends()
        self.assertEqual(End.NOT_STARTED, ends[waiting_start.key])
        self.assertEqual(End.NOT_STARTED, ends[new_start.key])

    def test_a_late_heartbeat_of_an_earlier_lifetime_is_ignored(self):
        self.controller.handle_heartbeat(heartbeat(born_ms=9))
        self.assertFalse(
            self.controller.handle_heartbeat(heartbeat(born_ms=1, sequence=99))
        )
        self.assertEqual(9, self.controller.endpoint.born_ms)


class UnconfirmedRunTests(RunControllerCase):
    """Runs whose orders were not answered and may be carried out later."""

    def test_an_unanswered_start_is_stopped_before_its_end_is_reported(self):
        unanswered = run_start()
        self.send_orders(unanswered)
        self.controller.handle_start_result(unanswered.key, NoAnswer())
        self.assertEqual([StopOrder(unanswered.key)], self.controller.next_orders())
        self.deliver_inventory()
        self.assertEqual({}, self.reported_ends())
        self.controller.handle_stop_result(
            unanswered.key, Accepted(self.clock.now_ms())
        )
        self.clock.advance(5)
        self.deliver_inventory()
        self.assertEqual({unanswered.key: End.NOT_STARTED}, self.reported_ends())

    def test_an_unanswered_start_that_the_endpoint_has_listed_goes_on(self):
        # Only the answer was lost. Stopping the run would waste its work.
        start = run_start()
        self.send_orders(start)
        self.deliver_inventory([start.key])
        self.controller.handle_start_result(start.key, NoAnswer("lost"))
        self.assertEqual([], self.controller.next_orders())
        self.assertIs(Phase.RUNNING, self.controller.runs[start.key].phase)

    def test_an_unanswered_start_takes_room_until_then(self):
        unanswered = run_start(cpu=4_000)
        self.send_orders(unanswered)
        self.controller.handle_start_result(unanswered.key, NoAnswer())
        self.controller.next_orders()
        self.assertEqual([], self.send_orders(run_start("other.0.0.0")))

    def test_an_inventory_from_before_the_stop_ends_no_run(self):
        unanswered = run_start()
        self.send_orders(unanswered)
        self.controller.handle_start_result(unanswered.key, NoAnswer())
        stopped_ms = self.clock.now_ms() + 3
        self.controller.handle_stop_result(unanswered.key, Accepted(stopped_ms))
        self.deliver_inventory()
        self.assertEqual({}, self.reported_ends())

    def test_an_unanswered_stop_is_sent_again(self):
        unanswered = run_start()
        self.send_orders(unanswered)
        self.controller.handle_start_result(unanswered.key, NoAnswer())
        self.controller.next_orders()
        self.controller.handle_stop_result(unanswered.key, NoAnswer())
        self.clock.advance(STOP_RETRY_MS)
        self.renew_owner_lease()
        self.assertEqual([StopOrder(unanswered.key)], self.controller.next_orders())

    def test_unknown_runs_are_stopped_before_the_agent_is_ready(self):
        controller = RunController(self.clock, LEASE_TIMES, first_fence=9)
        controller.handle_heartbeat(heartbeat())
        unknown_key = RunKey("old.0.0.0", 3)
        controller.handle_inventory(
            Inventory(self.clock.now_ms(), 1, (ActiveRun(unknown_key, "", 5),), ())
        )
        self.assertEqual([StopOrder(unknown_key)], controller.next_orders())
        self.assertFalse(controller.is_ready)
        controller.handle_inventory(
            Inventory(
                self.clock.now_ms(), 1, (), (EndedRun(1, unknown_key, End.STOPPED, ""),)
            )
        )
        self.assertTrue(controller.is_ready)


class LateStartTests(RunControllerCase):
    """Starts without an answer, which may be carried out at any later time.

    Guards against review case 4: the agent was suspended with such a start, gave the
    run up with the expired lease and renewed the lease, under which the endpoint then
    carried the start out beside the next run of the task.
    """

    def expire_lease(self):
        """Let the lease expire, as while the agent is suspended."""
        self.clock.advance(LEASE_MS + 200)
        self.renew_owner_lease()
        return self.controller.next_orders()

    def deliver_inventory_of(self, fence, born_ms=1, clock_ms=None):
        """Deliver an empty inventory that was requested with ``fence``."""
        clock_ms = clock_ms or self.clock.now_ms()
        inventory = Inventory(clock_ms, born_ms, (), ())
        self.controller.handle_inventory(inventory, fence)

    def test_unanswered_starts_are_not_given_up_with_the_lease(self):
        accepted = run_start("a.0.0.0")
        unanswered = [run_start(f"job.0.0.{index}") for index in range(2)]
        self.start_runs(accepted)
        self.send_orders(*unanswered)
        keys = [start.key for start in unanswered]
        self.assertEqual([StopOrder(key) for key in keys], self.expire_lease())
        self.assertEqual({accepted.key: End.LOST}, self.reported_ends())
        self.assertEqual(2_000, self.controller.used_room.cpu_millis)

    def test_they_end_once_the_endpoint_has_accepted_a_higher_fence(self):
        unanswered, fence = run_start(), self.controller.fence
        self.send_orders(unanswered)
        self.expire_lease()
        self.deliver_inventory_of(fence)
        self.assertEqual({}, self.reported_ends())
        self.assertFalse(self.controller.is_ready)
        self.deliver_inventory_of(self.controller.fence)
        self.assertEqual({unanswered.key: End.NOT_STARTED}, self.reported_ends())
        self.assertTrue(self.controller.is_ready)

    def test_an_unanswered_run_that_has_lapsed_is_reported_as_lapsed(self):
        unanswered = run_start()
        self.send_orders(unanswered)
        self.expire_lease()
        self.deliver_inventory(ended=[EndedRun(1, unanswered.key, End.LAPSED, "")])
        self.assertEqual({unanswered.key: End.LAPSED}, self.reported_ends())

    def test_a_start_accepted_after_the_lease_waits_for_the_inventory(self):
        # The answer was read after the suspension. The run may have ended done.
        unanswered = run_start()
        self.send_orders(unanswered)
        self.expire_lease()
        self.controller.handle_start_result(unanswered.key, Accepted(1))
        self.assertEqual({}, self.reported_ends())
        self.deliver_inventory_of(self.controller.fence)
        self.assertEqual({unanswered.key: End.LOST}, self.reported_ends())

    def test_a_start_withdrawn_after_the_lease_has_not_started(self):
        start = run_start()
        self.send_orders(start)
        self.expire_lease()
        self.assertFalse(self.controller.may_send_start(start.key))
        self.controller.handle_start_result(start.key, Rejected(Rejection.WITHDRAWN))
        self.assertEqual({start.key: End.NOT_STARTED}, self.reported_ends())

    def test_no_renewal_conceals_that_the_lease_has_expired(self):
        # The agent renews its lease as soon as it goes on, before it checks it.
        start = run_start()
        self.start_runs(start)
        self.controller.lease.record_renewal()
        fence = self.controller.fence
        self.clock.advance(LEASE_MS + 200)
        self.deliver_inventory([start.key])
        self.assertIsNone(self.controller.lease.renew(math.inf))
        self.controller.lease.record_renewal()
        self.assertIn(StopOrder(start.key), self.controller.next_orders())
        self.assertIsNone(self.controller.lease.renew(math.inf))
        self.clock.advance(SUSPECT_AFTER_MS + CHECK_INTERVAL_MS)
        self.controller.lease.record_renewal()
        self.controller.next_orders()
        self.assertGreater(self.controller.fence, fence)
        self.deliver_inventory_of(self.controller.fence)
        self.assertIsNotNone(self.controller.lease.renew(math.inf))

    def test_an_unanswered_start_raises_the_fence_once(self):
        # Stops may go unanswered as well, and the owner counts on the leases meanwhile.
        unanswered, fence = run_start(), self.controller.fence
        self.send_orders(unanswered)
        self.controller.handle_start_result(unanswered.key, NoAnswer(), fence)
        for _ in range(2):
            self.controller.handle_stop_result(unanswered.key, NoAnswer(), fence + 1)
        self.assertEqual(fence + 1, self.controller.fence)
        self.deliver_inventory_of(fence)
        self.assertEqual({}, self.reported_ends())
        self.deliver_inventory_of(fence + 1)
        self.assertEqual({unanswered.key: End.NOT_STARTED}, self.reported_ends())

    def test_a_start_sent_with_the_raised_fence_needs_a_higher_one(self):
        start, sent_fence = run_start(), self.controller.fence + 1
        self.send_orders(start)
        self.controller.record_start_sent(start.key, sent_fence)
        self.controller.handle_start_result(start.key, NoAnswer())
        self.deliver_inventory_of(sent_fence)
        self.assertEqual({}, self.reported_ends())
        self.deliver_inventory_of(sent_fence + 1)
        self.assertEqual({start.key: End.NOT_STARTED}, self.reported_ends())

    def test_a_refused_connection_is_no_proof_against_an_unanswered_start(self):
        # The next lifetime may have the same id, and then carries the start out.
        accepted, unanswered = run_start("a.0.0.0"), run_start("b.0.0.0")
        self.start_runs(accepted)
        self.send_orders(unanswered)
        self.controller.connection_refused()
        self.assertEqual({}, self.reported_ends())
        self.let_lease_end()
        self.assertEqual({accepted.key: End.LOST}, self.reported_ends())
        self.controller.handle_heartbeat(heartbeat(born_ms=2))
        self.assertEqual({}, self.reported_ends())
        self.deliver_inventory_of(self.controller.fence, born_ms=2)
        self.assertEqual({unanswered.key: End.LOST}, self.reported_ends())
        self.assertEqual(1, self.controller.crash_count)

    def test_an_unanswered_start_is_lost_once_another_id_is_in_use(self):
        unanswered = run_start()
        self.send_orders(unanswered)
        self.controller.connection_refused()
        self.controller.handle_heartbeat(replace(heartbeat(), endpoint_id="e-2"))
        self.assertEqual({unanswered.key: End.LOST}, self.reported_ends())

    def test_a_refused_connection_does_not_repeat_the_stop_at_once(self):
        # Each stop is refused as well, and there would be no end of them.
        unanswered = run_start()
        self.send_orders(unanswered)
        self.controller.connection_refused()
        self.assertEqual([], self.controller.next_orders())
        self.assertEqual([StopOrder(unanswered.key)], self.let_lease_end())
        for _ in range(3):
            self.controller.connection_refused()
            self.assertEqual([], self.controller.next_orders())

    def test_a_stop_accepted_by_an_earlier_lifetime_is_no_proof(self):
        # A start given up in one lifetime may be carried out in the next one.
        unanswered, fence = run_start(), self.controller.fence
        self.send_orders(unanswered)
        self.controller.handle_start_result(unanswered.key, NoAnswer(), fence)
        self.controller.handle_heartbeat(heartbeat(born_ms=2))
        self.controller.handle_stop_result(unanswered.key, Accepted(1), fence)
        self.deliver_inventory_of(fence, born_ms=2)
        self.assertEqual({}, self.reported_ends())

    def test_each_lifetime_has_a_higher_fence(self):
        # An order to the lifetime before may be carried out in it.
        fence = self.controller.fence
        self.controller.handle_heartbeat(heartbeat(born_ms=2))
        self.assertGreater(self.controller.fence, fence)

    def test_a_rejected_order_from_before_the_fence_was_raised_raises_no_other(self):
        start, fence = run_start(), self.controller.fence
        self.send_orders(start)
        self.controller.handle_heartbeat(heartbeat(born_ms=2))
        raised = self.controller.fence
        self.controller.handle_start_result(start.key, Rejected(Rejection.FENCE), fence)
        self.assertEqual(raised, self.controller.fence)
        self.assertEqual({start.key: End.NOT_STARTED}, self.reported_ends())

    def test_a_connection_refused_by_an_earlier_lifetime_ends_no_run(self):
        # After a suspension the refusal is read after the answer of the new lifetime.
        refused, fence = run_start("a.0.0.0"), self.controller.fence
        self.send_orders(refused)
        self.controller.handle_heartbeat(heartbeat(born_ms=2))
        self.deliver_inventory(born_ms=2)
        started = run_start("b.0.0.0")
        self.start_runs(started)
        self.controller.handle_start_result(
            refused.key, Rejected(Rejection.NOT_LISTENING), fence
        )
        self.assertEqual({refused.key: End.NOT_STARTED}, self.reported_ends())
        self.controller.connection_refused(fence)
        self.assertEqual([started.key], list(self.controller.runs))
        self.assertTrue(self.controller.is_ready)
        self.controller.connection_refused(self.controller.fence)
        self.assertFalse(self.controller.is_ready)
        self.let_lease_end()
        self.assertEqual({started.key: End.LOST}, self.reported_ends())

    def test_the_lease_is_not_renewed_for_runs_of_an_earlier_agent(self):
        # Its owner places the tasks again after the lease, though a stop may be lost.
        controller = RunController(self.clock, LEASE_TIMES, first_fence=9)
        controller.handle_heartbeat(heartbeat())
        row = ActiveRun(RunKey("old.0.0.0", 3), "", 5)
        for rows in ((row,), (row,), ()):
            self.assertIsNone(controller.renew_lease())
            inventory = Inventory(self.clock.now_ms(), 1, rows, ())
            controller.handle_inventory(inventory, controller.fence)
        now_ms = self.clock.now_ms()
        controller.owners.link_opened(OWNER)
        controller.owners.link_resynced(OWNER, now_ms)
        start = run_start()
        controller.handle_orders(OWNER, m.RunOrders(1, [start]), now_ms)
        self.assertIn(StartOrder(start), controller.next_orders())
        self.assertIsNotNone(controller.renew_lease())


class LeaseTests(RunControllerCase):
    """Silent owners, silent endpoints, and delays as by a suspended machine."""

    def test_runs_of_a_silent_owner_are_stopped(self):
        first = run_start()
        self.start_runs(first)
        self.pass_time(OWNER_LEASE_MS, [first.key])
        self.clock.advance(1)
        self.assertIn(StopOrder(first.key), self.controller.next_orders())

    def test_an_old_echo_does_not_renew_the_lease(self):
        first = run_start()
        self.start_runs(first)
        old_ms = self.clock.now_ms()
        self.pass_time(OWNER_LEASE_MS, [first.key])
        self.clock.advance(1)
        self.controller.owners.record_frame(OWNER, old_ms, 0)
        self.assertIn(StopOrder(first.key), self.controller.next_orders())

    def test_a_new_link_does_not_renew_the_lease_before_its_resync(self):
        # The agent was suspended with a start that waits, and the owner has given the
        # run up. The agent learns this by the resync, after other frames of the link.
        waiting_start = run_start(wait_ms=5_000, is_isolated=True)
        resync = m.RunOrders(1, is_resync=True)
        self.controller.handle_orders(
            OWNER, m.RunOrders(1, [waiting_start]), self.clock.now_ms()
        )
        self.clock.advance(OWNER_LEASE_MS + 1)
        self.deliver_inventory()
        self.controller.owners.link_opened(OWNER)
        self.renew_owner_lease()
        self.assertEqual([], self.controller.next_orders())
        self.controller.handle_orders(OWNER, resync, self.clock.now_ms())
        self.assertEqual([], self.controller.next_orders())
        self.assertEqual({waiting_start.key: End.NOT_STARTED}, self.reported_ends())

    def test_a_resync_renews_the_lease_of_the_runs_that_it_names(self):
        first = run_start()
        self.start_runs(first)
        self.clock.advance(OWNER_LEASE_MS)
        self.deliver_inventory([first.key])
        self.controller.owners.link_opened(OWNER)
        resync = m.RunOrders(1, expected_runs=[first.key], is_resync=True)
        self.controller.handle_orders(OWNER, resync, self.clock.now_ms())
        self.clock.advance(OWNER_LEASE_MS)
        self.assertEqual([], self.controller.next_orders())

    def test_a_delayed_order_starts_no_run(self):
        old_ms = self.clock.now_ms()
        self.clock.advance(OWNER_LEASE_MS + 1)
        self.deliver_inventory()
        delayed = run_start()
        self.assertEqual([], self.send_orders(delayed, echo_ms=old_ms))
        self.assertEqual({delayed.key: End.NOT_STARTED}, self.reported_ends())

    def test_a_silent_endpoint_gets_no_new_runs_and_no_renewal(self):
        self.clock.advance(SUSPECT_AFTER_MS + 1)
        self.renew_owner_lease()
        self.assertIsNone(self.controller.lease.renew(math.inf))
        self.assertEqual([], self.send_orders(run_start()))

    def test_a_start_is_not_sent_after_its_owners_lease(self):
        # The process was paused between the decision and the call to the endpoint. The
        # owner may have placed the task at another endpoint meanwhile.
        start = run_start()
        self.send_orders(start)
        self.assertTrue(self.controller.may_send_start(start.key))
        self.clock.advance(OWNER_LEASE_MS + 1)
        self.assertFalse(self.controller.may_send_start(start.key))

    def test_a_start_is_not_sent_after_its_run_was_stopped(self):
        start = run_start()
        self.send_orders(start)
        self.send_orders(stops=[start.key])
        self.assertFalse(self.controller.may_send_start(start.key))
        self.controller.handle_start_result(start.key, Rejected(Rejection.WITHDRAWN))
        (end,) = self.controller.next_report(OWNER).ends
        self.assertEqual(End.NOT_STARTED, end.end)

    def list_progress(self, key, percent, after_ms):
        """Pass in inventories each 100 ms, the last one with this progress."""
        for remaining in reversed(range(after_ms // 100)):
            self.clock.advance(100)
            self.renew_owner_lease()
            self.controller.lease.record_renewal()
            listed = self.controller.runs[key].percent if remaining else percent
            rows = (ActiveRun(key, "", listed),)
            self.controller.handle_inventory(
                Inventory(self.clock.now_ms(), 1, rows, ())
            )
            self.controller.next_orders()

    def test_a_long_run_whose_percent_rises_rarely_is_not_stalled(self):
        # A run of five minutes progresses by one percent in 3 s. It was stopped and
        # started elsewhere each 700 ms, and never ended.
        start = run_start()
        start.estimate_ms = 300_000
        self.send_orders(start)
        self.controller.handle_start_result(start.key, Accepted(1))
        for percent in (1, 2, 3):
            self.list_progress(start.key, percent, 3_000)
        self.assertIs(Phase.RUNNING, self.controller.runs[start.key].phase)

    def test_a_run_slower_than_its_estimate_is_judged_by_its_own_progress(self):
        start = run_start()
        start.estimate_ms = 1_000
        self.send_orders(start)
        self.controller.handle_start_result(start.key, Accepted(1))
        self.list_progress(start.key, 1, 600)
        self.list_progress(start.key, 2, 1_400)
        self.assertIs(Phase.RUNNING, self.controller.runs[start.key].phase)

    def test_a_run_that_makes_no_progress_is_stopped(self):
        start = run_start()
        self.send_orders(start)
        self.controller.handle_start_result(start.key, Accepted(1))
        self.list_progress(start.key, 0, 900)
        self.assertIs(Phase.STOPPING, self.controller.runs[start.key].phase)

    def test_runs_are_lost_once_the_lease_has_certainly_expired(self):
        first = run_start()
        self.start_runs(first)
        self.controller.lease.record_renewal()
        self.clock.advance(LEASE_MS)
        self.renew_owner_lease()
        self.controller.next_orders()
        self.assertEqual({}, self.reported_ends())
        self.clock.advance(110 + LOSS_MARGIN_MS)
        self.renew_owner_lease()
        self.controller.next_orders()
        self.assertEqual({first.key: End.LOST}, self.reported_ends())

    def test_a_start_whose_connection_was_refused_is_not_reported_as_lost(self):
        # It was counted as a run that the endpoint may have had when it crashed.
        first, second = run_start("a.0.0.0"), run_start("b.0.0.0")
        self.start_runs(first)
        self.send_orders(second)
        self.controller.handle_start_result(
            second.key, Rejected(Rejection.NOT_LISTENING)
        )
        self.assertEqual({second.key: End.NOT_STARTED}, self.reported_ends())
        self.assertFalse(self.controller.is_ready)
        self.let_lease_end()
        self.assertEqual({first.key: End.LOST}, self.reported_ends())

    def test_an_endpoint_that_ends_without_notice_has_crashed(self):
        self.controller.connection_refused()
        self.controller.connection_refused()
        self.let_lease_end()
        for _ in range(3):
            self.controller.connection_refused()
            self.clock.advance(CHECK_INTERVAL_MS)
            self.controller.next_orders()
        self.assertEqual(1, self.controller.lifetime.refusal_count)
        self.assertEqual(1, self.controller.crash_count)

    def test_an_endpoint_that_ends_as_announced_or_is_silent_has_not_crashed(self):
        self.start_runs(run_start())
        self.clock.advance(LEASE_MS + 200)
        self.controller.next_orders()
        self.controller.handle_heartbeat(heartbeat(born_ms=2))
        self.deliver_inventory(born_ms=2)
        self.controller.handle_heartbeat(
            heartbeat(born_ms=2, sequence=2, draining=True)
        )
        self.controller.connection_refused()
        self.assertEqual(0, self.controller.crash_count)

    def test_a_crash_is_counted_once_when_the_next_lifetime_follows(self):
        self.start_runs(run_start())
        self.controller.connection_refused()
        self.controller.handle_heartbeat(heartbeat(born_ms=2))
        self.assertEqual(1, self.controller.crash_count)

    def test_a_start_that_the_next_lifetime_may_have_accepted_is_stopped(self):
        """Guards against a run left at a restarted endpoint; seed 18 of the soak test.

        An endpoint that restarts under the same id accepts a start that was sent to its
        previous lifetime. A run that was not listed yet may therefore be running there.
        """
        listed, unlisted = run_start("job.0.0.0"), run_start("job.0.0.1")
        self.start_runs(listed, unlisted)
        self.deliver_inventory(running=[listed.key])
        self.controller.handle_heartbeat(heartbeat(born_ms=2, sequence=0))
        self.assertEqual({listed.key: End.LOST}, self.reported_ends())
        self.assertEqual([StopOrder(unlisted.key)], self.controller.next_orders())
        stopped_ms = self.clock.now_ms()
        self.controller.handle_stop_result(unlisted.key, Accepted(stopped_ms))
        self.clock.advance(5)
        self.deliver_inventory(born_ms=2)
        # It was accepted before the restart, so it must not be said never to have run.
        self.assertEqual({unlisted.key: End.LOST}, self.reported_ends())

    def test_a_run_continues_for_the_entry_where_its_job_was_resubmitted(self):
        start = run_start()
        self.start_runs(start)
        self.link_owner(OTHER)
        self.assertEqual([], self.send_orders(start, owner=OTHER))
        self.assertEqual([], self.send_orders(stops=[start.key], owner=OWNER))
        self.deliver_inventory(ended=[EndedRun(1, start.key, End.DONE, "")])
        self.assertEqual({start.key: End.DONE}, self.reported_ends(OTHER))
        self.assertEqual({}, self.reported_ends(OWNER))

    def test_a_stale_start_of_the_former_owner_does_not_take_the_run_back(self):
        # The job was resubmitted at another entry after the first was cut off. Its
        # start arrives when the cut has healed, and nobody hears from it after that.
        stale_ms = self.clock.now_ms()
        self.clock.advance(OWNER_LEASE_MS + 1)
        self.deliver_inventory()
        self.link_owner(OTHER)
        start = run_start()
        self.start_runs(start, owner=OTHER)
        self.assertEqual([], self.send_orders(start, owner=OWNER, echo_ms=stale_ms))
        self.assertEqual(OTHER, self.controller.runs[start.key].owner)
        self.deliver_inventory(ended=[EndedRun(1, start.key, End.DONE, "")])
        self.assertEqual({start.key: End.DONE}, self.reported_ends(OTHER))

    def test_an_older_run_is_stopped_even_if_the_newer_one_finds_no_room(self):
        start = run_start(cpu=4_000)
        self.start_runs(start)
        newer = run_start(run=2, cpu=4_000, wait_ms=10)
        self.assertEqual([StopOrder(start.key)], self.send_orders(newer))
        self.assertIn(newer.key, self.reported_ends())

    def test_an_unconfirmed_run_is_lost_with_the_lease_of_a_silent_lifetime(self):
        start = run_start()
        self.start_runs(start)
        self.controller.handle_heartbeat(heartbeat(born_ms=2, sequence=0))
        self.controller.next_orders()
        self.assertEqual({}, self.reported_ends())
        self.clock.advance(LEASE_MS + 200)
        self.renew_owner_lease()
        self.controller.next_orders()
        self.assertEqual({start.key: End.LOST}, self.reported_ends())
        self.assertEqual(0, self.controller.used_room.cpu_millis)

    def test_an_inventory_of_another_lifetime_is_ignored(self):
        start = run_start()
        self.start_runs(start)
        ended = EndedRun(1, start.key, End.DONE, "")
        self.deliver_inventory(ended=[ended], born_ms=2)
        self.assertEqual({}, self.reported_ends())
        self.assertEqual(0, self.controller.lifetime.last_end_number)

    def test_runs_of_the_old_lifetime_are_lost_when_a_new_one_begins(self):
        first = run_start()
        self.start_runs(first)
        self.deliver_inventory(running=[first.key])
        self.assertTrue(self.controller.handle_heartbeat(heartbeat(born_ms=2)))
        self.assertEqual({first.key: End.LOST}, self.reported_ends())
        self.assertEqual(0, self.controller.lifetime.last_end_number)


class RefusedConnectionTests(RunControllerCase):
    """An endpoint whose address refuses connections, which may be at work.

    Issue 43: its runs were reported as lost at once, and began elsewhere beside these.
    """

    def setUp(self):
        super().setUp()
        self.run_start = run_start()
        self.start_runs(self.run_start)

    def test_its_runs_are_not_lost_before_its_lease_has_ended(self):
        self.controller.connection_refused()
        end_ms = self.controller.lease.end_ms + LOSS_MARGIN_MS
        while self.clock.now_ms() + CHECK_INTERVAL_MS <= end_ms:
            self.clock.advance(CHECK_INTERVAL_MS)
            self.renew_owner_lease()
            self.controller.next_orders()
            self.assertEqual({}, self.reported_ends())
        self.let_lease_end()
        self.assertEqual({self.run_start.key: End.LOST}, self.reported_ends())

    def test_its_lease_is_not_renewed(self):
        # Each attempt would put the end of the lease off, though none arrives.
        self.controller.connection_refused()
        end_ms = self.controller.lease.end_ms
        self.clock.advance(100)
        self.assertIsNone(self.controller.renew_lease())
        self.assertEqual(end_ms, self.controller.lease.end_ms)

    def test_its_runs_go_on_once_it_answers_again(self):
        self.controller.connection_refused()
        self.assertFalse(self.controller.is_ready)
        self.clock.advance(300)
        self.renew_owner_lease()
        self.deliver_inventory([self.run_start.key])
        self.assertTrue(self.controller.is_ready)
        self.assertIsNotNone(self.controller.renew_lease())
        self.pass_time(1_000, [self.run_start.key], [OWNER])
        self.controller.next_orders()
        self.assertIs(Phase.RUNNING, self.controller.runs[self.run_start.key].phase)

    def test_its_crash_is_withdrawn_once_it_answers_again(self):
        # Guards against a sound task that is taken for deadly, as it was alone at two
        # endpoints that refused connections for a moment.
        reports = []
        for _ in range(3):
            self.controller.connection_refused()
            reports += self.controller.next_report(OWNER).crashes
            self.clock.advance(50)
            self.renew_owner_lease()
            self.deliver_inventory([self.run_start.key])
            reports += self.controller.next_report(OWNER).crashes
        self.assertEqual([1, 0], [len(crash.runs) for crash in reports])
        self.assertEqual(1, len({crash.lifetime for crash in reports}))
        self.assertEqual(0, self.controller.crash_count)
        self.assertIs(Phase.RUNNING, self.controller.runs[self.run_start.key].phase)

    def test_a_withdrawn_crash_is_reported_again_with_the_end(self):
        self.controller.connection_refused()
        self.deliver_inventory([self.run_start.key])
        self.controller.next_report(OWNER)
        self.controller.connection_refused()
        self.assertEqual([], self.controller.next_report(OWNER).crashes)
        self.let_lease_end()
        (crash,) = self.controller.next_report(OWNER).crashes
        self.assertEqual(["job.0.0.0"], [run.task for run in crash.runs])
        self.assertEqual(1, self.controller.crash_count)

    def test_an_owner_that_links_later_is_told_of_the_withdrawal(self):
        self.controller.connection_refused()
        self.deliver_inventory([self.run_start.key])
        self.link_owner(OTHER)
        (crash,) = self.controller.next_report(OTHER).crashes
        self.assertEqual((), crash.runs)

    def test_its_crash_is_reported_after_it_had_no_runs_when_it_refused(self):
        self.deliver_inventory(ended=[EndedRun(1, self.run_start.key, End.DONE, "")])
        self.clock.advance(CRASH_DELAY_MS + 1)
        self.controller.connection_refused()
        self.assertEqual([], self.controller.next_report(OWNER).crashes)
        self.deliver_inventory()
        self.start_runs(run_start("other.0.0.0"))
        self.controller.connection_refused()
        self.assertEqual(1, len(self.controller.next_report(OWNER).crashes))

    def test_the_crash_of_its_next_lifetime_is_reported_as_well(self):
        self.controller.connection_refused()
        self.controller.handle_heartbeat(heartbeat(born_ms=2))
        self.deliver_inventory(born_ms=2)
        self.controller.connection_refused()
        self.let_lease_end()
        self.assertEqual(2, self.controller.crash_count)

    def test_a_start_that_was_not_sent_is_no_answer(self):
        # Guards against a renewal that is recorded for an endpoint that still refuses.
        for reason in (Rejection.UNREACHABLE, Rejection.WITHDRAWN):
            start = run_start(f"{reason.value}.0.0.0")
            self.send_orders(start)
            self.controller.connection_refused()
            self.controller.handle_start_result(start.key, Rejected(reason))
            self.assertFalse(self.controller.is_ready)
            self.assertIsNone(self.controller.renew_lease())
            self.deliver_inventory([self.run_start.key])

    def test_it_gets_no_new_run(self):
        self.controller.connection_refused()
        refused = run_start("other.0.0.0")
        self.assertEqual([], self.send_orders(refused))
        self.assertEqual({refused.key: End.NOT_STARTED}, self.reported_ends())

    def test_its_runs_are_lost_once_its_next_lifetime_has_answered(self):
        self.controller.connection_refused()
        self.controller.handle_heartbeat(
            replace(heartbeat(born_ms=2), endpoint_id="e-2")
        )
        self.assertEqual({self.run_start.key: End.LOST}, self.reported_ends())


class ExpiredLeaseTests(RunControllerCase):
    """Runs whose endpoint's lease has certainly expired by the bounds of the platform.

    An endpoint on a busy machine that was late by 18 ms more had its runs given up
    while they were at work (issue 43, hypothesis 4).
    """

    def setUp(self):
        super().setUp()
        self.run_start = run_start()
        self.start_runs(self.run_start)
        self.end_ms = int(self.controller.lease.end_ms)
        self.clock.advance(self.end_ms - self.clock.now_ms() + CHECK_INTERVAL_MS)
        self.renew_owner_lease()

    def test_they_are_not_lost_at_once(self):
        self.controller.next_orders()
        self.assertEqual({}, self.reported_ends())
        self.clock.advance(LOSS_MARGIN_MS)
        self.controller.next_orders()
        self.assertEqual({self.run_start.key: End.LOST}, self.reported_ends())

    def test_they_are_stopped_and_awaited_while_the_endpoint_lists_them(self):
        orders = []
        for _ in range(10):
            self.deliver_inventory([self.run_start.key])
            orders += self.controller.next_orders()
            self.assertEqual({}, self.reported_ends())
            self.assertFalse(self.controller.is_ready)
            self.assertIsNone(self.controller.renew_lease())
            self.clock.advance(CHECK_INTERVAL_MS)
            self.renew_owner_lease()
        self.assertIn(StopOrder(self.run_start.key), orders)
        ended = EndedRun(1, self.run_start.key, End.LAPSED, "")
        self.deliver_inventory(ended=[ended])
        self.controller.next_orders()
        self.assertEqual({self.run_start.key: End.LAPSED}, self.reported_ends())
        self.assertTrue(self.controller.is_ready)

    def test_a_start_at_an_idle_endpoint_is_not_refused_for_the_last_lease(self):
        self.deliver_inventory(ended=[EndedRun(1, self.run_start.key, End.DONE, "")])
        other = run_start("other.0.0.0")
        self.assertEqual([StartOrder(other)], self.send_orders(other))

    def test_they_are_lost_once_the_endpoint_is_silent_again(self):
        self.deliver_inventory([self.run_start.key])
        self.controller.next_orders()
        self.clock.advance(SUSPECT_AFTER_MS + CHECK_INTERVAL_MS)
        self.renew_owner_lease()
        self.controller.next_orders()
        self.assertEqual({self.run_start.key: End.LOST}, self.reported_ends())


class AbsentRunTests(RunControllerCase):
    """Accepted runs that an inventory lists neither as running nor as ended.

    An old inventory that is read late was taken for proof that a run is gone, which may
    then begin elsewhere beside it (the class of fault of issue 43).
    """

    def setUp(self):
        super().setUp()
        self.older = Inventory(self.clock.now_ms(), 1, (), ())
        self.clock.advance(10)
        self.run_start = run_start()
        self.start_runs(self.run_start)

    def test_an_inventory_from_before_the_start_proves_nothing(self):
        self.pass_time(LEASE_MS + 50, [self.run_start.key], [OWNER])
        self.controller.handle_inventory(self.older)
        self.assertEqual({}, self.reported_ends())

    def test_an_inventory_read_after_a_pause_proves_nothing(self):
        self.clock.advance(LEASE_MS + 50)
        self.renew_owner_lease()
        self.controller.handle_inventory(self.older)
        self.assertEqual({}, self.reported_ends())

    def test_a_stopped_run_may_be_among_ends_that_are_left_out(self):
        # Guards against a run that was done and is reported as lost.
        key = self.run_start.key
        self.send_orders(stops=[key])
        self.controller.handle_stop_result(key, Accepted(self.clock.now_ms()))
        self.clock.advance(50)
        others = [EndedRun(1, RunKey("other.0.0.0", 1), End.DONE, "")]
        inventory = Inventory(self.clock.now_ms(), 1, (), tuple(others), True)
        self.controller.handle_inventory(inventory)
        self.assertEqual({}, self.reported_ends())
        self.clock.advance(50)
        self.deliver_inventory(ended=[EndedRun(2, key, End.DONE, "")])
        self.assertEqual({key: End.DONE}, self.reported_ends())

    def test_a_run_that_newer_inventories_do_not_list_is_lost(self):
        self.pass_time(LEASE_MS + 50, [], [OWNER])
        self.assertEqual({self.run_start.key: End.LOST}, self.reported_ends())


class LateRunTests(RunControllerCase):
    """Runs that are listed as running after their end was reported (issue 43).

    Nothing told of them, so that a lapse or a stop that came late could not be seen.
    """

    def setUp(self):
        super().setUp()
        self.run_start = run_start()
        self.start_runs(self.run_start)

    def assert_warns(self, handler, late_ms):
        event = "run at work after its end"
        (record,) = [r for r in handler.records if r.message == event]
        self.assertEqual(logbook.WARNING, record.level)
        key, fields = self.run_start.key, record.kwargs
        self.assertEqual(
            (key.task, key.run, late_ms),
            (fields["task"], fields["run"], fields["late_ms"]),
        )

    def test_a_run_at_work_after_the_lease_is_logged_and_counted_once(self):
        self.let_lease_end()
        self.assertEqual({self.run_start.key: End.LOST}, self.reported_ends())
        with logbook.TestHandler().applicationbound() as handler:
            self.clock.advance(30)
            self.deliver_inventory([self.run_start.key])
            self.deliver_inventory([self.run_start.key])
        self.assert_warns(handler, late_ms=30)
        self.assertEqual(1, self.controller.late_run_count)
        self.assertIn(StopOrder(self.run_start.key), self.controller.next_orders())

    def test_a_run_carried_out_in_the_next_lifetime_is_counted(self):
        self.let_lease_end()
        self.controller.handle_heartbeat(heartbeat(born_ms=2))
        self.deliver_inventory([self.run_start.key], born_ms=2)
        self.assertEqual(1, self.controller.late_run_count)

    def test_an_inventory_that_was_overtaken_proves_nothing(self):
        self.clock.advance(10)
        older = Inventory(
            self.clock.now_ms(), 1, (ActiveRun(self.run_start.key, "", 10),), ()
        )
        self.clock.advance(10)
        self.deliver_inventory(ended=[EndedRun(1, self.run_start.key, End.DONE, "")])
        self.controller.handle_inventory(older)
        self.assertEqual(0, self.controller.late_run_count)

    def test_an_inventory_requested_before_the_loss_proves_nothing(self):
        fence = self.controller.fence
        self.let_lease_end()
        rows = (ActiveRun(self.run_start.key, "", 10),)
        self.controller.handle_inventory(
            Inventory(self.clock.now_ms(), 1, rows, ()), fence
        )
        self.assertEqual(0, self.controller.late_run_count)

    def test_a_run_that_is_being_stopped_is_not_late(self):
        self.send_orders(stops=[self.run_start.key])
        self.clock.advance(40)
        self.deliver_inventory([self.run_start.key])
        self.assertEqual(0, self.controller.late_run_count)


class NestedLeaseTests(RunControllerCase):
    """The agent may die at any time: the endpoint's lease then ends the runs.

    Callers submit a job again ``RESUBMIT_MS`` after the last sign of life of its owner.
    """

    def setUp(self):
        super().setUp()
        self.first = run_start()
        self.start_runs(self.first)

    def assert_ends_before_resubmission(self, contact_ms):
        self.assertLess(self.controller.lease.end_ms, contact_ms + RESUBMIT_MS)

    def test_no_renewal_lets_a_run_go_on_beside_the_resubmitted_one(self):
        # Review case 2: the lease began anew until the agent died, whether the owner
        # was alive or not.
        contact_ms = self.clock.now_ms()
        for _ in range(40):
            self.pass_time(INVENTORY_INTERVAL_MS, [self.first.key])
            self.assert_ends_before_resubmission(contact_ms)

    def test_other_owners_do_not_lengthen_the_lease_of_a_silent_one(self):
        self.link_owner(OTHER)
        second = run_start("other.0.0.0")
        self.start_runs(second, owner=OTHER)
        contact_ms = self.clock.now_ms()
        running = [self.first.key, second.key]
        for _ in range(20):
            self.pass_time(INVENTORY_INTERVAL_MS, running, heard_owners=[OTHER])
            self.controller.next_orders()
            self.assert_ends_before_resubmission(contact_ms)

    def test_the_runs_of_other_owners_go_on_once_those_have_ended(self):
        self.link_owner(OTHER)
        second = run_start("other.0.0.0")
        self.start_runs(second, owner=OTHER)
        running = [self.first.key, second.key]
        self.pass_time(OWNER_LEASE_MS + 50, running, heard_owners=[OTHER])
        self.assertIn(StopOrder(self.first.key), self.controller.next_orders())
        self.deliver_inventory(
            [second.key], [EndedRun(1, self.first.key, End.STOPPED, "")]
        )
        self.pass_time(500, [second.key], heard_owners=[OTHER])
        self.controller.next_orders()
        self.assertEqual(Phase.RUNNING, self.controller.runs[second.key].phase)
        lease_ms = self.controller.lease.end_ms - self.clock.now_ms()
        self.assertGreater(lease_ms, LEASE_TIMES.endpoint_ms)

    def test_an_owner_that_answers_as_usual_does_not_shorten_the_lease(self):
        self.pass_time(350, [self.first.key])
        lease_ms = self.controller.lease.end_ms - self.clock.now_ms()
        self.assertGreater(lease_ms, LEASE_TIMES.endpoint_ms)

    def test_the_lease_ends_a_run_whose_stop_is_lost(self):
        # Its owner lives on, but its job may have been submitted elsewhere.
        contact_ms = self.clock.now_ms()
        self.send_orders(stops=[self.first.key])
        for _ in range(20):
            self.pass_time(
                INVENTORY_INTERVAL_MS, [self.first.key], heard_owners=[OWNER]
            )
            self.controller.next_orders()
            self.assert_ends_before_resubmission(contact_ms)

    def test_a_stop_that_was_held_up_counts_from_the_time_it_was_sent(self):
        contact_ms = self.clock.now_ms()
        self.pass_time(600, [self.first.key], heard_owners=[OWNER])
        self.send_orders(stops=[self.first.key], echo_ms=contact_ms)
        self.pass_time(300, [self.first.key], heard_owners=[OWNER])
        lease_ms = self.controller.lease.end_ms - self.clock.now_ms()
        self.assertLess(lease_ms, LEASE_TIMES.endpoint_ms)

    def test_a_run_that_a_resync_does_not_name_counts_as_given_up(self):
        contact_ms = self.clock.now_ms()
        resync = m.RunOrders(next(self.order_numbers), is_resync=True)
        self.controller.handle_orders(OWNER, resync, contact_ms)
        for _ in range(20):
            self.pass_time(
                INVENTORY_INTERVAL_MS, [self.first.key], heard_owners=[OWNER]
            )
            self.controller.next_orders()
            self.assert_ends_before_resubmission(contact_ms)

    def test_a_run_given_up_without_a_link_counts_from_the_last_contact(self):
        # The caller's connection broke together with the link, long before the resync.
        contact_ms = self.clock.now_ms()
        self.controller.owners.link_closed(OWNER)
        self.pass_time(700, [self.first.key])
        self.controller.owners.link_opened(OWNER)
        resync = m.RunOrders(next(self.order_numbers), is_resync=True)
        self.controller.handle_orders(OWNER, resync, self.clock.now_ms())
        for _ in range(10):
            self.controller.next_orders()
            self.assert_ends_before_resubmission(contact_ms)
            self.pass_time(
                INVENTORY_INTERVAL_MS, [self.first.key], heard_owners=[OWNER]
            )

    def test_a_start_is_refused_under_a_lease_that_is_too_long_for_its_owner(self):
        # The lease was renewed for others, and can't be shortened.
        self.link_owner(OTHER)
        contact_ms = self.clock.now_ms()
        self.pass_time(700, [self.first.key], heard_owners=[OWNER])
        second = run_start("other.0.0.0")
        orders = self.send_orders(second, owner=OTHER, echo_ms=contact_ms)
        self.assertEqual([], orders)
        self.assertEqual({second.key: End.NOT_STARTED}, self.reported_ends(OTHER))

    def test_an_idle_endpoint_accepts_starts_of_an_owner_that_was_heard_long_ago(self):
        # Lost packets delay echoes by some hundred ms. The endpoint was renewed while
        # idle, so each such start was refused, and its entry chose it again.
        self.deliver_inventory(ended=[EndedRun(1, self.first.key, End.DONE, "")])
        self.controller.next_orders()
        for _ in range(20):
            self.pass_time(INVENTORY_INTERVAL_MS)
            self.controller.next_orders()
        echo_ms = self.clock.now_ms() - OWNER_LEASE_MS + 100
        second = run_start("other.0.0.0")
        orders = self.send_orders(second, echo_ms=echo_ms)
        self.assertEqual([StartOrder(second)], orders)
        self.assert_ends_before_resubmission(echo_ms)

    def test_a_new_lifetime_under_the_same_id_may_have_the_longest_lease(self):
        # A renewal sent to the lifetime before may arrive there and count anew.
        self.deliver_inventory([self.first.key])
        self.controller.handle_heartbeat(heartbeat(born_ms=2))
        longest_end_ms = self.clock.now_ms() + LEASE_TIMES.max_endpoint_ms
        self.assertGreater(self.controller.lease.end_ms, longest_end_ms)

    def test_a_start_with_a_usual_echo_begins(self):
        self.link_owner(OTHER)
        self.pass_time(350, [self.first.key], heard_owners=[OWNER])
        echo_ms = self.clock.now_ms() - 350
        second = run_start("other.0.0.0")
        orders = self.send_orders(second, owner=OTHER, echo_ms=echo_ms)
        self.assertEqual([StartOrder(second)], orders)


class ChangingCapacityTests(RunControllerCase):
    """An endpoint whose capacity shrinks and grows during its lifetime."""

    def setUp(self):
        super().setUp()
        self.sequences = iter(range(2, 100))

    def resize(self, cpu_millis):
        """Deliver a heartbeat with another capacity; return the orders it leads to."""
        capacity = Room(cpu_millis, 1_000, 0)
        report = heartbeat(sequence=next(self.sequences), capacity=capacity)
        self.assertFalse(self.controller.handle_heartbeat(report))
        return self.controller.next_orders()

    def test_nothing_starts_over_a_capacity_that_has_shrunk(self):
        # Such an endpoint starts whatever it is told to, beyond its capacity.
        first, second = run_start("a.0.0.0"), run_start("b.0.0.0")
        self.start_runs(first, second)
        self.assertEqual([], self.resize(1_500))
        self.assertEqual([], self.send_orders(run_start("c.0.0.0", wait_ms=5_000)))
        self.deliver_inventory(ended=[EndedRun(1, first.key, End.DONE, "")])
        self.assertEqual([], self.controller.next_orders())
        self.assertEqual(second.room, self.controller.used_room)

    def test_a_run_that_is_being_stopped_counts_against_a_shrunk_capacity(self):
        first = run_start("a.0.0.0", cpu=2_000)
        self.start_runs(first)
        self.resize(2_500)
        self.send_orders(stops=[first.key])
        waiting = run_start("b.0.0.0", wait_ms=100)
        self.assertEqual([], self.send_orders(waiting))
        self.deliver_inventory(ended=[EndedRun(1, first.key, End.STOPPED, "")])
        self.assertEqual([StartOrder(waiting)], self.controller.next_orders())

    def test_runs_go_on_when_the_capacity_shrinks_below_them(self):
        start = run_start(cpu=3_000)
        self.start_runs(start)
        self.assertEqual([], self.resize(1_000))
        self.assertLess(self.controller.free_room.cpu_millis, 0)
        self.deliver_inventory(ended=[EndedRun(1, start.key, End.DONE, "")])
        self.assertEqual({start.key: End.DONE}, self.reported_ends())
        self.assertEqual(1_000, self.controller.free_room.cpu_millis)

    def test_a_waiting_start_begins_when_the_capacity_grows_again(self):
        self.start_runs(run_start("a.0.0.0"))
        self.resize(1_000)
        waiting = run_start("b.0.0.0", wait_ms=100)
        self.assertEqual([], self.send_orders(waiting))
        self.assertEqual([StartOrder(waiting)], self.resize(2_000))

    def test_a_start_larger_than_the_shrunk_capacity_is_refused_at_once(self):
        self.resize(500)
        start = run_start(wait_ms=5_000)
        self.assertEqual([], self.send_orders(start))
        self.assertEqual({start.key: End.NOT_STARTED}, self.reported_ends())

    def test_a_late_heartbeat_does_not_bring_back_the_larger_capacity(self):
        late = heartbeat(sequence=1)
        self.resize(1_000)
        self.controller.handle_heartbeat(late)
        self.assertEqual(1_000, self.controller.status().capacity.cpu_millis)

    def test_owners_are_told_of_each_change(self):
        before = self.controller.status()
        self.resize(1_000)
        self.assertNotEqual(before, self.controller.status())
        self.resize(4_000)
        self.assertEqual(before, self.controller.status())

    def test_drawn_changes_never_lead_to_a_start_over_the_capacity(self):
        rng = random.Random(22)
        at_endpoint, number = {}, 0
        for step in range(600):
            capacity_millis = rng.choice((0, 1_000, 2_500, 4_000, 6_000))
            orders = self.resize(capacity_millis) if rng.random() < 0.1 else []
            if not orders and rng.random() < 0.6:
                start = run_start(f"j{step}.0.0.0", cpu=rng.choice((300, 900, 1_700)))
                orders = self.send_orders(start)
            if at_endpoint and rng.random() < 0.4:
                key = rng.choice(list(at_endpoint))
                del at_endpoint[key]
                number += 1
                self.deliver_inventory(
                    at_endpoint, [EndedRun(number, key, End.DONE, "")]
                )
                orders += self.controller.next_orders()
            for order in orders:
                if isinstance(order, StartOrder):
                    start = order.start
                    at_endpoint[start.key] = start.room.cpu_millis
                    self.controller.handle_start_result(start.key, Accepted(1))
                    capacity = self.controller.endpoint.capacity
                    self.assertLessEqual(sum(at_endpoint.values()), capacity.cpu_millis)
            self.clock.advance(10)
            self.renew_owner_lease()
            self.controller.lease.record_renewal()
            self.deliver_inventory(at_endpoint)
        self.assertGreater(number, 50)


class ReportTests(RunControllerCase):
    """Reports to owners, also over a new link, and resyncs."""

    def test_unacknowledged_ends_are_sent_again_on_a_new_link(self):
        first = run_start()
        self.start_runs(first)
        self.deliver_inventory(ended=[EndedRun(1, first.key, End.DONE, "")])
        self.assertEqual({first.key: End.DONE}, self.reported_ends())
        self.controller.owners.link_closed(OWNER)
        self.controller.owners.link_opened(OWNER)
        self.assertEqual({first.key: End.DONE}, self.reported_ends())

    def test_a_report_on_a_new_link_names_no_orders_of_an_earlier_one(self):
        # The owner has forgotten the agent meanwhile and numbers its orders from 1. It
        # would take its next starts for part of the load that the report gives.
        self.send_orders()
        self.assertEqual(1, self.controller.next_report(OWNER).orders_seen)
        self.controller.owners.link_opened(OWNER)
        self.assertEqual(0, self.controller.next_report(OWNER).orders_seen)

    def test_acknowledged_ends_are_not_sent_again(self):
        first = run_start()
        self.start_runs(first)
        self.deliver_inventory(ended=[EndedRun(1, first.key, End.DONE, "")])
        number = self.controller.next_report(OWNER).number
        self.controller.owners.record_frame(OWNER, self.clock.now_ms(), number)
        self.controller.owners.link_opened(OWNER)
        self.assertEqual({}, self.reported_ends())

    def test_a_run_that_never_arrived_is_reported_as_lost(self):
        unknown = RunKey("gone.0.0.0", 1)
        self.send_orders(expected_runs=[unknown])
        self.assertEqual({unknown: End.LOST}, self.reported_ends())

    def test_runs_that_the_owner_no_longer_names_are_stopped(self):
        kept, dropped = run_start("a.0.0.0"), run_start("b.0.0.0")
        self.start_runs(kept, dropped)
        self.link_owner(OTHER)
        others = run_start("c.0.0.0")
        self.start_runs(others, owner=OTHER)
        orders = m.RunOrders(1, expected_runs=[kept.key], is_resync=True)
        self.controller.handle_orders(OWNER, orders, self.clock.now_ms())
        self.assertEqual([StopOrder(dropped.key)], self.controller.next_orders())
        self.assertEqual(1, self.controller.next_report(OWNER).orders_seen)

    def test_a_rejected_fence_is_raised(self):
        before = self.controller.fence
        first = run_start()
        self.send_orders(first)
        self.controller.handle_start_result(first.key, Rejected(Rejection.FENCE))
        self.assertGreater(self.controller.fence, before)
        self.assertEqual({first.key: End.NOT_STARTED}, self.reported_ends())


if __name__ == "__main__":
    unittest.main()
