"""The decisions of an entry about jobs: a plain class without sockets.

Events go in by methods, ``round`` returns what is to be sent, and the outcome of
each job is handed to the function given with it. Tasks wait here until an agent is
believed to have room; the agent has the last word.
"""

import random
from collections import OrderedDict
from dataclasses import dataclass, field

from ... import logs
from ...protocol import messages as m
from ...state.endpoints import End, Rejection
from ..runs.run_controller import STALLED_REASON
from .demand import Demand
from .fleet import Fleet
from .job import Job
from .outcomes import Ended, GaveUp, JobState, NeverRan, describe
from .placement import AGENT_WAIT_MS, Placement
from .retry_slots import NO_ENDPOINT_RETRY_MS, RetrySlots

# Answers kept for callers that submit again because theirs was lost; at the sites'
# load this is half a minute at each entry.
MAX_REMEMBERED_JOBS = 2_000
# Leases of agents and the patience of callers are looked at this often; callers wait
# for hundreds of ms.
CHECK_MS = 20
# All that waits is looked at this often: below the age of what is known of room.
PLACE_MS = 8

log = logs.get_logger("jobs")


@dataclass(slots=True)
class _Order:
    starts: list = field(default_factory=list)
    stops: list = field(default_factory=list)
    known: list = field(default_factory=list)
    is_resync: bool = False


class Scheduler:
    """The jobs that an entry owns, and where their tasks run."""

    def __init__(
        self, clock, lease_ms, on_outcome=None, *, zone="", remote_factor=1.0, rng=None
    ):
        self._clock = clock
        self._events = logs.EventLog(log, clock)
        # ``on_outcome(queue, JobOutcome, took_ms)`` is called for each job.
        self._on_outcome = on_outcome or (lambda queue, outcome, took_ms: None)
        self._fleet = Fleet(
            clock,
            lease_ms,
            zone=zone,
            remote_factor=remote_factor,
            rng=rng or random.Random(),
        )
        self._retry_slots = RetrySlots(clock)
        self._checked_ms = 0
        self._placed_ms = 0
        self._unplaced = {}
        self._jobs = {}
        self._waiters = {}
        self._ended = OrderedDict()
        self._orders = {}
        self._demand = Demand(clock)
        self._placement = Placement(clock, self._fleet, self._demand)

    @property
    def fleet(self):
        """What is believed of the agents."""
        return self._fleet

    @property
    def jobs(self):
        """The jobs by id, for reading only."""
        return self._jobs

    @property
    def has_ready_tasks(self):
        """Whether a task waits for a candidate."""
        return any(job.has_ready_tasks for job in self._jobs.values())

    def count_pending(self, route_name):
        """Return how many jobs of a route have no task that has started."""
        return sum(
            job.route.name == route_name and not job.has_started
            for job in self._jobs.values()
        )

    def submit(self, spec, route, caller_timeout_ms, on_end):
        """Take in a job; ``on_end(JobOutcome)`` is called once, perhaps at once.

        A job that is here already, or has just ended, is not run again: this caller
        gets the same answer.
        """
        ended = self._ended.get(spec.job_id)
        if ended is not None:
            self._events.write("job submitted again", job=spec.job_id, state="ended")
            on_end(ended)
            return
        if spec.job_id in self._jobs:
            self._events.write("job submitted again", job=spec.job_id, state="here")
            self._waiters[spec.job_id].append(on_end)
            return
        now_ms = self._clock.now_ms()
        job = Job.from_spec(spec, route, now_ms, caller_timeout_ms)
        self._placement.estimate_job(job)
        self._demand.observe(route.name, job.work_core_ms, job.slack_ms)
        reason = self._refusal(job)
        if reason:
            self._events.write(
                "job refused",
                job=spec.job_id,
                queue=route.name,
                why=reason,
                agents_usable=len(self._fleet.usable_agents(route.pool)),
            )
            retry_after_s = self._retry_slots.reserve(
                route.name, NO_ENDPOINT_RETRY_MS, 0
            )
            outcome = NeverRan(reason, retry_after_s)
            self._on_outcome(route.name, outcome, 0)
            on_end(outcome)
            return
        self._jobs[job.job_id] = job
        self._unplaced[job] = None
        self._waiters[job.job_id] = [on_end]

    def abandon(self, job_id, on_end, reason):
        """Note that a caller has left; stop the job where nobody else waits for it."""
        job = self._jobs.get(job_id)
        waiters = self._waiters.get(job_id, ())
        if on_end in waiters:
            waiters.remove(on_end)
        if job is not None and not waiters:
            self._give_up(job, reason)

    # What agents say

    def agent_linked(self, hello, link):
        """Take in a new link to an agent."""
        agent = self._fleet.add_link(hello, link)
        log.info("agent linked", agent=agent.name, runs=len(agent.tasks))
        order = self._order(agent)
        order.is_resync = True
        order.known.extend(task.key for task in agent.tasks.values())

    def agent_unlinked(self, incarnation, link):
        """Take in the end of a link."""
        agent = self._fleet.get(incarnation)
        if agent is not None and agent.link is link:
            self._fleet.remove_link(agent)
            log.warning("agent unlinked", agent=agent.name, runs=len(agent.tasks))

    def agent_gone(self, incarnation):
        """Take in that the agent's process has certainly ended."""
        agent = self._fleet.get(incarnation)
        if agent is not None and agent.confirmed_dead_ms is None:
            agent.confirmed_dead_ms = self._clock.now_ms()
            log.warning("agent gone", agent=agent.name, runs=len(agent.tasks))

    def agent_said(self, incarnation, message):
        """Take in a message of an agent."""
        agent = self._fleet.get(incarnation)
        if agent is None:
            return
        self._fleet.apply_message(agent, message)
        if isinstance(message, m.EndpointStatus) and message.ready:
            self._replace_predecessors(agent)
        match message:
            case m.RunReports(ends=ends):
                for end in ends:
                    self._run_ended(agent, end)
            case m.QueueLoads(loads):
                self._demand.update_ranks(loads)

    def round(self):
        """Return the messages to send: pairs of an ``AgentView`` and a message."""
        self._expire()
        self._place()
        messages = []
        for agent, order in self._orders.items():
            if agent.link is None:
                continue
            agent.last_order_number += 1
            messages.append(
                (
                    agent,
                    m.RunOrders(
                        agent.last_order_number,
                        order.starts,
                        order.stops,
                        order.known,
                        order.is_resync,
                    ),
                )
            )
        self._orders.clear()
        if self._demand.begin_report_if_due():
            messages.extend(self._loads())
        return messages

    # Parts

    def _loads(self):
        """Return the messages that tell each agent the loads of its pool."""
        linked = [agent for agent in self._fleet.agents.values() if agent.is_ready]
        by_pool = {}
        for agent in linked:
            pool = agent.status.pool
            if pool not in by_pool:
                view = self._fleet.pool_view(pool)
                by_pool[pool] = self._demand.loads(view.effective_cpu_millis)
            yield agent, by_pool[pool]

    def _refusal(self, job):
        """Return why a job can't be taken, or nothing."""
        agents = self._fleet.usable_agents(job.route.pool)
        if not agents:
            return "no endpoint is ready"
        for step in job.spec.steps:
            if not any(agent.fits(step) for agent in agents):
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
        self._fleet.remove(agent)
        self._orders.pop(agent, None)

    def _requeue(self, task, agent):
        agent.tasks.pop(task.name, None)
        task.job.has_run = True  # as far as can be told
        self._put_back(task)

    def _run_ended(self, agent, end):
        task = agent.tasks.get(end.key.task)
        if task is None or task.run_number != end.key.run:
            return
        if end.checkpoint:
            task.checkpoint = end.checkpoint
        job = task.job
        job.has_run = job.has_run or end.end is not End.NOT_STARTED
        if end.end is not End.DONE:
            self._events.write(
                "run not completed",
                task=task.name,
                run=task.run_number,
                agent=agent.name,
                end=end.end.name,
                why=end.reason,
                run_ms=end.run_ms,
                failures=task.failures,
            )
        del agent.tasks[task.name]
        match end.end:
            case End.DONE:
                self._observe(agent, task, end)
                self._fleet.record_success(agent)
                job.mark_done(task)
                self._unplaced[job] = None
                if job.is_done:
                    self._end(job, Ended(JobState.COMPLETED))
                return
            case End.FAILED:
                task.failures += 1
                task.avoided_agents = (*task.avoided_agents, agent.incarnation)
                self._fleet.record_failure(agent)
                if task.failures >= job.route.max_attempts:
                    self._stop_runs(job)
                    self._end(job, Ended(JobState.FAILED))
                    return
        if end.reason in (STALLED_REASON, Rejection.UNHEALTHY.value):
            task.avoided_agents = (*task.avoided_agents, agent.incarnation)
            self._fleet.record_failure(agent)
        self._put_back(task)

    def _put_back(self, task):
        task.job.mark_ready(task)
        self._unplaced[task.job] = None

    def _observe(self, agent, task, end):
        estimate_ms = task.step_spec.estimate_ms
        queue = task.job.route.name
        endpoint_id = agent.status.endpoint_id
        run_ms = round(end.run_ms / agent.locality_factor(task.step_spec))
        self._fleet.speeds.observe(endpoint_id, queue, estimate_ms, run_ms)

    def _expire(self):
        now_ms = self._clock.now_ms()
        if now_ms - self._checked_ms < CHECK_MS:
            return
        self._checked_ms = now_ms
        for agent in list(self._fleet.agents.values()):
            unheard = agent.link is None or agent.tasks
            if unheard and self._fleet.is_expired(agent):
                self._lose(agent, "silent for longer than the leases")
        for job in list(self._jobs.values()):
            if now_ms >= job.caller_deadline_ms:
                self._give_up(job, "the caller's time is over")

    def _give_up(self, job, reason, retry_after_s=1):
        never_ran = NeverRan(reason, retry_after_s)
        outcome = GaveUp(reason) if job.has_started else never_ran
        self._stop_runs(job)
        self._end(job, outcome)

    def _stop_runs(self, job):
        for task in job.placed_tasks():
            agent = self._fleet.get(task.agent)
            if agent is not None:
                agent.tasks.pop(task.name, None)
                self._order(agent).stops.append(task.key)

    def _end(self, job, outcome):
        del self._jobs[job.job_id]
        self._unplaced.pop(job, None)
        took_ms = self._clock.now_ms() - job.arrived_ms
        is_complete = outcome == Ended(JobState.COMPLETED)
        self._events.write(
            "job completed" if is_complete else "job not completed",
            job=job.job_id,
            queue=job.route.name,
            outcome=describe(outcome),
            took_ms=took_ms,
            objective_ms=round(job.objective_ms),
            waiting_jobs=len(self._jobs),
        )
        self._on_outcome(job.route.name, outcome, took_ms)
        if isinstance(outcome, Ended):
            self._ended[job.job_id] = outcome
            while len(self._ended) > MAX_REMEMBERED_JOBS:
                self._ended.popitem(last=False)
        for on_end in self._waiters.pop(job.job_id):
            on_end(outcome)

    def _place(self):
        """Begin what finds room, in the order of the ranks.

        Between two looks at all that waits, only jobs with tasks that are new to
        placement are looked at.
        """
        now_ms = self._clock.now_ms()
        is_whole = now_ms - self._placed_ms >= PLACE_MS
        if is_whole:
            self._placed_ms = now_ms
        jobs = self._jobs.values() if is_whole else self._unplaced
        waiting = [job for job in jobs if job.has_ready_tasks]
        self._unplaced = {}
        if not waiting:
            return
        placement = self._placement
        rounds = {}
        order = [(placement.rank(job), job.due_ms, job) for job in waiting]
        for rank, _, job in sorted(order, key=lambda item: item[:2]):
            if not job.has_started and placement.is_too_late(job):
                self._give_up(job, "too late to be of use")
                continue
            pool = job.route.pool
            if pool not in rounds:
                rounds[pool] = placement.begin_round(pool)
            self._place_job(job, rank, rounds[pool], is_whole)

    def _place_job(self, job, rank, this_round, is_whole):
        is_late = self._placement.is_demoted(job)
        for task, candidate in this_round.select(job, rank):
            self._start(task, candidate, is_late)
        if job.has_started or not is_whole:
            return  # what is ahead of a job is only known in a whole round
        if this_round.is_infeasible(job):
            for task, candidate in this_round.select_late(job):
                self._start(task, candidate, is_late=True)
            if not job.has_started:
                retry_after_s = self._retry_slots.reserve(
                    job.route.name,
                    this_round.service_time_ms(job, this_round.work_ahead),
                    this_round.service_time_ms(job, job.work_core_ms),
                )
                self._give_up(job, "too much is waiting", retry_after_s)
        else:
            this_round.work_ahead += job.work_core_ms

    def _start(self, task, candidate, is_late):
        agent, now_ms = candidate.agent, self._clock.now_ms()
        due_in_ms = round(task.job.due_ms - now_ms)
        task.job.mark_placed(task, agent.incarnation)
        agent.tasks[task.name] = task
        agent.unreported_orders.append(
            (agent.last_order_number + 1, task.step_spec.room)
        )
        self._events.write(
            "run placed",
            task=task.name,
            run=task.run_number,
            agent=agent.name,
            heard_ms_ago=now_ms - agent.last_contact_ms,
            expected_wait_ms=candidate.wait_ms,
            expected_run_ms=round(candidate.run_ms),
            due_in_ms=due_in_ms,
        )
        self._order(agent).starts.append(
            m.RunStart(
                key=task.key,
                payload=task.job.spec.payload,
                room=task.step_spec.room,
                estimate_ms=round(candidate.run_ms),
                wait_ms=AGENT_WAIT_MS,
                queue=task.job.route.name,
                checkpoint=task.checkpoint,
                slack_ms=due_in_ms,
                is_late=is_late,
            )
        )
