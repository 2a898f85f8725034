"""The log lines of runs that went wrong, at agents and entries.

They have to say who decided what, and on which knowledge of the others, since a run
that is placed again while it goes on leaves no other trace.
"""

import logbook

from plantainhitch import logs
from plantainhitch.state.endpoints import Accepted, End, EndedRun, Rejected, Rejection

from .test_job_scheduler import SchedulerCase
from .test_run_controller import (
    LEASE_MS,
    OTHER,
    OWNER,
    OWNER_LEASE_MS,
    RunControllerCase,
    run_start,
)


class LogReader:
    """The log records from its creation until the test ends."""

    def __init__(self, test):
        self._handler = logbook.TestHandler()
        self._handler.push_application()
        test.addCleanup(self._handler.pop_application)

    def records(self, event):
        """Return the records of an event."""
        return [record for record in self._handler.records if record.message == event]

    def fields(self, event, level=logbook.INFO):
        """Return the fields of the only line of an event."""
        records = self.records(event)
        if [record.level for record in records] != [level]:
            raise AssertionError(f"{event!r}: {records}")
        return records[0].kwargs


class AgentLogTests(RunControllerCase):
    """A run at an endpoint, and what its agent knows of the owner and the lease."""

    def setUp(self):
        super().setUp()
        self.log = LogReader(self)
        self.start = run_start()
        self.start_runs(self.start)
        self.deliver_inventory([self.start.key])
        self.controller.renew_lease()

    def refuse_connections(self):
        self.controller.handle_stop_result(
            self.start.key, Rejected(Rejection.NOT_LISTENING)
        )

    def test_a_refusal_names_the_runs_and_the_end_of_their_lease(self):
        """The record of a second run must show until when the first could go on."""
        self.clock.advance(100)
        self.refuse_connections()
        fields = self.log.fields("endpoint refuses connections")
        self.assertEqual([self.start.key.task], fields["tasks"])
        self.assertEqual(100, fields["renewed_ms_ago"])
        ends_in_ms = self.controller.lease.end_ms - self.clock.now_ms()
        self.assertEqual(round(ends_in_ms), fields["lease_ends_in_ms"])

    def test_the_end_of_a_lost_run_has_its_owner_and_the_lease(self):
        self.refuse_connections()
        self.let_lease_end()
        fields = self.log.fields("run ended")
        self.assertEqual("LOST", fields["end"])
        self.assertEqual(OWNER.hex(), fields["owner"])
        self.assertEqual(0, fields["owner_heard_ms_ago"])
        self.assertLess(fields["lease_ends_in_ms"], 0)

    def test_the_stop_of_a_silent_owners_run_says_how_long_it_was_silent(self):
        silence_ms = OWNER_LEASE_MS + 50
        self.pass_time(silence_ms, [self.start.key])
        self.controller.next_orders()
        fields = self.log.fields("run being stopped")
        self.assertEqual((self.start.key.task, 1), (fields["task"], fields["run"]))
        self.assertEqual("owner silent", fields["why"])
        self.assertEqual(silence_ms, fields["owner_heard_ms_ago"])

    def test_a_run_that_another_entry_orders_names_both(self):
        """Only the agents see that a job was submitted again at another entry."""
        self.link_owner(OTHER)
        self.send_orders(self.start, owner=OTHER)
        fields = self.log.fields("run ordered by another entry")
        self.assertEqual(OWNER.hex(), fields["owner"])
        self.assertEqual(OTHER.hex(), fields["new_owner"])
        self.assertFalse(fields["is_stale"])

    def test_a_run_that_goes_on_after_its_loss_is_a_warning(self):
        """It may already run elsewhere."""
        self.refuse_connections()
        self.let_lease_end()
        self.deliver_inventory([self.start.key], percent=70)
        fields = self.log.fields("run at work after its end", logbook.WARNING)
        self.assertEqual((self.start.key.task, 1), (fields["task"], fields["run"]))
        self.assertEqual("LOST", fields["end"])
        self.assertGreaterEqual(fields["late_ms"], 0)

    def test_a_run_that_goes_on_after_the_lease_is_a_warning(self):
        """An endpoint that is late to stop its runs gives no other sign."""
        self.clock.advance(LEASE_MS + 200)
        self.deliver_inventory([self.start.key])
        fields = self.log.fields("run listed after its lease", logbook.WARNING)
        self.assertEqual(self.start.key.task, fields["task"])
        self.assertGreater(fields["late_ms"], 0)

    def test_runs_within_their_lease_cause_no_warning(self):
        for _ in range(40):
            self.pass_time(50, [self.start.key], [OWNER])
            self.controller.next_orders()
        for event in ("run listed after its lease", "run at work after its end"):
            self.assertEqual([], self.log.records(event))

    def test_a_stopped_run_that_is_done_leaves_a_line(self):
        """It may have been placed again since its stop was ordered."""
        self.send_orders(stops=[self.start.key])
        self.controller.handle_stop_result(
            self.start.key, Accepted(self.clock.now_ms())
        )
        self.clock.advance(10)
        self.deliver_inventory(ended=[EndedRun(1, self.start.key, End.DONE, "")])
        fields = self.log.fields("run ended")
        self.assertEqual(
            ("DONE", "stopped by the owner"), (fields["end"], fields["why"])
        )

    def test_events_of_a_flood_are_written_with_the_next_orders(self):
        """An agent that falls quiet must not keep its last lines to itself."""
        starts = [run_start(f"other.0.0.{n}", cpu=9_000) for n in range(40)]
        self.send_orders(*starts)
        self.clock.advance(logs.BATCH_INTERVAL_MS)
        self.controller.next_orders()
        records = self.log.records("run ended")
        self.assertEqual(logs.MAX_LINES_PER_S + 1, len(records))
        self.assertEqual(40 - logs.MAX_LINES_PER_S, len(records[-1].kwargs["rows"]))


class EntryLogTests(SchedulerCase):
    """A job whose agent or caller is lost, as its entry logs it."""

    def setUp(self):
        super().setUp()
        self.log = LogReader(self)
        ((self.agent, start),) = self.submit()
        self.task = start.key.task

    def test_the_lines_of_a_lost_agent_name_its_tasks(self):
        self.clock.advance(70)
        self.scheduler.agent_unlinked(self.agent, self.links[self.agent])
        self.scheduler.agent_presumed_dead(self.agent)
        for event in ("agent unlinked", "agent presumed dead"):
            fields = self.log.fields(event, logbook.WARNING)
            self.assertEqual([self.task], fields["tasks"])
            self.assertEqual(70, fields["heard_ms_ago"])

    def test_a_lost_run_is_given_up_with_a_reason(self):
        self.scheduler.agent_unlinked(self.agent, self.links[self.agent])
        self.clock.advance(2_000)
        self.scheduler.run_round()
        fields = self.log.fields("run given up")
        self.assertEqual((self.task, 1), (fields["task"], fields["run"]))
        self.assertEqual("silent for longer than the leases", fields["why"])
        self.assertEqual(2_000, fields["heard_ms_ago"])
        self.assertEqual(
            [self.task], self.log.fields("runs lost", logbook.WARNING)["tasks"]
        )

    def test_a_run_is_given_up_with_its_caller(self):
        """The caller may submit the job again at another entry."""
        self.scheduler.detach_caller(
            "00000000000000aa", self.callbacks[0], "the caller left"
        )
        self.assertEqual("the caller left", self.log.fields("run given up")["why"])

    def test_one_of_two_callers_that_leaves_is_logged(self):
        self.submit()
        self.assertEqual("active", self.log.fields("job submitted again")["state"])
        self.scheduler.detach_caller(
            "00000000000000aa", self.callbacks[0], "the caller left"
        )
        self.assertEqual(1, self.log.fields("caller left")["callers"])
