"""The agent node: connects ``AgentCore`` to links, the endpoint and the platform.

One task owns the ``AgentCore`` and processes the events of the inbox. All other
tasks own their sockets and post events to the inbox.
"""

import asyncio
import itertools

from .. import logs, traces
from ..outcomes import Reason, Succeeded, Unknown
from ..protocol import messages as m
from ..state.ids import new_incarnation
from ..state.members import Member
from ..transport.endpoint_http import HttpEndpointClient
from . import agent_events as e
from .agent_core import AgentCore
from .background import run_until_first_completed, spawn
from .inbox import Inbox
from .membership import Membership

TICK_INTERVAL_MS = 250
BUSY_POLL_INTERVAL_MS = 500
HELLO_TIMEOUT_S = 3.0
# A gap between two ticks that is longer than this means that the process was paused.
MAX_TICK_GAP_MS = 3_000
# How long starts stay paused after a process pause if the store is down.
REREAD_TIMEOUT_MS = 10_000
REREAD_RETRY_INTERVAL_MS = 500
# How long a drained agent waits for the acknowledgement of its last reports.
ACKNOWLEDGE_TIMEOUT_MS = 10_000
DRAIN_POLL_INTERVAL_MS = 20
# How often to check whether the row in the members table is due for renewal.
RENEWAL_CHECK_INTERVAL_MS = 3_600_000
TASK_SPAN = "agent.task"

log = logs.get_logger("agent")


class AgentNode:
    """One agent process without its listening sockets."""

    def __init__(self, member, clock, platform, *, tracer=None):
        self._member = member
        self._clock = clock
        self._inbox = Inbox()
        self._core = AgentCore(clock, name=member.name, rack=member.rack)
        self._membership = Membership(platform, clock, region=member.region)
        self._tracer = tracer or traces.NullTracer()
        self._endpoint_client = None
        self._links = {}
        self._link_numbers = itertools.count(1)
        self._background_tasks = set()
        self._is_registration_started = False
        self._is_registered = False
        self._timer = None

    @classmethod
    def from_settings(cls, settings, clock, platform, link, http):
        """Return a node with a new incarnation.

        ``link`` and ``http`` are the addresses on which the process listens.
        """
        member = Member(
            role=m.ROLE_AGENT,
            incarnation=new_incarnation(),
            name=settings.name,
            zone=settings.zone,
            region=settings.region,
            rack=settings.rack,
            link=str(settings.advertise_link or link),
            http=str(http),
        )
        tracer = traces.from_settings(settings)
        return cls(member, clock, platform, tracer=tracer)

    @property
    def member(self):
        """The ``Member`` as which this agent registers."""
        return self._member

    @property
    def core(self):
        """The ``AgentCore``, for reading only."""
        return self._core

    @property
    def ready(self):
        """Whether the agent is registered and its endpoint takes tasks."""
        core = self._core
        return self._is_registered and core.is_ready and not core.is_draining

    @property
    def links(self):
        """The open links, for reading only."""
        return list(self._links.values())

    def post(self, event):
        """Post an event to the task that owns the ``AgentCore``."""
        self._inbox.post(event)

    async def serve_link(self, link):
        """Serve one entry's link until it ends."""
        link.send(self._hello())
        hello = await _receive_hello(link)
        if hello is None:
            link.close("no hello")
            return
        number = next(self._link_numbers)
        self._links[number] = link
        self.post(e.LinkOpened(number, link, hello))
        closed = await link.run(
            lambda envelope: self.post(e.FrameReceived(number, envelope))
        )
        log.info("link ended", entry=hello.name, detail=closed.detail)
        del self._links[number]
        self.post(e.LinkEnded(number))

    async def run(self, stop):
        """Serve until ``stop`` is set and all running attempts have been reported.

        ``stop`` is an ``asyncio.Event``.
        """
        coroutines = (
            self._run_core(),
            self._tick(),
            self._monitor_endpoint(),
            self._drain_after(stop),
        )
        await run_until_first_completed(coroutines)

    async def aclose(self):
        """Cancel the remaining tasks and close all connections."""
        running = len(self._core.slots.running)
        if running:
            log.warning("running tasks cancelled at shutdown", count=running)
        for task in list(self._background_tasks):
            task.cancel()
        for link in self.links:
            link.close("the agent ends")
        if self._endpoint_client is not None:
            await self._endpoint_client.aclose()
        self._tracer.close()

    def status(self):
        """Return the fields that describe the node's load in log lines."""
        core = self._core
        return {
            "running": len(core.slots.running),
            "links": len(self._links),
            "draining": core.is_draining,
        }

    def _hello(self):
        return m.Hello(
            role=m.ROLE_AGENT,
            incarnation=self._member.incarnation,
            name=self._member.name,
            zone=self._member.zone,
            configuration_version=self._core.configuration_version,
        )

    # The task that owns the core

    async def _run_core(self):
        while True:
            for event in await self._inbox.take_all():
                self._core.handle(event)
                if isinstance(event, e.EndpointAnnounced):
                    self._handle_announcement(event.endpoint)
            self._execute(self._core.run_round())

    def _execute(self, actions):
        for start in actions.starts:
            spawn(self._run_task(start), self._background_tasks)
        for number, message in actions.messages:
            if number in self._links:
                self._links[number].send(message)
        for key in actions.cancels:
            spawn(self._endpoint_client.cancel(key), self._background_tasks)
        if actions.next_round_in_ms is not None and self._timer is None:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(
                actions.next_round_in_ms / 1000, self._fire_timer
            )

    def _fire_timer(self):
        self._timer = None
        self.post(e.TimerTicked())

    def _handle_announcement(self, endpoint):
        if (
            self._endpoint_client is None
            or self._endpoint_client.address != endpoint.address
        ):
            self._endpoint_client = HttpEndpointClient.from_address(
                endpoint.address, self._clock
            )
            spawn(self._poll_busy_slots(), self._background_tasks)
        if not self._is_registration_started:
            self._is_registration_started = True
            spawn(self._keep_registered(), self._background_tasks)

    # Tasks that post events

    async def _run_task(self, start):
        span = self._tracer.start(TASK_SPAN, start.traceparent)
        start.traceparent = span.traceparent
        outcome = Unknown(Reason.ENDPOINT_LOST)
        try:
            outcome = await self._endpoint_client.run(start)
        finally:
            span.end(_span_status(outcome))
            self.post(e.TaskEnded(start.key, outcome))

    async def _poll_busy_slots(self):
        running = len(self._core.slots.running)
        busy = await self._endpoint_client.busy_slots()
        self.post(e.BusySlotsPolled(busy, running))

    async def _monitor_endpoint(self):
        while True:
            await self._clock.sleep_ms(BUSY_POLL_INTERVAL_MS)
            if self._endpoint_client is not None and self._core.should_poll_busy_slots:
                await self._poll_busy_slots()

    async def _tick(self):
        while True:
            before_ms = self._clock.now_ms()
            await self._clock.sleep_ms(TICK_INTERVAL_MS)
            self.post(e.TimerTicked())
            gap_ms = self._clock.now_ms() - before_ms
            if gap_ms > MAX_TICK_GAP_MS:
                log.warning("process was paused", gap_ms=gap_ms)
                await self._reread_drain_order()

    async def _reread_drain_order(self):
        """Read the endpoint's drain order again before anything new starts.

        An operator may have drained the endpoint while the process was paused.
        """
        self.post(e.StartsPaused(True))
        deadline_ms = self._clock.now_ms() + REREAD_TIMEOUT_MS
        while not await self._refresh_drain_order():
            if self._clock.now_ms() > deadline_ms:
                log.warning(
                    "members table unreadable after a pause; starting with known drains"
                )
                break
            await self._clock.sleep_ms(REREAD_RETRY_INTERVAL_MS)
        self._apply_drain_order()
        self.post(e.StartsPaused(False))

    async def _keep_registered(self):
        """Register, and renew the registration for as long as the process runs.

        A drain order that is in the table takes effect before the agent is ready.
        """
        await self._membership.register(self._member)
        await self._refresh_drain_order()
        self._apply_drain_order()
        self._is_registered = True
        log.info("registered", key=self._member.key)
        while True:
            await self._clock.sleep_ms(RENEWAL_CHECK_INTERVAL_MS)
            await self._membership.renew()

    async def _refresh_drain_order(self):
        """Read the endpoint's drain order; return whether it is known."""
        endpoint = self._core.endpoint
        return endpoint is None or await self._membership.refresh_drain(endpoint.name)

    def _apply_drain_order(self):
        endpoint = self._core.endpoint
        if endpoint is not None and self._membership.is_current:
            is_drained = endpoint.name in self._membership.drained
            self.post(e.DrainOrdered(is_drained))

    async def _drain_after(self, stop):
        await stop.wait()
        log.notice("stopping", running=len(self._core.slots.running))
        self.post(e.StopRequested())
        await self._clock.sleep_ms(DRAIN_POLL_INTERVAL_MS)
        while self._core.slots.running:
            await self._clock.sleep_ms(DRAIN_POLL_INTERVAL_MS)
        deadline_ms = self._clock.now_ms() + ACKNOWLEDGE_TIMEOUT_MS
        while not self._core.is_settled and self._clock.now_ms() < deadline_ms:
            await self._clock.sleep_ms(DRAIN_POLL_INTERVAL_MS)
        if self._is_registered and not await self._membership.deregister():
            log.warning("not deregistered: the platform's members table is unreachable")


def _span_status(outcome):
    return (
        traces.STATUS_OK if isinstance(outcome, Succeeded) else type(outcome).__name__
    )


async def _receive_hello(link):
    """Return the entry's hello, or None if it does not arrive in time."""
    try:
        async with asyncio.timeout(HELLO_TIMEOUT_S):
            received = await link.receive_one()
    except TimeoutError:
        return None
    if isinstance(received, m.Envelope) and isinstance(received.message, m.Hello):
        return received.message
    return None
