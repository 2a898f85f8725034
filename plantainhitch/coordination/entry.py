"""The entry node: wires the dispatcher to links, the platform and callers.

One task owns the dispatcher and works through the inbox: it takes all events at
hand, makes one round of decisions and writes at most one frame of starts to each
agent. All other tasks only post events.
"""

import asyncio
from dataclasses import dataclass

import msgspec

from .. import logs, traces
from ..metrics import EntryMetrics
from ..protocol import calls, messages as m
from ..protocol.errors import ErrorCode, Refusal
from ..settings import Limits
from ..state.classes import ClassDocument
from ..state.ids import IdIssuer, SubmissionId
from ..state.members import Member
from ..transport import links
from ..transport.addresses import Address
from . import events as e
from .admission import Admission
from .agent_links import AgentDialer
from .configuration import ConfigurationStore
from .configuration_push import ConfigurationPusher
from .dispatcher import Dispatcher
from .housekeeping import Housekeeper
from .inbox import Inbox
from .keys import KeyBinder, KeySweeper
from .membership import Membership
from .observer import DispatchObserver
from .peers import OtherIncarnation, PeerCaller, PeerServer, lost_owner
from .submissions import Submission, SubmissionBook

BUSY_TICK_MS = 25
IDLE_TICK_MS = 250
# Time for the balancer to see that this entry is not ready.
NOTICE_MS = 2_000
# Time for callers to fetch answers that have ended.
UNFETCHED_MS = 5_000
DRAIN_POLL_MS = 20

log = logs.get_logger("entry")


@dataclass(frozen=True, slots=True)
class BoundAddresses:
    """The addresses that the process's listeners are bound to."""

    link: Address
    http: Address


@dataclass(frozen=True, slots=True)
class EndpointView:
    """One endpoint as this entry sees it."""

    name: str
    agent: str
    zone: str
    rack: str
    slots: int
    credits: int
    running: int
    draining: bool
    ready: bool
    held_back: bool
    linked: bool


@dataclass(frozen=True, slots=True)
class EntryStatus:
    """What the entry is doing; counters are since boot."""

    name: str
    incarnation: str
    zone: str
    ready: bool
    draining: bool
    configuration_version: int
    agents: int
    linked_agents: int
    submissions_running: int
    queued: dict[str, int]
    in_flight: int
    held_back: int
    started: int
    retried: int
    refused_starts: int
    demands: int
    returned_credits: int
    late_reports: int
    frames_sent: int
    bytes_sent: int


class EntryNode:
    """One entry process, without its HTTP server."""

    def __init__(self, member, issuer, clock, platform, *, limits=None, tracer=None):
        limits = limits or Limits()
        self._member = member
        self._clock = clock
        self._metrics = EntryMetrics(clock)
        self._inbox = Inbox()
        self._dispatcher = Dispatcher(
            clock,
            issuer,
            book=SubmissionBook(issuer, clock, retention_ms=limits.retention_ms),
            admission=Admission(clock, max_queue=limits.queued_tasks),
            observer=DispatchObserver(clock, metrics=self._metrics, tracer=tracer),
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
            on_taken=lambda document: self._inbox.post(e.Taken(document)),
            on_accepted=self._push_everywhere,
        )
        self._keys = KeyBinder(platform, clock)
        self._links = {}
        self._dialers = {}
        self._tasks = set()
        self._peers = PeerCaller(self._hello, clock)
        self._server = PeerServer(self._hello, self.ask, self._offer)
        self._pusher = ConfigurationPusher(member, self._membership, self._peers.push)
        sweeper = KeySweeper(platform, clock)
        self._housekeeper = Housekeeper(self._membership, sweeper, clock)
        self._registered = False
        self._draining = False
        self._refusing = False
        self._asking = 0
        self._frames_closed = 0
        self._bytes_closed = 0

    @classmethod
    def from_settings(cls, settings, clock, platform, addresses):
        """Return a node with a fresh incarnation; ``addresses`` are those bound."""
        issuer = IdIssuer.at_boot()
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
        """This entry as other processes know it."""
        return self._member

    @property
    def metrics(self):
        """The entry's metrics."""
        return self._metrics

    @property
    def ready(self):
        """Whether the balancer may send calls here."""
        has_configuration = self._configuration.current is not None
        return self._registered and has_configuration and not self._draining

    # Life

    async def run(self, stop):
        """Serve until ``stop`` (an ``asyncio.Event``) is set, then drain."""
        jobs = (
            self._run_core(),
            self._tick(),
            self._configuration.run(),
            self._membership.run(),
            self._housekeeper.run(),
            self._register(),
        )
        for job in jobs:
            self._spawn(job)
        await stop.wait()
        await self._drain()

    async def serve_link(self, link):
        """Serve a link that another entry has dialled."""
        await self._server.serve(link)

    async def aclose(self):
        """Deregister, close all links and end all tasks."""
        await self._membership.deregister()
        for link in self._links.values():
            link.close("stopping")
        self._server.close()
        await self._peers.aclose()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    # Calls

    async def ask(self, call):
        """Return the ``calls.Answer`` to a caller's call."""
        self._asking += 1
        try:
            return await self._ask(call)
        finally:
            self._asking -= 1

    def endpoints(self):
        """Return an ``EndpointView`` for each known endpoint, by name."""
        judge = self._dispatcher.judge
        views = [
            EndpointView(
                name=agent.endpoint,
                agent=agent.name,
                zone=agent.zone,
                rack=agent.rack,
                slots=agent.slots,
                credits=agent.credit_count,
                running=len(agent.in_flight),
                draining=agent.drained or bool(agent.status and agent.status.draining),
                ready=bool(agent.status and agent.status.ready),
                held_back=judge.of(agent.endpoint).held,
                linked=agent.linked,
            )
            for agent in self._dispatcher.agents.values()
        ]
        return sorted(views, key=lambda view: view.name)

    async def drain(self, name, draining):
        """Take an endpoint out of use or back; return None or a ``Refusal``."""
        targets = [
            agent
            for agent in self._dispatcher.agents.values()
            if agent.endpoint == name and agent.linked
        ]
        if not targets and name not in self._membership.drained:
            return Refusal(ErrorCode.NOT_FOUND, f"no endpoint {name!r} is linked here")
        for agent in targets:
            self._links[agent.incarnation].send(m.Drain(draining))
        return await self._membership.set_drained(name, draining)

    def status(self):
        """Return an ``EntryStatus``."""
        dispatcher = self._dispatcher
        counts = dispatcher.counts
        document = self._configuration.current
        open_links = self._links.values()
        return EntryStatus(
            name=self._member.name,
            incarnation=self._member.incarnation.hex(),
            zone=self._member.zone,
            ready=self.ready,
            draining=self._draining,
            configuration_version=document.version if document else 0,
            agents=len(dispatcher.agents),
            linked_agents=sum(a.linked for a in dispatcher.agents.values()),
            submissions_running=dispatcher.book.running,
            queued=dispatcher.queued_by_class(),
            in_flight=dispatcher.in_flight,
            held_back=dispatcher.judge.held_count,
            started=counts.started,
            retried=counts.retried,
            refused_starts=counts.refused_starts,
            demands=counts.demands,
            returned_credits=counts.returned_credits,
            late_reports=counts.late_reports,
            frames_sent=self._frames_closed + sum(k.sent_frames for k in open_links),
            bytes_sent=self._bytes_closed + sum(k.sent_bytes for k in open_links),
        )

    async def _ask(self, call):
        match call:
            case calls.OpenIds():
                return await self._post_call(call)
            case calls.SingleRequest():
                answer = await self._post_call(call)
                if isinstance(answer, Refusal):
                    return answer
                return calls.RequestAnswer(answer.outcomes[0])
            case calls.SubmitWithKey():
                return await self._submit_with_key(call)
        return await self._ask_owner(call)

    async def _ask_owner(self, call):
        owner = SubmissionId.from_bytes(call.submission).incarnation
        if owner == self._member.incarnation:
            return await self._post_and_wait(call)
        member = self._membership.owner(owner)
        if self._membership.is_proved_dead(owner):
            return lost_owner()
        if member is None:
            return Refusal(ErrorCode.ID_UNKNOWN, "no known entry issued this id")
        answer = await self._peers.forward(member, call)
        if isinstance(answer, OtherIncarnation):
            self._membership.seen_at(member.link, answer.incarnation, answer.dialled_ms)
            return lost_owner()
        return answer

    async def _post_and_wait(self, call):
        """Post a call on one of our ids and wait as long as the caller will."""
        wait_ms = getattr(call, "wait_ms", 0)
        reply = self._post_reply(call)
        try:
            async with asyncio.timeout((wait_ms or 1) / 1000):
                return await asyncio.shield(reply)
        except TimeoutError:
            return calls.JobAnswer(call.submission, calls.JobState.RUNNING, {})

    async def _post_call(self, call):
        return await self._post_reply(call)

    def _post_reply(self, call):
        reply = asyncio.get_running_loop().create_future()
        self._inbox.post(e.Asked(call, reply))
        return reply

    async def _submit_with_key(self, call):
        ids = await self._post_call(calls.OpenIds(1))
        if isinstance(ids, Refusal):
            return ids
        result = await self._keys.bind(call.key, call.job.digest, ids.ids[0])
        binding = result.value_or(None)
        if binding is None:
            return result.failure()
        if binding.digest != call.job.digest:
            return Refusal(
                ErrorCode.KEY_CONFLICT, "this key was used with another body"
            )
        return await self._ask_owner(
            calls.Submit(binding.submission, call.job, call.wait_ms)
        )

    # The task that owns the dispatcher

    async def _run_core(self):
        while True:
            for event in await self._inbox.take():
                self._handle(event)
            self._dispatcher.place()
            self._flush()

    def _handle(self, event):
        dispatcher = self._dispatcher
        match event:
            case e.Asked():
                self._serve_call(event)
            case e.AgentSaid(incarnation, message):
                self._hear(incarnation, message)
            case e.AgentLinked():
                self._link_agent(event)
            case e.AgentUnlinked():
                self._unlink_agent(event)
            case e.AgentRefused(incarnation):
                dispatcher.agent_refused(incarnation)
            case e.AgentGone(incarnation):
                dispatcher.agent_gone(incarnation)
            case e.Taken(document):
                self._put_in_force(document)
            case e.MembersChanged():
                self._reconcile()
            case e.Tick():
                dispatcher.tick()

    def _flush(self):
        for incarnation, message in self._dispatcher.take_outbox():
            link = self._links.get(incarnation)
            if link is not None:
                link.send(message)

    def _serve_call(self, event):
        reply = event.reply
        if reply.done():
            return
        found = self._begin(event.call)
        if not isinstance(found, Submission):
            if isinstance(found, Refusal):
                self._metrics.refused(getattr(event.call, "class_name", ""), found.code)
            reply.set_result(found)
        elif found.has_ended:
            self._give_answer(reply, found)
        else:
            found.on_end.append(lambda ended: self._give_answer(reply, ended))

    def _begin(self, call):
        dispatcher = self._dispatcher
        match call:
            case calls.OpenIds(count):
                if self._draining:
                    return _not_ready()
                return calls.IdList(tuple(dispatcher.book.open_ids(count)))
            case calls.Submit(submission, job):
                if self._refusing:
                    return self._refuse_new(submission, job)
                return dispatcher.submit(submission, job)
            case calls.Fetch(submission):
                return dispatcher.book.find(submission)
            case calls.Cancel(submission):
                return dispatcher.cancel(submission)
            case calls.SingleRequest():
                return _not_ready() if self._refusing else dispatcher.request(call)
        raise TypeError(f"not a call: {call!r}")

    def _refuse_new(self, raw_id, job):
        """While stopping, serve known ids and close all others."""
        found = self._dispatcher.book.find(raw_id)
        if isinstance(found, Refusal) and found.code is ErrorCode.NOT_FOUND:
            self._dispatcher.book.refuse(raw_id)
            return _not_ready()
        return self._dispatcher.submit(raw_id, job)

    def _give_answer(self, reply, submission):
        if not reply.done():
            submission.fetched = True
            reply.set_result(submission.answer())

    def _hear(self, incarnation, message):
        match message:
            case m.Configuration():
                self._offer(message)
            case _:
                self._dispatcher.receive(incarnation, message)

    def _link_agent(self, event):
        incarnation = event.hello.incarnation
        self._links[incarnation] = event.link
        self._dispatcher.agent_linked(event.hello, event.rack)
        document = self._configuration.current
        if document and document.version > event.hello.configuration_version:
            event.link.send(_configuration_message(document))

    def _unlink_agent(self, event):
        self._frames_closed += event.link.sent_frames
        self._bytes_closed += event.link.sent_bytes
        if self._links.get(event.incarnation) is event.link:
            del self._links[event.incarnation]
            self._dispatcher.agent_unlinked(event.incarnation)

    def _put_in_force(self, document):
        """Use a newer document here and push it to the agents."""
        self._dispatcher.set_document(document)
        message = _configuration_message(document)
        for link in self._links.values():
            link.send(message)

    def _reconcile(self):
        """Start a dialer for each new agent; let those of left ones end."""
        current = {
            a.incarnation: a for a in self._membership.agents(self._member.region)
        }
        for incarnation, member in current.items():
            if incarnation not in self._dialers:
                dialer = AgentDialer(member, self._hello, self._clock, self._inbox.post)
                self._dialers[incarnation] = dialer
                self._spawn(dialer.run())
        for incarnation in list(self._dialers):
            if incarnation not in current:
                self._dialers.pop(incarnation).stop_redialling()
        self._dispatcher.set_drained(self._membership.drained)
        self._dispatcher.set_entry_count(1 + len(self._other_entries()))

    # Tasks that post events

    async def _tick(self):
        while True:
            busy = self._dispatcher.queued
            await self._clock.sleep_ms(BUSY_TICK_MS if busy else IDLE_TICK_MS)
            self._inbox.post(e.Tick())

    async def _register(self):
        await self._membership.register(self._member)
        self._registered = True
        log.info("registered", name=self._member.name)

    def _push_everywhere(self, document):
        message = _configuration_message(document)
        return self._spawn(self._pusher.push_everywhere(message))

    def _offer(self, message):
        """Take a configuration that another process has pushed."""
        try:
            document = ClassDocument.from_json(message.document)
        except (msgspec.DecodeError, ValueError) as error:
            log.error("unreadable configuration was pushed", error=str(error))
            return
        if self._configuration.offer(document):
            # Whoever pushed it may have failed before it reached the others.
            self._spawn(self._pusher.push_region(message))

    async def _drain(self):
        """Finish what is in flight; nothing is cut off."""
        self._draining = True
        log.info("draining", running=self._dispatcher.book.running)
        await self._clock.sleep_ms(NOTICE_MS)
        self._refusing = True
        while self._dispatcher.book.running or self._asking or self._server.pending:
            await self._clock.sleep_ms(DRAIN_POLL_MS)
        give_up_ms = self._clock.now_ms() + UNFETCHED_MS
        while self._dispatcher.book.unfetched and self._clock.now_ms() < give_up_ms:
            await self._clock.sleep_ms(DRAIN_POLL_MS)
        log.info("drained", unfetched=self._dispatcher.book.unfetched)

    # Small helpers

    def _hello(self):
        document = self._configuration.current
        return m.Hello(
            role=m.ROLE_ENTRY,
            incarnation=self._member.incarnation,
            name=self._member.name,
            zone=self._member.zone,
            configuration_version=document.version if document else 0,
        )

    def _other_entries(self):
        own = self._member.incarnation
        return [
            x
            for x in self._membership.entries(self._member.region)
            if x.incarnation != own
        ]

    def _spawn(self, coroutine):
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._ended)
        return task

    def _ended(self, task):
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            log.critical("a task has crashed", exc_info=task.exception())


def _configuration_message(document):
    return m.Configuration(document.version, document.to_json())


def _not_ready():
    return Refusal(ErrorCode.NOT_READY, "this entry is stopping", not_run=True)


async def listen(node, address, clock):
    """Serve links of other entries at ``address``; return the asyncio server."""
    return await links.listen(address, clock, node.serve_link)
