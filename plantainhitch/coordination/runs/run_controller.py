"""The decisions of an agent about runs: a plain class without sockets.

The agent is the only one that gives orders to its endpoint. A run takes up room
from the moment when its start is ordered until its end is listed, or until it is
proved that it never began: an order without an answer may be carried out later, so
such a run is stopped first, which makes the endpoint refuse a late start.
"""

from collections import Counter, OrderedDict

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
from ...state.jobs import Room
from ...state.queue_ranks import QueueRanks
from .endpoint_lease import EndpointLease
from .forecast import Forecast
from .owners import Owners
from .run import Phase, Run, StartOrder, StopOrder, is_there

# Ends are kept for owners that ask again, at most this many.
MAX_REMEMBERED_ENDS = 2_000
# How far a fence is raised that the endpoint found too low.
FENCE_STEP = 60_000
# An order to stop is given again after this long without its effect.
STOP_RETRY_MS = 200
# A run whose progress has not risen for this long stands still: a sound one moves
# with each list, and lists come at least every 300 ms.
STALLED_MS = 700
STALLED_REASON = "stalled"
# Leases and waits are looked at this often; the shortest of them is 30 ms.
CHECK_MS = 20
# A list that is older than this says nothing of progress now.
STALL_CHECK_MS = 100

log = logs.get_logger("runs")


class RunController:
    """The runs at one endpoint, those waiting for its room, and their owners."""

    def __init__(self, clock, lease_ms, first_fence):
        self._clock = clock
        self._lease = EndpointLease(clock, lease_ms)
        self._fence = first_fence
        self._owners = Owners(clock)
        self._events = logs.EventLog(log, clock)
        self._runs = {}
        self._used_room = Room()
        self._checked_ms = 0
        self._ended = OrderedDict()
        self._end_counts = Counter()
        self._endpoint = None
        self._is_reconciled = False
        self._last_end_number = 0
        self._listed_ms = 0
        self._wants_list = False
        self._is_stopping = False
        self._ranks = QueueRanks()
        self._orders = []

    @property
    def owners(self):
        """The owners of runs."""
        return self._owners

    @property
    def runs(self):
        """All runs by key, for reading only."""
        return self._runs

    @property
    def end_counts(self):
        """How many runs have ended in each way, by name."""
        return self._end_counts

    @property
    def endpoint(self):
        """The newest ``EndpointReport``, or None."""
        return self._endpoint

    @property
    def fence(self):
        """The number that marks our orders as newer than an earlier agent's."""
        return self._fence

    @property
    def last_end_number(self):
        """The number of the last end that was taken in."""
        return self._last_end_number

    @property
    def lease(self):
        """The endpoint's lease."""
        return self._lease

    @property
    def is_ready(self):
        """Whether starts are taken."""
        return (
            self._endpoint is not None
            and self._is_reconciled
            and not self._endpoint.draining
            and not self._is_stopping
            and not self._lease.is_suspect
        )

    @property
    def used_room(self):
        """The room of all runs that are, or may be, at the endpoint."""
        return self._used_room

    @property
    def free_room(self):
        """The room left beside what runs; starts may wait for it."""
        if self._endpoint is None:
            return Room()
        return self._endpoint.capacity - self.used_room

    def status(self):
        """Return the ``EndpointStatus`` as it is now."""
        endpoint = self._endpoint
        if endpoint is None:
            return m.EndpointStatus("", 0, "", ready=False)
        return m.EndpointStatus(
            endpoint_id=endpoint.endpoint_id,
            born_ms=endpoint.born_ms,
            pool=endpoint.pool,
            ready=self.is_ready,
            draining=endpoint.draining,
            capacity=endpoint.capacity,
            kind=endpoint.kind,
            rack=endpoint.rack,
            labels=endpoint.labels,
        )

    def next_report(self, incarnation, forecast=None):
        """Return the next ``RunReports`` for an owner, with a ``Forecast`` of now."""
        owner = self._owners.get_or_create(incarnation)
        number, ends = self._owners.take_unsent_ends(owner)
        forecast = forecast or self.forecast()
        return m.RunReports(
            number,
            owner.orders_seen,
            ends,
            forecast.free,
            forecast.soon,
            forecast.waiting,
            forecast.pace,
        )

    def forecast(self):
        """Return what every owner is told of the endpoint now."""
        runs = self._runs.values()
        return Forecast.from_runs(
            runs, self.free_room, self._ranks, self._clock.now_ms()
        )

    # Events

    def stop_accepting_starts(self):
        """Take no more starts; what runs goes on."""
        self._is_stopping = True
        self._refuse_waiting("agent stops")

    def handle_heartbeat(self, report: EndpointReport):
        """Take in a heartbeat; return whether it is of a new lifetime."""
        known = self._endpoint
        if known is not None and report.born_ms < known.born_ms:
            return False
        is_new = known is None or (report.endpoint_id, report.born_ms) != (
            known.endpoint_id,
            known.born_ms,
        )
        if not is_new and report.sequence < known.sequence:
            return False
        if is_new:
            is_same_id = known is not None and known.endpoint_id == report.endpoint_id
            doubtful = self._unlisted_runs() if is_same_id else []
            self.declare_endpoint_lost(
                "a new lifetime of the endpoint", spared=doubtful
            )
            for run in doubtful:
                self._doubt(run)
            if doubtful:
                self._lease.record_renewal()  # their orders carried a lease
            log.info(
                "endpoint",
                endpoint=report.endpoint_id,
                born=report.born_ms,
                cpu=report.capacity.cpu_millis,
                kind=report.kind,
                rack=report.rack,
            )
        self._endpoint = report
        if report.draining:
            if known is None or is_new or not known.draining:
                log.info("endpoint drains", remaining_ms=report.remaining_ms)
            self._refuse_waiting("draining")
        return is_new

    def declare_endpoint_lost(self, why, spared=()):
        """Note that the endpoint's lifetime is over: nothing of it runs any more.

        The runs in ``spared`` are kept.
        """
        for key, run in list(self._runs.items()):
            if is_there(run) and run not in spared:
                self._finish(key, End.LOST, why)
        if self._is_reconciled:
            log.warning("endpoint lost", why=why)
        self._is_reconciled = False
        self._last_end_number = 0
        self._lease.reset()
        self._refuse_waiting("endpoint lost")

    def handle_orders(self, incarnation, orders: m.RunOrders, echo_ms):
        """Take in an owner's orders from a frame that echoes ``echo_ms``."""
        owner = self._owners.get_or_create(incarnation)
        owner.orders_seen = orders.number
        if orders.is_resync:
            self._stop_unnamed(incarnation, orders)
        for key in orders.known:
            if key not in self._runs:
                self._repeat_end(incarnation, key)
        for start in orders.starts:
            self._take(incarnation, start, echo_ms)
        for key in orders.stops:
            self._stop_for_owner(incarnation, key)

    def handle_queue_loads(self, incarnation, loads):
        """Take in the loads of an owner's queues; return those of all owners."""
        self._owners.get_or_create(incarnation).loads = loads
        total = self._owners.total_loads()
        self._ranks = QueueRanks(total)
        return m.QueueLoads(total)

    def handle_start_result(self, key, result):
        """Take in the answer to a start."""
        run = self._runs.get(key)
        if run is None or run.phase not in (Phase.STARTING, Phase.STOPPING):
            return
        match result:
            case Accepted(clock_ms):
                self._lease.record_answer(clock_ms)
                if run.phase is Phase.STARTING:
                    run.phase = Phase.RUNNING
            case NoAnswer():
                log.warning("start without an answer", task=key.task, run=key.run)
                self._doubt(run)
            case Rejected(Rejection.NOT_LISTENING):
                self.declare_endpoint_lost("nothing listens at the endpoint")
            case Rejected(Rejection.OTHER_LIFETIME):
                self._finish(key, End.NOT_STARTED, "other_lifetime")
            case Rejected(Rejection.FENCE, clock_ms):
                self._lease.record_answer(clock_ms)
                self.raise_fence()
                self._finish(key, End.NOT_STARTED, "fence")
            case Rejected(reason, clock_ms):
                self._lease.record_answer(clock_ms)
                self._finish(key, End.NOT_STARTED, reason.value)

    def handle_stop_result(self, key, result):
        """Take in the answer to a stop."""
        run = self._runs.get(key)
        if run is None:
            return
        match result:
            case Accepted(clock_ms):
                run.stopped_clock_ms = clock_ms
                self._wants_list = self._wants_list or run.phase is Phase.DOUBTFUL
            case Rejected(Rejection.NOT_LISTENING):
                self.declare_endpoint_lost("nothing listens at the endpoint")
            case Rejected(Rejection.FENCE):
                self.raise_fence()

    def raise_fence(self):
        """Take a higher fence: the endpoint has seen one above ours."""
        self._fence += FENCE_STEP
        log.warning("fence raised", fence=self._fence)

    def handle_inventory(self, found: Inventory):
        """Take in what runs and what has ended."""
        if found.born_ms and found.born_ms != self._endpoint.born_ms:
            self._events.write("list of another lifetime", born=found.born_ms)
            return
        self._lease.record_answer(found.clock_ms)
        self._listed_ms = self._clock.now_ms()
        for ended in found.ended:
            if ended.number > self._last_end_number:
                self._last_end_number = ended.number
                self._take_end(ended)
        self._note_progress(found.running)
        at_work = {task.key for task in found.running}
        for key, run in list(self._runs.items()):
            if key not in at_work:
                self._consider_absent(key, run, found.clock_ms)
        strays = [key for key in at_work if key not in self._runs]
        self._orders.extend(map(StopOrder, strays))
        if not self._is_reconciled and not strays:
            self._is_reconciled = True
            log.info("endpoint reconciled", seen=self._last_end_number)

    def take_inventory_request(self):
        """Return whether an inventory at once would settle a doubt."""
        wish, self._wants_list = self._wants_list, False
        return wish

    def next_orders(self):
        """Return the orders to give now, after all events at hand."""
        now_ms = self._clock.now_ms()
        if now_ms - self._checked_ms >= CHECK_MS:
            self._checked_ms = now_ms
            self._expire_lease()
            self._expire_runs(now_ms)
            self._repeat_stops(now_ms)
            self._stop_stalled(now_ms)
        if self.is_ready:
            self._start_waiting(now_ms)
        orders, self._orders = self._orders, []
        return orders

    # Parts of the events

    def _take(self, incarnation, start, echo_ms):
        key = start.key
        self._owners.record_frame(incarnation, echo_ms, 0)
        if key in self._runs:
            # A caller that submitted its job again at another entry waits there now.
            self._runs[key].owner = incarnation
            return
        if key in self._ended:
            self._repeat_end(incarnation, key)
            return
        now_ms = self._clock.now_ms()
        run = Run(incarnation, start, now_ms + start.wait_ms, now_ms + start.slack_ms)
        self._runs[key] = run
        if not self._owners.is_alive(incarnation):
            self._finish(key, End.NOT_STARTED, "stale order")
            return
        for other in list(self._runs.values()):
            if other.start.key.task == key.task and other is not run:
                self._stop(other, "a newer run of the task")
        refusal = self._refusal(run)
        if refusal:
            self._finish(key, End.NOT_STARTED, refusal)

    def _refusal(self, run):
        """Return why a start is sent back at once, or nothing."""
        if not self.is_ready:
            return "not ready"
        if not self._endpoint.capacity.can_fit(run.start.room):
            return "too large"
        return "" if self._has_room_in_time(run) else "no room soon"

    def _has_room_in_time(self, new):
        """Return whether a start can be expected to find room while it may wait.

        Its owner's belief may be old; told at once, it can choose another place.
        """
        turn = self._turn(new)
        need = new.start.room.cpu_millis
        for run in self._runs.values():
            if run.phase is not Phase.WAITING or run is new:
                continue
            if self._turn(run) <= turn:
                need += run.start.room.cpu_millis
        return self.forecast().has_room_within(new.start.wait_ms, need)

    def _stop_unnamed(self, incarnation, orders):
        """Stop the runs of an owner that has given them up while it had no link."""
        named = {*orders.known, *(start.key for start in orders.starts)}
        for key, run in list(self._runs.items()):
            if run.owner == incarnation and key not in named:
                self._stop(run, "not named by the owner")

    def _stop_for_owner(self, incarnation, key):
        run = self._runs.get(key)
        if run is None:
            self._repeat_end(incarnation, key)
        elif run.owner == incarnation:
            self._stop(run, "stopped by the owner")

    def _stop(self, run, reason):
        run.reason = run.reason or reason
        match run.phase:
            case Phase.WAITING:
                self._finish(run.start.key, End.NOT_STARTED, reason)
            case Phase.STARTING | Phase.RUNNING:
                run.phase = Phase.STOPPING
                self._send_stop(run)

    def _unlisted_runs(self):
        """Return the runs that the endpoint has not named as at work yet.

        An endpoint that begins again under the same id takes orders that were meant
        for its last lifetime, so these may be at work in the new one.
        """
        return [r for r in self._runs.values() if is_there(r) and not r.is_listed]

    def _doubt(self, run):
        """Stop a run that may or may not be at the endpoint."""
        run.phase = Phase.DOUBTFUL
        run.stopped_clock_ms = None
        self._send_stop(run)

    def _send_stop(self, run):
        run.stop_sent_ms = self._clock.now_ms()
        self._orders.append(StopOrder(run.start.key))

    def _repeat_stops(self, now_ms):
        for run in self._runs.values():
            is_leaving = run.phase in (Phase.STOPPING, Phase.DOUBTFUL)
            if is_leaving and now_ms - run.stop_sent_ms >= STOP_RETRY_MS:
                self._send_stop(run)

    def _stop_stalled(self, now_ms):
        """Give back runs that stand still, so that they can go on elsewhere."""
        if now_ms - self._listed_ms > STALL_CHECK_MS:
            return
        for run in self._runs.values():
            if run.phase is not Phase.RUNNING:
                continue
            since_ms = max(run.progressed_ms, run.started_ms)
            if self._listed_ms - since_ms > STALLED_MS:
                self._stop(run, STALLED_REASON)

    def _repeat_end(self, incarnation, key):
        end = self._ended.get(key) or m.RunEnd(key, End.LOST, "unknown run")
        self._owners.get_or_create(incarnation).unsent_ends.append(end)

    def _take_end(self, ended):
        run = self._runs.get(ended.key)
        if run is None:
            self._events.write(
                "end of an unknown run", task=ended.key.task, end=ended.end.name
            )
            return
        self._finish(ended.key, ended.end, run.reason, ended.checkpoint)

    def _note_progress(self, running):
        now_ms = self._clock.now_ms()
        for task in running:
            run = self._runs.get(task.key)
            if run is None:
                continue
            run.is_listed = True
            if task.percent > run.percent:
                run.percent = task.percent
                run.progressed_ms = now_ms

    def _consider_absent(self, key, run, clock_ms):
        """Judge a run that the endpoint does not list as at work."""
        match run.phase:
            case Phase.STOPPING | Phase.DOUBTFUL:
                stopped_ms = run.stopped_clock_ms
                if stopped_ms is not None and clock_ms > stopped_ms:
                    self._finish(key, End.NOT_STARTED, run.reason or "no answer")
            case Phase.RUNNING:
                # Listed neither as at work nor as ended: seen only where an answer
                # overtook the start's, so the next list decides.
                if self._clock.now_ms() - run.started_ms > self._lease.length_ms:
                    self._finish(key, End.LOST, "not listed")

    def _expire_lease(self):
        """Give up what runs where the endpoint's lease can't hold any more."""
        if self._lease.is_expired:
            self.declare_endpoint_lost("no answer for longer than the lease")

    def _expire_runs(self, now_ms):
        alive = {}
        for key, run in list(self._runs.items()):
            if run.owner not in alive:
                alive[run.owner] = self._owners.is_alive(run.owner)
            if not alive[run.owner]:
                self._stop(run, "owner silent")
            elif run.phase is Phase.WAITING and now_ms > run.waits_until_ms:
                self._finish(key, End.NOT_STARTED, "no room in time")

    def _start_waiting(self, now_ms):
        waiting = [run for run in self._runs.values() if run.phase is Phase.WAITING]
        if not waiting:
            return
        capacity = self._endpoint.capacity
        free = capacity - self.used_room
        there = {run.start.key.task for run in self._runs.values() if is_there(run)}
        used = self._used_by_queue()
        for run in sorted(waiting, key=self._turn):
            start = run.start
            reserved = self._ranks.reserved_cpu_millis(
                start.queue, capacity.cpu_millis, used
            )
            leaves = free.cpu_millis - start.room.cpu_millis
            is_room = free.can_fit(start.room) and leaves >= reserved
            if is_room and start.key.task not in there:
                run.phase = Phase.STARTING
                self._used_room += start.room
                run.started_ms = now_ms
                free -= start.room
                used[start.queue] = used.get(start.queue, 0) + start.room.cpu_millis
                self._lease.record_renewal()
                self._orders.append(StartOrder(start))

    def _turn(self, run):
        """Return what orders waiting starts: rank first, then when they are due."""
        start = run.start
        return self._ranks.rank(start.queue, start.is_late), run.due_ms

    def _used_by_queue(self):
        used = {}
        for run in self._runs.values():
            if is_there(run):
                queue = run.start.queue
                used[queue] = used.get(queue, 0) + run.start.room.cpu_millis
        return used

    def _refuse_waiting(self, reason):
        for key, run in list(self._runs.items()):
            if run.phase is Phase.WAITING:
                self._finish(key, End.NOT_STARTED, reason)

    def _finish(self, key, end, reason="", checkpoint=""):
        run = self._runs.pop(key)
        if is_there(run):
            self._used_room -= run.start.room
        run_ms = self._clock.now_ms() - run.started_ms if run.started_ms else 0
        report = m.RunEnd(key, end, reason, checkpoint, run_ms)
        self._end_counts[end.name.lower()] += 1
        self._ended[key] = report
        while len(self._ended) > MAX_REMEMBERED_ENDS:
            self._ended.popitem(last=False)
        self._owners.get_or_create(run.owner).unsent_ends.append(report)
        if end is not End.DONE:
            self._events.write(
                "run ended",
                task=key.task,
                run=key.run,
                end=end.name,
                why=reason,
                percent=run.percent,
                run_ms=run_ms,
                free_millis=self.free_room.cpu_millis,
            )
