"""The entry node of a deployment: connects ``Scheduler`` to callers and agents.

One asyncio task owns the scheduler. It takes events from an inbox: callers' tasks post
jobs there and wait for a future, and dialers post the messages of agents.
"""

import asyncio

from ... import logs
from ...protocol import messages as m
from .. import events as e
from ..background import run_until_first_completed, spawn
from ..evacuation import ALL_EVACUATED_REASON
from ..inbox import Inbox
from .agent_connections import AgentConnections
from .outcomes import GaveUp, NeverRan
from .peers import Peers, evacuations_message

TICK_MS = 25
# Interval of the scheduler's rounds while a job waits, for which room may be free.
WAITING_TICK_MS = 8
# An entry with jobs reads the closes of callers' connections this often. Runs end
# before their caller submits again if no echo is over 50 ms newer than its close.
CLOSES_INTERVAL_MS = 20
# Turns of the event loop after which the close of a caller's connection that has
# arrived is in the inbox. Up to five: the server reads it, loses the connection and
# tells the application, whose task ends, which wakes ``run_job``.
CLOSE_TURNS = 8
# For this long after SIGTERM new jobs are accepted: until two of the load balancer's
# checks, one a second, have failed.
INTAKE_AFTER_STOP_MS = 2_500
DRAIN_POLL_MS = 20
# After a change of the evacuated zones, their members are counted for the log this much
# later: a process that has just started doesn't know them before.
ZONE_REPORT_DELAY_MS = 3_000

log = logs.get_logger("entry")


class JobEntryNode:
    """One entry process of a deployment, without its listeners.

    ``member`` is its own ``Member``, ``routes`` the ``RouteWatch``, and
    ``decode_routes`` as for ``Peers``.
    """

    def __init__(
        self, deployment, member, clock, scheduler, routes, membership, decode_routes
    ):
        self._deployment = deployment
        self._member = member
        self._clock = clock
        self._scheduler = scheduler
        self._routes = routes
        self._membership = membership
        self._evacuations = scheduler.evacuations
        self._peers = Peers(
            clock,
            member,
            self._make_hello,
            membership,
            routes,
            decode_routes,
            self._evacuations,
            self._receive_evacuations,
        )
        self._inbox = Inbox()
        self._connections = AgentConnections(
            clock,
            member,
            membership,
            self._peers,
            scheduler.fleet,
            self._make_hello,
            self._post_agent_event,
        )
        self._stopping_since_ms = None
        self._tasks = set()

    @property
    def ready(self):
        """Whether the load balancer should send callers here."""
        return (
            self._routes.table is not None
            and self._evacuations.is_known
            and self._stopping_since_ms is None
        )

    @property
    def routes(self):
        """The route table in force, or None before the first."""
        return self._routes.table

    @property
    def scheduler(self):
        """The ``Scheduler``, for reading only."""
        return self._scheduler

    @property
    def peer_count(self):
        """The number of open links to peers."""
        return self._peers.link_count

    @property
    def is_closing(self):
        """Whether replies should close their connections."""
        return self._stopping_since_ms is not None

    def members_changed(self):
        """Dial new agents and inform peers; called on a change of the membership."""
        self._peers.announce_members()
        self._connections.update()

    def routes_changed(self, table):
        """Announce a newer configuration to the peers; called by the ``RouteWatch``."""
        self._peers.announce_routes(table)

    def apply_evacuations(self, evacuated):
        """Put newer ``EvacuatedZones`` from the store or a peer into force.

        Where the zones differ from those before, agents and peers are told.
        """
        state = self._evacuations
        was_known, previous_zones = state.is_known, state.zones
        if not state.apply(evacuated):
            return
        if was_known and evacuated.zones == previous_zones:
            return
        self._scheduler.evacuations_changed()
        self._announce_evacuations()
        if evacuated.zones:
            spawn(self._report_zones(), self._tasks)

    async def serve_link(self, link):
        """Serve a link from another entry, or from an agent that introduces itself."""
        await self._peers.serve_link(link)

    def count_pending(self, route):
        """Return how many jobs of a route have not started."""
        return self._scheduler.count_pending(route.name)

    async def run_job(self, spec, route, caller_timeout_ms, disconnected):
        """Run a job and return its ``JobOutcome``.

        ``caller_timeout_ms`` is how long the caller waits, ``disconnected`` a future
        that is done when the caller leaves.
        """
        # A request that was held up may have its caller's close right behind it.
        await _read_closes()
        if disconnected.done():
            return GaveUp("the caller left")
        if self._is_intake_closed():
            return NeverRan("the entry stops")
        outcome_future = asyncio.get_running_loop().create_future()

        def set_outcome(outcome):
            if not outcome_future.done():
                outcome_future.set_result(outcome)

        def submit():
            try:
                self._scheduler.submit(spec, route, caller_timeout_ms, set_outcome)
            except Exception:
                reason = "internal error"
                set_outcome(GaveUp(reason))
                # The caller will submit it elsewhere, and it may be known here already.
                self._scheduler.detach_caller(spec.job_id, set_outcome, reason)
                raise

        self._inbox.post(submit)
        await asyncio.wait(
            (outcome_future, disconnected), return_when=asyncio.FIRST_COMPLETED
        )
        if not outcome_future.done():
            reason = "the caller left"
            self._inbox.post(
                lambda: self._scheduler.detach_caller(spec.job_id, set_outcome, reason)
            )
            return GaveUp(reason)
        return outcome_future.result()

    async def run(self, stop):
        """Serve until the event ``stop`` is set and all jobs have ended."""
        services = (
            self._run_scheduler(),
            self._tick(),
            self._connections.run(),
            self._peers.run(),
            self._routes.run(),
            self._run_membership(),
            self._drain_after(stop),
        )
        for address in self._deployment.seed_link_addresses:
            self._peers.dial(str(address))
        try:
            await run_until_first_completed(services)
        finally:
            self._connections.close()
            for task in self._tasks:
                task.cancel()

    async def aclose(self):
        """Close all links."""
        self._peers.close()
        for agent in self._scheduler.fleet.agents.values():
            if agent.link is not None:
                agent.link.close("the entry shuts down")

    def status(self):
        """Return the counts that the log shows at the stop."""
        return {"jobs": len(self._scheduler.jobs), "dialled": self._connections.count}

    async def _run_scheduler(self):
        scheduler = self._scheduler
        # The closes of callers' connections that arrived before this were handled.
        closes_read_ms = self._clock.now_ms()
        while True:
            self._handle_events(await self._inbox.take_all())
            # An echo says that the callers of this entry's runs were looked after until
            # its stamp was received.
            stamps = [
                (agent.link, agent.link.peer_stamp_ms)
                for agent in scheduler.fleet.agents.values()
                if agent.link is not None
            ]
            now_ms = self._clock.now_ms()
            if scheduler.jobs and now_ms - closes_read_ms > CLOSES_INTERVAL_MS:
                # The process may have been suspended, at any moment of the last round
                # too. Callers may have left since then, and submitted elsewhere.
                closes_read_ms = now_ms
                await _read_closes()
                self._handle_events(self._take_caller_events())
            for agent, message in scheduler.run_round():
                agent.link.send(message)
            for link, stamp_ms in stamps:
                link.release_echoes(stamp_ms)

    def _take_caller_events(self):
        """Return the events of callers so far; those of agents wait for the next round.

        They may be newer than a close that has not been read.
        """
        events = self._inbox.take_present()
        for event in events:
            if not callable(event):
                self._post_agent_event(event)
        return filter(callable, events)

    def _handle_events(self, events):
        for event in events:
            try:
                self._handle_event(event)
            except Exception:
                # One event must not end the process, and with it all its jobs.
                log.exception("event not handled", kind=type(event).__name__)

    def _handle_event(self, event):
        scheduler = self._scheduler
        match event:
            case e.AgentMessageReceived(incarnation, message):
                scheduler.handle_agent_message(incarnation, message)
            case e.AgentLinked(hello=hello, link=link):
                link.defer_echoes()
                scheduler.agent_linked(hello, link)
                # Before the first orders, which the next round returns.
                self._send_evacuations(scheduler.fleet.get(hello.incarnation))
            case e.AgentUnlinked(incarnation, link):
                scheduler.agent_unlinked(incarnation, link)
            case e.AgentGone(incarnation) | e.AgentConnectionRefused(incarnation):
                scheduler.agent_presumed_dead(incarnation)
            case e.TimerTicked():
                pass
            case _:
                event()

    def _receive_evacuations(self, evacuated):
        """Handle the set of a peer.

        An older one with other zones is answered by the own set. The peer may have sent
        it to agents, and this entry may not have sent them the own one, if it took a
        removed and rewritten row for an unchanged one.
        """
        self.apply_evacuations(evacuated)
        if evacuated.zones != self._evacuations.zones:
            self._announce_evacuations()

    def _announce_evacuations(self):
        for agent in self._scheduler.fleet.agents.values():
            self._send_evacuations(agent)
        self._peers.announce_evacuations()

    def _send_evacuations(self, agent):
        """Tell an agent, an ``AgentView``, the evacuated zones if they are known."""
        message = evacuations_message(self._evacuations)
        can_send = agent.link is not None and agent.reads_evacuations
        if message is not None and can_send:
            agent.link.send(message)

    async def _report_zones(self):
        """Log for each evacuated zone whether it has endpoints; see the delay."""
        await self._clock.sleep_ms(ZONE_REPORT_DELAY_MS)
        region, zones = self._member.region, self._evacuations.zones
        agent_zones = [member.zone for member in self._membership.agents(region)]
        entry_zones = [member.zone for member in self._membership.entries(region)]
        for zone in sorted(zones):
            if zone in agent_zones:
                continue
            if zone in entry_zones:
                log.warning("the evacuated zone has no endpoints", zone=zone)
            else:
                log.warning("no process is known in the evacuated zone", zone=zone)
        if agent_zones and zones.issuperset(agent_zones):
            log.error(ALL_EVACUATED_REASON, zones=sorted(zones))

    async def _tick(self):
        while True:
            has_ready_tasks = self._scheduler.has_ready_tasks
            await self._clock.sleep_ms(WAITING_TICK_MS if has_ready_tasks else TICK_MS)
            self._inbox.post(e.TimerTicked())

    def _post_agent_event(self, event):
        """Post an event of a link; a report without news doesn't wake the scheduler."""
        match event:
            case e.AgentMessageReceived(message=m.RunReports(ends=[], crashes=[])):
                self._inbox.post_without_waking(event)
            case _:
                self._inbox.post(event)

    async def _run_membership(self):
        registration = asyncio.create_task(self._membership.register(self._member))
        try:
            await self._membership.run()
        finally:
            registration.cancel()

    def _make_hello(self):
        table = self._routes.table
        return m.Hello(
            role=m.ROLE_ENTRY,
            incarnation=self._member.incarnation,
            name=self._member.name,
            zone=self._member.zone,
            configuration_version=table.version if table else 0,
        )

    def _is_intake_closed(self):
        since_ms = self._stopping_since_ms
        return (
            since_ms is not None
            and self._clock.now_ms() - since_ms > INTAKE_AFTER_STOP_MS
        )

    async def _drain_after(self, stop):
        await stop.wait()
        self._stopping_since_ms = self._clock.now_ms()
        log.notice("stopping", **self.status())
        while not self._is_intake_closed() or self._scheduler.jobs:
            await self._clock.sleep_ms(DRAIN_POLL_MS)


async def _read_closes():
    """Let the event loop handle the closes of connections that have arrived."""
    for _ in range(CLOSE_TURNS):
        await asyncio.sleep(0)
