"""What entries of a deployment tell one another of members."""

import asyncio
import unittest

from plantainhitch.clock import ManualClock
from plantainhitch.coordination.jobs.peers import Peers
from plantainhitch.protocol import messages as m
from plantainhitch.state.members import Member
from plantainhitch.state.routes import RouteTable


def member(name, role=m.ROLE_AGENT):
    """Return a member of that name."""
    return Member(role, name.encode() * 2, name, "z", "r", "", f"{name}:1", "")


class FakeMembership:
    """Members by incarnation, like ``Membership``."""

    def __init__(self, *members):
        self.members = {item.incarnation: item for item in members}
        self.on_change = lambda: None

    def present_members(self):
        """Return all members."""
        return list(self.members.values())

    def entries(self, region):
        """Return nobody to dial."""
        return ()

    def add_introduced(self, new):
        """Take in a member."""
        if new.incarnation not in self.members:
            self.members[new.incarnation] = new
            self.on_change()


class FakeLink:
    """A link that stays open; ``deliver`` hands in what the other side sends."""

    def __init__(self):
        self.names = []
        self.configurations = []
        self.deliver = None

    def send(self, message):
        """Keep configurations, and the names of introduced members."""
        match message:
            case m.Introduction(members):
                self.names.extend(Member.from_json(item).name for item in members)
            case m.Configuration(version, document):
                self.configurations.append((version, document))
        return True

    async def run(self, on_message):
        """Stay open until cancelled."""
        self.deliver = on_message
        await asyncio.Event().wait()


class FakeRoutes:
    """The configuration in force, none at first."""

    table = None


class IntroductionTests(unittest.IsolatedAsyncioTestCase):
    """Each member is told once to each peer."""

    async def asyncSetUp(self):
        self.own = member("own", m.ROLE_ENTRY)
        self.membership = FakeMembership(member("a"), member("b"))
        self.routes = FakeRoutes()
        self.peers = Peers(
            ManualClock(), self.own, None, self.membership, self.routes, None
        )
        self.membership.on_change = self.peers.announce_members
        self.links = [FakeLink(), FakeLink()]
        self.tasks = [
            asyncio.create_task(
                self.peers._serve(link, m.Hello(m.ROLE_ENTRY, name, "peer"))
            )
            for link, name in zip(self.links, (b"x", b"y"), strict=True)
        ]
        await asyncio.sleep(0)

    async def asyncTearDown(self):
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    async def test_a_peer_hears_of_all_members_at_first(self):
        self.assertEqual(["a", "b", "own"], sorted(self.links[0].names))

    async def test_machines_that_join_are_told_once_each(self):
        """Pattern: many machines join within a second, and slow links carry jobs."""
        for number in range(20):
            self.membership.add_introduced(member(f"new-{number}"))
        for link in self.links:
            self.assertEqual(23, len(link.names))
            self.assertEqual(len(set(link.names)), len(link.names))

    async def test_what_a_peer_has_told_is_not_told_back(self):
        message = m.Introduction([member("c").to_json()])
        self.links[0].deliver(m.Envelope(message))
        self.assertNotIn("c", self.links[0].names)
        self.assertIn("c", self.links[1].names)

    async def test_a_configuration_goes_to_peers_that_do_not_name_it(self):
        """Pattern: a configuration of many routes changes several times a second."""
        table = self.routes.table = RouteTable(7, (), 1_000, document=b"routes")
        self.peers.announce_routes(table)
        self.links[0].deliver(m.Envelope(m.Configuration(7, b"")))
        for _ in range(3):
            await asyncio.sleep(0)
        self.assertEqual([(7, b"")], self.links[0].configurations)
        self.assertEqual([(7, b""), (7, b"routes")], self.links[1].configurations)

    async def test_only_the_newest_configuration_is_sent(self):
        for version in (7, 8):
            table = RouteTable(version, (), 1_000, document=b"%d" % version)
            self.routes.table = table
            self.peers.announce_routes(table)
        for _ in range(3):
            await asyncio.sleep(0)
        documents = [text for _, text in self.links[0].configurations if text]
        self.assertEqual([b"8"], documents)

    async def test_an_ended_link_is_forgotten(self):
        self.tasks[0].cancel()
        await asyncio.gather(self.tasks[0], return_exceptions=True)
        self.assertEqual(1, self.peers.link_count)


if __name__ == "__main__":
    unittest.main()
