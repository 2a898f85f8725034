"""The agent node of a deployment: connects ``RunController`` to endpoint and owners.

One task owns the controller and processes the events in the inbox. Calls to the
endpoint run in separate tasks, which post their results to the inbox.
"""

import asyncio
import contextlib
from dataclasses import dataclass

from ... import logs
from ...protocol import messages as m
from ...state.endpoints import (
    EndpointReport,
    Inventory,
    NoAnswer,
    Rejected,
    Rejection,
)
from ...state.evacuations import EvacuatedZones
from ...transport import links
from ..agent_links import exchange_hellos
from ..background import run_until_first_completed
from ..inbox import Inbox
from .endpoint_session import (
    EndpointSession,
    InventoryResultReceived,
    StartResultReceived,
    StopResultReceived,
)
from .lifetime_check import FenceRejected, LifetimeCheck, LifetimeConfirmed
from .report_pacer import ReportPacer

TICK_INTERVAL_MS = 50
# The interval while the endpoint has no runs.
IDLE_TICK_INTERVAL_MS = 200
# An agent sends heartbeats on all links, so that entries place runs only at agents that
# are alive. An entry answers them where it has runs, which renews its lease; on other
# links nothing depends on it, and it sends few frames.
AGENT_LINK_TIMING = links.LinkTiming(heartbeat_ms=200, silence_timeout_ms=6_000)
ENTRY_LINK_TIMING = links.LinkTiming(
    heartbeat_ms=2_000, silence_timeout_ms=1_500, busy_reply_ms=150
)
DRAIN_POLL_INTERVAL_MS = 20

log = logs.get_logger("agent")


@dataclass(frozen=True, slots=True)
class HeartbeatReceived:
    """The endpoint sent a heartbeat."""

    report: EndpointReport


@dataclass(frozen=True, slots=True)
class OwnerLinked:
    """An entry opened a link; ``number`` is the link number in its hello."""

    incarnation: bytes
    link: links.Link
    number: int


@dataclass(frozen=True, slots=True)
class OwnerUnlinked:
    """The link of an entry closed."""

    incarnation: bytes
    link: links.Link


@dataclass(frozen=True, slots=True)
class OwnerMessageReceived:
    """An entry sent a message."""

    incarnation: bytes
    link: links.Link
    envelope: m.Envelope


@dataclass(frozen=True, slots=True)
class TimerTicked:
    """A tick interval has passed."""


class RunAgentNode:
    """One agent process of a deployment, without its listeners.

    ``connect_endpoint(lifetime)`` returns the client of an endpoint's lifetime, see
    ``EndpointClient``. ``on_report(EndpointReport)`` is called for each heartbeat of
    the present lifetime of the endpoint.
    """

    def __init__(self, hello, clock, controller, connect_endpoint, on_report=None):
        self._hello = hello
        self._clock = clock
        self._controller = controller
        self._on_report = on_report or (lambda report: None)
        self._inbox = Inbox()
        self._lifetime_check = LifetimeCheck(
            clock, connect_endpoint, lambda: controller.fence, self._inbox.post
        )
        # The present link of each owner, see ``_add_link``.
        self._links = {}
        self._session = EndpointSession(clock, controller, self._inbox)
        self._last_status = None
        self._report_pacer = ReportPacer(clock)
        self._events = logs.EventLog(log, clock)
        # Set when there are runs, whose deadlines need frequent ticks.
        self._busy_event = asyncio.Event()

    @property
    def has_links(self):
        """Whether an entry has a link to this agent."""
        return bool(self._links)

    @property
    def controller(self):
        """The ``RunController``; not to be changed by callers."""
        return self._controller

    def on_heartbeat(self, report):
        """Handle a heartbeat of the endpoint, an ``EndpointReport``."""
        self._inbox.post(HeartbeatReceived(report))

    def on_leave(self, endpoint_id):
        """Log that the endpoint is about to end.

        The end itself is detected by failing connections.
        """
        log.info("endpoint is leaving", endpoint=endpoint_id)

    async def serve_link(self, link):
        """Serve one entry's link until it ends."""
        hello = await exchange_hellos(link, self._hello)
        if hello is None:
            link.close("no hello")
            return
        incarnation = hello.incarnation
        self._inbox.post(OwnerLinked(incarnation, link, hello.link_number))
        closed = await link.run(
            lambda envelope: self._inbox.post(
                OwnerMessageReceived(incarnation, link, envelope)
            ),
        )
        log.info("entry link closed", entry=hello.name, why=closed.detail)
        self._inbox.post(OwnerUnlinked(incarnation, link))

    async def run(self, stop):
        """Serve until ``stop`` is set and all runs have ended."""
        coroutines = (
            self._process_events(),
            self._post_ticks(),
            self._drain_after_stop(stop),
        )
        await run_until_first_completed(coroutines, self._session.tasks)

    async def aclose(self):
        """Close all links and the connections to the endpoint."""
        self._lifetime_check.close()
        for link in self._links.values():
            link.close("agent is closing")
        self._session.close()

    def status(self):
        """Return the numbers of runs and links, for the log."""
        return {"runs": len(self._controller.runs), "links": len(self._links)}

    async def _process_events(self):
        while True:
            for event in await self._inbox.take_all():
                try:
                    self._handle_event(event)
                except Exception:
                    # One event must not end the process, and with it all its runs.
                    log.exception("event not handled", kind=type(event).__name__)
            if self._controller.runs:
                self._busy_event.set()
            for order in self._controller.next_orders():
                self._session.send(order)
            if self._controller.take_inventory_request():
                self._session.request_inventory()
            self._send_new_reports()

    def _record_echoes(self, incarnations):
        """Renew the leases of owners by the echoes of heartbeats.

        Links do not pass heartbeat frames on as messages.
        """
        for incarnation in incarnations & self._links.keys():
            echo_ms = self._links[incarnation].echo_ms
            self._controller.owners.record_frame(incarnation, echo_ms, 0)

    def _handle_event(self, event):
        controller = self._controller
        match event:
            case OwnerMessageReceived(incarnation, link, envelope) if (
                self._links.get(incarnation) is not link
            ):
                self._events.write(
                    "message of a replaced link ignored",
                    kind=type(envelope.message).__name__,
                )
            case OwnerMessageReceived(incarnation, _, envelope):
                controller.owners.record_frame(
                    incarnation, envelope.echo_ms, envelope.ack
                )
                self._handle_message(incarnation, envelope)
            case StartResultReceived(key, result, fence):
                controller.handle_start_result(key, result, fence)
            case StopResultReceived(key, result, fence):
                controller.handle_stop_result(key, result, fence)
            case InventoryResultReceived(endpoint, result, fence):
                self._handle_inventory_result(endpoint, result, fence)
            case HeartbeatReceived() | LifetimeConfirmed() | FenceRejected():
                self._handle_lifetime_event(event)
            case OwnerLinked(incarnation, link, number):
                self._add_link(incarnation, link, number)
            case OwnerUnlinked(incarnation, link):
                if self._links.get(incarnation) is link:
                    del self._links[incarnation]
                    self._report_pacer.remove_owner(incarnation)
                    controller.owners.link_closed(incarnation)
            case TimerTicked():
                incarnations_with_runs = {run.owner for run in controller.runs.values()}
                self._events.flush_if_due()
                self._record_echoes(incarnations_with_runs)
                controller.owners.remove_expired(incarnations_with_runs)

    def _add_link(self, incarnation, link, number):
        """Make a link the present one of its owner, unless a newer one is known.

        Only the present link counts. The owner closes a link before it opens the next,
        and may have given up the runs that it ordered on the closed one. What it has
        sent there can still arrive: a connection that was cut off delivers it later,
        and the new link would have renewed the owner's lease by then.
        """
        owners = self._controller.owners
        if not owners.link_opened(incarnation, number):
            log.info("older entry link refused", number=number)
            link.close("the owner has a newer link")
            return
        replaced = self._links.get(incarnation)
        if replaced is not None:
            replaced.close("replaced by a newer link")
        self._links[incarnation] = link
        link.send(self._controller.status())
        if loads := owners.total_loads():
            link.send(m.QueueLoads(loads))
        self._send_report(incarnation, self._controller.forecast())

    def _handle_message(self, incarnation, envelope):
        match envelope.message:
            case m.RunOrders():
                self._controller.handle_orders(
                    incarnation, envelope.message, envelope.echo_ms
                )
            case m.Evacuations(revision, zones):
                self._controller.handle_evacuations(
                    EvacuatedZones(revision, frozenset(zones))
                )
            case m.QueueLoads(loads):
                total_loads = self._controller.handle_queue_loads(incarnation, loads)
                if incarnation in self._links:
                    self._links[incarnation].send(total_loads)

    def _handle_lifetime_event(self, event):
        match event:
            case HeartbeatReceived(report):
                self._handle_heartbeat(report)
            case LifetimeConfirmed(report, client):
                self._begin_lifetime(report, client)
            case FenceRejected(fence):
                self._controller.fence_rejected(fence)

    def _handle_heartbeat(self, report):
        """Record a heartbeat of the present lifetime; have another one confirmed.

        Runs are not given up for a heartbeat, see docs/design/heartbeats.md.
        """
        if not self._controller.lifetime.is_present(report.lifetime):
            self._lifetime_check.begin(report)
            return
        self._controller.handle_heartbeat(report)
        self._on_report(self._controller.endpoint)

    def _begin_lifetime(self, report, client):
        if not self._controller.handle_heartbeat(report, is_confirmed=True):
            client.close()  # it was confirmed twice
            return
        self._on_report(report)
        self._session.begin(report, client)

    def _handle_inventory_result(self, endpoint, result, fence):
        current = self._controller.endpoint
        if current is None or endpoint != current.lifetime:
            return
        match result:
            case Inventory():
                self._controller.handle_inventory(result, fence)
            case Rejected(Rejection.NOT_LISTENING):
                self._controller.connection_refused(fence)
            case Rejected(Rejection.OTHER_LIFETIME, born_ms=born_ms):
                self._controller.answered_as_other_lifetime(born_ms, fence)
            case Rejected(Rejection.FENCE):
                self._controller.fence_rejected(fence)
            case NoAnswer():
                self._controller.inventory_not_answered(fence)

    def _send_new_reports(self):
        """Send a changed status to all owners, and reports to those due for one.

        A report is due to owners with unsent ends or crashes, and to the next owner in
        the rotation of ``ReportPacer``.
        """
        controller = self._controller
        status = controller.status()
        if status != self._last_status:
            self._last_status = status
            for link in self._links.values():
                link.send(status)
        capacity_millis = (
            controller.endpoint.capacity.cpu_millis if controller.endpoint else 0
        )
        owner_to_report = self._report_pacer.next_owner(
            controller.free_room, capacity_millis
        )
        due = controller.owners.incarnations_with_unsent_events() & self._links.keys()
        if self._report_pacer.is_finding_due(controller.performance.revision):
            due.update(self._links)
        if owner_to_report is not None:
            due.add(owner_to_report)
        if due:
            forecast = controller.forecast()
            for incarnation in due:
                self._send_report(incarnation, forecast)

    def _send_report(self, incarnation, forecast):
        self._report_pacer.record_sent(incarnation, forecast.free)
        self._links[incarnation].send(
            self._controller.next_report(incarnation, forecast)
        )

    async def _post_ticks(self):
        while True:
            if self._controller.runs:
                await self._clock.sleep_ms(TICK_INTERVAL_MS)
            else:
                self._busy_event.clear()
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(IDLE_TICK_INTERVAL_MS / 1000):
                        await self._busy_event.wait()
            self._inbox.post(TimerTicked())

    async def _drain_after_stop(self, stop):
        await stop.wait()
        log.notice("stopping", runs=len(self._controller.runs))
        self._controller.stop_accepting_starts()
        self._inbox.post(TimerTicked())
        await self._clock.sleep_ms(DRAIN_POLL_INTERVAL_MS)
        while self._controller.runs:
            await self._clock.sleep_ms(DRAIN_POLL_INTERVAL_MS)
        await self._clock.sleep_ms(DRAIN_POLL_INTERVAL_MS)
