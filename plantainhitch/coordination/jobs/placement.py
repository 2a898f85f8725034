"""Which job's tasks go first, where each one goes, and which jobs have no chance.

Jobs that can still end in time come before those that can't, then the ranks of
their queues decide. A job that has begun keeps its place, because a job that stays
half done has used room for nothing.
"""

from dataclasses import dataclass

# How long a start may wait at an agent for room: long enough to bridge the hop, and
# for the agents to choose between the starts of several entries.
AGENT_WAIT_MS = 120
# Answers that take longer than this many objectives are of no use to callers.
WORTHLESS_FACTOR = 3
# The part of a job's tasks that has to find room before any of them begins.
BEGIN_SHARE = 0.8
# A job is refused when the work ahead takes longer than this many times its slack;
# above 1, because the forecast is rough and others give up meanwhile.
HOPELESS_FACTOR = 1.5
# After this part of a job's time the forecast has to be plain, since a caller that
# is refused early can still turn elsewhere.
DECIDED_SHARE = 0.2
DECIDED_FACTOR = 0.8


@dataclass(frozen=True, slots=True)
class Place:
    """Where a task would run; times in ms from now."""

    agent: object
    wait_ms: int
    run_ms: float

    @property
    def ends_in_ms(self):
        """When the task is expected to end."""
        return self.wait_ms + self.run_ms


class Placement:
    """Ranks jobs and chooses places, from what is believed of the fleet."""

    def __init__(self, clock, fleet, demand):
        self._clock = clock
        self._fleet = fleet
        self._demand = demand

    def size_ms(self, task):
        """Return the expected run time of a task at slowness 1."""
        speeds = self._fleet.speeds
        return speeds.size_ms(task.job.route.name, task.spec.estimate_ms)

    def longest_ms(self, job):
        """Return the expected size of the longest task that waits, in ms."""
        return max((self.size_ms(task) for task in job.ready_tasks()), default=0)

    def objective_ms(self, job):
        """Return within what time the job should end, as far as can be told."""
        size_ms = self._fleet.speeds.size_ms
        chain_ms = job.chain_ms(lambda step: size_ms(job.route.name, step.estimate_ms))
        return job.route.stretch * chain_ms + job.route.target_ms

    def due_ms(self, job):
        """Return when the job should end."""
        return job.arrived_ms + self.objective_ms(job)

    def slack_ms(self, job):
        """Return how long the job can wait in all and still end in time."""
        return self.objective_ms(job) - self.longest_ms(job)

    def rank(self, job):
        """Return the rank of a job with tasks that wait; a lower one goes first."""
        return self._demand.ranks.rank(job.route.name, self.is_demoted(job))

    def is_demoted(self, job):
        """Return whether the job comes after all that can still end in time."""
        return not job.has_started and self._waited_ms(job) > self.slack_ms(job)

    def is_worthless(self, job):
        """Return whether the answer would come too late to be of any use."""
        limit_ms = WORTHLESS_FACTOR * self.objective_ms(job)
        return self._waited_ms(job) + self.longest_ms(job) > limit_ms

    def is_hopeless(self, job, ahead):
        """Return whether the work ahead, in core-ms, leaves a job no chance."""
        fleet_millis = self._fleet.processor_millis(job.route.pool)
        rate = self._demand.rate_for(job.route.name, fleet_millis)
        waited_ms = self._waited_ms(job)
        is_early = waited_ms < DECIDED_SHARE * self.objective_ms(job)
        factor = HOPELESS_FACTOR if is_early else DECIDED_FACTOR
        return waited_ms + 1_000 * ahead / max(rate, 1.0) > factor * self.slack_ms(job)

    def place_all(self, job, agents):
        """Return pairs of a task and its ``Place`` for what can begin now.

        Empty where a job that has not begun finds too little room for its tasks.
        """
        left_ms = self.due_ms(job) - self._clock.now_ms()
        return self._place(job, agents, self.rank(job), left_ms)

    def place_late(self, job, agents):
        """Return places where the job can begin, though it won't end in time."""
        return self._place(job, agents, self._demand.ranks.rank(job.route.name), None)

    def _place(self, job, agents, rank, left_ms):
        tasks = job.ready_tasks()
        taken, places = {}, []
        for task in tasks:
            place = self._choose(task, agents, rank, left_ms, taken)
            if place is None:
                break
            agent = place.agent
            taken[agent] = taken.get(agent, 0) + task.spec.room.cpu_millis
            places.append((task, place))
        if not job.has_started and len(places) < BEGIN_SHARE * len(tasks):
            return []
        return places

    def _waited_ms(self, job):
        return self._clock.now_ms() - job.arrived_ms

    def _choose(self, task, agents, rank, left_ms, taken):
        """Return the place where the task ends first; None where it should wait.

        ``left_ms`` is how long the job still has; where None, only room that is free
        now counts, whatever the time.
        """
        queue, step = task.job.route.name, task.spec
        size_ms = self.size_ms(task)
        longest_wait_ms = AGENT_WAIT_MS if left_ms is not None else 0
        best, could_be_in_time = None, False
        for agent in self._allowed(task, agents):
            if agent.is_on_trial and (agent.tasks or agent in taken):
                continue
            run_ms = size_ms * self._fleet.slowness(agent)
            if left_ms is not None and run_ms <= left_ms:
                could_be_in_time = True
            millis = agent.status.capacity.cpu_millis
            kept = self._demand.ranks.reserved(queue, millis, {})
            wait_ms = agent.wait_ms(step.room, rank, taken.get(agent, 0) + kept)
            if wait_ms is None or wait_ms > longest_wait_ms:
                continue
            place = Place(agent, wait_ms, run_ms)
            if best is None or place.ends_in_ms < best.ends_in_ms:
                best = place
        if best is not None and could_be_in_time and best.ends_in_ms > left_ms:
            return None  # a faster endpoint may have room in time
        return best

    def _allowed(self, task, agents):
        """Return the agents that may run a task, without those that it avoids."""
        fitting = [agent for agent in agents if agent.fits(task.spec)]
        if not task.avoided:
            return fitting
        others = [a for a in fitting if a.incarnation not in task.avoided]
        return others or fitting
