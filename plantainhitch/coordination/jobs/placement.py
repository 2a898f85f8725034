"""Which job's tasks go first, where each one goes, and which jobs have no chance.

Jobs that can still end in time come before those that can't, then the ranks of
their queues decide. A job that has begun keeps its place, because a job that stays
half done has used room for nothing.
"""

from .candidates import Candidates, Need

# How long a start may wait at an agent for room: long enough to bridge the hop. A
# start that waits longer binds its task to an endpoint on an old forecast, which cost
# short jobs much of their time.
AGENT_WAIT_MS = 30
# Answers that take longer than this many objectives are of no use to callers.
WORTHLESS_FACTOR = 3
# The part of a job's tasks that has to find room before any of them begins.
BEGIN_SHARE = 0.8
# A step that is wider than this share of the fleet runs in waves.
WAVE_SHARE = 0.25
# A job is refused when the work ahead takes longer than this many times its slack;
# above 1, because the forecast is rough and others give up meanwhile.
HOPELESS_FACTOR = 1.5
# After this part of a job's time the forecast has to be plain, since a caller that
# is refused early can still turn elsewhere.
DECIDED_SHARE = 0.2
DECIDED_FACTOR = 0.8


class Placement:
    """Judges jobs by their time, and begins rounds that choose places."""

    def __init__(self, clock, fleet, demand):
        self._clock = clock
        self._fleet = fleet
        self._demand = demand

    def size_up(self, job):
        """Set what is expected of a job: the sizes of its tasks and its objective."""
        size_ms, queue = self._fleet.speeds.size_ms, job.route.name
        steps = job.spec.steps
        job.task_sizes_ms = tuple(size_ms(queue, step.estimate_ms) for step in steps)
        job.objective_ms = (
            job.route.stretch * job.critical_path_ms() + job.route.target_ms
        )

    def rank(self, job):
        """Return the rank of a job with tasks that wait; a lower one goes first."""
        return self._demand.ranks.rank(job.route.name, self.is_demoted(job))

    def is_demoted(self, job):
        """Return whether the job comes after all that can still end in time."""
        return not job.has_started and self._waited_ms(job) > job.slack_ms

    def is_worthless(self, job):
        """Return whether the answer would come too late to be of any use."""
        limit_ms = WORTHLESS_FACTOR * job.objective_ms
        return self._waited_ms(job) + job.longest_ready_ms > limit_ms

    def begin_round(self, pool):
        """Return a ``PlacementRound`` for the jobs of a pool."""
        view = self._fleet.pool_view(pool)
        return PlacementRound(self._clock.now_ms(), view, self._demand)

    def _waited_ms(self, job):
        return self._clock.now_ms() - job.arrived_ms


class PlacementRound:
    """Chooses places at one moment, for jobs given in the order of their ranks.

    ``ahead`` is the work, in core-ms, of the jobs given before that have to wait.
    """

    def __init__(self, now_ms, view, demand):
        self._now_ms = now_ms
        self._view = view
        self._demand = demand
        # By queue, rank, longest wait and label: the room that was found nowhere. It
        # only shrinks in a round, so a task that needs as much finds none either.
        self._not_found = {}
        self.ahead = 0.0

    def time_for_ms(self, job, work_ms):
        """Return how long work takes of what is left for a job's queue here."""
        rate = self._demand.rate_for(job.route.name, self._view.effective_cpu_millis)
        return 1_000 * work_ms / max(rate, 1.0)

    def is_hopeless(self, job):
        """Return whether the work ahead leaves a job no chance."""
        waited_ms = self._now_ms - job.arrived_ms
        is_early = waited_ms < DECIDED_SHARE * job.objective_ms
        factor = HOPELESS_FACTOR if is_early else DECIDED_FACTOR
        expected_ms = waited_ms + self.time_for_ms(job, self.ahead)
        return expected_ms > factor * job.slack_ms

    def place_all(self, job, rank):
        """Return pairs of a task and its ``Place`` for what can begin now.

        Empty where a job that has not begun finds too little room for its tasks.
        """
        return self._place(job, rank, job.due_ms - self._now_ms)

    def place_late(self, job):
        """Return places where the job can begin, though it won't end in time."""
        return self._place(job, self._demand.ranks.rank(job.route.name), None)

    def _place(self, job, rank, left_ms):
        """Return places; ``left_ms`` is how long the job still has.

        Where it is None, only room that is free now counts, whatever the time.
        """
        tasks = job.ready_tasks()
        taken, candidates, places = {}, {}, []
        for task in tasks:
            if task.step_index not in candidates:
                need = self._need(task, rank, left_ms)
                candidates[task.step_index] = self._candidates(task, need, taken)
            place = candidates[task.step_index].take(task.avoided_agents, left_ms)
            if place is None:
                break
            places.append((task, place))
        if not job.has_started and len(places) < self._least_to_begin(tasks):
            return []
        return places

    def _least_to_begin(self, tasks):
        """Return how many tasks of a job have to find a place before any begins."""
        step = tasks[0].step_spec
        wave = (
            WAVE_SHARE * self._view.effective_cpu_millis / max(step.room.cpu_millis, 1)
        )
        if step.max_per_endpoint:
            wave = min(wave, step.max_per_endpoint * len(self._view.agents))
        return BEGIN_SHARE * min(len(tasks), max(wave, 1))

    def _need(self, task, rank, left_ms):
        job = task.job
        return Need(
            task=task,
            size_ms=job.task_sizes_ms[task.step_index],
            rank=rank,
            kept_share=self._demand.ranks.reserved_share(job.route.name),
            longest_wait_ms=AGENT_WAIT_MS if left_ms is not None else 0,
        )

    def _candidates(self, task, need, taken):
        step = task.step_spec
        if step.max_per_endpoint:
            return Candidates(self._view.agents, need, taken)
        key = task.job.route.name, need.rank, need.longest_wait_ms, step.required_label
        missing = self._not_found.get(key)
        if missing is not None and step.room.can_fit(missing):
            return Candidates((), need, taken)
        found = Candidates(self._view.agents, need, taken)
        if not found.has_room:
            self._not_found[key] = step.room
        return found
