"""Choice of the agents that an entry keeps a link to.

An agent is linked to a few entries only, so that the number of links grows with the
number of agents, and not with its product with that of the entries. The choice is made
by rendezvous hashing: entries that know the same members agree on it without a
message, and an entry that comes or goes moves only its own share of the links.

The choice never decides who may own a run. An entry may order a start at any agent
that it is linked to; where two entries disagree about the members, an agent has a few
links more or less.
"""

import hashlib

# The number of entries that an agent is linked to. The loss of a third of the entries
# leaves nearly every agent with several links.
ENTRIES_PER_AGENT = 8
# Of these, the number of entries in the agent's own availability zone, because bytes
# between zones have a price.
NEARBY_ENTRIES_PER_AGENT = 4
_SCORE_BYTES = 8


class AgentSubset:
    """Selects agents for the entry at the link address ``own_address``."""

    def __init__(self, own_address):
        self._own_address = own_address
        # By the addresses of an entry and an agent.
        self._scores = {}
        # The entries of the last selection, and whether they selected an agent, by the
        # address of the agent. Agents often become known one after another.
        self._zone_by_entry = {}
        self._is_selected_by_agent = {}

    def select(self, entries, agents):
        """Return the agents to be linked to, of the ``Member`` objects given.

        ``entries`` are those taken to be alive, this entry among them. Members are
        told apart by their link addresses, which last through a restart.
        """
        zone_by_entry = {entry.link: entry.zone for entry in entries}
        if zone_by_entry != self._zone_by_entry:
            self._zone_by_entry = zone_by_entry
            self._is_selected_by_agent = {}
        if len(zone_by_entry) <= ENTRIES_PER_AGENT:
            return list(agents)
        return [agent for agent in agents if self._is_selected(agent)]

    def _is_selected(self, agent):
        is_selected = self._is_selected_by_agent.get(agent.link)
        if is_selected is None:
            is_selected = self._own_address in self._entries_of(agent)
            self._is_selected_by_agent[agent.link] = is_selected
        return is_selected

    def _entries_of(self, agent):
        """Return the addresses of the entries that are linked to an agent."""
        ranked = sorted(
            self._zone_by_entry, key=lambda address: self._score(address, agent.link)
        )
        nearby = [
            entry for entry in ranked if self._zone_by_entry[entry] == agent.zone
        ][:NEARBY_ENTRIES_PER_AGENT]
        distant = [entry for entry in ranked if entry not in nearby]
        return nearby + distant[: ENTRIES_PER_AGENT - len(nearby)]

    def _score(self, entry_address, agent_address):
        key = entry_address, agent_address
        score = self._scores.get(key)
        if score is None:
            text = f"{entry_address} {agent_address}".encode()
            score = hashlib.blake2b(text, digest_size=_SCORE_BYTES).digest()
            self._scores[key] = score
        return score
