"""The agent's decisions about runs, without an endpoint."""

import unittest

from plantainhitch.clock import ManualClock
from plantainhitch.coordination.runs.endpoint_lease import SUSPECT_AFTER_MS
from plantainhitch.coordination.runs.owners import OWNER_LEASE_MS
from plantainhitch.coordination.runs.run import StartOrder, StopOrder
from plantainhitch.coordination.runs.run_controller import STOP_RETRY_MS, RunController
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

OWNER = b"entry-1"
OTHER = b"entry-2"
LEASE_MS = 1_000
CAPACITY = Room(4_000, 1_000, 0)


def report(born_ms=1, sequence=1, draining=False, capacity=CAPACITY):
    """Return a heartbeat of the endpoint."""
    return EndpointReport("e-1", born_ms, sequence, "pool", draining, capacity)


def start(task="job.0.0.0", run=1, cpu=1_000, wait_ms=100, **fields):
    """Return an order to start a run."""
    key = RunKey(task, run)
    return m.RunStart(key, "spec", Room(cpu, 10, 0), 100, wait_ms, **fields)


class RunControllerCase(unittest.TestCase):
    """A book with a ready endpoint and one living owner."""

    def setUp(self):
        self.clock = ManualClock(10_000)
        self.controller = RunController(self.clock, LEASE_MS, first_fence=5)
        self.controller.handle_heartbeat(report())
        self.numbers = iter(range(1, 1_000))
        self.list_runs()
        self.meet(OWNER)

    def meet(self, owner):
        self.controller.owners.link_opened(owner)
        self.hear(owner)

    def hear(self, owner=OWNER):
        self.controller.owners.record_frame(owner, self.clock.now_ms(), 0)

    def list_runs(self, running=(), ended=(), born_ms=1):
        rows = tuple(ActiveRun(key, "", 10) for key in running)
        now_ms = self.clock.now_ms()
        self.controller.handle_inventory(Inventory(now_ms, born_ms, rows, tuple(ended)))

    def order(self, *starts, stops=(), known=(), owner=OWNER, echo_ms=None):
        orders = m.RunOrders(next(self.numbers), list(starts), list(stops), list(known))
        now_ms = self.clock.now_ms()
        self.controller.handle_orders(
            owner, orders, now_ms if echo_ms is None else echo_ms
        )
        return self.controller.next_orders()

    def begin(self, *starts, owner=OWNER):
        orders = self.order(*starts, owner=owner)
        for item in starts:
            self.controller.handle_start_result(item.key, Accepted(self.clock.now_ms()))
        return orders

    def ends(self, owner=OWNER):
        return {end.key: end.end for end in self.controller.next_report(owner).ends}


class StartTests(RunControllerCase):
    """Room, order and repeated orders."""

    def test_room_is_never_exceeded(self):
        starts = [start(f"job.0.0.{index}") for index in range(6)]
        orders = self.order(*starts)
        self.assertEqual(4, len(orders))
        self.assertEqual(CAPACITY.cpu_millis, self.controller.used_room.cpu_millis)

    def test_a_run_that_is_being_stopped_still_takes_room(self):
        whole = start(cpu=4_000)
        self.begin(whole)
        self.order(stops=[whole.key])
        self.assertEqual([], self.order(start("other.0.0.0")))

    def test_room_is_free_when_the_end_is_listed(self):
        whole = start(cpu=4_000)
        self.begin(whole)
        waiting = start("other.0.0.0")
        self.assertEqual([], self.order(waiting))
        self.list_runs(ended=[EndedRun(1, whole.key, End.DONE, "")])
        self.assertEqual([StartOrder(waiting)], self.controller.next_orders())
        self.assertEqual({whole.key: End.DONE}, self.ends())

    def test_a_start_without_room_in_time_comes_back_at_once(self):
        """Pattern: several owners send their starts to the room that all foresee."""
        whole = start(cpu=4_000)
        self.begin(whole)
        for number in range(2):
            self.order(start(f"other.0.0.{number}", cpu=3_000, wait_ms=100))
        first, second = RunKey("other.0.0.0", 1), RunKey("other.0.0.1", 1)
        self.assertIn(first, self.controller.runs)  # the run takes 100 ms
        self.assertNotIn(second, self.controller.runs)
        self.assertEqual({second: End.NOT_STARTED}, self.ends())

    def test_a_start_waits_no_longer_than_it_may(self):
        self.begin(start(cpu=4_000))
        late = start("other.0.0.0", wait_ms=50)
        self.order(late)
        self.clock.advance(60)
        self.hear()
        self.controller.next_orders()
        self.assertEqual(End.NOT_STARTED, self.ends()[late.key])

    def test_the_same_order_twice_starts_once(self):
        first = start()
        self.assertEqual([StartOrder(first)], self.order(first))
        self.assertEqual([], self.order(first))

    def test_an_order_for_an_ended_run_gets_its_end_again(self):
        first = start()
        self.begin(first)
        self.list_runs(ended=[EndedRun(1, first.key, End.DONE, "")])
        self.ends()
        self.assertEqual([], self.order(first))
        self.assertEqual({first.key: End.DONE}, self.ends())

    def test_a_newer_run_waits_for_the_end_of_the_older_one(self):
        older, newer = start(run=1), start(run=2)
        self.begin(older)
        self.meet(OTHER)
        self.assertEqual([StopOrder(older.key)], self.order(newer, owner=OTHER))
        self.list_runs(ended=[EndedRun(1, older.key, End.STOPPED, "")])
        self.assertEqual([StartOrder(newer)], self.controller.next_orders())

    def test_least_loaded_queue_begins_first_then_least_slack(self):
        self.begin(start(cpu=4_000))
        self.controller.handle_queue_loads(
            OWNER, [m.QueueLoad("busy", 0.4, 300), m.QueueLoad("rare", 0.1, 300)]
        )
        busy = start("a.0.0.0", queue="busy", slack_ms=1)
        later = start("b.0.0.0", queue="rare", slack_ms=90)
        sooner = start("c.0.0.0", queue="rare", slack_ms=10)
        self.order(busy, later, sooner)
        self.list_runs(ended=[EndedRun(1, RunKey("job.0.0.0", 1), End.DONE, "")])
        begun = [order.start for order in self.controller.next_orders()]
        self.assertEqual([sooner, later, busy], begun)

    def test_room_is_kept_for_the_queue_that_can_wait_least(self):
        self.controller.handle_queue_loads(
            OWNER, [m.QueueLoad("short", 0.25, 100), m.QueueLoad("long", 0.5, 900)]
        )
        long_ones = [start(f"a.0.0.{n}", queue="long") for n in range(4)]
        self.assertEqual(3, len(self.order(*long_ones)))
        self.assertEqual(1, len(self.order(start("b.0.0.0", queue="short"))))

    def test_draining_refuses_what_waits_and_what_comes(self):
        self.begin(start(cpu=4_000))
        waiting = start("a.0.0.0")
        self.order(waiting)
        self.controller.handle_heartbeat(report(sequence=2, draining=True))
        coming = start("b.0.0.0")
        self.assertEqual([], self.order(coming))
        ends = self.ends()
        self.assertEqual(End.NOT_STARTED, ends[waiting.key])
        self.assertEqual(End.NOT_STARTED, ends[coming.key])

    def test_a_late_heartbeat_of_an_earlier_lifetime_changes_nothing(self):
        self.controller.handle_heartbeat(report(born_ms=9))
        self.assertFalse(
            self.controller.handle_heartbeat(report(born_ms=1, sequence=99))
        )
        self.assertEqual(9, self.controller.endpoint.born_ms)


class DoubtTests(RunControllerCase):
    """Orders without an answer, which may be carried out later."""

    def test_an_unanswered_start_is_stopped_before_it_is_given_back(self):
        doubtful = start()
        self.order(doubtful)
        self.controller.handle_start_result(doubtful.key, NoAnswer())
        self.assertEqual([StopOrder(doubtful.key)], self.controller.next_orders())
        self.list_runs()
        self.assertEqual({}, self.ends())
        self.controller.handle_stop_result(doubtful.key, Accepted(self.clock.now_ms()))
        self.clock.advance(5)
        self.list_runs()
        self.assertEqual({doubtful.key: End.NOT_STARTED}, self.ends())

    def test_it_takes_room_until_then(self):
        doubtful = start(cpu=4_000)
        self.order(doubtful)
        self.controller.handle_start_result(doubtful.key, NoAnswer())
        self.controller.next_orders()
        self.assertEqual([], self.order(start("other.0.0.0")))

    def test_a_list_from_before_the_stop_proves_nothing(self):
        doubtful = start()
        self.order(doubtful)
        self.controller.handle_start_result(doubtful.key, NoAnswer())
        stopped_ms = self.clock.now_ms() + 3
        self.controller.handle_stop_result(doubtful.key, Accepted(stopped_ms))
        self.list_runs()
        self.assertEqual({}, self.ends())

    def test_an_unanswered_stop_is_sent_again(self):
        doubtful = start()
        self.order(doubtful)
        self.controller.handle_start_result(doubtful.key, NoAnswer())
        self.controller.next_orders()
        self.controller.handle_stop_result(doubtful.key, NoAnswer())
        self.clock.advance(STOP_RETRY_MS)
        self.hear()
        self.assertEqual([StopOrder(doubtful.key)], self.controller.next_orders())

    def test_strays_are_stopped_before_anything_starts(self):
        controller = RunController(self.clock, LEASE_MS, first_fence=9)
        controller.handle_heartbeat(report())
        stray = RunKey("old.0.0.0", 3)
        controller.handle_inventory(
            Inventory(self.clock.now_ms(), 1, (ActiveRun(stray, "", 5),), ())
        )
        self.assertEqual([StopOrder(stray)], controller.next_orders())
        self.assertFalse(controller.is_ready)
        controller.handle_inventory(
            Inventory(
                self.clock.now_ms(), 1, (), (EndedRun(1, stray, End.STOPPED, ""),)
            )
        )
        self.assertTrue(controller.is_ready)


class LeaseTests(RunControllerCase):
    """Silent owners, silent endpoints, and a machine that was suspended."""

    def test_runs_of_a_silent_owner_are_stopped(self):
        first = start()
        self.begin(first)
        self.clock.advance(OWNER_LEASE_MS + 1)
        self.assertIn(StopOrder(first.key), self.controller.next_orders())

    def test_an_old_echo_extends_no_lease(self):
        first = start()
        self.begin(first)
        old_ms = self.clock.now_ms()
        self.clock.advance(OWNER_LEASE_MS + 1)
        self.controller.owners.record_frame(OWNER, old_ms, 0)
        self.assertIn(StopOrder(first.key), self.controller.next_orders())

    def test_an_order_that_was_delayed_starts_nothing(self):
        old_ms = self.clock.now_ms()
        self.clock.advance(OWNER_LEASE_MS + 1)
        self.list_runs()
        delayed = start()
        self.assertEqual([], self.order(delayed, echo_ms=old_ms))
        self.assertEqual({delayed.key: End.NOT_STARTED}, self.ends())

    def test_a_silent_endpoint_gets_no_new_runs_and_no_renewal(self):
        self.clock.advance(SUSPECT_AFTER_MS + 1)
        self.hear()
        self.assertIsNone(self.controller.lease.renewal_expiry_ms)
        self.assertEqual([], self.order(start()))

    def test_its_runs_are_lost_once_the_lease_must_be_over(self):
        first = start()
        self.begin(first)
        self.controller.lease.record_renewal()
        self.clock.advance(LEASE_MS)
        self.hear()
        self.controller.next_orders()
        self.assertEqual({}, self.ends())
        self.clock.advance(110)
        self.hear()
        self.controller.next_orders()
        self.assertEqual({first.key: End.LOST}, self.ends())

    def test_a_closed_port_loses_all_runs_at_once(self):
        first, second = start("a.0.0.0"), start("b.0.0.0")
        self.begin(first)
        self.order(second)
        self.controller.handle_start_result(
            second.key, Rejected(Rejection.NOT_LISTENING)
        )
        self.assertEqual({first.key: End.LOST, second.key: End.LOST}, self.ends())
        self.assertFalse(self.controller.is_ready)

    def test_a_start_that_the_next_lifetime_may_have_taken_is_stopped_there(self):
        """Seed 18 of the soak: the endpoint began again under the id that it had."""
        listed, unlisted = start("job.0.0.0"), start("job.0.0.1")
        self.begin(listed, unlisted)
        self.list_runs(running=[listed.key])
        self.controller.handle_heartbeat(report(born_ms=2, sequence=0))
        self.assertEqual({listed.key: End.LOST}, self.ends())
        self.assertEqual([StopOrder(unlisted.key)], self.controller.next_orders())
        stopped_ms = self.clock.now_ms()
        self.controller.handle_stop_result(unlisted.key, Accepted(stopped_ms))
        self.clock.advance(5)
        self.list_runs(born_ms=2)
        self.assertEqual({unlisted.key: End.NOT_STARTED}, self.ends())

    def test_a_run_goes_on_for_the_entry_where_its_job_was_submitted_again(self):
        order = start()
        self.begin(order)
        self.meet(OTHER)
        self.assertEqual([], self.order(order, owner=OTHER))
        self.assertEqual([], self.order(stops=[order.key], owner=OWNER))
        self.list_runs(ended=[EndedRun(1, order.key, End.DONE, "")])
        self.assertEqual({order.key: End.DONE}, self.ends(OTHER))
        self.assertEqual({}, self.ends(OWNER))

    def test_an_older_run_is_stopped_though_the_newer_one_finds_no_room(self):
        order = start(cpu=4_000)
        self.begin(order)
        newer = start(run=2, cpu=4_000, wait_ms=10)
        self.assertEqual([StopOrder(order.key)], self.order(newer))
        self.assertIn(newer.key, self.ends())

    def test_a_doubt_ends_with_the_lease_where_the_next_lifetime_is_silent(self):
        order = start()
        self.begin(order)
        self.controller.handle_heartbeat(report(born_ms=2, sequence=0))
        self.controller.next_orders()
        self.assertEqual({}, self.ends())
        self.clock.advance(LEASE_MS + 200)
        self.hear()
        self.controller.next_orders()
        self.assertEqual({order.key: End.LOST}, self.ends())
        self.assertEqual(0, self.controller.used_room.cpu_millis)

    def test_a_list_of_another_lifetime_changes_nothing(self):
        order = start()
        self.begin(order)
        ended = EndedRun(1, order.key, End.DONE, "")
        self.list_runs(ended=[ended], born_ms=2)
        self.assertEqual({}, self.ends())
        self.assertEqual(0, self.controller.last_end_number)

    def test_a_new_lifetime_loses_the_runs_of_the_old_one(self):
        first = start()
        self.begin(first)
        self.list_runs(running=[first.key])
        self.assertTrue(self.controller.handle_heartbeat(report(born_ms=2)))
        self.assertEqual({first.key: End.LOST}, self.ends())
        self.assertEqual(0, self.controller.last_end_number)


class ReportTests(RunControllerCase):
    """What owners are told, also over a new link."""

    def test_unread_ends_are_sent_again_on_a_new_link(self):
        first = start()
        self.begin(first)
        self.list_runs(ended=[EndedRun(1, first.key, End.DONE, "")])
        self.assertEqual({first.key: End.DONE}, self.ends())
        self.controller.owners.link_closed(OWNER)
        self.controller.owners.link_opened(OWNER)
        self.assertEqual({first.key: End.DONE}, self.ends())

    def test_read_ends_are_not(self):
        first = start()
        self.begin(first)
        self.list_runs(ended=[EndedRun(1, first.key, End.DONE, "")])
        number = self.controller.next_report(OWNER).number
        self.controller.owners.record_frame(OWNER, self.clock.now_ms(), number)
        self.controller.owners.link_opened(OWNER)
        self.assertEqual({}, self.ends())

    def test_a_run_that_never_arrived_is_reported_as_lost(self):
        unknown = RunKey("gone.0.0.0", 1)
        self.order(known=[unknown])
        self.assertEqual({unknown: End.LOST}, self.ends())

    def test_runs_that_the_owner_no_longer_names_are_stopped(self):
        kept, dropped = start("a.0.0.0"), start("b.0.0.0")
        self.begin(kept, dropped)
        self.meet(OTHER)
        others = start("c.0.0.0")
        self.begin(others, owner=OTHER)
        orders = m.RunOrders(1, known=[kept.key], is_resync=True)
        self.controller.handle_orders(OWNER, orders, self.clock.now_ms())
        self.assertEqual([StopOrder(dropped.key)], self.controller.next_orders())
        self.assertEqual(1, self.controller.next_report(OWNER).orders_seen)

    def test_a_low_fence_is_raised(self):
        before = self.controller.fence
        first = start()
        self.order(first)
        self.controller.handle_start_result(first.key, Rejected(Rejection.FENCE))
        self.assertGreater(self.controller.fence, before)
        self.assertEqual({first.key: End.NOT_STARTED}, self.ends())


if __name__ == "__main__":
    unittest.main()
