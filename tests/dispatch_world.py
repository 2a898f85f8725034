"""A simulation of one entry and two agents, with links that can fail.

It runs ``Dispatcher`` and ``AgentCore`` without sockets or sleeps, on one manual
clock. Frames wait in queues until a test delivers them. Tests drive the simulation
in steps and read from it how often each task began at an endpoint.
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
    """Return the one correct answer to the task of that index."""
    return b"%d" % (1000 + index)


@dataclass
class SimulatedEndpoint:
    """The attempts running at an endpoint: the agent's process number by key."""

    running: dict = field(default_factory=dict)


class SimulatedAgent:
    """An agent, its endpoint and its link to the entry.

    ``to_agent`` and ``to_entry`` hold the frames under way; ``link`` is 0 while there
    is none.
    """

    def __init__(self, world, number):
        self.world = world
        self.number = number
        self.endpoint = SimulatedEndpoint()
        self.process_number = 0
        self.start_process()

    def start_process(self):
        """Start a new agent process; attempts at the endpoint keep running."""
        self.process_number += 1
        self.incarnation = bytes([self.number, self.process_number]) * 8
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
        """Open a link, unless one is open."""
        if self.link:
            return
        self.world.last_link += 1
        self.link = self.world.last_link
        self.echo_ms = self.world.clock.now_ms()
        self.ack = 0
        hello = m.Hello(m.ROLE_ENTRY, ENTRY, "entry")
        self.core.handle(e.LinkOpened(self.link, None, hello))
        document = m.Configuration(DOCUMENT.version, DOCUMENT.to_json())
        self.deliver_from_entry(document)
        name = f"agent-{self.number}"
        self.world.dispatcher.agent_linked(
            m.Hello(m.ROLE_AGENT, self.incarnation, name)
        )
        self.run_round()

    def cut(self):
        """Break the link; frames under way are lost."""
        if not self.link:
            return
        self.core.handle(e.LinkEnded(self.link))
        self.world.dispatcher.agent_unlinked(self.incarnation)
        self.link = 0
        self.to_agent.clear()
        self.to_entry.clear()
        self.run_round()

    def kill(self):
        """Kill the agent's process and start another one."""
        self.cut()
        self.world.dispatcher.agent_gone(self.incarnation)
        self.start_process()

    def deliver_from_entry(self, message):
        """Deliver a message from the entry to the agent at once."""
        envelope = m.Envelope(message, echo_ms=self.echo_ms, ack=self.ack)
        self.core.handle(e.FrameReceived(self.link, envelope))

    def deliver(self, to_agent):
        """Deliver the oldest frame under way in one direction, if any."""
        if to_agent and self.to_agent:
            envelope = self.to_agent.popleft()
            self.core.handle(e.FrameReceived(self.link, envelope))
            self.run_round()
        elif not to_agent and self.to_entry:
            sent_ms, message = self.to_entry.popleft()
            self.echo_ms = sent_ms
            if isinstance(message, m.ReportBatch):
                self.ack = message.number
            self.world.dispatcher.receive(self.incarnation, message)

    def send(self, message):
        """Queue a message from the entry for delivery; it is lost without a link."""
        if self.link:
            self.to_agent.append(
                m.Envelope(message, echo_ms=self.echo_ms, ack=self.ack)
            )

    def finish(self, outcome=None):
        """End the oldest attempt at the endpoint; it succeeds by default."""
        if not self.endpoint.running:
            return
        key = next(iter(self.endpoint.running))
        process_number = self.endpoint.running.pop(key)
        if isinstance(outcome, NotRun):
            # The endpoint refused the connection, so the attempt never began.
            self.world.start_counts[key[:2]] -= 1
        if process_number != self.process_number:
            # The agent process that started it is gone, so the end isn't reported.
            return
        self.core.handle(e.TaskEnded(key, outcome or Succeeded(answer_to(key.index))))
        self.run_round()

    def run_round(self):
        """Run one round of the agent and carry out its result."""
        result = self.core.run_round()
        for start in result.starts:
            self.world.start_counts[start.key[:2]] += 1
            self.endpoint.running[start.key] = self.process_number
        if self.link:
            now_ms = self.world.clock.now_ms()
            self.to_entry.extend((now_ms, message) for _, message in result.messages)

    def tick(self):
        """Deliver the agent's timer tick; an idle link carries a heartbeat."""
        if self.link and not self.to_entry:
            self.echo_ms = self.world.clock.now_ms()
        if self.core.should_poll_busy_slots:
            own = len(self.core.slots.running)
            self.core.handle(e.BusySlotsPolled(len(self.endpoint.running), own))
        self.core.handle(e.TimerTicked())
        self.run_round()


class World:
    """The entry, the agents, and the starts counted by (submission id, index)."""

    def __init__(self):
        self.clock = ManualClock(100_000)
        self.dispatcher = Dispatcher(self.clock, IdIssuer.with_random_key())
        self.dispatcher.set_document(DOCUMENT)
        self.start_counts = Counter()
        self.last_link = 0
        self.submissions = []
        self.agents = [SimulatedAgent(self, number) for number in (1, 2)]
        for agent in self.agents:
            while agent.to_entry:
                agent.deliver(to_agent=False)

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
        """Submit a job again with its id; check that it is the same submission."""
        if self.submissions:
            submission, job = self.submissions[number % len(self.submissions)]
            if job is not None:
                resubmitted = self.dispatcher.submit(submission.id, job)
                assert resubmitted is submission, resubmitted

    def cancel(self, number):
        """Cancel a submission."""
        if self.submissions:
            self.dispatcher.cancel(
                self.submissions[number % len(self.submissions)][0].id
            )

    def place(self):
        """Place queued tasks and send the entry's messages."""
        self.dispatcher.place()
        for incarnation, message in self.dispatcher.take_outbox():
            for agent in self.agents:
                if agent.incarnation == incarnation:
                    agent.send(message)

    def advance(self, duration_ms):
        """Advance the clock, then tick the entry and the agents."""
        self.clock.advance(duration_ms)
        self.dispatcher.tick()
        for agent in self.agents:
            agent.tick()

    def run_to_end(self):
        """Reconnect all links and let all tasks succeed until every submission ends.

        Return False if some submission doesn't end within 2,000 iterations.
        """
        for _ in range(2_000):
            for agent in self.agents:
                agent.connect()
                agent.deliver(to_agent=True)
                agent.deliver(to_agent=False)
                agent.finish()
            self.place()
            if all(submission.has_ended for submission, _ in self.submissions):
                return True
            self.advance(50)
        return False
