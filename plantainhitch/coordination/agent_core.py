"""Decision logic of an agent: admits, schedules and reports task attempts.

``AgentCore`` does no I/O. ``handle`` processes one event; ``run_round`` is called
once all queued events have been handled and returns the actions that follow:
messages to entries, and starts and cancellations at the endpoint. One round sends
at most one report frame on each link.

A start begins at once if a slot is free, and otherwise waits in the agent. Each slot
that becomes free goes to the waiting class that ``FairShares`` ranks first. Targets
and shares are therefore kept with any number of entries, without messages between
them.
"""

import collections
import enum
from dataclasses import dataclass, field

from .. import logs
from ..outcomes import NotRun, Reason, Unknown
from ..protocol import messages as m
from . import agent_events as e
from .agent_configuration import AgentConfiguration
from .endpoint_monitor import EndpointMonitor
from .headroom import RESERVE_CHECK_INTERVAL_MS, Headroom
from .shares import FairShares
from .slots import START_VALID_MS, SlotTable, StartDecision
from .start_queue import MAX_WAITING_PER_CLASS, StartQueue

EXPIRE_INTERVAL_MS = 1_000

log = logs.get_logger("agent")


class DrainCause(enum.Enum):
    """Reason for which the agent refuses new starts."""

    OPERATOR = "operator"
    LEAVING = "leaving"
    STOPPING = "stopping"


@dataclass(slots=True)
class AgentCounters:
    """Counters since the start of the process, exported as metrics."""

    started: int = 0
    refused: collections.Counter = field(default_factory=collections.Counter)
    outcomes: collections.Counter = field(default_factory=collections.Counter)
    report_frames: int = 0


@dataclass(slots=True)
class RoundActions:
    """Actions that result from one round.

    ``next_round_in_ms`` is the delay after which another round is needed even if no
    event arrives, or None.
    """

    messages: list[tuple[int, m.Message]] = field(default_factory=list)
    starts: list[m.Start] = field(default_factory=list)
    cancels: list[m.TaskKey] = field(default_factory=list)
    next_round_in_ms: int | None = None


@dataclass(slots=True)
class _EntryLink:
    """State of one link.

    ``entry`` is the incarnation of the entry at the other end, and ``order`` the number
    that it has given to the link.
    """

    entry: bytes
    order: int = 0
    unsent_reports: list[m.Report] = field(default_factory=list)
    # (batch number, keys) of the report batches sent but not yet acknowledged,
    # oldest first.
    unacknowledged: collections.deque = field(default_factory=collections.deque)
    last_batch_number: int = 0
    sent_status: m.AgentStatus | None = None


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
        self._newest_link_by_entry = {}
        self._configuration = AgentConfiguration(clock)
        self._endpoint_monitor = EndpointMonitor(clock)
        self._drain_causes = set()
        self._are_starts_paused = False
        self._last_expiry_ms = clock.now_ms()
        self._round = RoundActions()
        self._counters = AgentCounters()
        self._status = self._new_status()

    @property
    def counters(self):
        """The ``AgentCounters`` since the start of the process."""
        return self._counters

    @property
    def configuration_version(self):
        """Version of the class document in force, 0 if there is none."""
        return self._configuration.version

    @property
    def endpoint(self):
        """The ``EndpointInfo`` of the last announcement, or None."""
        return self._endpoint_monitor.endpoint

    @property
    def slots(self):
        """The ``SlotTable`` with the slots and the known attempts."""
        return self._slots

    @property
    def waiting(self):
        """Number of admitted starts that wait for a slot."""
        return len(self._queue)

    @property
    def is_ready(self):
        """Whether the endpoint can run tasks now; drains are not considered."""
        return self._endpoint_monitor.is_ready

    @property
    def is_draining(self):
        """Whether new starts are refused."""
        return bool(self._drain_causes)

    @property
    def is_settled(self):
        """Whether nothing runs and all reports on open links are acknowledged."""
        return not self._slots.running and not any(
            link.unsent_reports or link.unacknowledged for link in self._links.values()
        )

    @property
    def should_poll_busy_slots(self):
        """Whether the endpoint has to be polled for its number of busy slots."""
        if self._endpoint_monitor.endpoint is None:
            return False
        return self._slots.needs_busy_count or self._endpoint_monitor.needs_poll

    def handle(self, event):
        """Process one event."""
        match event:
            case e.FrameReceived(number, envelope):
                self._handle_frame(number, envelope)
            case e.TaskEnded(key, outcome):
                self._finish_task(key, outcome)
            case e.LinkOpened():
                self._add_link(event)
            case e.LinkEnded(number):
                self._remove_link(number)
            case e.EndpointAnnounced(endpoint):
                self._handle_announcement(endpoint)
            case e.EndpointLeaving():
                self._set_drain(DrainCause.LEAVING, True)
            case e.BusySlotsPolled(busy, running):
                self._handle_busy_slots(busy, running)
            case e.DrainOrdered(draining):
                self._set_drain(DrainCause.OPERATOR, draining)
            case e.StopRequested():
                self._set_drain(DrainCause.STOPPING, True)
            case e.StartsPaused(paused):
                self._are_starts_paused = paused
            case e.TimerTicked():
                self._handle_tick()

    def run_round(self):
        """Fill the free slots and return the ``RoundActions`` to execute."""
        self._fill_slots()
        result, self._round = self._round, RoundActions()
        for number, link in self._links.items():
            if link.sent_status is not self._status:
                link.sent_status = self._status
                result.messages.append((number, self._status))
            self._send_report_batch(result, number, link)
        return result

    def _fill_slots(self):
        self._refuse_expired()
        if not self._can_start():
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
            self._begin_start(self._queue.pop(name))
        self._headroom.end_reservation(self._shares.slots)

    def _refuse_expired(self):
        expired = self._queue.remove_expired()
        self._refuse_waiting(expired, NotRun(Reason.STALE_START))

    def _next_class(self):
        """Return the name of the class that gets the next free slot, or None."""
        shares = self._shares
        names = [name for name in self._queue.classes() if shares.is_within_quota(name)]
        if len(names) == 1:
            return names[0]
        return min(names, key=lambda name: (shares.sort_key(name), name), default=None)

    def _begin_start(self, waiting):
        start = waiting.start
        self._slots.begin(self._links[waiting.link].entry, start)
        self._shares.acquire(start.class_name)
        self._counters.started += 1
        self._round.starts.append(start)

    # Entries

    def _add_link(self, event):
        hello = event.hello
        self._links[event.number] = _EntryLink(hello.incarnation, hello.link_number)
        newest = self._links.get(self._newest_link_by_entry.get(hello.incarnation))
        if newest is None or hello.link_number >= newest.order:
            self._newest_link_by_entry[hello.incarnation] = event.number
        self._round.messages += self._configuration.add_link(
            event.number, hello.configuration_version
        )

    def _remove_link(self, number):
        link = self._links.pop(number, None)
        if link is None:
            return
        self._configuration.remove_link(number)
        if self._newest_link_by_entry.get(link.entry) == number:
            del self._newest_link_by_entry[link.entry]
        # Without a link the entry would not learn that the start has begun.
        self._refuse_waiting(
            self._queue.remove_link(number), NotRun(Reason.STALE_START)
        )

    def _handle_frame(self, number, envelope):
        link = self._links.get(number)
        if link is None:
            return
        if envelope.ack:
            self._acknowledge(link, envelope.ack)
        match envelope.message:
            case m.StartBatch(starts):
                for start in starts:
                    self._handle_start(number, link, start, envelope.echo_ms)
            case m.CancelBatch(keys):
                self._cancel_attempts(keys)
            case m.Resolve(keys):
                link.unsent_reports.extend(self._slots.resolve(link.entry, keys))
            case m.Configuration() as message:
                self._handle_configuration(number, message)
            case m.Drain(draining):
                if number == self._newest_link_by_entry.get(link.entry):
                    self._set_drain(DrainCause.OPERATOR, draining)

    def _acknowledge(self, link, number):
        while link.unacknowledged and link.unacknowledged[0][0] <= number:
            _, keys = link.unacknowledged.popleft()
            for key in keys:
                self._slots.window.acknowledge(key)

    def _handle_start(self, number, link, start, echo_ms):
        name = start.class_name
        # Starts that the free slots absorb at the end of this round do not wait, so
        # they do not count against the limit.
        limit = MAX_WAITING_PER_CLASS + max(self._slots.available, 0)
        decision = self._slots.admit(
            link.entry,
            start,
            echo_ms=echo_ms,
            is_queue_full=self._queue.count(number, name) >= limit,
        )
        match decision:
            case StartDecision.ADMITTED:
                self._shares.record_demand(name)
                self._queue.push(number, start, echo_ms + START_VALID_MS)
            case m.Report(outcome=outcome):
                self._count_refusal(outcome)
                link.unsent_reports.append(decision)

    def _cancel_attempts(self, keys):
        for key in keys:
            if key in self._slots.running:
                self._round.cancels.append(key)
                continue
            waiting = self._queue.remove(key)
            if waiting is not None:
                self._refuse_waiting([waiting], NotRun(Reason.CANCELLED))

    def _refuse_waiting(self, refused_starts, refusal):
        """Refuse waiting starts; after this they cannot begin.

        Their link may have ended, or may be dead without the agent having detected
        it, while the entry already resolves them on a newer link. The reports
        therefore go to the entry's newest link.
        """
        for waiting in refused_starts:
            key = waiting.start.key
            report = self._slots.withdraw(key, refusal)
            self._count_refusal(refusal)
            self._queue_report(self._slots.window.find(key).entry, report)

    def _count_refusal(self, outcome):
        if isinstance(outcome, NotRun):
            self._counters.refused[outcome.reason] += 1

    # Tasks

    def _finish_task(self, key, outcome):
        running = self._slots.running[key]
        report = self._slots.finish(key, outcome)
        self._shares.release(running.class_name)
        self._shares.record_run_time(running.class_name, report.run_ms)
        self._counters.outcomes[type(outcome).__name__] += 1
        if isinstance(outcome, NotRun | Unknown):
            self._endpoint_monitor.mark_suspect()
        if outcome == Unknown(Reason.TIMED_OUT):
            self._round.cancels.append(key)
        self._queue_report(running.entry, report)

    def _queue_report(self, entry, report):
        """Queue a report on the entry's newest link.

        Without a link the report stays in the attempt window until the entry
        resolves the attempt.
        """
        number = self._newest_link_by_entry.get(entry)
        if number is not None:
            self._links[number].unsent_reports.append(report)

    # Endpoint

    def _handle_announcement(self, endpoint):
        self._endpoint_monitor.record_announcement(endpoint)
        self._slots.capacity = endpoint.slots
        self._shares.slots = endpoint.slots
        self._set_drain(DrainCause.LEAVING, False)
        self._update_status()

    def _handle_busy_slots(self, busy, running):
        if busy is not None:
            self._endpoint_monitor.record_poll_answer()
            self._slots.update_busy_count(busy, running)
        elif self._endpoint_monitor.record_missed_poll():
            refusal = NotRun(Reason.ENDPOINT_REFUSED)
            self._refuse_waiting(self._queue.remove_all(), refusal)
        self._update_status()

    # Drain, configuration and timer

    def _set_drain(self, cause, draining):
        was_draining = self.is_draining
        if draining:
            self._drain_causes.add(cause)
        else:
            self._drain_causes.discard(cause)
        if self.is_draining == was_draining:
            return
        log.notice(
            "draining" if draining else "accepting starts again", cause=cause.value
        )
        self._slots.is_draining = self.is_draining
        self._update_status()
        if self.is_draining:
            self._refuse_waiting(self._queue.remove_all(), NotRun(Reason.DRAINING))

    def _handle_configuration(self, number, message):
        is_adopted, messages = self._configuration.handle_message(number, message)
        self._round.messages += messages
        if is_adopted:
            self._shares.configure(self._configuration.document)
            self._slots.has_configuration = True

    def _handle_tick(self):
        self._round.messages += self._configuration.request_newer()
        now_ms = self._clock.now_ms()
        if now_ms - self._last_expiry_ms >= EXPIRE_INTERVAL_MS:
            self._last_expiry_ms = now_ms
            self._slots.window.expire()

    def _can_start(self):
        return (
            self.is_ready
            and not self.is_draining
            and not self._are_starts_paused
            and self._slots.has_configuration
        )

    # Status and report frames

    def _update_status(self):
        """Recompute the status; a changed one is sent to all links in the next round.

        An equal status keeps its identity, which ``run_round`` compares.
        """
        status = self._new_status()
        if status != self._status:
            self._status = status

    def _new_status(self):
        endpoint = self._endpoint_monitor.endpoint
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

    def _send_report_batch(self, result, number, link):
        if not link.unsent_reports:
            return
        link.last_batch_number += 1
        reports, link.unsent_reports = link.unsent_reports, []
        link.unacknowledged.append(
            (link.last_batch_number, [report.key for report in reports])
        )
        spare = self._slots.available - len(self._queue)
        waiting = self._queue.waiting_counts(number)
        batch = m.ReportBatch(link.last_batch_number, reports, spare, waiting)
        result.messages.append((number, batch))
        self._counters.report_frames += 1
