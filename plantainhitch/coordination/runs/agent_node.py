"""The agent node of a deployment: wires ``RunController`` to its endpoint and owners.

One task owns the book and works through the inbox. Calls to the endpoint run in
tasks of their own and post their results.
"""

import asyncio
import contextlib
from dataclasses import dataclass

from ... import logs
from ...protocol import messages as m
from ...state.endpoints import (
    EndpointReport,
    Inventory,
    OrderResult,
    Rejected,
    Rejection,
)
from ...state.jobs import RunKey
from ...transport import links
from ..agent_links import exchange_hellos
from ..background import run_until_first_completed, spawn
from ..inbox import Inbox
from .report_pacer import ReportPacer
from .run import StartOrder, StopOrder

TICK_INTERVAL_MS = 50
# The wait of an inventory: a third of the shortest lease, so that one lost answer
# does not let it lapse.
INVENTORY_WAIT_MS = 300
# Between tries while no endpoint answers.
INVENTORY_RETRY_DELAY_MS = 50
LINK_TIMING = links.LinkTiming(heartbeat_ms=150, dead_after_ms=1_500)
DRAIN_POLL_INTERVAL_MS = 20

log = logs.get_logger("agent")


@dataclass(frozen=True, slots=True)
class HeartbeatReceived:
    """The endpoint reported."""

    report: EndpointReport


@dataclass(frozen=True, slots=True)
class OwnerLinked:
    """An entry has opened a link."""

    incarnation: bytes
    link: links.Link


@dataclass(frozen=True, slots=True)
class OwnerUnlinked:
    """The link of an entry has ended."""

    incarnation: bytes
    link: links.Link


@dataclass(frozen=True, slots=True)
class FrameReceived:
    """A frame came from an entry."""

    incarnation: bytes
    envelope: m.Envelope


@dataclass(frozen=True, slots=True)
class StartFinished:
    """The endpoint answered a start, or didn't."""

    key: RunKey
    result: OrderResult


@dataclass(frozen=True, slots=True)
class StopFinished:
    """The endpoint answered a stop, or didn't."""

    key: RunKey
    result: OrderResult


@dataclass(frozen=True, slots=True)
class InventoryFinished:
    """An inventory came, or something else in its place."""

    endpoint: tuple[str, int]
    result: Inventory | OrderResult


@dataclass(frozen=True, slots=True)
class TimerTicked:
    """Time has passed."""


class RunAgentNode:
    """One agent process of a deployment, without its listeners."""

    def __init__(self, hello, clock, controller, connect_endpoint):
        self._hello = hello
        self._clock = clock
        self._controller = controller
        # ``connect_endpoint(endpoint_id)`` returns what gives orders to it.
        self._connect_endpoint = connect_endpoint
        self._inbox = Inbox()
        self._links = {}
        self._endpoint_client = None
        self._lease_task = None
        self._tasks = set()
        self._last_status = None
        self._report_pacer = ReportPacer(clock)

    @property
    def has_links(self):
        """Whether an entry has a link to this agent."""
        return bool(self._links)

    @property
    def controller(self):
        """The decisions, for reading only."""
        return self._controller

    def on_heartbeat(self, report):
        """Take in a heartbeat of the endpoint; an ``EndpointReport``."""
        self._inbox.post(HeartbeatReceived(report))

    def on_leave(self, endpoint_id):
        """Note that the endpoint ends now; its connections tell when it has."""
        log.info("endpoint leaves", endpoint=endpoint_id)

    async def serve_link(self, link):
        """Serve one entry's link until it ends."""
        hello = await exchange_hellos(link, self._hello)
        if hello is None:
            link.close("no hello")
            return
        incarnation = hello.incarnation
        self._inbox.post(OwnerLinked(incarnation, link))
        closed = await link.run(
            lambda envelope: self._inbox.post(FrameReceived(incarnation, envelope)),
        )
        log.info("entry lost", entry=hello.name, why=closed.detail)
        self._inbox.post(OwnerUnlinked(incarnation, link))

    async def run(self, stop):
        """Serve until ``stop`` is set and what runs has ended."""
        coroutines = (
            self._process_events(),
            self._post_ticks(),
            self._drain_after(stop),
        )
        await run_until_first_completed(coroutines, self._tasks)

    async def aclose(self):
        """Close what is open."""
        for link in self._links.values():
            link.close("the agent ends")
        if self._endpoint_client is not None:
            self._endpoint_client.close()

    def status(self):
        """Return what the node is doing, for the log."""
        return {"runs": len(self._controller.runs), "links": len(self._links)}

    async def _process_events(self):
        while True:
            for event in await self._inbox.take_all():
                self._handle_event(event)
            for order in self._controller.next_orders():
                spawn(self._send_order(order), self._tasks)
            if self._controller.take_inventory_request():
                spawn(self._request_inventory(), self._tasks)
            self._send_new_reports()

    def _record_echoes(self):
        """Take proofs of life from heartbeats too, which links keep to themselves."""
        for incarnation, link in self._links.items():
            self._controller.owners.record_frame(incarnation, link.echo_ms, 0)

    def _handle_event(self, event):
        controller = self._controller
        match event:
            case FrameReceived(incarnation, envelope):
                controller.owners.record_frame(
                    incarnation, envelope.echo_ms, envelope.ack
                )
                self._handle_message(incarnation, envelope)
            case StartFinished(key, result):
                controller.handle_start_result(key, result)
            case StopFinished(key, result):
                controller.handle_stop_result(key, result)
            case InventoryFinished(endpoint, result):
                self._handle_inventory_result(endpoint, result)
            case HeartbeatReceived(report):
                if controller.handle_heartbeat(report):
                    self._start_lease_renewal(report)
            case OwnerLinked(incarnation, link):
                controller.owners.link_opened(incarnation)
                self._links[incarnation] = link
                link.send(controller.status())
                self._send_report(incarnation, controller.forecast())
            case OwnerUnlinked(incarnation, link):
                if self._links.get(incarnation) is link:
                    del self._links[incarnation]
                    self._report_pacer.remove_owner(incarnation)
                    controller.owners.link_closed(incarnation)
            case TimerTicked():
                self._record_echoes()
                keep = {run.owner for run in controller.runs.values()}
                controller.owners.remove_expired(keep)

    def _handle_message(self, incarnation, envelope):
        match envelope.message:
            case m.RunOrders():
                self._controller.handle_orders(
                    incarnation, envelope.message, envelope.echo_ms
                )
            case m.QueueLoads(loads):
                total = self._controller.handle_queue_loads(incarnation, loads)
                if incarnation in self._links:
                    self._links[incarnation].send(total)

    def _handle_inventory_result(self, endpoint, result):
        known = self._controller.endpoint
        if known is None or endpoint != (known.endpoint_id, known.born_ms):
            return
        match result:
            case Inventory():
                self._controller.handle_inventory(result)
            case Rejected(Rejection.NOT_LISTENING):
                self._controller.declare_endpoint_lost(
                    "nothing listens at the endpoint"
                )
            case Rejected(Rejection.FENCE):
                self._controller.raise_fence()

    def _start_lease_renewal(self, report):
        """Begin to hold the leases of a new lifetime of the endpoint."""
        if self._lease_task is not None:
            self._lease_task.cancel()
        self._endpoint_client = self._connect_endpoint(report.endpoint_id)
        self._lease_task = spawn(
            self._renew_lease(report, self._endpoint_client), self._tasks
        )

    async def _renew_lease(self, report, orders):
        """Renew the endpoint's lease and post what it lists, until cancelled."""
        lifetime = (report.endpoint_id, report.born_ms)
        wait_ms = 0
        with contextlib.closing(orders):
            while True:
                controller = self._controller
                lease_until_ms = controller.lease.renewal_expiry_ms
                if lease_until_ms is not None:
                    controller.lease.record_renewal()
                result = await orders.inventory(
                    controller.fence,
                    controller.last_end_number,
                    lease_until_ms,
                    wait_ms,
                )
                self._inbox.post(InventoryFinished(lifetime, result))
                wait_ms = INVENTORY_WAIT_MS
                if isinstance(result, Inventory):
                    await asyncio.sleep(0)  # the book takes it in before the next
                else:
                    wait_ms = 0
                    await self._clock.sleep_ms(INVENTORY_RETRY_DELAY_MS)

    async def _request_inventory(self):
        """Ask for an inventory beside the one that waits for an end."""
        controller = self._controller
        endpoint = controller.endpoint
        if endpoint is None or self._endpoint_client is None:
            return
        result = await self._endpoint_client.inventory(
            controller.fence, controller.last_end_number, None, 0
        )
        self._inbox.post(
            InventoryFinished((endpoint.endpoint_id, endpoint.born_ms), result)
        )

    async def _send_order(self, order):
        controller = self._controller
        match order:
            case StartOrder(start):
                result = await self._endpoint_client.start(
                    start.key,
                    start.payload,
                    controller.lease.renewal_expiry_ms or 0,
                    controller.fence,
                    start.checkpoint,
                )
                self._inbox.post(StartFinished(start.key, result))
            case StopOrder(key):
                result = await self._endpoint_client.stop(key, controller.fence)
                self._inbox.post(StopFinished(key, result))

    def _send_new_reports(self):
        """Send each owner what is new to it."""
        controller = self._controller
        status = controller.status()
        if status != self._last_status:
            self._last_status = status
            for link in self._links.values():
                link.send(status)
        capacity = controller.endpoint.capacity.cpu_millis if controller.endpoint else 0
        in_turn = self._report_pacer.next_owner(controller.free_room, capacity)
        forecast = None
        for incarnation in self._links:
            if (
                incarnation == in_turn
                or controller.owners.get_or_create(incarnation).unsent_ends
            ):
                forecast = forecast or controller.forecast()
                self._send_report(incarnation, forecast)

    def _send_report(self, incarnation, forecast):
        self._report_pacer.record_sent(incarnation, forecast.free)
        self._links[incarnation].send(
            self._controller.next_report(incarnation, forecast)
        )

    async def _post_ticks(self):
        while True:
            await self._clock.sleep_ms(TICK_INTERVAL_MS)
            self._inbox.post(TimerTicked())

    async def _drain_after(self, stop):
        await stop.wait()
        log.notice("stopping", runs=len(self._controller.runs))
        self._controller.stop_accepting_starts()
        self._inbox.post(TimerTicked())
        await self._clock.sleep_ms(DRAIN_POLL_INTERVAL_MS)
        while self._controller.runs:
            await self._clock.sleep_ms(DRAIN_POLL_INTERVAL_MS)
        await self._clock.sleep_ms(DRAIN_POLL_INTERVAL_MS)
