"""Chooses the agent for a queued task.

Agents are ranked by the expected run time of the class. A task is placed where it is
expected to end first, including the wait for a slot there. It stays in the entry's
queue if that end is much later than at an agent that has no room at present.
``docs/design/placement.md`` compares this with other placement policies.
"""

import bisect
import math
from dataclasses import dataclass

from .agents import AgentView

# A class's pool is rebuilt at this age, with newer run-time estimates.
POOL_LIFETIME_MS = 250
# A task stays queued if it would end later than this multiple of the best end.
MAX_END_TIME_FACTOR = 4.0
# The best end is taken over this many of the fastest agents.
FASTEST_AGENTS_CONSIDERED = 8


class ClassPool:
    """The agents whose endpoints fit one class, and those that may have room.

    An agent without room is excluded from the candidates until its load changes, so
    that a search doesn't visit every busy agent of a large fleet.
    """

    def __init__(self, created_ms, ranking):
        self._created_ms = created_ms
        self._ranking = ranking
        self._run_ms_by_agent = {agent: run_ms for run_ms, _, agent in ranking}
        self._candidates = list(ranking)
        self._candidate_agents = set(self._run_ms_by_agent)

    @classmethod
    def from_agents(cls, definition, agents, estimates, now_ms):
        """Return a pool of the agents whose endpoints are large enough."""
        ranking = [
            (estimates.expected_ms(agent.endpoint, definition.name), agent.name, agent)
            for agent in agents
            if agent.fits(definition)
        ]
        ranking.sort(key=lambda item: item[:2])
        return cls(now_ms, ranking)

    @property
    def created_ms(self):
        """When the pool was built, in ms of the entry's clock."""
        return self._created_ms

    @property
    def ranking(self):
        """All agents as (expected run time in ms, name, agent), fastest first."""
        return self._ranking

    @property
    def candidates(self):
        """The entries of ``ranking`` whose agents may have room, in its order."""
        return self._candidates

    def exclude(self, position):
        """Remove the candidate at index ``position``: its agent has no room."""
        _, _, agent = self._candidates.pop(position)
        self._candidate_agents.discard(agent)

    def readmit(self, agent):
        """Make an agent a candidate again after its load has changed."""
        run_ms = self._run_ms_by_agent.get(agent)
        if run_ms is None or agent in self._candidate_agents:
            return
        self._candidate_agents.add(agent)
        item = (run_ms, agent.name, agent)
        bisect.insort(self._candidates, item, key=lambda item: item[:2])


@dataclass(frozen=True, slots=True)
class PlacementOption:
    """An agent, or None, and the expected end of a task there, in ms from now."""

    agent: AgentView | None = None
    end_ms: float = math.inf


@dataclass(slots=True)
class SearchResult:
    """The best agent with room, and the excluded agent if it has room too."""

    best: PlacementOption = PlacementOption()
    excluded: PlacementOption = PlacementOption()


class Placement:
    """Keeps a pool of agents for each class and chooses one for each task."""

    def __init__(self, clock, estimates, outlier_detector):
        self._clock = clock
        self._estimates = estimates
        self._outlier_detector = outlier_detector
        self._agents = {}
        self._pools = {}

    def set_agents(self, agents):
        """Use this dict of ``AgentView`` by incarnation, which the caller updates."""
        self._agents = agents
        self.invalidate()

    def invalidate(self):
        """Discard all pools; they are rebuilt on their next use."""
        self._pools.clear()

    def agent_load_changed(self, agent):
        """Consider an agent again whose load has changed."""
        for pool in self._pools.values():
            pool.readmit(agent)

    def any_fits(self, definition):
        """Return whether any known endpoint is large enough for the class."""
        return any(agent.fits(definition) for agent in self._agents.values())

    def choose(self, definition, waiting_count=1, excluded_agent=""):
        """Return the agent for the first queued task, or None to keep it queued.

        ``waiting_count`` is the length of the queue. ``excluded_agent`` is the name
        of an agent that is used only if no other one is suitable.
        """
        pool = self._pool(definition)
        result = self._search(pool, definition.name, excluded_agent)
        for option in (result.best, result.excluded):
            if option.agent is not None and self._is_worth_starting(
                pool, option, waiting_count
            ):
                return option.agent
        return None

    def _search(self, pool, class_name, excluded_agent):
        """Return the options among the agents with room where a task ends first."""
        result = SearchResult()
        position = 0
        while position < len(pool.candidates):
            run_ms, _, agent = pool.candidates[position]
            if run_ms >= result.best.end_ms:
                break
            if not self._is_usable(agent) or not agent.has_room(class_name):
                pool.exclude(position)
                continue
            position += 1
            end_ms = run_ms + agent.expected_wait_ms(run_ms)
            if agent.name == excluded_agent:
                result.excluded = PlacementOption(agent, end_ms)
            elif end_ms < result.best.end_ms:
                result.best = PlacementOption(agent, end_ms)
        return result

    def _is_worth_starting(self, pool, option, waiting_count):
        """Return whether to start at the option's agent rather than wait.

        An agent with a late end is used only if the queue is too long for the faster
        agents to run it before then.
        """
        if option.end_ms <= self._best_end_ms(pool) * MAX_END_TIME_FACTOR:
            return True
        return waiting_count > self._tasks_served_within(pool, option.end_ms)

    def _best_end_ms(self, pool):
        """Return the earliest expected end in ms, whether agents have room or not."""
        ends_ms = (
            run_ms + agent.expected_wait_ms(run_ms)
            for run_ms, _, agent in pool.ranking[:FASTEST_AGENTS_CONSIDERED]
            if self._is_usable(agent)
        )
        return min(ends_ms, default=math.inf)

    def _tasks_served_within(self, pool, limit_ms):
        """Return how many tasks run within ``limit_ms`` at agents faster than that."""
        tasks_served = 0.0
        for run_ms, _, agent in pool.ranking:
            if run_ms >= limit_ms:
                break
            if self._is_usable(agent):
                tasks_served += agent.slots * limit_ms / run_ms
        return tasks_served

    def _is_usable(self, agent):
        return agent.accepts_starts and self._outlier_detector.may_start(
            agent.endpoint, len(agent.in_flight)
        )

    def _pool(self, definition):
        now_ms = self._clock.now_ms()
        pool = self._pools.get(definition.name)
        if pool is None or now_ms - pool.created_ms >= POOL_LIFETIME_MS:
            pool = ClassPool.from_agents(
                definition, self._agents.values(), self._estimates, now_ms
            )
            self._pools[definition.name] = pool
        return pool
