"""Chooses the agent for a waiting task, and what to ask of agents without credits.

Agents are ranked by the expected run time of the class. A task goes to the best
agent with a credit, unless enough faster agents are about to have a free slot
that waiting for one ends earlier. Compared with other ways in
``docs/design/placement.md``.
"""

from ..protocol.messages import Credit

# How long a ranking is used before it is made anew.
RANKING_MS = 250
# A faster agent is waited for only where that ends earlier by this factor.
WAIT_MARGIN = 1.0


class Placement:
    """Ranks agents for each class and picks one for each task."""

    def __init__(self, clock, estimates, judge):
        self._clock = clock
        self._estimates = estimates
        self._judge = judge
        self._agents = {}
        self._rankings = {}
        # The agents last asked for credits, by class, with the count.
        self._asked = {}
        self._entry_count = 1

    def set_agents(self, agents):
        """Use these agents (by incarnation) from now on."""
        self._agents = agents
        self.invalidate()

    def set_entry_count(self, count):
        """Say how many entries share the agents, this one included."""
        self._entry_count = max(1, count)

    def invalidate(self):
        """Make the rankings anew when they are next needed."""
        self._rankings.clear()

    def any_fits(self, definition):
        """Return whether some known endpoint is large enough for the class."""
        return any(agent.fits(definition) for agent in self._agents.values())

    def choose(self, definition, waiting, waited_ms, excluded=""):
        """Return the agent for the first of ``waiting`` tasks, or None to wait.

        ``waited_ms`` is how long the first one has waited; it never waits for
        longer than a faster endpoint could save.
        """
        better_later = 0
        fastest_ms = None
        fallback = None
        for expected_ms, agent in self._ranking(definition):
            if not self._usable(agent):
                continue
            if fastest_ms is None:
                fastest_ms = expected_ms
            if not agent.has_credit(definition.name):
                continue
            if agent.name == excluded:
                fallback = agent
                continue
            if waited_ms > expected_ms - fastest_ms:
                return agent
            better_later = self._better_later(definition, expected_ms)
            return agent if waiting > better_later else None
        return fallback

    def wants(self, definition, waiting):
        """Return (agent, Credit) pairs: the credits to ask for.

        Covers the agents that are to be asked now, and those asked before of
        which nothing is wanted any more (count 0).
        """
        name = definition.name
        before = self._asked.pop(name, ())
        asked = self._spread(definition, waiting) if waiting else {}
        if asked:
            self._asked[name] = asked
        dropped = [a for a in before if a not in asked and a.wanted.get(name)]
        wanted = [(agent, Credit(name, count)) for agent, count in asked.items()]
        return wanted + [(agent, Credit(name, 0)) for agent in dropped]

    def _spread(self, definition, waiting):
        """Spread the waiting tasks over the agents whose slots free first."""
        ranking = self._ranking(definition)
        limit_ms = self._slowest_with_credit_ms(ranking)
        asked = {}
        for expected_ms, agent in ranking:
            if waiting <= 0:
                break
            if agent.has_credit(definition.name) or not self._usable(agent):
                continue
            gap_ms = self._gap_ms(agent, definition.name)
            free_in_time = int((limit_ms - expected_ms) / gap_ms)
            count = min(waiting, max(1, free_in_time), agent.slots)
            asked[agent] = count
            waiting -= count
        return asked

    def _slowest_with_credit_ms(self, ranking):
        """Return up to which run time it is worth while to wait for a slot."""
        for expected_ms, agent in ranking:
            if agent.credit_count:
                return expected_ms
        return ranking[-1][0] * 2 if ranking else 0

    def _better_later(self, definition, limit_ms):
        """Count the slots that free so early that waiting beats ``limit_ms``."""
        count = 0
        for expected_ms, agent in self._ranking(definition):
            spare_ms = limit_ms * WAIT_MARGIN - expected_ms
            if spare_ms <= 0:
                break
            if self._usable(agent) and not agent.has_credit(definition.name):
                count += int(spare_ms / self._gap_ms(agent, definition.name))
        return count

    def _gap_ms(self, agent, class_name):
        """Return the expected time between free slots that come to this entry."""
        run_ms = self._estimates.expected_ms(agent.endpoint, class_name)
        return max(run_ms * self._entry_count / max(agent.slots, 1), 1.0)

    def _usable(self, agent):
        return agent.accepts and self._judge.may_start(
            agent.endpoint, len(agent.in_flight)
        )

    def _ranking(self, definition):
        now_ms = self._clock.now_ms()
        cached = self._rankings.get(definition.name)
        if cached and now_ms - cached[0] < RANKING_MS:
            return cached[1]
        expected = self._estimates.expected_ms
        ranking = sorted(
            (
                (expected(agent.endpoint, definition.name), agent)
                for agent in self._agents.values()
                if agent.fits(definition)
            ),
            key=lambda item: (item[0], item[1].name),
        )
        self._rankings[definition.name] = (now_ms, ranking)
        return ranking
