"""Decides which runs an agent's endpoint starts and stops; does no input or output.

The agent is the only process that sends orders to its endpoint. A run takes up room
from the time when its start is ordered until the endpoint lists its end, or until it
is certain that it never started. An order that was not answered may still be carried
out later, however long ago it was sent: another order can have renewed the lease. A run
ends without having been listed only with a proof that it can't begin any more: the
endpoint has accepted its stop, or any order with a higher fence than that of its start.
"""

from ... import logs
from ...protocol import messages as m
from ...state.endpoints import (
    Accepted,
    End,
    EndpointReport,
    Inventory,
    NoAnswer,
    Rejected,
    Rejection,
)
from ..evacuation import ZONE_EVACUATED_REASON, EvacuationState
from .crash_reports import CrashReports
from .endpoint_lease import EndpointLease
from .endpoint_lifetime import EndpointLifetime, HeartbeatEffect
from .endpoint_performance import STALLED_REASON, EndpointPerformance
from .endpoint_room import EndpointRoom
from .fence import Fence
from .isolation import Isolation
from .owner_orders import OwnerOrders
from .owner_reports import OwnerReports
from .owners import Owners
from .run import Phase, StartOrder, StopOrder, may_be_at_endpoint
from .run_changes import RunChanges
from .run_log import RunLog
from .run_table import RunTable
from .waiting_starts import WaitingStarts
from .warm_up import WarmUp

# A run whose progress has not risen for this long is stalled: a healthy short run has
# progressed in each inventory, and inventories arrive at least every 300 ms.
STALL_TIMEOUT_MS = 700
# Progress is listed in whole percent, so that of a long run rises rarely. A run is not
# stalled before the time in which it should have risen by this much.
STALL_PERCENT = 5
# The interval between checks of leases and wait deadlines, the shortest of which is
# 30 ms.
CHECK_INTERVAL_MS = 20
# No run is found stalled from an inventory that is older than this.
MAX_INVENTORY_AGE_MS = 100
# The reason of a start that could go on for too long under the endpoint's lease.
OLD_CONTACT_REASON = "the owner's contact is too old"
# The reason of a start that was placed by the labels and capacity of another lifetime.
OTHER_LIFETIME_REASON = "placed for another lifetime of the endpoint"

log = logs.get_logger("runs")


class RunController:
    """The runs at one endpoint, the starts waiting for its room, and their owners.

    The ``handle_`` methods take the orders of owners, and the heartbeats, results and
    inventories of the endpoint. ``next_orders`` returns the orders to send to the
    endpoint, and ``next_report`` the next report for an owner. ``lease_times`` are the
    ``LeaseTimes``, and ``zone`` is the availability zone of the endpoint.
    ``warm_up_limits`` are the ``WarmUpLimits`` of the deployment, None for none.
    """

    def __init__(self, clock, lease_times, first_fence, zone="", warm_up_limits=None):
        self._clock = clock
        self._zone = zone
        self._evacuations = EvacuationState(clock)
        self._lease_times = lease_times
        self._lease = EndpointLease(clock, lease_times)
        self._fence = Fence(first_fence)
        self._owners = Owners(clock, lease_times)
        self._run_log = RunLog(clock, self._owners, self._lease, lease_times)
        self._runs = RunTable()
        self._waiting_starts = WaitingStarts(self._runs)
        self._crashes = CrashReports(clock, self._owners, self._run_log)
        self._performance = EndpointPerformance(clock)
        self._warm_up = WarmUp(clock, warm_up_limits)
        self._lifetime = EndpointLifetime()
        self._room = EndpointRoom(clock, self._lifetime, self._runs, self._warm_up)
        self._reports = OwnerReports(self._lifetime, self._owners, self._performance)
        self._changes = RunChanges(
            clock,
            self._runs,
            self._owners,
            self._fence,
            run_log=self._run_log,
            performance=self._performance,
            crashes=self._crashes,
            room=self._room,
        )
        self._owner_orders = OwnerOrders(
            clock,
            self._runs,
            self._owners,
            self._changes,
            run_log=self._run_log,
            room=self._room,
            start_refusal=self._start_refusal,
        )
        self._last_check_ms = 0
        self._last_inventory_ms = 0
        self._needs_inventory = False
        self._is_stopping = False

    @property
    def owners(self):
        """The ``Owners`` of the runs."""
        return self._owners

    @property
    def runs(self):
        """All ``Run`` objects by key; not to be changed."""
        return self._runs

    @property
    def end_counts(self):
        """The number of ended runs by the lower-case name of their ``End``."""
        return self._changes.end_counts

    @property
    def crash_count(self):
        """The number of times that the endpoint ended without notice."""
        return self._crashes.count

    @property
    def late_run_count(self):
        """The number of runs that were listed as running after their end."""
        return self._changes.recent_ends.late_count

    @property
    def lifetime(self):
        """The ``EndpointLifetime``; not to be changed."""
        return self._lifetime

    @property
    def endpoint(self):
        """The newest ``EndpointReport``, or None."""
        return self._lifetime.report

    @property
    def fence(self):
        """The fencing token of this agent's orders.

        The endpoint rejects orders with a lower one than it has seen, such as those of
        an earlier agent.
        """
        return self._fence.value

    @property
    def lease(self):
        """The ``EndpointLease``."""
        return self._lease

    @property
    def performance(self):
        """The ``EndpointPerformance``."""
        return self._performance

    @property
    def warm_up(self):
        """The ``WarmUp``."""
        return self._warm_up

    @property
    def is_ready(self):
        """Whether starts are accepted."""
        return (
            self._lifetime.is_serving
            and not self._is_stopping
            and not self.is_evacuated
            and not self._lease.is_suspect
            and not self._has_overdue_runs
        )

    @property
    def _is_present(self):
        """Whether the present lifetime has been reached and was not lost since."""
        return self._lifetime.is_reconciled or not all(
            run.is_of_earlier_lifetime for run in self._runs.at_endpoint()
        )

    @property
    def _has_overdue_runs(self):
        """Whether runs may be at the endpoint although its lease has expired."""
        return self._lease.is_expired and bool(self._runs.at_endpoint())

    @property
    def is_evacuated(self):
        """Whether the availability zone is evacuated, as far as owners have said."""
        return self._evacuations.covers(self._zone)

    @property
    def used_room(self):
        """The ``Room`` of all runs that are, or may be, at the endpoint."""
        return self._room.used

    @property
    def free_room(self):
        """The ``Room`` that no run takes up, see ``EndpointRoom``."""
        return self._room.free

    def status(self):
        """Return the present ``EndpointStatus``."""
        return self._reports.status(self.is_ready)

    def next_report(self, incarnation, forecast=None):
        """Return the next ``RunReports`` for an owner.

        ``forecast`` is the present ``Forecast``; it is computed if left out. The ends
        in the report are kept until the owner acknowledges it.
        """
        return self._reports.next_report(incarnation, forecast or self.forecast())

    def forecast(self):
        """Return the present ``Forecast`` of the endpoint."""
        return self._room.forecast(self._waiting_starts.ranks)

    # Event handlers

    def stop_accepting_starts(self):
        """Refuse waiting and new starts; runs at the endpoint continue."""
        self._is_stopping = True
        self._changes.refuse_waiting_starts("agent stops")

    def handle_heartbeat(self, report: EndpointReport, *, is_confirmed=False):
        """Record a heartbeat; return whether it begins a new lifetime.

        Heartbeats older than the newest one are ignored, unless the endpoint has
        confirmed that this is its present lifetime.
        """
        previous = self._lifetime.report
        match self._lifetime.effect_of(report, is_confirmed=is_confirmed):
            case HeartbeatEffect.IGNORED:
                return False
            case HeartbeatEffect.UPDATE:
                is_new_lifetime = False
                self._lifetime.report = report
            case HeartbeatEffect.NEW_LIFETIME:
                is_new_lifetime = True
                self._begin_lifetime(report)
        self._warm_up.record(report.cold_for_ms, is_new_lifetime)
        if report.draining:
            if is_new_lifetime or not previous.draining:
                log.info("endpoint draining", remaining_ms=report.remaining_ms)
            self._changes.refuse_waiting_starts("draining")
        return is_new_lifetime

    def _begin_lifetime(self, report):
        previous = self._lifetime.report
        is_same_id = previous is not None and previous.endpoint_id == report.endpoint_id
        self._lifetime_ended("a new lifetime of the endpoint", is_same_id)
        self._lifetime.begin(report)
        self._performance.begin_lifetime()

    def connection_refused(self, fence=None):
        """Handle a refused connection to the endpoint.

        ``fence`` is that of the order that was refused, by default the present one. One
        from before the last loss says nothing about a lifetime that has begun since.

        The process has probably ended, but its network may refuse connections while its
        runs go on. So they are lost only with the lease, which isn't renewed until the
        endpoint answers, or once it has answered as its next lifetime.
        """
        if self._lifetime.is_refusing or not self._fence.is_valid(fence):
            return
        self._lifetime.refused()
        self._run_log.connection_refused(self._runs.values())
        if self._is_end_unexpected():
            self._crashes.record_refusal(self.endpoint, self._runs.at_endpoint())
        self._changes.refuse_waiting_starts("the endpoint refuses connections")

    def answered_as_other_lifetime(self, born_ms, fence=None):
        """Handle an answer of the endpoint as another lifetime than the present one.

        ``born_ms`` is the birth that it gave, 0 if it has another id. ``fence`` is that
        of the order that it answered, by default the present one.

        The present lifetime is over, and nothing is known yet of the kind and capacity
        of the next: it gets no starts before its heartbeat.
        """
        if self._lifetime.is_superseded or not self._fence.is_valid(fence):
            return
        self._lifetime.replaced(born_ms)
        reason = "the endpoint answers as another lifetime"
        self._lifetime_ended(reason, is_same_id=bool(born_ms))

    def _lifetime_ended(self, reason, is_same_id):
        """Handle the end of the present lifetime, known from another one.

        If that has the same id, it may carry out late orders.
        """
        unlisted = self._runs.unlisted() if is_same_id else []
        self._endpoint_ended(reason, unlisted)
        if is_same_id:
            # It accepts a late order with a lease that was sent before.
            self._lease.record_renewal()

    def _endpoint_ended(self, reason, uncertain):
        """Handle the end of the present lifetime of the endpoint.

        The runs in ``uncertain`` may begin in its next lifetime.
        """
        if self._is_end_unexpected():
            self._crashes.record_end(self.endpoint, self._runs.at_endpoint(), reason)
        for run in uncertain:
            run.is_of_earlier_lifetime = True
        self._declare_endpoint_lost(reason, uncertain)

    def _is_end_unexpected(self):
        """Return whether the endpoint's end was neither announced nor noticed yet."""
        return self._is_present and not self.endpoint.draining

    def _declare_endpoint_lost(self, reason, uncertain):
        """End all runs at the endpoint as lost, except those in ``uncertain``.

        These may still begin, and are stopped first. Waiting starts are refused. The
        endpoint refuses all orders sent so far once it has accepted a later one.
        """
        uncertain_keys = {run.start.key for run in uncertain}
        for key, run in list(self._runs.items()):
            if key in uncertain_keys:
                self._changes.stop_unconfirmed(run)
            elif may_be_at_endpoint(run):
                self._changes.finish(key, End.LOST, reason)
        self._fence.endpoint_lost()
        self._lifetime.lost(reason, len(uncertain_keys))
        self._crashes.begin_lifetime()
        self._lease.reset()
        self._changes.refuse_waiting_starts("endpoint lost")

    def handle_orders(self, incarnation, orders: m.RunOrders, echo_ms):
        """Carry out an owner's orders, received in a frame that echoes ``echo_ms``."""
        self._owner_orders.handle(incarnation, orders, echo_ms)

    def handle_queue_loads(self, incarnation, loads):
        """Record the loads of an owner's queues.

        Returns a ``QueueLoads`` with the sum over all owners that are alive.
        """
        self._owners.record_loads(incarnation, loads)
        total = self._owners.total_loads()
        self._waiting_starts.update_ranks(total)
        return m.QueueLoads(total)

    def handle_evacuations(self, evacuated):
        """Record an owner's ``EvacuatedZones``; any owner may send the newest."""
        if self._evacuations.apply(evacuated) and self.is_evacuated:
            self._changes.refuse_waiting_starts(ZONE_EVACUATED_REASON)

    def may_send_start(self, key):
        """Return whether the order to start a run may still be sent to the endpoint.

        The process may have been paused since it decided on the start, and the owner
        may have given the task to another endpoint meanwhile.
        """
        run = self._runs.get(key)
        return (
            run is not None
            and run.phase is Phase.STARTING
            and not self.is_evacuated
            and self._owners.is_alive(run.owner)
        )

    def renew_lease(self):
        """Return the expiry of a renewal that is sent now, None if none is to be sent.

        The lease isn't renewed before an inventory has listed no unknown run. Runs that
        an earlier agent has started end with it, as their owners count on. Nor is it
        renewed beyond the time at which any run at the endpoint must have ended: this
        process may be the next to die. Without a run there it isn't renewed at all, so
        that it is not too long for the next one.
        """
        runs_at_endpoint = self._runs.at_endpoint()
        lifetime = self._lifetime
        is_renewable = lifetime.is_reconciled and not lifetime.is_refusing
        if not is_renewable or not runs_at_endpoint:
            return None
        return self._lease.renew(min(map(self._latest_end_ms, runs_at_endpoint)))

    def record_start_sent(self, key, fence):
        """Record the fence that the order to start a run is sent with."""
        self._runs[key].start_fence = fence

    def handle_start_result(self, key, result, fence=None):
        """Record the ``OrderResult`` of a start that was sent with ``fence``.

        The present fence is the default.
        """
        run = self._runs.get(key)
        if run is None or run.phase in (Phase.WAITING, Phase.RUNNING):
            return
        match result:
            case Accepted() | NoAnswer() if run.phase is Phase.UNCONFIRMED:
                # It is being stopped. The answer may be that of an earlier lifetime.
                run.is_accepted |= isinstance(result, Accepted)
            case Accepted(clock_ms):
                self._record_answer(clock_ms, fence)
                run.is_accepted = True
                run.seen_clock_ms = max(run.seen_clock_ms, clock_ms)
                if run.phase is Phase.STARTING:
                    run.phase = Phase.RUNNING
            case NoAnswer() if run.is_listed and run.phase is Phase.STARTING:
                # Only the answer was lost: the endpoint has listed the run as running.
                run.phase = Phase.RUNNING
            case NoAnswer():
                self._run_log.start_not_answered(run)
                self._changes.stop_unconfirmed(run)
            case Rejected(Rejection.NOT_LISTENING):
                self._changes.finish(key, End.NOT_STARTED, "not_listening")
                self.connection_refused(fence)
            case Rejected(Rejection.OTHER_LIFETIME, born_ms=born_ms):
                self._changes.finish(key, End.NOT_STARTED, "other_lifetime")
                self.answered_as_other_lifetime(born_ms, fence)
            case Rejected(Rejection.FENCE, clock_ms):
                self._record_answer(clock_ms, fence)
                self._fence.rejected(fence)
                self._changes.finish(key, End.NOT_STARTED, "fence")
            case Rejected(reason, clock_ms):
                self._record_answer(clock_ms, fence)
                self._changes.finish(key, End.NOT_STARTED, reason.value)

    def handle_stop_result(self, key, result, fence=None):
        """Record the ``OrderResult`` of a stop that was sent with ``fence``.

        The present fence is the default.
        """
        run = self._runs.get(key)
        if run is None:
            return
        match result:
            case Accepted(clock_ms):
                if not self._fence.is_valid(fence):
                    return  # an earlier lifetime may have accepted it
                run.stop_accepted_clock_ms = clock_ms
                self._needs_inventory = (
                    self._needs_inventory or run.phase is Phase.UNCONFIRMED
                )
            case Rejected(Rejection.NOT_LISTENING):
                self.connection_refused(fence)
            case Rejected(Rejection.OTHER_LIFETIME, born_ms=born_ms):
                self.answered_as_other_lifetime(born_ms, fence)
            case Rejected(Rejection.FENCE):
                self._fence.rejected(fence)

    def fence_rejected(self, fence):
        """Handle the rejection of an order whose ``fence`` was too low."""
        self._fence.rejected(fence)

    def inventory_not_answered(self, fence):
        """Handle an inventory without an answer, whose renewal may take effect late.

        The endpoint refuses it once it has accepted an order with a higher fence.
        """
        self._fence.raise_above(fence)

    def handle_inventory(self, inventory: Inventory, fence=None):
        """Reconcile the runs with an inventory that was requested with ``fence``.

        Records ends and progress, ends runs that are certainly not at the endpoint, and
        orders runs that are unknown here to stop. The agent is ready once an inventory
        has listed no unknown run.
        """
        if inventory.born_ms and inventory.born_ms != self.endpoint.born_ms:
            self._run_log.inventory_ignored(inventory)
            self.answered_as_other_lifetime(inventory.born_ms, fence)
            return
        if self._lifetime.is_superseded:
            return
        self._endpoint_answered(inventory.clock_ms)
        self._last_inventory_ms = self._clock.now_ms()
        lifetime = self.endpoint.lifetime
        self._changes.recent_ends.record_inventory(lifetime, inventory.clock_ms)
        for ended in self._lifetime.new_ends(inventory.ended):
            self._record_end(ended)
        self._record_progress(inventory.running, inventory.clock_ms)
        self._run_log.check_lease(inventory, self._runs)
        running_keys = {listed.key for listed in inventory.running}
        is_valid = self._fence.is_valid(fence)
        for key, run in list(self._runs.items()):
            if key not in running_keys and not inventory.has_more_ends:
                self._check_absent_run(key, run, inventory.clock_ms, fence)
        unknown_keys = [key for key in running_keys if key not in self._runs]
        if is_valid:
            self._changes.recent_ends.check_running(
                lifetime, inventory.clock_ms, unknown_keys
            )
        for key in unknown_keys:
            self._changes.add_order(StopOrder(key))
        if is_valid and not unknown_keys:
            self._lifetime.reconciled()

    def take_inventory_request(self):
        """Return whether to request an inventory now, and clear the request.

        An inventory after an unconfirmed run was stopped shows that it has ended.
        """
        is_needed, self._needs_inventory = self._needs_inventory, False
        return is_needed

    def next_orders(self):
        """Check deadlines, start waiting runs and return the orders to send.

        To be called after all events received so far were handled. Each order is
        returned once: a ``StartOrder`` or a ``StopOrder``.
        """
        self._run_log.flush_if_due()
        now_ms = self._clock.now_ms()
        if not self._runs.at_endpoint():
            self._lease.discard_if_expired()
        if now_ms - self._last_check_ms >= CHECK_INTERVAL_MS:
            self._last_check_ms = now_ms
            self._check_endpoint_lease()
            self._expire_runs(now_ms)
            self._changes.retry_stops()
            self._stop_stalled_runs(now_ms)
        if self.is_ready:
            for run in self._waiting_starts.select(self._room.usable, self.used_room):
                self._begin_or_refuse(run, now_ms)
        return self._changes.take_orders()

    # Internal methods

    def _record_answer(self, clock_ms, fence):
        """Record the result of an order; without a clock it is none of the endpoint."""
        if clock_ms and self._fence.is_valid(fence):
            self._endpoint_answered(clock_ms)

    def _endpoint_answered(self, clock_ms):
        self._lease.record_answer(clock_ms)
        if self._lifetime.is_refusing:
            self._lifetime.is_refusing = False
            self._crashes.record_answer()
            self._run_log.endpoint_answers_again(self._runs)

    def _start_refusal(self, run):
        """Return why a start is refused at once, or an empty string."""
        if self.is_evacuated:
            return ZONE_EVACUATED_REASON
        if not self.is_ready:
            return "not ready"
        if run.start.born_ms not in (0, self.endpoint.born_ms):
            return OTHER_LIFETIME_REASON
        if not self.endpoint.capacity.can_fit(run.start.room):
            return "too large"
        if run.start.is_isolated:
            return ""  # waits for the endpoint to become empty
        if self._runs.has_isolated and Isolation(self._runs.values()).excludes(run):
            return "reserved for a run that needs isolation"
        is_room_expected = self._waiting_starts.is_room_expected(run, self.forecast())
        return "" if is_room_expected else "no room soon"

    def _begin_or_refuse(self, run, now_ms):
        """Order the endpoint to start a run that waited for room.

        It is refused if it could go on for too long under the lease that the endpoint
        has already, which can't be shortened.
        """
        if self._lease.end_ms > self._latest_end_ms(run):
            self._changes.finish(run.start.key, End.NOT_STARTED, OLD_CONTACT_REASON)
            return
        run.phase = Phase.STARTING
        run.started_ms = now_ms
        run.start_fence = self._fence.value
        self._runs.take_room(run)
        self.renew_lease()  # for the order to start it
        self._changes.add_order(StartOrder(run.start))

    def _latest_end_ms(self, run):
        """Return when a run must have ended if its owner isn't heard from again."""
        contact_ms = self._owners.last_contact_ms(run.owner)
        contact_ms = min(contact_ms, run.abandoned_contact_ms)
        return contact_ms + self._lease_times.run_end_ms

    def _stop_stalled_runs(self, now_ms):
        """Stop stalled runs, so that their owners can place them elsewhere."""
        if now_ms - self._last_inventory_ms > MAX_INVENTORY_AGE_MS:
            return
        for run in self._runs.values():
            if run.phase is not Phase.RUNNING:
                continue
            no_progress_since_ms = max(run.last_progress_ms, run.started_ms)
            timeout_ms = max(STALL_TIMEOUT_MS, STALL_PERCENT * run.ms_per_percent)
            if self._last_inventory_ms - no_progress_since_ms > timeout_ms:
                self._changes.stop(run, STALLED_REASON)

    def _record_end(self, ended):
        run = self._runs.get(ended.key)
        if run is None:
            self._run_log.unknown_run_ended(ended)
            return
        self._changes.finish(ended.key, ended.end, run.stop_reason, ended.checkpoint)

    def _record_progress(self, running, clock_ms):
        now_ms = self._clock.now_ms()
        for listed in running:
            run = self._runs.get(listed.key)
            if run is None:
                continue
            run.is_listed = True
            run.seen_clock_ms = max(run.seen_clock_ms, clock_ms)
            if run.phase is Phase.RUNNING:
                self._performance.record_progress(run, listed.percent)
            if listed.percent > run.percent:
                run.percent = listed.percent
                run.last_progress_ms = now_ms

    def _check_absent_run(self, key, run, clock_ms, fence):
        """End a run that an inventory does not list as running, if that is certain.

        ``fence`` is that of the inventory. The endpoint refuses a start with a lower
        one from then on; None proves nothing.
        """
        match run.phase:
            case Phase.STOPPING | Phase.UNCONFIRMED:
                stop_clock_ms = run.stop_accepted_clock_ms
                is_stopped = stop_clock_ms is not None and clock_ms > stop_clock_ms
                is_refused = fence is not None and fence > run.start_fence
                if is_stopped or is_refused:
                    may_have_begun = run.is_of_earlier_lifetime or run.is_accepted
                    end = End.LOST if may_have_begun else End.NOT_STARTED
                    self._changes.finish(key, end, run.stop_reason or "no answer")
            case Phase.RUNNING:
                # Listed neither as running nor as ended. An inventory from before the
                # start may arrive after its answer, and be read late.
                run_ms = self._clock.now_ms() - run.started_ms
                is_newer = clock_ms > run.seen_clock_ms
                if is_newer and run_ms > self._lease_times.max_endpoint_ms:
                    self._changes.finish(key, End.LOST, "not listed")

    def _check_endpoint_lease(self):
        """Declare the endpoint lost once its lease has certainly expired.

        The runs that it has begun have ended then, unless it answers: its inventories
        tell when they have. One whose start was not answered may begin as soon as the
        lease is renewed.
        """
        if self._lease.has_answered_since_expiry:
            for run in self._runs.values():
                if run.phase in (Phase.STARTING, Phase.RUNNING):
                    self._changes.stop(run, "the lease has expired")
        elif self._lifetime.is_refusing:
            if self._is_present and not self._lease.may_have_runs:
                self._endpoint_ended(
                    "connections refused for longer than the lease",
                    self._runs.may_begin_later(),
                )
        elif self._lease.is_lost:
            self._declare_endpoint_lost(
                "no answer for longer than the lease", self._runs.may_begin_later()
            )

    def _expire_runs(self, now_ms):
        is_owner_alive = {}
        for key, run in list(self._runs.items()):
            if run.owner not in is_owner_alive:
                is_owner_alive[run.owner] = self._owners.is_alive(run.owner)
            if not is_owner_alive[run.owner]:
                self._changes.stop(run, "owner silent")
            elif run.phase is Phase.WAITING and now_ms > run.wait_deadline_ms:
                self._changes.finish(key, End.NOT_STARTED, "no room in time")
