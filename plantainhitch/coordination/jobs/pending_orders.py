"""Collects the orders for each agent until the end of a round."""

from dataclasses import dataclass, field

from ...protocol import messages as m


@dataclass(slots=True)
class _Orders:
    starts: list = field(default_factory=list)
    stops: list = field(default_factory=list)
    expected_runs: list = field(default_factory=list)
    is_resync: bool = False


class PendingOrders:
    """The orders that the next round sends, by ``AgentView``."""

    def __init__(self):
        self._orders_by_agent = {}

    def add_start(self, agent, start):
        """Add a ``RunStart``."""
        self._for_agent(agent).starts.append(start)

    def add_stop(self, agent, key):
        """Add the stop of the run with that key."""
        self._for_agent(agent).stops.append(key)

    def add_resync(self, agent):
        """Make the next orders a resync that names all runs at the agent."""
        orders = self._for_agent(agent)
        orders.is_resync = True
        orders.expected_runs.extend(task.key for task in agent.tasks.values())

    def discard(self, agent):
        """Drop the orders for an agent that is gone."""
        self._orders_by_agent.pop(agent, None)

    def take_messages(self):
        """Return pairs of an agent and its ``RunOrders``; those without a link lapse.

        An agent that links again gets a resync.
        """
        orders_by_agent, self._orders_by_agent = self._orders_by_agent, {}
        messages = []
        for agent, orders in orders_by_agent.items():
            if agent.link is None:
                continue
            agent.last_order_number += 1
            message = m.RunOrders(
                agent.last_order_number,
                orders.starts,
                orders.stops,
                orders.expected_runs,
                orders.is_resync,
            )
            messages.append((agent, message))
        return messages

    def _for_agent(self, agent):
        return self._orders_by_agent.setdefault(agent, _Orders())
