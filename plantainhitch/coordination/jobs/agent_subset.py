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

    def select(self, entries, agents):
        """Return the agents to be linked to, of the ``Member`` objects given.

        ``entries`` are those taken to be alive, this entry among them. Members are
        told apart by their link addresses, which last through a restart.
        """
        zone_by_entry = {entry.link: entry.zone for entry in entries}
        if len(zone_by_entry) <= ENTRIES_PER_AGENT:
            return list(agents)
        return [agent for agent in agents if self._is_selected(agent, zone_by_entry)]

    def _is_selected(self, agent, zone_by_entry):
        ranked = sorted(
            zone_by_entry, key=lambda address: self._score(address, agent.link)
        )
        nearby = [entry for entry in ranked if zone_by_entry[entry] == agent.zone]
        nearby = nearby[:NEARBY_ENTRIES_PER_AGENT]
        distant = [entry for entry in ranked if entry not in nearby]
        selected = nearby + distant[: ENTRIES_PER_AGENT - len(nearby)]
        return self._own_address in selected

    def _score(self, entry_address, agent_address):
        key = entry_address, agent_address
        score = self._scores.get(key)
        if score is None:
            text = f"{entry_address} {agent_address}".encode()
            digest = hashlib.blake2b(text, digest_size=_SCORE_BYTES).digest()
            score = self._scores[key] = digest
        return score
