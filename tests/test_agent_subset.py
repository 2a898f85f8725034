"""Which agents an entry keeps a link to, as the number of entries grows.

Load pattern: a fleet at rest. With a link between each entry and each agent, heartbeats
alone took most of the processor time of 35 entries and 160 agents.
"""

import asyncio
import unittest
from collections import Counter
from dataclasses import replace

from plantainhitch.clock import Clock, ManualClock
from plantainhitch.coordination.jobs.agent_connections import (
    SURPLUS_LINK_RETENTION_MS,
    AgentConnections,
)
from plantainhitch.coordination.jobs.agent_subset import (
    ENTRIES_PER_AGENT,
    NEARBY_ENTRIES_PER_AGENT,
    AgentSubset,
)
from plantainhitch.coordination.jobs.fleet import Fleet
from plantainhitch.protocol import messages as m
from plantainhitch.state.members import Member

from .deployment import LEASE_TIMES

ZONES = 6


def member(role, number):
    """Return a member; members are spread evenly over the zones."""
    zone = f"z{number % ZONES}"
    name = f"{role}-{number}"
    return Member(role, name.encode(), name, zone, "r", "", f"{name}:1", "")


def members(role, count):
    """Return ``count`` members."""
    return [member(role, number) for number in range(count)]


def subsets(entries, agents):
    """Return the names of the agents that each entry selects, by the entry's name."""
    return {
        entry.name: {
            agent.name for agent in AgentSubset(entry.link).select(entries, agents)
        }
        for entry in entries
    }


class AgentSubsetTests(unittest.TestCase):
    """Selection by entries that know the same members."""

    def test_a_small_fleet_is_a_full_mesh(self):
        agents = members(m.ROLE_AGENT, 11)
        entries = members(m.ROLE_ENTRY, ENTRIES_PER_AGENT)
        for names in subsets(entries, agents).values():
            self.assertEqual({agent.name for agent in agents}, names)

    def test_each_agent_has_the_same_number_of_entries_at_any_size(self):
        for entry_count, agent_count in ((9, 57), (35, 160), (80, 400)):
            with self.subTest(entries=entry_count):
                entries = members(m.ROLE_ENTRY, entry_count)
                agents = members(m.ROLE_AGENT, agent_count)
                counts = Counter()
                for names in subsets(entries, agents).values():
                    counts.update(names)
                self.assertEqual({ENTRIES_PER_AGENT}, set(counts.values()))
                self.assertEqual(agent_count, len(counts))

    def test_the_agents_are_spread_over_the_entries(self):
        selected = subsets(members(m.ROLE_ENTRY, 35), members(m.ROLE_AGENT, 160))
        mean = 160 * ENTRIES_PER_AGENT / 35
        for names in selected.values():
            self.assertGreater(len(names), mean / 2)
            self.assertLess(len(names), mean * 2)

    def test_part_of_the_entries_are_in_the_zone_of_the_agent(self):
        entries = members(m.ROLE_ENTRY, 35)
        agents = members(m.ROLE_AGENT, 160)
        selected = subsets(entries, agents)
        for agent in agents:
            nearby = [
                entry
                for entry in entries
                if entry.zone == agent.zone and agent.name in selected[entry.name]
            ]
            self.assertGreaterEqual(len(nearby), NEARBY_ENTRIES_PER_AGENT)

    def test_the_loss_of_an_entry_moves_only_its_own_links(self):
        entries = members(m.ROLE_ENTRY, 35)
        agents = members(m.ROLE_AGENT, 160)
        before = subsets(entries, agents)
        after = subsets(entries[1:], agents)
        for name, names in after.items():
            self.assertLessEqual(before[name], names)

    def test_agents_that_become_known_one_by_one_are_selected_alike(self):
        entries = members(m.ROLE_ENTRY, 35)
        agents = members(m.ROLE_AGENT, 160)
        subset = AgentSubset(entries[0].link)
        for count in range(160):
            subset.select(entries, agents[:count])
        found = {agent.name for agent in subset.select(entries, agents)}
        self.assertEqual(subsets(entries, agents)[entries[0].name], found)

    def test_a_third_of_the_entries_lost_leaves_links_to_nearly_all_agents(self):
        # Before the others know of the loss.
        entries = members(m.ROLE_ENTRY, 35)
        agents = members(m.ROLE_AGENT, 160)
        selected = subsets(entries, agents)
        reached = set().union(*(selected[entry.name] for entry in entries[12:]))
        self.assertGreaterEqual(len(reached), 158)


class FakeMembership:
    """The members that an entry knows."""

    def __init__(self, entries, agents):
        self._entries, self._agents = entries, agents

    def entries(self, region):
        """Return all entries."""
        return self._entries

    def agents(self, region):
        """Return all agents."""
        return self._agents


class FakePeers:
    """Peers that are alive, except those at the addresses in ``lost``."""

    def __init__(self):
        self.lost = set()

    def is_alive(self, address):
        """Return whether a peer is alive."""
        return address not in self.lost


class DialTests(unittest.IsolatedAsyncioTestCase):
    """The tasks that dial agents."""

    async def test_they_end_when_the_entry_ends(self):
        # An entry that has stopped must not open links again.
        entry, agent = member(m.ROLE_ENTRY, 0), member(m.ROLE_AGENT, 0)
        agent = replace(agent, link="127.0.0.1:1")
        connections = AgentConnections(
            Clock(),
            entry,
            FakeMembership([entry], [agent]),
            FakePeers(),
            fleet=None,
            make_hello=lambda: None,
            post=lambda event: None,
        )
        connections.update()
        (task,) = connections._tasks
        await asyncio.sleep(0.01)
        connections.close()
        await asyncio.wait([task], timeout=1)
        self.assertTrue(task.cancelled())


class ClosableLink:
    """An agent's link that records whether it is busy."""

    last_received_ms = 0

    def set_busy(self, is_busy):
        """Ignore it."""


class AgentConnectionsTests(unittest.IsolatedAsyncioTestCase):
    """Dialling and dropping of agents as peers come and go."""

    async def asyncSetUp(self):
        self.clock = ManualClock(10_000)
        self.entries = members(m.ROLE_ENTRY, 35)
        self.agents = members(m.ROLE_AGENT, 160)
        self.peers = FakePeers()
        self.fleet = Fleet(
            self.clock, LEASE_TIMES, zone="z0", remote_factor=1.0, rng=None
        )
        self.connections = AgentConnections(
            self.clock,
            self.entries[0],
            FakeMembership(self.entries, self.agents),
            self.peers,
            self.fleet,
            make_hello=None,
            post=lambda event: None,
        )
        # The dialers themselves are not under test.
        self.connections._dial = self._dial
        self.withdrawn = []

    def _dial(self, agent):
        test = self

        class FakeDialer:
            incarnation = agent.incarnation

            def withdraw(self, detail):
                test.withdrawn.append(agent.name)

        self.connections._dialers[agent.link] = FakeDialer()

    def update_later(self):
        """Update now, and once more when surplus links are due to be dropped."""
        self.connections.update()
        self.clock.advance(SURPLUS_LINK_RETENTION_MS)
        self.connections.update()

    async def test_the_agents_of_lost_peers_are_taken_over_and_given_back(self):
        self.connections.update()
        usual_count = self.connections.count
        self.peers.lost = {entry.link for entry in self.entries[20:]}
        self.connections.update()
        self.assertGreater(self.connections.count, 1.4 * usual_count)
        self.peers.lost = set()
        self.update_later()
        self.assertEqual(usual_count, self.connections.count)

    async def test_a_peer_that_is_back_soon_moves_no_link(self):
        self.connections.update()
        self.peers.lost = {self.entries[1].link}
        self.connections.update()
        self.peers.lost = set()
        self.connections.update()
        self.assertEqual([], self.withdrawn)

    async def test_a_surplus_link_with_runs_is_kept(self):
        self.peers.lost = {entry.link for entry in self.entries[1:]}
        self.connections.update()
        self.peers.lost = set()
        self.connections.update()
        surplus = next(
            agent
            for agent in self.agents
            if agent.link not in self.connections._selected_addresses
        )
        hello = m.Hello(m.ROLE_AGENT, surplus.incarnation, surplus.name, surplus.zone)
        view = self.fleet.add_link(hello, ClosableLink())
        view.tasks["task"] = object()
        self.update_later()
        self.assertNotIn(surplus.name, self.withdrawn)
        view.tasks.clear()
        self.update_later()
        self.assertIn(surplus.name, self.withdrawn)


if __name__ == "__main__":
    unittest.main()
