"""Choice of an agent for each task of a step: earliest expected completion first."""

import heapq
import math
from dataclasses import dataclass

from .fleet import AgentView
from .job import Task

# Completion times that differ by less than this share of a task's size count as equal,
# because sizes and speeds are not known more exactly. Among equals an entry prefers
# endpoints of its own availability zone. Further ties are broken by the shuffled order
# of the agents, which differs between entries.
TIE_SHARE = 0.1


@dataclass(frozen=True, slots=True)
class Candidate:
    """An agent where a task could run, with the expected wait and run time in ms."""

    agent: AgentView
    wait_ms: int
    run_ms: float

    @property
    def ends_in_ms(self):
        """The expected time until the task completes, in ms from now."""
        return self.wait_ms + self.run_ms


@dataclass(frozen=True, slots=True)
class StepRequirements:
    """What the tasks of one step require of an endpoint; ``task`` is one of them.

    ``size_ms`` is the expected size of a task. A start of ``rank`` leaves
    ``reserved_share`` of each endpoint's processor free for more urgent work, and
    waits for room at most ``max_wait_ms``. If ``is_isolated``, an endpoint qualifies
    once it has no run of another job.
    """

    task: Task
    size_ms: float
    rank: float
    reserved_share: float
    max_wait_ms: int
    is_isolated: bool = False

    @property
    def step_spec(self):
        """The specification of the step."""
        return self.task.step_spec


class Candidates:
    """A heap of the agents that have room for a task of a step, best first.

    ``assigned_millis`` has, by agent, the processor that this round has assigned to
    tasks of the job and not ordered yet, in thousandths of a core. The steps of a job
    share it, and ``take_best`` adds to it.
    """

    def __init__(self, agents, requirements, assigned_millis):
        self._requirements = requirements
        self._assigned_millis = assigned_millis
        # By agent: how many tasks of the step this object has assigned.
        self._assigned_counts = {}
        self._fitting_agents = [
            agent for agent in agents if agent.fits(requirements.step_spec)
        ]
        self._bucket_ms = max(TIE_SHARE * requirements.size_ms, 1.0)
        self._item_count = 0
        # Items are (bucket of the completion time, is_cross_zone, item number,
        # Candidate). The number keeps tuples from comparing by candidate.
        items = map(self._heap_item, self._fitting_agents)
        self._heap = [item for item in items if item is not None]
        heapq.heapify(self._heap)

    @property
    def has_room(self):
        """Whether any agent has room for a task."""
        return bool(self._heap)

    def take_best(self, avoided, due_in_ms):
        """Assign a task to the best ``Candidate`` and return it, or None.

        Agents with an incarnation in ``avoided`` are excluded, unless no other agent
        fits. The result is None without room. It is also None if the task would end
        after ``due_in_ms`` here, and a faster endpoint could run it in time once it
        has room; with ``due_in_ms`` None that is not considered.
        """
        allowed = self._fitting_agents
        if avoided:
            others = [a for a in allowed if a.incarnation not in avoided]
            allowed = others or allowed
        item = self._pop_allowed(allowed if avoided else None)
        if item is None:
            return None
        candidate = item[-1]
        is_late = due_in_ms is not None and candidate.ends_in_ms > due_in_ms
        if is_late and any(
            self._expected_run_ms(agent) <= due_in_ms for agent in allowed
        ):
            heapq.heappush(self._heap, item)
            return None
        agent = candidate.agent
        millis = self._requirements.step_spec.room.cpu_millis
        self._assigned_millis[agent] = self._assigned_millis.get(agent, 0) + millis
        self._assigned_counts[agent] = self._assigned_counts.get(agent, 0) + 1
        if (item := self._heap_item(agent)) is not None:
            heapq.heappush(self._heap, item)
        return candidate

    def _pop_allowed(self, allowed):
        """Pop the first item whose agent is in ``allowed``; None allows any agent."""
        skipped, found = [], None
        while self._heap and found is None:
            item = heapq.heappop(self._heap)
            if allowed is None or item[-1].agent in allowed:
                found = item
            else:
                skipped.append(item)
        for item in skipped:
            heapq.heappush(self._heap, item)
        return found

    def _heap_item(self, agent):
        """Return the heap item for one more task at an agent, or None without room."""
        if agent.is_held_back and (agent.tasks or agent in self._assigned_millis):
            return None
        requirements = self._requirements
        if not agent.is_below_step_limit(
            requirements.task, self._assigned_counts.get(agent, 0)
        ):
            return None
        wait_ms = self._expected_wait_ms(agent)
        if wait_ms is None or wait_ms > requirements.max_wait_ms:
            return None
        candidate = Candidate(agent, wait_ms, self._expected_run_ms(agent))
        self._item_count += 1
        bucket = math.floor(candidate.ends_in_ms / self._bucket_ms)
        return bucket, agent.is_cross_zone, self._item_count, candidate

    def _expected_wait_ms(self, agent):
        """Return how long one more task would wait at an agent, None for too long."""
        requirements = self._requirements
        room, capacity = requirements.step_spec.room, agent.status.capacity
        assigned_millis = self._assigned_millis.get(agent, 0)
        if not requirements.is_isolated:
            reserved_millis = requirements.reserved_share * capacity.cpu_millis
            return agent.expected_wait_ms(
                room, requirements.rank, assigned_millis + reserved_millis
            )
        if assigned_millis + room.cpu_millis > capacity.cpu_millis:
            return None
        # The agent keeps other starts back until the endpoint is empty.
        wait_ms = agent.expected_wait_ms(capacity, requirements.rank)
        return requirements.max_wait_ms if wait_ms is None else wait_ms

    def _expected_run_ms(self, agent):
        step = self._requirements.step_spec
        return self._requirements.size_ms * agent.slowness * agent.locality_factor(step)
