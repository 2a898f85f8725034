"""The entry node: connects the core to agents, peers, the platform and callers.

``EntryCore`` runs in the one asyncio task that owns the entry's state; all other
tasks post events to it. The node starts and stops the tasks, and drains the entry
when it is asked to stop.
"""

import asyncio
from dataclasses import dataclass

from .. import logs, traces
from ..metrics import EntryMetrics
from ..protocol import messages as m
from ..protocol.errors import ErrorCode, Refusal
from ..settings import Limits
from ..state.classes import ClassDocument
from ..state.ids import IdIssuer
from ..state.members import Member
from ..transport.addresses import Address
from . import events as e
from .admission import Admission
from .agent_links import AgentDialer
from .call_router import CallRouter
from .configuration import ConfigurationStore
from .configuration_push import ConfigurationPusher
from .dispatcher import Dispatcher
from .entry_core import EntryCore, IntakeMode
from .entry_views import endpoint_views, entry_status
from .housekeeping import Housekeeper
from .inbox import Inbox
from .key_sweep import KeySweeper
from .keys import KeyBinder
from .membership import Membership
from .observer import DispatchObserver
from .owner_lookup import OwnerLookup
from .peers import PeerCaller, PeerServer
from .submissions import SubmissionRegistry

BUSY_TICK_MS = 25
IDLE_TICK_MS = 250
# At the start of a drain: time for the load balancer to see the entry not ready.
BALANCER_NOTICE_MS = 2_000
# At the end of a drain: time for callers to fetch the answers of ended submissions.
FETCH_GRACE_MS = 5_000
DRAIN_POLL_MS = 20

log = logs.get_logger("entry")


@dataclass(frozen=True, slots=True)
class BoundAddresses:
    """The addresses that the listeners of the process are bound to."""

    link: Address
    http: Address


class EntryNode:
    """An entry process without its HTTP server."""

    def __init__(self, member, issuer, clock, platform, *, limits=None, tracer=None):
        limits = limits or Limits()
        self._member = member
        self._clock = clock
        self._metrics = EntryMetrics(clock)
        self._inbox = Inbox()
        dispatcher = Dispatcher(
            clock,
            issuer,
            submissions=SubmissionRegistry(
                issuer, clock, retention_ms=limits.retention_ms
            ),
            admission=Admission(clock, max_queue=limits.queued_tasks),
            observer=DispatchObserver(clock, metrics=self._metrics, tracer=tracer),
        )
        self._core = EntryCore(
            self._inbox,
            dispatcher,
            on_configuration=self._accept_pushed_configuration,
            on_members=self._sync_dialers,
        )
        self._membership = Membership(
            platform,
            clock,
            region=member.region,
            on_change=lambda: self._inbox.post(e.MembersChanged()),
        )
        self._configuration = ConfigurationStore(
            platform,
            clock,
            on_new_version=lambda document: self._inbox.post(
                e.ConfigurationApplied(document)
            ),
            on_accepted=self._push_configuration,
        )
        self._dialers = {}
        self._tasks = set()
        self._peers = PeerCaller(self._hello, clock)
        self._key_binder = KeyBinder(platform, clock)
        self._router = CallRouter(
            member.incarnation,
            self._inbox,
            self._membership,
            self._peers,
            self._key_binder,
            OwnerLookup(self._membership, clock),
        )
        self._server = PeerServer(
            self._hello, self._router.handle_call, self._accept_pushed_configuration
        )
        self._pusher = ConfigurationPusher(member, self._membership, self._peers.push)
        sweeper = KeySweeper(platform, clock)
        self._housekeeper = Housekeeper(self._membership, sweeper, clock)
        self._is_registered = False
        self._is_draining = False
        self._task_crashed = asyncio.Event()

    @classmethod
    def from_settings(cls, settings, clock, platform, addresses):
        """Return a node with a new incarnation and the given ``BoundAddresses``."""
        issuer = IdIssuer.with_random_key()
        member = Member(
            role=m.ROLE_ENTRY,
            incarnation=issuer.incarnation,
            name=settings.name,
            zone=settings.zone,
            region=settings.region,
            rack=settings.rack,
            link=str(settings.advertise_link or addresses.link),
            http=str(addresses.http),
        )
        return cls(
            member,
            issuer,
            clock,
            platform,
            limits=settings.limits,
            tracer=traces.from_settings(settings),
        )

    @property
    def configuration(self):
        """The configuration store."""
        return self._configuration

    @property
    def member(self):
        """The ``Member`` by which other processes know this entry."""
        return self._member

    @property
    def metrics(self):
        """The ``EntryMetrics``."""
        return self._metrics

    @property
    def ready(self):
        """Whether the load balancer may send calls here."""
        has_configuration = self._configuration.current is not None
        return self._is_registered and has_configuration and not self._is_draining

    # Start and stop

    async def run(self, stop):
        """Serve until ``stop`` (an ``asyncio.Event``) is set, then drain.

        RuntimeError if a task of the entry crashes.
        """
        coroutines = (
            self._core.run(),
            self._tick(),
            self._configuration.run(),
            self._membership.run(),
            self._housekeeper.run(),
            self._register(),
        )
        for coroutine in coroutines:
            self._spawn(coroutine)
        await self._wait_for_stop(stop)
        await self._drain()

    async def serve_link(self, link):
        """Serve a link that another entry has opened."""
        await self._server.serve(link)

    async def aclose(self):
        """Deregister, refuse calls that wait for a key, close links, cancel tasks."""
        await self._membership.deregister()
        await self._key_binder.aclose()
        for link in self._core.links.values():
            link.close("stopping")
        self._server.close()
        await self._peers.aclose()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    # Calls

    async def handle_call(self, call):
        """Return the ``calls.Answer`` to a caller's call."""
        return await self._router.handle_call(call)

    def endpoints(self):
        """Return an ``EndpointView`` for each known endpoint, sorted by name."""
        return endpoint_views(self._core.dispatcher)

    async def set_endpoint_draining(self, name, draining):
        """Drain or resume the named endpoint; return None or a ``Refusal``."""
        linked_agents = [
            agent
            for agent in self._core.dispatcher.agents.values()
            if agent.endpoint == name and agent.is_linked
        ]
        if not linked_agents and name not in self._membership.drained:
            return Refusal(ErrorCode.NOT_FOUND, f"no endpoint {name!r} is linked here")
        for agent in linked_agents:
            self._core.links[agent.incarnation].send(m.Drain(draining))
        return await self._membership.set_drained(name, draining)

    def status(self):
        """Return the ``EntryStatus``."""
        return entry_status(
            self._member,
            self._core,
            ready=self.ready,
            draining=self._is_draining,
            version=self._configuration.version,
        )

    async def _wait_for_stop(self, stop):
        """Wait for ``stop``; raise RuntimeError if a task has crashed."""
        waiters = [
            asyncio.create_task(event.wait()) for event in (stop, self._task_crashed)
        ]
        await asyncio.wait(waiters, return_when=asyncio.FIRST_COMPLETED)
        for waiter in waiters:
            waiter.cancel()
        if self._task_crashed.is_set():
            raise RuntimeError("a task of the entry has crashed; see the log")

    async def _drain(self):
        """Wait until all accepted work has ended and its answers are fetched.

        The wait for the work is unbounded; that for the fetches is ``FETCH_GRACE_MS``.
        """
        submissions = self._core.dispatcher.submissions
        self._is_draining = True
        self._inbox.post(e.IntakeChanged(IntakeMode.NO_NEW_IDS))
        log.info("draining", submissions_running=submissions.running_count)
        await self._clock.sleep_ms(BALANCER_NOTICE_MS)
        self._inbox.post(e.IntakeChanged(IntakeMode.NO_NEW_WORK))
        while (
            submissions.running_count or self._router.open_count or self._server.pending
        ):
            await self._clock.sleep_ms(DRAIN_POLL_MS)
        fetch_deadline_ms = self._clock.now_ms() + FETCH_GRACE_MS
        while submissions.unfetched_count and self._clock.now_ms() < fetch_deadline_ms:
            await self._clock.sleep_ms(DRAIN_POLL_MS)
        log.info("drained", unfetched_count=submissions.unfetched_count)

    # Membership and configuration

    def _sync_dialers(self):
        """Dial each new agent; stop redialling those that have left."""
        agents_by_incarnation = {
            agent.incarnation: agent
            for agent in self._membership.agents(self._member.region)
        }
        for incarnation, member in agents_by_incarnation.items():
            if incarnation not in self._dialers:
                dialer = AgentDialer(member, self._hello, self._clock, self._inbox.post)
                self._dialers[incarnation] = dialer
                self._spawn(dialer.run())
        for incarnation in list(self._dialers):
            if incarnation not in agents_by_incarnation:
                self._dialers.pop(incarnation).stop_redialling()
        self._core.dispatcher.set_drained(self._membership.drained)

    # Background tasks

    async def _tick(self):
        while True:
            queued_tasks = self._core.dispatcher.queued
            await self._clock.sleep_ms(BUSY_TICK_MS if queued_tasks else IDLE_TICK_MS)
            self._inbox.post(e.TimerTicked())

    async def _register(self):
        await self._membership.register(self._member)
        self._is_registered = True
        log.info("registered", name=self._member.name)

    def _push_configuration(self, document):
        message = m.Configuration(document.version, document.to_json())
        return self._spawn(self._pusher.push_to_all(message))

    def _accept_pushed_configuration(self, message):
        """Offer a configuration that another process has pushed to the store."""
        try:
            document = ClassDocument.from_json(message.document)
        except ValueError as error:
            log.error("pushed configuration ignored: unreadable", error=str(error))
            return
        if self._configuration.adopt_if_newer(document):
            # The process that pushed it may have failed before it reached the others.
            self._spawn(self._pusher.push_to_own_region(message))

    # Helpers

    def _hello(self):
        return m.Hello(
            role=m.ROLE_ENTRY,
            incarnation=self._member.incarnation,
            name=self._member.name,
            zone=self._member.zone,
            configuration_version=self._configuration.version,
        )

    def _spawn(self, coroutine):
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._on_task_done)
        return task

    def _on_task_done(self, task):
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            log.critical("a task of the entry has crashed", exc_info=task.exception())
            self._task_crashed.set()
