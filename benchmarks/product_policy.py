"""The product's placement as a policy for ``decision_loop``: waiting starts.

Each entry is a ``Dispatcher`` and each agent an ``AgentCore``; a message between them
takes ``HOP_MS``. Reports of tasks that were not run count as extra messages; no other
message goes beyond one start and one report for each task.
"""

from plantainhitch.coordination import agent_events as events
from plantainhitch.coordination.agent_core import AgentCore
from plantainhitch.coordination.dispatcher import Dispatcher
from plantainhitch.outcomes import Failed, NotRun, Reason, Succeeded
from plantainhitch.protocol import messages as m
from plantainhitch.protocol.calls import Job, JobState, TaskSpec
from plantainhitch.protocol.errors import Refusal
from plantainhitch.state.classes import ClassDefinition, ClassDocument
from plantainhitch.state.ids import IdIssuer
from plantainhitch.transport.addresses import Address

from .decision_loop import HOP_MS
from .policies import Policy

TICK_MS = 100
DEFAULT_TIMEOUT_MS = 60_000


def build_class_document(mix):
    """Return a ``ClassDocument`` that defines the classes of a mix."""
    classes = {
        model.name: ClassDefinition(
            name=model.name,
            answers_within_ms=model.answers_within_ms,
            quantile=model.quantile,
            claims_at_least=model.claims_at_least,
            repeatable=model.repeatable,
            timeout_ms=max(DEFAULT_TIMEOUT_MS, model.answers_within_ms),
        )
        for model in mix.classes
    }
    return ClassDocument(1, "benchmark", "benchmark", classes)


class _Agent:
    """Connects an ``AgentCore`` to its simulated endpoint and to the entries."""

    def __init__(self, policy, endpoint):
        self.name = f"endpoint-{endpoint.number}"
        self.core = AgentCore(policy.clock, name=self.name)
        self.incarnation = endpoint.number.to_bytes(16)
        self._policy = policy
        self._endpoint = endpoint
        name, address = f"endpoint-{endpoint.number}", Address("127.0.0.1", 1)
        self.handle(
            events.EndpointAnnounced(events.EndpointInfo(name, address, endpoint.slots))
        )
        self.handle(events.BusySlotsPolled(0, 0))

    def handle(self, event):
        """Pass an event to the agent, then send its decisions."""
        self.core.handle(event)
        self.send_decisions()

    def send_decisions(self):
        """Run a round of the agent; start its tasks and send its messages."""
        result = self.core.run_round()
        for start in result.starts:
            task = self._policy.task_run(start.key)
            task.key = start.key
            self._policy.trial.start_task(self._endpoint, task)
        for number, message in result.messages:
            entry = self._policy.entries[number]
            self._policy.send(message, entry.receive, self.incarnation, message)
        if result.next_round_in_ms is not None:
            self._policy.trial.loop.call_later(
                result.next_round_in_ms, self.send_decisions
            )

    def receive_message(self, number, message):
        """Handle a message from an entry.

        The echo in the envelope is the current time: no round trip is simulated.
        """
        echo_ms = self._policy.clock.now_ms()
        self.handle(events.FrameReceived(number, m.Envelope(message, echo_ms=echo_ms)))


class _Entry:
    """Connects the ``Dispatcher`` of an entry to the simulated agents."""

    def __init__(self, policy, number):
        self._policy = policy
        self._number = number
        self.dispatcher = policy.make_dispatcher()
        self.dispatcher.set_document(policy.document)

    def receive(self, incarnation, message):
        """Handle a message from an agent."""
        self.dispatcher.receive(incarnation, message)
        self.send_decisions()

    def send_decisions(self):
        """Place tasks and send the messages in the dispatcher's outbox."""
        self.dispatcher.place()
        for incarnation, message in self.dispatcher.take_outbox():
            agent = self._policy.agents[int.from_bytes(incarnation)]
            self._policy.send(message, agent.receive_message, self._number, message)


class WaitingStarts(Policy):
    """The product's placement; variants may override ``make_dispatcher``."""

    name = "waiting starts"

    def __init__(self, mix, seed=0):
        super().__init__(seed)
        self.document = build_class_document(mix)
        self.agents = []
        self.entries = []
        self._tasks_by_submission = {}

    @property
    def clock(self):
        """The clock of the trial."""
        return self.trial.loop.clock

    def make_dispatcher(self):
        """Return a new ``Dispatcher`` for one entry."""
        return Dispatcher(self.clock, IdIssuer.with_random_key())

    def attach(self, trial):
        """Link every entry to every agent."""
        super().attach(trial)
        self.entries = [_Entry(self, number) for number in range(trial.entries)]
        self.agents = [_Agent(self, endpoint) for endpoint in trial.endpoints]
        for agent in self.agents:
            for number, entry in enumerate(self.entries):
                self._link(agent, number, entry)
        trial.loop.call_later(TICK_MS, self._tick)

    def task_run(self, key):
        """Return the ``TaskRun`` of a ``TaskKey``."""
        return self._tasks_by_submission[key.submission][key.index]

    def send(self, message, callback, *arguments):
        """Call ``callback(*arguments)``, the delivery of a message, after a hop."""
        if isinstance(message, m.ReportBatch):
            self.trial.extra_messages += sum(
                isinstance(report.outcome, NotRun) for report in message.reports
            )
        self.trial.loop.call_later(HOP_MS, callback, *arguments)

    def submit(self, tasks):
        """Submit the tasks as one job to their entry."""
        run = tasks[0].job
        entry = self.entries[run.entry]
        (raw_id,) = entry.dispatcher.submissions.issue_ids(1)
        specs = tuple(
            TaskSpec(task.planned.index, b"{}", task.planned.declared_ms)
            for task in tasks
        )
        self._tasks_by_submission[raw_id] = tasks
        submission = entry.dispatcher.submit(
            raw_id, Job(run.planned.class_name, specs, b"")
        )
        if isinstance(submission, Refusal):
            run.refused = True
            run.tasks_left = 0
            return
        submission.on_end.append(lambda ended: self._job_ended(run, ended))
        entry.send_decisions()

    def task_ended(self, endpoint, task, run_ms, failed):
        """Report the outcome of the task to the endpoint's agent."""
        outcome = Failed(Reason.TASK_FAILED) if failed else Succeeded(b"{}")
        self.agents[endpoint.number].handle(events.TaskEnded(task.key, outcome))

    def _link(self, agent, number, entry):
        hello = m.Hello(m.ROLE_ENTRY, number.to_bytes(16, "big"), f"entry-{number}")
        agent.core.handle(events.LinkOpened(number, None, hello))
        entry.dispatcher.agent_linked(
            m.Hello(m.ROLE_AGENT, agent.incarnation, agent.name)
        )
        document = m.Configuration(1, self.document.to_json())
        agent.receive_message(number, document)

    def _job_ended(self, run, submission):
        run.tasks_left = 0
        run.ended_ms = self.clock.exact_ms
        run.failed_tasks = 0 if submission.state is JobState.COMPLETE else 1
        del self._tasks_by_submission[submission.id]

    def _tick(self):
        for entry in self.entries:
            entry.dispatcher.tick()
            entry.send_decisions()
        for agent in self.agents:
            agent.handle(events.TimerTicked())
        if any(run.tasks_left for run in self.trial.runs):
            self.trial.loop.call_later(TICK_MS, self._tick)
