"""The decisions of an agent: a plain class driven by events and the clock.

``handle`` takes one event, ``run_round`` returns what is to be done after all events
at hand: messages to entries, starts and cancellations at the endpoint. One round
sends at most one frame of reports on each link.

A start begins at once where a slot is free, and else waits here. Each slot that
frees goes to the class that ``FairShares`` names among those that wait, so targets
and shares hold however many entries there are, without a message about it.
"""

import collections
import enum
from dataclasses import dataclass, field

from .. import logs
from ..outcomes import NotRun, Reason, Unknown
from ..protocol import messages as m
from . import agent_events as e
from .agent_configuration import AgentConfiguration
from .endpoint_watch import EndpointWatch
from .headroom import RESERVE_CHECK_INTERVAL_MS, Headroom
from .shares import FairShares
from .slots import START_VALID_MS, SlotTable, StartDecision
from .start_queue import MAX_WAITING, StartQueue

EXPIRE_MS = 1_000

log = logs.get_logger("agent")


class DrainCause(enum.Enum):
    """Why new starts are refused."""

    OPERATOR = "operator"
    LEAVING = "leaving"
    STOPPING = "stopping"


@dataclass(slots=True)
class AgentCounters:
    """Counters since the start of the process."""

    started: int = 0
    refused: collections.Counter = field(default_factory=collections.Counter)
    outcomes: collections.Counter = field(default_factory=collections.Counter)
    report_frames: int = 0


@dataclass(slots=True)
class RoundActions:
    """What one round asks for; ``next_round_in_ms`` None where nothing is pending."""

    messages: list[tuple[int, m.Message]] = field(default_factory=list)
    starts: list[m.Start] = field(default_factory=list)
    cancels: list[m.TaskKey] = field(default_factory=list)
    next_round_in_ms: int | None = None


@dataclass(slots=True)
class _EntryLink:
    """What the agent keeps for one link."""

    entry: bytes
    reports: list[m.Report] = field(default_factory=list)
    # (batch number, keys) of reports sent and not acknowledged, oldest first.
    sent: collections.deque = field(default_factory=collections.deque)
    last_number: int = 0
    status: m.AgentStatus | None = None


class AgentCore:
    """Slots, shares, waiting starts and configuration of one agent."""

    def __init__(self, clock, *, name, rack=""):
        self._clock = clock
        self._name = name
        self._rack = rack
        self._slots = SlotTable(clock)
        self._shares = FairShares(clock)
        self._headroom = Headroom(clock)
        self._queue = StartQueue(clock)
        self._links = {}
        self._link_of = {}
        self._configuration = AgentConfiguration(clock)
        self._watch = EndpointWatch(clock)
        self._drain_causes = set()
        self._is_paused = False
        self._expired_ms = clock.now_ms()
        self._round = RoundActions()
        self._counters = AgentCounters()
        self._status = self._new_status()

    @property
    def counters(self):
        """Counters since the start."""
        return self._counters

    @property
    def configuration_version(self):
        """The version of the class document in force, 0 without one."""
        return self._configuration.version

    @property
    def endpoint(self):
        """The endpoint as last announced, or None."""
        return self._watch.endpoint

    @property
    def slots(self):
        """The slots and the attempts seen."""
        return self._slots

    @property
    def waiting(self):
        """How many starts wait for a slot."""
        return len(self._queue)

    @property
    def is_ready(self):
        """Whether tasks can be run now, drains apart."""
        return self._watch.is_ready

    @property
    def is_draining(self):
        """Whether new starts are refused."""
        return bool(self._drain_causes)

    @property
    def is_settled(self):
        """Whether nothing runs and every report on an open link has arrived."""
        return not self._slots.running and not any(
            link.reports or link.sent for link in self._links.values()
        )

    @property
    def should_poll_busy_slots(self):
        """Whether the endpoint is to be asked for its busy slots."""
        if self._watch.endpoint is None:
            return False
        return self._slots.needs_busy_count or self._watch.is_doubtful

    def handle(self, event):
        """Take in one event."""
        match event:
            case e.FrameReceived(number, envelope):
                self._hear(number, envelope)
            case e.TaskEnded(key, outcome):
                self._end_task(key, outcome)
            case e.LinkOpened():
                self._open_link(event)
            case e.LinkEnded(number):
                self._end_link(number)
            case e.EndpointAnnounced(endpoint):
                self._announced(endpoint)
            case e.EndpointLeaving():
                self._drain(DrainCause.LEAVING, True)
            case e.BusySlotsPolled(busy, running):
                self._busy_counted(busy, running)
            case e.DrainOrdered(draining):
                self._drain(DrainCause.OPERATOR, draining)
            case e.StopRequested():
                self._drain(DrainCause.STOPPING, True)
            case e.StartsPaused(paused):
                self._is_paused = paused
            case e.Ticked():
                self._tick()

    def run_round(self):
        """Fill the free slots and return what is to be done."""
        self._fill_slots()
        result, self._round = self._round, RoundActions()
        for number, link in self._links.items():
            if link.status is not self._status:
                link.status = self._status
                result.messages.append((number, self._status))
            self._send_reports(result, number, link)
        return result

    def _fill_slots(self):
        self._give_back_expired()
        if not self._may_start():
            return
        while self._slots.available > 0:
            name = self._next_class()
            if name is None:
                break
            if self._headroom.reserve_last_slot(
                self._shares, name, self._slots.available
            ):
                self._round.next_round_in_ms = RESERVE_CHECK_INTERVAL_MS
                return
            self._begin(self._queue.pop(name))
        self._headroom.end_reservation(self._shares.slots)

    def _give_back_expired(self):
        expired = self._queue.take_expired()
        self._give_back(expired, NotRun(Reason.STALE_START))

    def _next_class(self):
        """Return the waiting class that gets the next slot, or None."""
        shares = self._shares
        names = [name for name in self._queue.classes() if shares.is_within_quota(name)]
        if len(names) == 1:
            return names[0]
        return min(names, key=lambda name: (shares.sort_key(name), name), default=None)

    def _begin(self, waiting):
        start = waiting.start
        self._slots.begin(self._links[waiting.link].entry, start)
        self._shares.acquire(start.class_name)
        self._counters.started += 1
        self._round.starts.append(start)

    # Entries

    def _open_link(self, event):
        hello = event.hello
        self._links[event.number] = _EntryLink(hello.incarnation)
        self._link_of[hello.incarnation] = event.number
        self._round.messages += self._configuration.open_link(
            event.number, hello.configuration_version
        )

    def _end_link(self, number):
        link = self._links.pop(number, None)
        if link is None:
            return
        self._configuration.end_link(number)
        if self._link_of.get(link.entry) == number:
            del self._link_of[link.entry]
        # Nothing starts for an entry that can't be told of it.
        self._give_back(self._queue.take_link(number), NotRun(Reason.STALE_START))

    def _hear(self, number, envelope):
        link = self._links.get(number)
        if link is None:
            return
        if envelope.ack:
            self._acknowledge(link, envelope.ack)
        match envelope.message:
            case m.StartBatch(starts):
                for start in starts:
                    self._offer(number, link, start, envelope.echo_ms)
            case m.CancelBatch(keys):
                self._cancel(keys)
            case m.Resolve(keys):
                link.reports.extend(self._slots.resolve(link.entry, keys))
            case m.Configuration() as message:
                self._configure(number, message)
            case m.Drain(draining):
                self._drain(DrainCause.OPERATOR, draining)

    def _acknowledge(self, link, number):
        while link.sent and link.sent[0][0] <= number:
            _, keys = link.sent.popleft()
            for key in keys:
                self._slots.window.acknowledge(key)

    def _offer(self, number, link, start, echo_ms):
        name = start.class_name
        # What the free slots can take at the end of the round does not wait.
        most = MAX_WAITING + max(self._slots.available, 0)
        decision = self._slots.admit(
            link.entry,
            start,
            echo_ms=echo_ms,
            is_queue_full=self._queue.count(number, name) >= most,
        )
        match decision:
            case StartDecision.ADMITTED:
                self._shares.record_demand(name)
                self._queue.push(number, start, echo_ms + START_VALID_MS)
            case m.Report(outcome=outcome):
                self._count_refusal(outcome)
                link.reports.append(decision)

    def _cancel(self, keys):
        for key in keys:
            if key in self._slots.running:
                self._round.cancels.append(key)
                continue
            waiting = self._queue.take(key)
            if waiting is not None:
                self._give_back([waiting], NotRun(Reason.CANCELLED))

    def _give_back(self, waiting_starts, refusal):
        """Refuse starts that waited; they will not begin here.

        Their link may have ended, or be dead without our knowing, while the entry
        has resolved them on a newer one: the reports go to the newest.
        """
        for waiting in waiting_starts:
            key = waiting.start.key
            report = self._slots.withdraw(key, refusal)
            self._count_refusal(refusal)
            self._report_to(self._slots.window.find(key).entry, report)

    def _count_refusal(self, outcome):
        if isinstance(outcome, NotRun):
            self._counters.refused[outcome.reason] += 1

    # Tasks

    def _end_task(self, key, outcome):
        running = self._slots.running[key]
        report = self._slots.finish(key, outcome)
        self._shares.release(running.class_name)
        self._shares.record_run_time(running.class_name, report.run_ms)
        self._counters.outcomes[type(outcome).__name__] += 1
        if isinstance(outcome, NotRun | Unknown):
            self._watch.suspect()
        if outcome == Unknown(Reason.TIMED_OUT):
            self._round.cancels.append(key)
        self._report_to(running.entry, report)

    def _report_to(self, entry, report):
        """Send a report on the entry's newest link; without one it is kept."""
        number = self._link_of.get(entry)
        if number is not None:
            self._links[number].reports.append(report)

    # The endpoint

    def _announced(self, endpoint):
        self._watch.announced(endpoint)
        self._slots.capacity = endpoint.slots
        self._shares.slots = endpoint.slots
        self._drain(DrainCause.LEAVING, False)
        self._update_status()

    def _busy_counted(self, busy, running):
        if busy is not None:
            self._watch.answered()
            self._slots.update_busy_count(busy, running)
        elif self._watch.kept_silent():
            refusal = NotRun(Reason.ENDPOINT_REFUSED)
            self._give_back(self._queue.take_all(), refusal)
        self._update_status()

    # Drain, configuration, time

    def _drain(self, cause, draining):
        was_draining = self.is_draining
        if draining:
            self._drain_causes.add(cause)
        else:
            self._drain_causes.discard(cause)
        if self.is_draining == was_draining:
            return
        log.notice("draining" if draining else "taking starts again", cause=cause.value)
        self._slots.is_draining = self.is_draining
        self._update_status()
        if self.is_draining:
            self._give_back(self._queue.take_all(), NotRun(Reason.DRAINING))

    def _configure(self, number, message):
        is_taken, to_send = self._configuration.hear(number, message)
        self._round.messages += to_send
        if is_taken:
            self._shares.configure(self._configuration.document)
            self._slots.has_configuration = True

    def _tick(self):
        self._round.messages += self._configuration.ask()
        now_ms = self._clock.now_ms()
        if now_ms - self._expired_ms >= EXPIRE_MS:
            self._expired_ms = now_ms
            self._slots.window.expire()

    def _may_start(self):
        return (
            self.is_ready
            and not self.is_draining
            and not self._is_paused
            and self._slots.has_configuration
        )

    # Frames

    def _update_status(self):
        """Make the status anew; links are sent it in the next round if it changed."""
        status = self._new_status()
        if status != self._status:
            self._status = status

    def _new_status(self):
        endpoint = self._watch.endpoint
        return m.AgentStatus(
            endpoint=endpoint.name if endpoint else self._name,
            slots=endpoint.slots if endpoint else 0,
            cores=endpoint.cores if endpoint else 0,
            memory_mb=endpoint.memory_mb if endpoint else 0,
            accelerators=endpoint.accelerators if endpoint else 0,
            draining=self.is_draining,
            ready=self.is_ready,
            rack=self._rack,
        )

    def _send_reports(self, result, number, link):
        if not link.reports:
            return
        link.last_number += 1
        reports, link.reports = link.reports, []
        link.sent.append((link.last_number, [report.key for report in reports]))
        spare = self._slots.available - len(self._queue)
        waiting = self._queue.waiting_of(number)
        batch = m.ReportBatch(link.last_number, reports, spare, waiting)
        result.messages.append((number, batch))
        self._counters.report_frames += 1
