"""Stops and ends the runs of an agent, and tells their owners."""

from collections import Counter

from ...protocol import messages as m
from ...state.endpoints import End
from .recent_ends import RecentEnds
from .run import Phase, StopOrder, may_be_at_endpoint

# An order to stop is sent again if the run has not ended after this long.
STOP_RETRY_MS = 100


class RunChanges:
    """Changes the runs of a ``RunTable`` and collects the orders for the endpoint.

    ``owners`` are the ``Owners`` of the runs, ``fence`` is the ``Fence`` of the orders.
    ``performance``, an ``EndpointPerformance``, and ``crashes``, the ``CrashReports``,
    learn from the ends; ``room`` is the ``EndpointRoom``.
    """

    def __init__(
        self, clock, runs, owners, fence, *, run_log, performance, crashes, room
    ):
        self._clock = clock
        self._runs = runs
        self._owners = owners
        self._fence = fence
        self._run_log = run_log
        self._performance = performance
        self._crashes = crashes
        self._room = room
        self._recent_ends = RecentEnds(clock, run_log)
        self._end_counts = Counter()
        self._orders = []

    @property
    def recent_ends(self):
        """The ``RecentEnds``."""
        return self._recent_ends

    @property
    def end_counts(self):
        """The number of ended runs by the lower-case name of their ``End``."""
        return self._end_counts

    def add_order(self, order):
        """Add a ``StartOrder`` or a ``StopOrder`` for the endpoint."""
        self._orders.append(order)

    def take_orders(self):
        """Return the orders since the last call, oldest first."""
        orders, self._orders = self._orders, []
        return orders

    def stop(self, run, reason):
        """Stop a run, or refuse its start if that still waits for room."""
        run.stop_reason = run.stop_reason or reason
        match run.phase:
            case Phase.WAITING:
                self.finish(run.start.key, End.NOT_STARTED, reason)
            case Phase.STARTING | Phase.RUNNING:
                run.phase = Phase.STOPPING
                self._run_log.being_stopped(run, reason)
                self._order_stop(run)

    def stop_unconfirmed(self, run):
        """Order the stop of a run that may or may not be at the endpoint.

        The order is repeated until there is a proof that the run has ended or never
        begins. The fence is raised, so that any later order that the endpoint accepts
        is one, also in a lifetime of which nothing is known yet.
        """
        run.stop_accepted_clock_ms = None
        self._fence.raise_above(run.start_fence)
        if run.phase is not Phase.UNCONFIRMED:
            run.phase = Phase.UNCONFIRMED
            self._order_stop(run)

    def abandon(self, run, contact_ms, reason):
        """Stop a run that its owner may have given up soon after ``contact_ms``.

        The owner may have ended the job with it, so what it sends later doesn't allow
        the run to go on.
        """
        run.abandoned_contact_ms = min(run.abandoned_contact_ms, contact_ms)
        self.stop(run, reason)

    def retry_stops(self):
        """Order the stops again that have had no effect for ``STOP_RETRY_MS``."""
        now_ms = self._clock.now_ms()
        for run in self._runs.values():
            is_being_stopped = run.phase in (Phase.STOPPING, Phase.UNCONFIRMED)
            if is_being_stopped and now_ms - run.stop_sent_ms >= STOP_RETRY_MS:
                self._order_stop(run)

    def refuse_waiting_starts(self, reason):
        """Refuse all starts that wait for room."""
        for key, run in list(self._runs.items()):
            if run.phase is Phase.WAITING:
                self.finish(key, End.NOT_STARTED, reason)

    def finish(self, key, end, reason="", checkpoint=""):
        """Remove a run that has ended, and report its ``End`` to the owner."""
        run = self._runs.remove(key)
        if may_be_at_endpoint(run):
            self._performance.record_end(run, end, reason)
            if end is not End.DONE:
                self._crashes.run_stopped(run)
        run_ms = self._clock.now_ms() - run.started_ms if run.started_ms else 0
        run_end = m.RunEnd(key, end, reason, checkpoint, run_ms)
        self._end_counts[end.name.lower()] += 1
        self._recent_ends.add(run_end)
        self._owners.get_or_create(run.owner).unsent_ends.append(run_end)
        if end is not End.DONE or run.stop_reason:
            self._run_log.ended(run, run_end, self._room.free.cpu_millis)

    def resend_end(self, incarnation, key):
        """Report the end of a run that isn't here, ``LOST`` if it is unknown."""
        end = self._recent_ends.get(key) or m.RunEnd(key, End.LOST, "unknown run")
        self._owners.get_or_create(incarnation).unsent_ends.append(end)

    def _order_stop(self, run):
        run.stop_sent_ms = self._clock.now_ms()
        self.add_order(StopOrder(run.start.key))
