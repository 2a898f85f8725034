"""The decisions of an entry about jobs: a plain class without sockets.

Each event is a method call, ``run_round`` returns the messages to send, and the outcome
of each job is passed to the callback given with it. Tasks wait here until an agent is
expected to have room. The agent decides whether a start is accepted.
"""

import random

from ... import logs
from ...protocol import messages as m
from ...state.endpoints import End, Rejection
from ..evacuation import ALL_EVACUATED_REASON, UNKNOWN_REASON, no_evacuations
from ..runs.run_controller import OLD_CONTACT_REASON, STALLED_REASON
from .containment import Containment
from .demand import Demand
from .fleet import Fleet
from .job import Job
from .job_admission import SHORTAGE_REASON, JobAdmission
from .job_log import JobLog
from .job_registry import JobRegistry
from .outcomes import Ended, GaveUp, JobState, NeverRan
from .pending_orders import PendingOrders
from .placement import AGENT_WAIT_MS, ISOLATION_WAIT_MS, Placement
from .placement_passes import PlacementPasses
from .retry_slots import NO_ENDPOINT_RETRY_MS, RetrySlots

# Interval of the checks of agents' leases and callers' deadlines; callers wait for
# hundreds of ms.
CHECK_INTERVAL_MS = 20

log = logs.get_logger("jobs")


class Scheduler:
    """The jobs that an entry owns, and the placement of their tasks.

    ``lease_times`` are the ``LeaseTimes``. ``on_outcome(queue, JobOutcome,
    took_ms)`` is called for each job. ``zone``, ``remote_factor`` and ``rng`` are as
    for ``Fleet``. ``evacuations`` is the ``EvacuationState``; no zone is ever evacuated
    if it is left out.
    """

    def __init__(
        self,
        clock,
        lease_times,
        on_outcome=None,
        *,
        zone="",
        remote_factor=1.0,
        rng=None,
        evacuations=None,
    ):
        self._clock = clock
        self._evacuations = evacuations or no_evacuations(clock)
        self._job_log = JobLog(clock)
        self._registry = JobRegistry(
            clock,
            self._job_log.events,
            on_outcome or (lambda queue, outcome, took_ms: None),
        )
        self._fleet = Fleet(
            clock,
            lease_times,
            zone=zone,
            remote_factor=remote_factor,
            rng=rng or random.Random(),
            evacuations=self._evacuations,
        )
        self._retry_slots = RetrySlots(clock)
        self._checked_ms = 0
        self._jobs = self._registry.jobs
        self._orders = PendingOrders()
        self._demand = Demand(clock)
        self._containment = Containment(clock, self._fleet, self._demand)
        self._admission = JobAdmission(self._job_log.events, self._demand, self._fleet)
        self._placement = Placement(clock, self._fleet, self._demand)
        self._passes = PlacementPasses(
            clock,
            self._jobs,
            section_of=self._containment.section,
            placement=self._placement,
            demand=self._demand,
            admission=self._admission,
            retry_slots=self._retry_slots,
            order_start=self._order_start,
            cancel_job=self._cancel_job,
        )

    @property
    def fleet(self):
        """The entry's view of the agents."""
        return self._fleet

    @property
    def evacuations(self):
        """The ``EvacuationState``."""
        return self._evacuations

    @property
    def jobs(self):
        """The jobs by id, for reading only."""
        return self._jobs

    @property
    def admission(self):
        """The ``JobAdmission``, for reading only."""
        return self._admission

    @property
    def admitted_parts(self):
        """By queue, the part of its work that is admitted; empty without shortage."""
        admissions = self._demand.level.admissions
        return {queue: admission.admitted for queue, admission in admissions.items()}

    @property
    def has_ready_tasks(self):
        """Whether a task of any job waits for placement."""
        return any(job.has_ready_tasks for job in self._jobs.values())

    def count_pending(self, route_name):
        """Return how many jobs of a route have not started."""
        return sum(
            job.route.name == route_name and not job.has_started
            for job in self._jobs.values()
        )

    def submit(self, spec, route, caller_timeout_ms, on_end):
        """Accept or refuse a job.

        ``on_end(JobOutcome)`` is called once, possibly before this method returns. A
        job that is in progress or has recently ended is not run again; the caller gets
        its outcome. ``caller_timeout_ms`` is how long the caller waits.
        """
        if self._registry.attach_if_known(spec.job_id, on_end):
            return
        now_ms = self._clock.now_ms()
        job = Job.from_spec(spec, route, now_ms, caller_timeout_ms)
        self._placement.estimate_job(job)
        self._demand.observe(route.name, job.work_core_ms, job.slack_ms, route.priority)
        reason = self._refusal(job)
        if reason:
            fields = {}
            if reason == ALL_EVACUATED_REASON:
                fields["zones"] = sorted(self._evacuations.zones)
            usable_agents = len(self._fleet.usable_agents(route.pool))
            self._job_log.job_refused(job, reason, usable_agents, **fields)
            retry_after_s = self._retry_slots.reserve(
                route.name, NO_ENDPOINT_RETRY_MS, 0
            )
            self._registry.refuse(job, NeverRan(reason, retry_after_s), on_end)
            return
        if not self._admission.admits(job):
            retry_after_s = self._admission.retry_after_s(job, self._retry_slots)
            outcome = NeverRan(SHORTAGE_REASON, retry_after_s)
            self._registry.refuse(job, outcome, on_end)
            return
        self._registry.add(job, on_end)
        self._passes.add_ready(job)
        self._contain(job)

    def detach_caller(self, job_id, on_end, reason):
        """Remove a caller that has left; cancel the job if no other caller waits."""
        job = self._registry.detach(job_id, on_end)
        if job is not None:
            self._cancel_job(job, reason)

    def evacuations_changed(self):
        """Handle a change of the evacuated zones, which are in force from now on."""
        self._fleet.evacuations_changed()
        self._checked_ms = 0  # jobs that no endpoint is left for end in the next round

    # Events from agents

    def agent_linked(self, hello, link):
        """Handle a new link to an agent: the next orders name all its runs."""
        agent = self._fleet.add_link(hello, link)
        self._job_log.agent_linked(agent)
        self._orders.add_resync(agent)

    def agent_unlinked(self, incarnation, link):
        """Handle the end of a link; the agent's runs stay until the leases expire."""
        agent = self._fleet.get(incarnation)
        if agent is not None and agent.link is link:
            self._fleet.remove_link(agent)
            self._job_log.agent_unlinked(agent)

    def agent_presumed_dead(self, incarnation):
        """Record that an agent's address refuses connections, or is another's now."""
        agent = self._fleet.get(incarnation)
        if agent is not None and not agent.is_presumed_dead:
            agent.is_presumed_dead = True
            self._job_log.agent_presumed_dead(agent)

    def handle_agent_message(self, incarnation, message):
        """Handle a status, a report or the total queue loads from an agent."""
        agent = self._fleet.get(incarnation)
        if agent is None:
            return
        self._fleet.apply_message(agent, message)
        if isinstance(message, m.EndpointStatus) and message.ready:
            self._remove_predecessors(agent)
        match message:
            case m.RunReports(ends=ends, crashes=crashes):
                for crash in crashes:
                    self._endpoint_crashed(crash, agent)
                for end in ends:
                    self._run_ended(agent, end)
            case m.QueueLoads(loads):
                self._demand.update_ranks(loads)
                if agent.status is not None:
                    self._containment.learn(loads, agent.status.pool)

    def run_round(self):
        """Check deadlines, place tasks, and return the messages to send.

        They are pairs of an ``AgentView`` and a message.
        """
        self._job_log.flush_if_due()
        self._check_deadlines()
        self._passes.run()
        messages = self._orders.take_messages()
        if self._demand.begin_report_if_due():
            messages.extend(self._load_messages())
        return messages

    # Internals

    def _load_messages(self):
        """Yield the messages that report this entry's queue loads to each agent."""
        linked = [agent for agent in self._fleet.agents.values() if agent.is_ready]
        by_pool = {}
        contained_ms = self._containment.probable_ms()
        for agent in linked:
            pool = agent.status.pool
            if pool not in by_pool:
                view = self._fleet.pool_view(pool)
                by_pool[pool] = self._demand.loads(
                    view.effective_cpu_millis, contained_ms
                )
            yield agent, by_pool[pool]

    def _refusal(self, job):
        """Return why a job can't be accepted, or an empty string."""
        if not self._evacuations.is_known:
            return UNKNOWN_REASON
        if self._fleet.is_evacuated(job.route.pool):
            return ALL_EVACUATED_REASON
        section = self._containment.section(job)
        agents = self._fleet.usable_agents(job.route.pool, section)
        if not agents:
            return "no endpoint is ready"
        for step in job.spec.steps:
            if not any(agent.fits(step) for agent in agents):
                return "no endpoint is large enough"
        return ""

    def _remove_predecessors(self, agent):
        """Remove earlier incarnations of an agent whose endpoint is ready.

        No run that an earlier one ordered is at work then, see ``EndpointStatus``. A
        delayed status of an earlier incarnation says nothing about a later one.
        """
        for other in list(self._fleet.agents.values()):
            if other.name == agent.name and other.number < agent.number:
                self._remove_agent(other, "the agent was replaced")

    def _remove_agent(self, agent, why):
        """Remove an agent and requeue its tasks.

        The caller makes sure that none of its runs can still be running.
        """
        tasks = list(agent.tasks.values())
        if tasks:
            self._job_log.runs_lost(agent, why)
        for task in tasks:
            self._job_log.run_given_up(task, agent, why)
            self._requeue(task, agent)
        for task in tasks:
            self._run_lost(task)
        if agent.link is not None:
            agent.link.close(why)  # the next link starts with a resync
        self._fleet.remove(agent)
        self._orders.discard(agent)

    def _requeue(self, task, agent):
        agent.remove_task(task)
        task.job.has_run = True  # its run may have started
        self._mark_ready(task)

    def _endpoint_crashed(self, crash, agent):
        """Handle a crash; runs of other entries count for jobs submitted here later."""
        for job_id in self._containment.record(crash, agent):
            if (job := self._jobs.get(job_id)) is not None:
                self._contain(job)

    def _contain(self, job):
        """Fail a job that is proven to crash endpoints, or isolate it if it may."""
        if self._containment.is_deadly(job):
            log.warning("job crashes its endpoints", job=job.job_id)
            self._stop_runs(job, "the job crashes its endpoints")
            self._finish_job(job, Ended(JobState.FAILED))
            return
        job.is_suspect = self._containment.is_suspect(job)
        if not job.is_isolated and self._containment.needs_isolation(job):
            job.is_isolated = True
            log.info("job isolated", job=job.job_id, queue=job.route.name)

    def _run_lost(self, task):
        task.lost_runs += 1
        job = task.job
        if job.job_id not in self._jobs:
            return  # it ended when another of its runs was found to be lost
        if self._containment.is_exhausted(task):
            self._cancel_job(job, "too many runs were lost with their endpoints")
        else:
            self._contain(job)

    def _run_ended(self, agent, end):
        task = agent.tasks.get(end.key.task)
        if task is None or task.run_number != end.key.run:
            return
        if end.checkpoint:
            task.checkpoint = end.checkpoint
        job = task.job
        job.has_run = job.has_run or end.end is not End.NOT_STARTED
        if end.end is not End.DONE:
            crash_count = self._containment.crash_count(task)
            self._job_log.run_not_completed(task, agent, end, crash_count)
        agent.remove_task(task)
        match end.end:
            case End.DONE:
                self._record_run_time(agent, task, end)
                self._fleet.record_success(agent)
                job.mark_done(task)
                self._passes.add_ready(job)
                if job.is_done:
                    self._finish_job(job, Ended(JobState.COMPLETED))
                return
            case End.FAILED:
                task.failures += 1
                task.avoided_agents = (*task.avoided_agents, agent.incarnation)
                self._fleet.record_failure(agent)
                if task.failures >= job.route.max_attempts:
                    self._stop_runs(job, "another task of the job failed")
                    self._finish_job(job, Ended(JobState.FAILED))
                    return
        if end.reason == OLD_CONTACT_REASON:
            task.avoided_agents = (*task.avoided_agents, agent.incarnation)
        if end.reason in (STALLED_REASON, Rejection.UNHEALTHY.value):
            task.avoided_agents = (*task.avoided_agents, agent.incarnation)
            self._fleet.record_failure(agent)
        self._mark_ready(task)
        if end.end in (End.LOST, End.LAPSED):
            self._run_lost(task)

    def _mark_ready(self, task):
        task.job.mark_ready(task)
        self._passes.add_ready(task.job)

    def _record_run_time(self, agent, task, end):
        """Update the speed estimates, without the factor for remote data."""
        estimate_ms = task.step_spec.estimate_ms
        queue = task.job.route.name
        endpoint_id = agent.status.endpoint_id
        run_ms = round(end.run_ms / agent.locality_factor(task.step_spec))
        self._fleet.speeds.observe(
            endpoint_id,
            queue,
            estimate_ms,
            run_ms,
            self._fleet.current_slowness(agent) if agent.reported_samples else None,
        )

    def _check_deadlines(self):
        now_ms = self._clock.now_ms()
        if now_ms - self._checked_ms < CHECK_INTERVAL_MS:
            return
        self._checked_ms = now_ms
        for agent in list(self._fleet.agents.values()):
            needs_check = agent.link is None or agent.tasks
            if needs_check and self._fleet.is_expired(agent):
                self._remove_agent(agent, "silent for longer than the leases")
        for job in list(self._jobs.values()):
            if now_ms >= job.caller_deadline_ms:
                self._cancel_job(job, "the caller's time is over")
            elif self._containment.is_past_use(job) and not job.placed_tasks():
                self._cancel_job(
                    job, "endpoints crashed under it, and it is too late to try again"
                )
            elif self._evacuations.zones and not job.placed_tasks():
                self._end_if_evacuated(job)

    def _end_if_evacuated(self, job):
        """End a job without a run if no endpoint is left for it."""
        if self._fleet.is_evacuated(job.route.pool):
            retry_after_s = self._retry_slots.reserve(
                job.route.name, NO_ENDPOINT_RETRY_MS, 0
            )
            self._cancel_job(job, ALL_EVACUATED_REASON, retry_after_s)

    def _cancel_job(self, job, reason, retry_after_s=1):
        """Stop a job; its outcome is ``NeverRan`` if no task may have started."""
        never_ran = NeverRan(reason, retry_after_s)
        outcome = GaveUp(reason) if job.has_started else never_ran
        self._stop_runs(job, reason)
        self._finish_job(job, outcome)

    def _stop_runs(self, job, reason):
        for task in job.placed_tasks():
            agent = self._fleet.get(task.agent)
            if agent is not None:
                self._job_log.run_given_up(task, agent, reason)
                agent.remove_task(task)
                self._orders.add_stop(agent, task.key)

    def _finish_job(self, job, outcome):
        self._passes.discard(job)
        self._registry.finish(job, outcome)

    def _order_start(self, task, candidate, is_late):
        agent = candidate.agent
        due_in_ms = round(task.job.due_ms - self._clock.now_ms())
        task.job.mark_placed(task, agent.incarnation)
        agent.add_task(task)
        agent.unreported_orders.append(
            (agent.last_order_number + 1, task.step_spec.room)
        )
        self._job_log.run_placed(task, candidate, due_in_ms)
        self._orders.add_start(
            agent,
            m.RunStart(
                key=task.key,
                payload=task.job.spec.payload,
                room=task.step_spec.room,
                estimate_ms=round(candidate.run_ms),
                wait_ms=(ISOLATION_WAIT_MS if task.job.is_isolated else AGENT_WAIT_MS),
                queue=task.job.route.name,
                checkpoint=task.checkpoint,
                slack_ms=due_in_ms,
                is_late=is_late,
                is_isolated=task.job.is_isolated,
                size_ms=self._placement.size_ms(task, agent),
                born_ms=agent.status.born_ms,
            ),
        )
