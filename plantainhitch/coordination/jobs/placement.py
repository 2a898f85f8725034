"""Order of jobs, choice of endpoints for their tasks, and rejection of late jobs.

Jobs that can still meet their objective come before those that can't; within both
groups the ranks of their queues decide. A job that has started is never demoted,
because a job that stays half done has used room for nothing.
"""

from .candidates import Candidates, StepRequirements

# How long a start may wait at an agent for room: long enough to cover the time that
# messages take between entry and agent. A longer wait binds the task to an endpoint on
# an old forecast, which delayed short jobs considerably.
AGENT_WAIT_MS = 30
# How long an isolated start may wait until its endpoint has no run of another job.
ISOLATION_WAIT_MS = 2_000
# Answers that take longer than this many objectives are of no use to callers.
TOO_LATE_FACTOR = 3
# Share of a job's ready tasks that must find room before any of them starts.
MIN_START_SHARE = 0.8
# A step that is wider than this share of the fleet runs in waves.
WAVE_SHARE = 0.25
# A job is rejected when its expected wait, counted from its arrival, exceeds this
# multiple of its slack. Above 1, because the forecast is rough, and other jobs give up
# their place meanwhile.
EARLY_REJECT_FACTOR = 1.5
# Once this share of the objective has passed, the stricter factor applies: a job with
# doubtful prospects is rejected while its caller can still turn elsewhere.
EARLY_SHARE = 0.2
REJECT_FACTOR = 0.8


class Placement:
    """Estimates and ranks jobs, and begins placement rounds."""

    def __init__(self, clock, fleet, demand):
        self._clock = clock
        self._fleet = fleet
        self._demand = demand

    def estimate_job(self, job):
        """Set the expected sizes of a job's tasks and its objective."""
        size_ms, queue = self._fleet.speeds.size_ms, job.route.name
        steps = job.spec.steps
        job.task_sizes_ms = tuple(size_ms(queue, step.estimate_ms) for step in steps)
        job.objective_ms = (
            job.route.stretch * job.critical_path_ms() + job.route.target_ms
        )

    def size_ms(self, task, agent):
        """Return a task's expected run time at a slowness of 1 beside that agent."""
        size_ms = task.job.task_sizes_ms[task.step_index]
        return round(size_ms * agent.locality_factor(task.step_spec))

    def rank(self, job):
        """Return the rank of a job with ready tasks; lower ranks are placed first."""
        return self._demand.ranks.rank(job.route.name, self.is_demoted(job))

    def is_demoted(self, job):
        """Return whether the job ranks after all that can still end in time."""
        return not job.has_started and self._waited_ms(job) > job.slack_ms

    def is_too_late(self, job):
        """Return whether the answer would come too late to be of use to the caller."""
        limit_ms = TOO_LATE_FACTOR * job.objective_ms
        return self._waited_ms(job) + job.longest_ready_ms > limit_ms

    def begin_round(self, pool, section):
        """Return a ``PlacementRound`` for the jobs of a section of a pool."""
        view = self._fleet.pool_view(pool, section)
        return PlacementRound(self._clock.now_ms(), view, self._demand)

    def _waited_ms(self, job):
        return self._clock.now_ms() - job.arrived_ms


class PlacementRound:
    """Selects endpoints at one moment, for jobs given in the order of their ranks.

    ``work_ahead`` is the work, in core-ms, of the jobs given before that have to wait;
    the caller adds to it.
    """

    def __init__(self, now_ms, view, demand):
        self._now_ms = now_ms
        self._view = view
        self._demand = demand
        # By queue, rank, longest wait and label: the room that no agent had. Free room
        # only shrinks during a round, so a task that needs at least as much has no
        # candidate either.
        self._unplaceable_room = {}
        self.work_ahead = 0.0

    def service_time_ms(self, job, work_core_ms):
        """Return how long work takes at the service rate of a job's queue, in ms."""
        rate = self._demand.service_rate(
            job.route.name, self._view.effective_cpu_millis
        )
        return 1_000 * work_core_ms / max(rate, 1.0)

    def is_infeasible(self, job):
        """Return whether the work ahead of a job lets it start too late."""
        waited_ms = self._now_ms - job.arrived_ms
        is_early = waited_ms < EARLY_SHARE * job.objective_ms
        factor = EARLY_REJECT_FACTOR if is_early else REJECT_FACTOR
        expected_ms = waited_ms + self.service_time_ms(job, self.work_ahead)
        return expected_ms > factor * job.slack_ms

    def select(self, job, rank):
        """Return pairs of a task and its ``Candidate``, for tasks that can start now.

        Empty if a job that has not started finds room for too few of its tasks.
        """
        due_in_ms = None if job.is_isolated else job.due_ms - self._now_ms
        return self._select(job, rank, due_in_ms)

    def select_late(self, job):
        """Return pairs like ``select``, for a job that won't meet its objective.

        The job gets the rank of a job in time, and only room that is free now.
        """
        return self._select(job, self._demand.ranks.rank(job.route.name), None)

    def _select(self, job, rank, due_in_ms):
        """Return pairs of a task and its ``Candidate``.

        ``due_in_ms`` is the time until the job is due. If it is None, the expected
        completion is not considered, and only room that is free now counts, unless
        the job is isolated.
        """
        tasks = job.ready_tasks()
        assigned_millis, candidates, selected = {}, {}, []
        for task in tasks:
            if task.step_index not in candidates:
                requirements = self._requirements(task, rank, due_in_ms)
                candidates[task.step_index] = self._candidates(
                    task, requirements, assigned_millis
                )
            candidate = self._take_best(task, candidates[task.step_index], due_in_ms)
            if candidate is None:
                break
            selected.append((task, candidate))
        if not job.has_started and len(selected) < self._min_tasks_to_start(tasks):
            return []
        return selected

    def _take_best(self, task, candidates, due_in_ms):
        """Return the ``Candidate`` of a task, or None.

        Where there is a choice, jobs that were running in a crash are kept apart:
        another crash then speaks against one of them only, and loses the others
        nothing.
        """
        avoided, job = task.avoided_agents, task.job
        if job.is_suspect and not job.is_isolated:
            suspects_at = [
                agent.incarnation
                for agent in self._view.agents
                if agent.has_suspect_beside(job)
            ]
            candidate = candidates.take_best((*avoided, *suspects_at), due_in_ms)
            if candidate is not None:
                return candidate
        return candidates.take_best(avoided, due_in_ms)

    def _min_tasks_to_start(self, tasks):
        """Return how many of a job's ready tasks must find room before any starts."""
        step = tasks[0].step_spec
        wave = (
            WAVE_SHARE * self._view.effective_cpu_millis / max(step.room.cpu_millis, 1)
        )
        if step.max_per_endpoint:
            wave = min(wave, step.max_per_endpoint * len(self._view.agents))
        return MIN_START_SHARE * min(len(tasks), max(wave, 1))

    def _requirements(self, task, rank, due_in_ms):
        job = task.job
        if job.is_isolated:
            max_wait_ms = ISOLATION_WAIT_MS
        else:
            max_wait_ms = AGENT_WAIT_MS if due_in_ms is not None else 0
        return StepRequirements(
            task=task,
            size_ms=job.task_sizes_ms[task.step_index],
            rank=rank,
            reserved_share=self._demand.ranks.reserved_share(job.route.name),
            max_wait_ms=max_wait_ms,
            is_isolated=job.is_isolated,
        )

    def _candidates(self, task, requirements, assigned_millis):
        """Return the ``Candidates`` of a step; empty if known to have no room."""
        step = task.step_spec
        if step.max_per_endpoint or requirements.is_isolated:
            return Candidates(self._view.agents, requirements, assigned_millis)
        key = (
            task.job.route.name,
            requirements.rank,
            requirements.max_wait_ms,
            step.required_label,
        )
        unplaceable = self._unplaceable_room.get(key)
        if unplaceable is not None and step.room.can_fit(unplaceable):
            return Candidates((), requirements, assigned_millis)
        found = Candidates(self._view.agents, requirements, assigned_millis)
        if not found.has_room:
            self._unplaceable_room[key] = step.room
        return found
