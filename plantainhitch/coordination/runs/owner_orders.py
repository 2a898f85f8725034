"""Carries out the orders of owners: starts, stops and resyncs of their runs."""

from ...protocol import messages as m
from ...state.endpoints import End
from .run import Run


class OwnerOrders:
    """Adds the runs that ``Owners`` order to a ``RunTable``, and stops those they end.

    ``changes`` are the ``RunChanges``, ``room`` is the ``EndpointRoom``.
    ``start_refusal(run)`` returns why the start of a new ``Run`` is refused at once, or
    an empty text.
    """

    def __init__(self, clock, runs, owners, changes, *, run_log, room, start_refusal):
        self._clock = clock
        self._runs = runs
        self._owners = owners
        self._changes = changes
        self._run_log = run_log
        self._room = room
        self._start_refusal = start_refusal

    def handle(self, incarnation, orders: m.RunOrders, echo_ms):
        """Carry out an owner's orders, received in a frame that echoes ``echo_ms``."""
        owner = self._owners.get_or_create(incarnation)
        owner.orders_seen = orders.number
        if orders.is_resync:
            self._stop_unnamed_runs(incarnation, orders, echo_ms)
            self._owners.link_resynced(incarnation, echo_ms)
        for key in orders.expected_runs:
            if key not in self._runs:
                self._changes.resend_end(incarnation, key)
        for start in orders.starts:
            self._handle_start(incarnation, start, echo_ms)
        for key in orders.stops:
            self._handle_stop(incarnation, key, echo_ms)

    def _handle_start(self, incarnation, start, echo_ms):
        key = start.key
        self._owners.record_frame(incarnation, echo_ms, 0)
        is_stale = not self._owners.is_alive(incarnation)
        if key in self._runs:
            # The caller resubmitted its job at another entry, which owns the run now. A
            # stale start is that of the entry where the job was before.
            run = self._runs[key]
            if run.owner != incarnation:
                self._run_log.ordered_by_other_owner(run, incarnation, is_stale)
            if not is_stale:
                run.owner = incarnation
            return
        if key in self._changes.recent_ends:
            self._changes.resend_end(incarnation, key)
            return
        now_ms = self._clock.now_ms()
        run = Run(incarnation, start, now_ms + start.wait_ms, now_ms + start.slack_ms)
        self._runs.add(run)
        self._room.record_start(start)
        if is_stale:
            self._changes.finish(key, End.NOT_STARTED, "stale order")
            return
        refusal = self._replace_older_runs(run) or self._start_refusal(run)
        if refusal:
            self._changes.finish(key, End.NOT_STARTED, refusal)

    def _replace_older_runs(self, new_run):
        """Stop the other runs of a task; return why the start is refused instead.

        Only an owner's own run numbers compare. A start of one that is older than
        another of its runs was delayed, for example on a link that it has replaced.
        """
        others = self._runs.others_of_task(new_run)
        for other in others:
            is_newer = other.start.key.run > new_run.start.key.run
            if other.owner == new_run.owner and is_newer:
                return "older than another run of the task"
        for other in others:
            self._changes.stop(other, "a newer run of the task")
        return ""

    def _stop_unnamed_runs(self, incarnation, orders, echo_ms):
        """Stop the runs of an owner that its resync does not name.

        The owner has abandoned them while it had no link, at any time since its last
        contact.
        """
        contact_ms = min(echo_ms, self._owners.last_contact_ms(incarnation))
        named = {*orders.expected_runs, *(start.key for start in orders.starts)}
        for key, run in list(self._runs.items()):
            if run.owner == incarnation and key not in named:
                self._changes.abandon(run, contact_ms, "not named by the owner")

    def _handle_stop(self, incarnation, key, echo_ms):
        run = self._runs.get(key)
        if run is None:
            self._changes.resend_end(incarnation, key)
        elif run.owner == incarnation:
            self._changes.abandon(run, echo_ms, "stopped by the owner")
