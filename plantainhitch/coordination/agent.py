"""The agent node: wires the decisions to links, the endpoint and the platform.

One task owns ``AgentCore`` and works through the inbox; all other tasks post
events to it and own their sockets.
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

TICK_MS = 250
BUSY_POLL_MS = 500
HELLO_TIMEOUT_S = 3.0
# A gap between two ticks that shows that the process was paused.
PAUSE_MS = 3_000
# After a pause, how long starts wait for membership where the store is down.
REREAD_LIMIT_MS = 10_000
REREAD_RETRY_MS = 500
# How long a drained agent waits for the acknowledgement of its last reports.
ACKNOWLEDGE_LIMIT_MS = 10_000
DRAIN_POLL_MS = 20
# How often to look whether the row in the table is due to be renewed.
RENEW_CHECK_MS = 3_600_000
TASK_SPAN = "agent.task"

log = logs.get_logger("agent")


class AgentNode:
    """One agent process, without its listeners."""

    def __init__(self, member, clock, platform, *, tracer=None):
        self._member = member
        self._clock = clock
        self._inbox = Inbox()
        self._core = AgentCore(clock, name=member.name, rack=member.rack)
        self._membership = Membership(platform, clock, region=member.region)
        self._tracer = tracer or traces.NullTracer()
        self._endpoint = None
        self._links = {}
        self._link_numbers = itertools.count(1)
        self._tasks = set()
        self._is_joining = False
        self._is_registered = False
        self._timer = None

    @classmethod
    def from_settings(cls, settings, clock, platform, link, http):
        """Return a node with a fresh incarnation; ``link``, ``http`` are bound."""
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
        """This agent as it registers itself."""
        return self._member

    @property
    def core(self):
        """The decisions, for reading only."""
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
        """Hand an event to the task that owns the decisions."""
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
        """Serve until the event ``stop`` is set and what runs has been answered."""
        owned = (
            self._run_core(),
            self._tick(),
            self._watch_endpoint(),
            self._drain_after(stop),
        )
        await run_until_first_completed(owned)

    async def aclose(self):
        """Cut what is left and release the connections."""
        running = len(self._core.slots.running)
        if running:
            log.warning("running tasks were cut off", count=running)
        for task in list(self._tasks):
            task.cancel()
        for link in self.links:
            link.close("the agent ends")
        if self._endpoint is not None:
            await self._endpoint.aclose()
        self._tracer.close()

    def status(self):
        """Return what the node is doing, for the log."""
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

    # The task that owns the decisions

    async def _run_core(self):
        while True:
            for event in await self._inbox.take_all():
                self._core.handle(event)
                if isinstance(event, e.EndpointAnnounced):
                    self._meet_endpoint(event.endpoint)
            self._perform(self._core.run_round())

    def _perform(self, todo):
        for start in todo.starts:
            spawn(self._run_task(start), self._tasks)
        for number, message in todo.messages:
            if number in self._links:
                self._links[number].send(message)
        for key in todo.cancels:
            spawn(self._endpoint.cancel(key), self._tasks)
        if todo.next_round_in_ms is not None and self._timer is None:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(todo.next_round_in_ms / 1000, self._wake)

    def _wake(self):
        self._timer = None
        self.post(e.Ticked())

    def _meet_endpoint(self, endpoint):
        if self._endpoint is None or self._endpoint.address != endpoint.address:
            self._endpoint = HttpEndpointClient.from_address(
                endpoint.address, self._clock
            )
            spawn(self._count_busy(), self._tasks)
        if not self._is_joining:
            self._is_joining = True
            spawn(self._join(), self._tasks)

    # Tasks that post events

    async def _run_task(self, start):
        span = self._tracer.start(TASK_SPAN, start.traceparent)
        start.traceparent = span.traceparent
        outcome = Unknown(Reason.ENDPOINT_LOST)
        try:
            outcome = await self._endpoint.run(start)
        finally:
            span.end(_span_status(outcome))
            self.post(e.TaskEnded(start.key, outcome))

    async def _count_busy(self):
        running = len(self._core.slots.running)
        busy = await self._endpoint.busy_slots()
        self.post(e.BusySlotsPolled(busy, running))

    async def _watch_endpoint(self):
        while True:
            await self._clock.sleep_ms(BUSY_POLL_MS)
            if self._endpoint is not None and self._core.should_poll_busy_slots:
                await self._count_busy()

    async def _tick(self):
        while True:
            before_ms = self._clock.now_ms()
            await self._clock.sleep_ms(TICK_MS)
            self.post(e.Ticked())
            gap_ms = self._clock.now_ms() - before_ms
            if gap_ms > PAUSE_MS:
                log.warning("was paused", gap_ms=gap_ms)
                await self._reread_membership()

    async def _reread_membership(self):
        """Read the order on our endpoint again before anything new starts."""
        self.post(e.StartsPaused(True))
        deadline_ms = self._clock.now_ms() + REREAD_LIMIT_MS
        while not await self._refresh_drain():
            if self._clock.now_ms() > deadline_ms:
                log.warning("membership can't be read; going on with what is known")
                break
            await self._clock.sleep_ms(REREAD_RETRY_MS)
        self._apply_drains()
        self.post(e.StartsPaused(False))

    async def _join(self):
        """Register and stay registered.

        An operator's drain that is in the table holds from the start.
        """
        await self._membership.register(self._member)
        await self._refresh_drain()
        self._apply_drains()
        self._is_registered = True
        log.info("registered", key=self._member.key)
        while True:
            await self._clock.sleep_ms(RENEW_CHECK_MS)
            await self._membership.renew()

    async def _refresh_drain(self):
        """Read the order on our endpoint; return whether it is known."""
        endpoint = self._core.endpoint
        return endpoint is None or await self._membership.refresh_drain(endpoint.name)

    def _apply_drains(self):
        endpoint = self._core.endpoint
        if endpoint is not None and self._membership.is_current:
            is_drained = endpoint.name in self._membership.drained
            self.post(e.DrainOrdered(is_drained))

    async def _drain_after(self, stop):
        await stop.wait()
        log.notice("stopping", running=len(self._core.slots.running))
        self.post(e.StopRequested())
        await self._clock.sleep_ms(DRAIN_POLL_MS)
        while self._core.slots.running:
            await self._clock.sleep_ms(DRAIN_POLL_MS)
        deadline_ms = self._clock.now_ms() + ACKNOWLEDGE_LIMIT_MS
        while not self._core.is_settled and self._clock.now_ms() < deadline_ms:
            await self._clock.sleep_ms(DRAIN_POLL_MS)
        if self._is_registered and not await self._membership.deregister():
            log.warning("not deregistered: the platform can't be reached")


def _span_status(outcome):
    return (
        traces.STATUS_OK if isinstance(outcome, Succeeded) else type(outcome).__name__
    )


async def _receive_hello(link):
    """Return the entry's hello, or None where none comes in time."""
    try:
        async with asyncio.timeout(HELLO_TIMEOUT_S):
            received = await link.receive_one()
    except TimeoutError:
        return None
    if isinstance(received, m.Envelope) and isinstance(received.message, m.Hello):
        return received.message
    return None
