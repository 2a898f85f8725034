"""One entry, two agents and their endpoints, joined by queues that can be cut.

Only the decision classes run: no sockets, no sleeps, one manual clock. Tests drive
it by steps and read the ledger of what the endpoints began.
"""

from collections import Counter, deque
from dataclasses import dataclass, field

from plantainhitch.clock import ManualClock
from plantainhitch.coordination import agent_events as e
from plantainhitch.coordination.agent_core import AgentCore
from plantainhitch.coordination.dispatcher import Dispatcher
from plantainhitch.outcomes import NotRun, Succeeded
from plantainhitch.protocol import messages as m
from plantainhitch.protocol.calls import Job, SingleRequest, TaskSpec
from plantainhitch.state.classes import ClassDefinition, ClassDocument
from plantainhitch.state.ids import IdIssuer
from plantainhitch.transport.addresses import Address

SLOTS = 2
ENTRY = b"e" * 16
DOCUMENT = ClassDocument(
    1,
    "c1",
    "operator",
    {"render": ClassDefinition("render", answers_within_ms=2_000, timeout_ms=8_000)},
)


def answer_to(index):
    """Return the only right answer to the task of that index."""
    return b"%d" % (1000 + index)


@dataclass
class Endpoint:
    """What runs at one endpoint: attempts by key."""

    running: dict = field(default_factory=dict)


class Side:
    """One agent, its endpoint, and the link to the entry."""

    def __init__(self, world, number):
        self.world = world
        self.number = number
        self.endpoint = Endpoint()
        self.boots = 0
        self.boot()

    def boot(self):
        """Start the agent's process anew; what ran at the endpoint runs on."""
        self.boots += 1
        self.incarnation = bytes([self.number, self.boots]) * 8
        self.core = AgentCore(self.world.clock, name=f"agent-{self.number}")
        self.link = 0
        self.to_agent = deque()
        self.to_entry = deque()
        self.echo_ms = 0
        self.ack = 0
        info = e.EndpointInfo(f"ep-{self.number}", Address("127.0.0.1", 1), SLOTS)
        self.core.handle(e.EndpointAnnounced(info))
        self.core.handle(e.BusySlotsPolled(len(self.endpoint.running), 0))
        self.connect()

    def connect(self):
        """Open a link; nothing happens where one is open."""
        if self.link:
            return
        self.world.links += 1
        self.link = self.world.links
        self.echo_ms = self.world.clock.now_ms()
        self.ack = 0
        hello = m.Hello(m.ROLE_ENTRY, ENTRY, "entry")
        self.core.handle(e.LinkOpened(self.link, None, hello))
        document = m.Configuration(DOCUMENT.version, DOCUMENT.to_json())
        self.hear(document)
        name = f"agent-{self.number}"
        self.world.dispatcher.agent_linked(
            m.Hello(m.ROLE_AGENT, self.incarnation, name)
        )
        self.round()

    def cut(self):
        """End the link; frames under way are lost."""
        if not self.link:
            return
        self.core.handle(e.LinkEnded(self.link))
        self.world.dispatcher.agent_unlinked(self.incarnation)
        self.link = 0
        self.to_agent.clear()
        self.to_entry.clear()
        self.round()

    def kill(self):
        """End the agent's process and start another one."""
        self.cut()
        self.world.dispatcher.agent_gone(self.incarnation)
        self.boot()

    def hear(self, message):
        """Let the agent take in a message from the entry."""
        envelope = m.Envelope(message, echo_ms=self.echo_ms, ack=self.ack)
        self.core.handle(e.FrameReceived(self.link, envelope))

    def deliver(self, to_agent):
        """Deliver the oldest frame of one direction, if there is any."""
        if to_agent and self.to_agent:
            envelope = self.to_agent.popleft()
            self.core.handle(e.FrameReceived(self.link, envelope))
            self.round()
        elif not to_agent and self.to_entry:
            sent_ms, message = self.to_entry.popleft()
            self.echo_ms = sent_ms
            if isinstance(message, m.ReportBatch):
                self.ack = message.number
            self.world.dispatcher.receive(self.incarnation, message)

    def send(self, message):
        """Put a message of the entry on its way."""
        if self.link:
            self.to_agent.append(
                m.Envelope(message, echo_ms=self.echo_ms, ack=self.ack)
            )

    def finish(self, outcome=None):
        """End the oldest attempt at the endpoint; it succeeds by default."""
        if not self.endpoint.running:
            return
        key = next(iter(self.endpoint.running))
        boots = self.endpoint.running.pop(key)
        if isinstance(outcome, NotRun):
            # The endpoint refused the connection: nothing began.
            self.world.began[key[:2]] -= 1
        if boots != self.boots:
            # Its agent is gone; nobody hears of the end.
            return
        self.core.handle(e.TaskEnded(key, outcome or Succeeded(answer_to(key.index))))
        self.round()

    def round(self):
        """Do what the agent decides."""
        result = self.core.run_round()
        for start in result.starts:
            self.world.began[start.key[:2]] += 1
            self.endpoint.running[start.key] = self.boots
        if self.link:
            now_ms = self.world.clock.now_ms()
            self.to_entry.extend((now_ms, message) for _, message in result.messages)

    def tick(self):
        """Let time act on the agent; an idle link carries a heartbeat."""
        if self.link and not self.to_entry:
            self.echo_ms = self.world.clock.now_ms()
        if self.core.should_poll_busy_slots:
            own = len(self.core.slots.running)
            self.core.handle(e.BusySlotsPolled(len(self.endpoint.running), own))
        self.core.handle(e.TimerTicked())
        self.round()


class World:
    """The entry, the agents, and the ledger of starts by (submission, index)."""

    def __init__(self):
        self.clock = ManualClock(100_000)
        self.dispatcher = Dispatcher(self.clock, IdIssuer.with_random_key())
        self.dispatcher.set_document(DOCUMENT)
        self.began = Counter()
        self.links = 0
        self.submissions = []
        self.sides = [Side(self, number) for number in (1, 2)]
        for side in self.sides:
            while side.to_entry:
                side.deliver(to_agent=False)

    def submit(self, count):
        """Submit a job of ``count`` tasks."""
        (raw_id,) = self.dispatcher.submissions.issue_ids(1)
        specs = tuple(TaskSpec(index, b"%d" % index) for index in range(count))
        job = Job("render", specs, b"%d" % count)
        self.submissions.append((self.dispatcher.submit(raw_id, job), job))

    def request(self, repeatable):
        """Submit a single request."""
        call = SingleRequest("render", b"0", repeatable=repeatable)
        self.submissions.append((self.dispatcher.submit_request(call), None))

    def resubmit(self, number):
        """Submit a job again under its id."""
        if self.submissions:
            known, job = self.submissions[number % len(self.submissions)]
            if job is not None:
                again = self.dispatcher.submit(known.id, job)
                assert again is known, again

    def cancel(self, number):
        """Cancel a submission."""
        if self.submissions:
            self.dispatcher.cancel(
                self.submissions[number % len(self.submissions)][0].id
            )

    def place(self):
        """Do what the entry decides."""
        self.dispatcher.place()
        for incarnation, message in self.dispatcher.take_outbox():
            for side in self.sides:
                if side.incarnation == incarnation:
                    side.send(message)

    def advance(self, duration_ms):
        """Let time pass."""
        self.clock.advance(duration_ms)
        self.dispatcher.tick()
        for side in self.sides:
            side.tick()

    def settle(self):
        """Heal everything and let all tasks succeed until every answer is there."""
        for _ in range(2_000):
            for side in self.sides:
                side.connect()
                side.deliver(to_agent=True)
                side.deliver(to_agent=False)
                side.finish()
            self.place()
            if all(known.has_ended for known, _ in self.submissions):
                return True
            self.advance(50)
        return False
