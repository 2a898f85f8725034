"""Chooses the agent for a waiting task.

Agents are ranked by the expected run time of the class. A task goes where it is
expected to end first, counting what waits there already. It stays at the entry
where that would take much longer than at an agent which can't be sent more now.
Compared with other ways in ``docs/design/placement.md``.
"""

import bisect
import math
from dataclasses import dataclass

from .agents import AgentView

# How long the pool of a class is used before it is made anew.
POOL_LIFETIME_MS = 250
# A task is kept back where it would end later than this many times the best end.
MAX_END_TIME_FACTOR = 4.0
# Of how many of the fastest agents the best end is taken.
FASTEST_AGENTS_CONSIDERED = 8


class ClassPool:
    """The agents for one class by expected run time, and which may have room.

    An agent found without room is left out until its load changes, so that a
    search doesn't walk over all the busy ones of a large fleet.
    """

    def __init__(self, created_ms, ranking):
        self._created_ms = created_ms
        self._ranking = ranking
        self._run_ms = {agent: run_ms for run_ms, _, agent in ranking}
        self._candidates = list(ranking)
        self._candidate_agents = set(self._run_ms)

    @classmethod
    def from_agents(cls, definition, agents, estimates, now_ms):
        """Return the pool of those agents that tasks of the class fit."""
        ranking = [
            (estimates.expected_ms(agent.endpoint, definition.name), agent.name, agent)
            for agent in agents
            if agent.fits(definition)
        ]
        ranking.sort(key=lambda item: item[:2])
        return cls(now_ms, ranking)

    @property
    def created_ms(self):
        """When the pool was made."""
        return self._created_ms

    @property
    def ranking(self):
        """All agents as (expected run time in ms, name, agent), fastest first."""
        return self._ranking

    @property
    def candidates(self):
        """Those of the ranking that may have room."""
        return self._candidates

    def exclude(self, position):
        """Leave out the open agent at ``position``, which has no room."""
        _, _, agent = self._candidates.pop(position)
        self._candidate_agents.discard(agent)

    def readmit(self, agent):
        """Take an agent in again: its load has changed."""
        run_ms = self._run_ms.get(agent)
        if run_ms is None or agent in self._candidate_agents:
            return
        self._candidate_agents.add(agent)
        item = (run_ms, agent.name, agent)
        bisect.insort(self._candidates, item, key=lambda item: item[:2])


@dataclass(frozen=True, slots=True)
class PlacementOption:
    """An agent, and when a task would end there, in ms from now."""

    agent: AgentView | None = None
    end_ms: float = math.inf


@dataclass(slots=True)
class SearchResult:
    """The best agent, and the excluded one where it has room as well."""

    best: PlacementOption = PlacementOption()
    excluded: PlacementOption = PlacementOption()


class Placement:
    """Keeps a pool of agents for each class and picks one for each task."""

    def __init__(self, clock, estimates, outlier_detector):
        self._clock = clock
        self._estimates = estimates
        self._outlier_detector = outlier_detector
        self._agents = {}
        self._pools = {}

    def set_agents(self, agents):
        """Use these agents (by incarnation) from now on."""
        self._agents = agents
        self.invalidate()

    def invalidate(self):
        """Make the pools anew when they are next needed."""
        self._pools.clear()

    def agent_load_changed(self, agent):
        """Note that an agent's load has changed."""
        for pool in self._pools.values():
            pool.readmit(agent)

    def any_fits(self, definition):
        """Return whether some known endpoint is large enough for the class."""
        return any(agent.fits(definition) for agent in self._agents.values())

    def choose(self, definition, waiting_count=1, excluded_agent=""):
        """Return the agent for the first of ``waiting`` tasks, or None to wait.

        ``excluded`` is the name of an agent to be used only where there is no
        other.
        """
        pool = self._pool(definition)
        found = self._search(pool, definition.name, excluded_agent)
        for option in (found.best, found.excluded):
            if option.agent is not None and self._is_worth_starting(
                pool, option, waiting_count
            ):
                return option.agent
        return None

    def _search(self, pool, class_name, excluded_agent):
        """Return where a task ends first among the agents with room."""
        found = SearchResult()
        position = 0
        while position < len(pool.candidates):
            run_ms, _, agent = pool.candidates[position]
            if run_ms >= found.best.end_ms:
                break
            if not self._is_usable(agent) or not agent.has_room(class_name):
                pool.exclude(position)
                continue
            position += 1
            end_ms = run_ms + agent.expected_wait_ms(run_ms)
            if agent.name == excluded_agent:
                found.excluded = PlacementOption(agent, end_ms)
            elif end_ms < found.best.end_ms:
                found.best = PlacementOption(agent, end_ms)
        return found

    def _is_worth_starting(self, pool, option, waiting_count):
        """Return whether an agent is worth taking now rather than waiting."""
        if option.end_ms <= self._best_end_ms(pool) * MAX_END_TIME_FACTOR:
            return True
        return waiting_count > self._tasks_served_within(pool, option.end_ms)

    def _best_end_ms(self, pool):
        """Return how soon a task would end if every agent had room."""
        ends_ms = (
            run_ms + agent.expected_wait_ms(run_ms)
            for run_ms, _, agent in pool.ranking[:FASTEST_AGENTS_CONSIDERED]
            if self._is_usable(agent)
        )
        return min(ends_ms, default=math.inf)

    def _tasks_served_within(self, pool, limit_ms):
        """Return how many tasks the faster agents can run in ``limit_ms``."""
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
