"""The agents that may run the tasks of one step, the one that ends first on top."""

import heapq
import math
from dataclasses import dataclass

from .fleet import AgentView
from .job import Task

# Ends that differ by less than this share of a task's size count as equal, since
# sizes and speeds are known no better. Among equals an entry prefers endpoints of its
# own availability zone, then each entry another one.
EQUAL_SHARE = 0.1


@dataclass(frozen=True, slots=True)
class Place:
    """Where a task would run; times in ms from now."""

    agent: AgentView
    wait_ms: int
    run_ms: float

    @property
    def ends_in_ms(self):
        """When the task is expected to end."""
        return self.wait_ms + self.run_ms


@dataclass(frozen=True, slots=True)
class Need:
    """What a task needs of a place, the same for all tasks of its step.

    A start of ``rank`` leaves ``kept_share`` of each endpoint's processor free for
    more urgent work, and waits ``longest_wait_ms`` for room at most.
    """

    task: Task
    size_ms: float
    rank: float
    kept_share: float
    longest_wait_ms: int

    @property
    def step_spec(self):
        """The step."""
        return self.task.step_spec


class Candidates:
    """Hands out places for the tasks of a step, the one that ends first each time.

    ``taken`` is the processor given out at each agent in the same round and not
    ordered yet, for all steps of the job.
    """

    def __init__(self, agents, need, taken):
        self._need = need
        self._taken = taken
        # How many tasks of the step are given out at each agent here.
        self._given = {}
        self._fitting = [agent for agent in agents if agent.fits(need.step_spec)]
        self._grain_ms = max(EQUAL_SHARE * need.size_ms, 1.0)
        self._number = 0
        # Entries are (end in grains, whether far, number, Place).
        entries = map(self._entry, self._fitting)
        self._heap = [entry for entry in entries if entry is not None]
        heapq.heapify(self._heap)

    @property
    def has_room(self):
        """Whether a task finds room anywhere."""
        return bool(self._heap)

    def take(self, avoided, left_ms):
        """Return a ``Place`` outside ``avoided`` where any agent outside fits, or None.

        None also where the task would end after ``left_ms`` though a faster endpoint
        could have it in time, once it has room; ``left_ms`` None ignores that.
        """
        allowed = self._fitting
        if avoided:
            others = [a for a in allowed if a.incarnation not in avoided]
            allowed = others or allowed
        entry = self._first(allowed if avoided else None)
        if entry is None:
            return None
        place = entry[-1]
        is_late = left_ms is not None and place.ends_in_ms > left_ms
        if is_late and any(self._run_ms(agent) <= left_ms for agent in allowed):
            heapq.heappush(self._heap, entry)
            return None
        agent = place.agent
        millis = self._need.step_spec.room.cpu_millis
        self._taken[agent] = self._taken.get(agent, 0) + millis
        self._given[agent] = self._given.get(agent, 0) + 1
        if (entry := self._entry(agent)) is not None:
            heapq.heappush(self._heap, entry)
        return place

    def _first(self, allowed):
        """Take the first entry whose agent is in ``allowed``, any where it is None."""
        passed, found = [], None
        while self._heap and found is None:
            entry = heapq.heappop(self._heap)
            if allowed is None or entry[-1].agent in allowed:
                found = entry
            else:
                passed.append(entry)
        for entry in passed:
            heapq.heappush(self._heap, entry)
        return found

    def _entry(self, agent):
        """Return the heap's entry for one more task at an agent, None without room."""
        if agent.is_held_back and (agent.tasks or agent in self._taken):
            return None
        need = self._need
        if not agent.is_below_step_limit(need.task, self._given.get(agent, 0)):
            return None
        kept = need.kept_share * agent.status.capacity.cpu_millis
        ahead_millis = self._taken.get(agent, 0) + kept
        wait_ms = agent.expected_wait_ms(need.step_spec.room, need.rank, ahead_millis)
        if wait_ms is None or wait_ms > need.longest_wait_ms:
            return None
        place = Place(agent, wait_ms, self._run_ms(agent))
        self._number += 1
        grains = math.floor(place.ends_in_ms / self._grain_ms)
        return grains, agent.is_cross_zone, self._number, place

    def _run_ms(self, agent):
        step = self._need.step_spec
        return self._need.size_ms * agent.slowness * agent.locality_factor(step)
