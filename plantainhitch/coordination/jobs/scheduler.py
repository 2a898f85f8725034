"""The decisions of an entry about jobs: a plain class without sockets.

Events go in by methods, ``round`` returns what is to be sent, and the outcome of
each job is handed to the function given with it. Tasks wait here until an agent is
believed to have room; the agent has the last word.
"""

import enum
from dataclasses import dataclass, field

from ... import logs
from ...protocol import messages as m
from ...state.endpoints import End
from .fleet import Fleet
from .job import Job, Task, TaskPhase

# How long a start may wait at an agent whose room another entry took first.
AGENT_WAIT_MS = 120

log = logs.get_logger("jobs")


class JobState(enum.Enum):
    """How a job ended."""

    COMPLETED = "completed"
    FAILED = "failed"


@dataclass(frozen=True, slots=True)
class Ended:
    """The job has run to its end."""

    state: JobState


@dataclass(frozen=True, slots=True)
class NeverRan:
    """No task of the job has started, and none will."""

    reason: str
    retry_after_s: int = 1


@dataclass(frozen=True, slots=True)
class GaveUp:
    """Some tasks may have run; nothing of the job goes on."""

    reason: str


JobOutcome = Ended | NeverRan | GaveUp


@dataclass(slots=True)
class _Order:
    starts: list = field(default_factory=list)
    stops: list = field(default_factory=list)
    known: list = field(default_factory=list)


class Scheduler:
    """The jobs that an entry owns, and where their tasks run."""

    def __init__(self, clock, lease_ms):
        self._clock = clock
        self._fleet = Fleet(clock, lease_ms)
        self._jobs = {}
        self._done = {}
        self._orders = {}

    @property
    def fleet(self):
        """What is believed of the agents."""
        return self._fleet

    @property
    def jobs(self):
        """The jobs by id, for reading only."""
        return self._jobs

    def pending(self, route_name):
        """Return how many jobs of a route have no task that has started."""
        return sum(
            job.route.name == route_name and not job.has_started
            for job in self._jobs.values()
        )

    def submit(self, spec, route, patience_ms, on_end):
        """Take in a job; ``on_end(JobOutcome)`` is called once, perhaps at once."""
        now_ms = self._clock.now_ms()
        job = Job.from_spec(spec, route, now_ms, patience_ms)
        reason = self._refusal(job)
        if reason:
            log.info("job refused", job=spec.job_id, route=route.name, why=reason)
            on_end(NeverRan(reason))
            return
        self._jobs[job.job_id] = job
        self._done[job.job_id] = on_end

    def abandon(self, job_id, reason):
        """Stop a job whose caller has left or given up."""
        job = self._jobs.get(job_id)
        if job is not None:
            self._give_up(job, reason)

    # What agents say

    def agent_linked(self, hello, link):
        """Take in a new link to an agent."""
        agent = self._fleet.linked(hello, link)
        log.info("agent linked", agent=agent.name, runs=len(agent.tasks))
        known = [task.key for task in agent.tasks.values()]
        if known:
            self._order(agent).known.extend(known)

    def agent_unlinked(self, incarnation, link):
        """Take in the end of a link."""
        agent = self._fleet.of(incarnation)
        if agent is not None and agent.link is link:
            agent.heard_ms = max(agent.heard_ms, link.last_heard_ms)
            agent.link = None
            log.warning("agent unlinked", agent=agent.name, runs=len(agent.tasks))

    def agent_gone(self, incarnation):
        """Take in that the agent's process has certainly ended."""
        agent = self._fleet.of(incarnation)
        if agent is not None and not agent.is_gone:
            agent.is_gone = True
            log.warning("agent gone", agent=agent.name, runs=len(agent.tasks))

    def agent_said(self, incarnation, message):
        """Take in a message of an agent."""
        agent = self._fleet.of(incarnation)
        if agent is None:
            return
        self._fleet.heard(agent, message)
        if isinstance(message, m.EndpointStatus) and message.ready:
            self._replace_predecessors(agent)
        if isinstance(message, m.RunReports):
            for end in message.ends:
                self._run_ended(agent, end)

    def round(self):
        """Return the messages to send: pairs of an ``AgentView`` and a message."""
        self._expire()
        self._place()
        messages = []
        for agent, order in self._orders.items():
            if agent.link is None:
                continue
            agent.order_number += 1
            for start in order.starts:
                agent.unseen.append((agent.order_number, start.room))
            messages.append(
                (
                    agent,
                    m.RunOrders(
                        agent.order_number, order.starts, order.stops, order.known
                    ),
                )
            )
        self._orders.clear()
        return messages

    # Parts

    def _refusal(self, job):
        """Return why a job can't be taken, or nothing."""
        if job.job_id in self._jobs:
            return "the job is already here"
        agents = self._fleet.usable(job.route.pool)
        if not agents:
            return "no endpoint is ready"
        for step in job.spec.steps:
            if not any(_fits(agent, step) for agent in agents):
                return "no endpoint is large enough"
        return ""

    def _order(self, agent):
        return self._orders.setdefault(agent, _Order())

    def _replace_predecessors(self, agent):
        """Give up the runs of earlier agents at an endpoint that starts afresh."""
        for other in list(self._fleet.agents.values()):
            if other is not agent and other.name == agent.name:
                self._lose(other, "the agent was replaced")

    def _lose(self, agent, why):
        tasks = list(agent.tasks.values())
        if tasks:
            log.warning("runs lost", agent=agent.name, runs=len(tasks), why=why)
        for task in tasks:
            self._requeue(task, agent)
        if agent.link is not None:
            agent.link.close(why)  # the next link begins with what is true then
        self._fleet.forget(agent)
        self._orders.pop(agent, None)

    def _requeue(self, task, agent):
        agent.tasks.pop(task.name, None)
        task.agent = b""
        task.phase = TaskPhase.READY

    def _run_ended(self, agent, end):
        task = agent.tasks.get(end.key.task)
        if task is None or task.run != end.key.run:
            return
        if end.checkpoint:
            task.checkpoint = end.checkpoint
        job = task.job
        del agent.tasks[task.name]
        match end.end:
            case End.DONE:
                self._observe(agent, task, end)
                job.finish(task)
                if job.is_done:
                    self._end(job, Ended(JobState.COMPLETED))
                return
            case End.FAILED:
                task.failures += 1
                if task.failures >= job.route.max_attempts:
                    self._stop_runs(job)
                    self._end(job, Ended(JobState.FAILED))
                    return
        task.agent = b""
        task.phase = TaskPhase.READY

    def _observe(self, agent, task, end):
        estimate_ms = task.spec.estimate_ms
        endpoint_id = agent.status.endpoint_id
        self._fleet.speeds.observe(endpoint_id, estimate_ms, end.run_ms)

    def _expire(self):
        now_ms = self._clock.now_ms()
        for agent in list(self._fleet.agents.values()):
            unheard = agent.link is None or agent.tasks
            if unheard and self._fleet.is_lost(agent):
                self._lose(agent, "silent for longer than the leases")
        for job in list(self._jobs.values()):
            if now_ms >= job.leaves_ms:
                self._give_up(job, "the caller's time is over")

    def _give_up(self, job, reason):
        self._stop_runs(job)
        self._end(job, GaveUp(reason) if job.has_started else NeverRan(reason))

    def _stop_runs(self, job):
        for task in job.placed_tasks():
            agent = self._fleet.of(task.agent)
            if agent is not None:
                agent.tasks.pop(task.name, None)
                self._order(agent).stops.append(task.key)

    def _end(self, job, outcome):
        del self._jobs[job.job_id]
        took_ms = self._clock.now_ms() - job.arrived_ms
        log.info(
            "job ended",
            job=job.job_id,
            route=job.route.name,
            outcome=repr(outcome),
            took_ms=took_ms,
            objective_ms=round(job.objective_ms),
        )
        self._done.pop(job.job_id)(outcome)

    def _place(self):
        """Place ready tasks, those of the jobs with the least slack first."""
        waiting = [
            (job.due_ms, job) for job in self._jobs.values() if job.ready_tasks()
        ]
        if not waiting:
            return
        usable = {}
        for _, job in sorted(waiting, key=lambda pair: pair[0]):
            pool = job.route.pool
            if pool not in usable:
                usable[pool] = [
                    [agent, agent.room()] for agent in self._fleet.usable(pool)
                ]
            for task in job.ready_tasks():
                if not self._place_task(task, usable[pool]):
                    break

    def _place_task(self, task: Task, candidates):
        """Place a task where it is expected to end first; return whether it was."""
        step = task.spec
        best, best_ms = None, 0.0
        for candidate in candidates:
            agent, room = candidate
            if not room.holds(step.room) or not _fits(agent, step):
                continue
            slowness = self._fleet.speeds.slowness(agent.status.endpoint_id)
            if best is None or slowness < best_ms:
                best, best_ms = candidate, slowness
        if best is None:
            return False
        agent = best[0]
        best[1] -= step.room
        self._start(task, agent, step.estimate_ms * best_ms)
        return True

    def _start(self, task, agent, expected_ms):
        task.run += 1
        task.phase = TaskPhase.PLACED
        task.agent = agent.incarnation
        task.placed_ms = self._clock.now_ms()
        task.expected_ms = expected_ms
        task.job.has_started = True
        agent.tasks[task.name] = task
        self._order(agent).starts.append(
            m.RunStart(
                key=task.key,
                payload=task.job.spec.payload,
                room=task.spec.room,
                estimate_ms=round(expected_ms),
                wait_ms=AGENT_WAIT_MS,
                rank=task.job.due_ms - self._clock.now_ms(),
                checkpoint=task.checkpoint,
            )
        )


def _fits(agent, step):
    """Return whether a task of the step may run at the agent's endpoint at all."""
    status = agent.status
    if step.label and step.label not in status.labels:
        return False
    return status.capacity.holds(step.room)
