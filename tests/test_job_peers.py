"""Exchange of members and configurations between the entries of a deployment."""

import asyncio
import unittest
from unittest import mock

from plantainhitch.clock import ManualClock
from plantainhitch.coordination.jobs import peers
from plantainhitch.coordination.jobs.peers import PEER_GRACE_MS, Peers
from plantainhitch.protocol import messages as m
from plantainhitch.state.members import Member
from plantainhitch.state.routes import RouteTable
from plantainhitch.transport.addresses import Address


def member(name, role=m.ROLE_AGENT):
    """Return a member with the given name, each with an address of its own."""
    host = f"10.0.0.{sum(name.encode()) % 256}"
    return Member(role, name.encode() * 2, name, "z", "r", "", f"{host}:1", "")


class FakeMembership:
    """Stands in for ``Membership``: members by incarnation."""

    def __init__(self, *members):
        self.members = {item.incarnation: item for item in members}
        self.stored = set(self.members)
        self.is_current = True
        self.on_change = lambda: None

    def present_members(self):
        """Return all members."""
        return list(self.members.values())

    def unstored_members(self):
        """Return the members that were introduced."""
        return [item for key, item in self.members.items() if key not in self.stored]

    def find_entry(self, incarnation):
        """Return a member, or None."""
        return self.members.get(incarnation)

    def entries(self, region):
        """Return no entry to dial."""
        return ()

    def add_introduced(self, new):
        """Add a member that is new."""
        if new.incarnation not in self.members:
            self.members[new.incarnation] = new
            self.on_change()


class FakeLink:
    """A link that stays open; ``deliver`` passes in a message of the peer."""

    def __init__(self):
        self.introduced_names = []
        self.configurations = []
        self.requests = 0
        self.deliver = None

    def send(self, message):
        """Record configurations, and the names of introduced members."""
        match message:
            case m.Introduction([]):
                self.requests += 1
            case m.Introduction(members):
                self.introduced_names.extend(
                    Member.from_json(item).name for item in members
                )
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
    """Each member is introduced once to each peer; newer configurations are pushed."""

    async def asyncSetUp(self):
        self.own = member("own", m.ROLE_ENTRY)
        self.membership = FakeMembership(member("a"), member("b"))
        self.routes = FakeRoutes()
        self.clock = ManualClock(10_000)
        self.peers = Peers(
            self.clock, self.own, None, self.membership, self.routes, None
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

    async def test_a_new_peer_is_introduced_to_members_that_are_not_stored(self):
        # All peers read the others from the store. Sent to each peer by each other,
        # 195 members are 230,000 records at the start of 35 entries.
        self.assertEqual(["own"], self.links[0].introduced_names)
        self.membership.add_introduced(member("c"))
        link = FakeLink()
        task = asyncio.create_task(
            self.peers._serve(link, m.Hello(m.ROLE_ENTRY, b"z", "peer"))
        )
        self.tasks.append(task)
        await asyncio.sleep(0)
        self.assertEqual(["c", "own"], sorted(link.introduced_names))

    async def test_a_peer_that_asks_is_introduced_to_all_members(self):
        # It can't read the store.
        self.links[0].deliver(m.Envelope(m.Introduction([])))
        self.assertEqual(["a", "b", "own"], sorted(self.links[0].introduced_names))
        self.assertEqual(["own"], self.links[1].introduced_names)

    async def test_peers_are_asked_for_members_while_the_store_is_away(self):
        self.peers._request_members()
        requests = [link.requests for link in self.links]
        self.assertEqual([1, 1], requests)

    async def test_members_that_join_are_introduced_once_each(self):
        # When many machines join within a second, a list of all members per change
        # would fill slow links that also carry jobs.
        for number in range(20):
            self.membership.add_introduced(member(f"new-{number}"))
        for link in self.links:
            self.assertEqual(21, len(link.introduced_names))
            self.assertEqual(
                len(set(link.introduced_names)), len(link.introduced_names)
            )

    async def test_a_member_is_not_introduced_back_to_its_source(self):
        message = m.Introduction([member("c").to_json()])
        self.links[0].deliver(m.Envelope(message))
        self.assertNotIn("c", self.links[0].introduced_names)
        self.assertIn("c", self.links[1].introduced_names)

    async def test_a_configuration_is_pushed_only_to_peers_without_it(self):
        # When a configuration with many routes changes several times a second, sending
        # each document to all peers would fill the links.
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

    async def test_a_peer_is_alive_while_it_has_a_link_and_shortly_after(self):
        peer = member("peer", m.ROLE_ENTRY)
        self.membership.add_introduced(peer)
        self.assertFalse(self.peers.is_alive(peer.link))
        hello = m.Hello(m.ROLE_ENTRY, peer.incarnation, peer.name)
        task = asyncio.create_task(self.peers._serve(FakeLink(), hello))
        await asyncio.sleep(0)
        self.clock.advance(60_000)
        self.assertTrue(self.peers.is_alive(peer.link))
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        self.assertTrue(self.peers.is_alive(peer.link))
        self.clock.advance(PEER_GRACE_MS)
        self.assertFalse(self.peers.is_alive(peer.link))

    async def test_a_peer_that_is_linked_is_not_dialled(self):
        # With a link in each direction, entries told one another everything twice.
        peer = member("peer", m.ROLE_ENTRY)
        self.membership.add_introduced(peer)
        hello = m.Hello(m.ROLE_ENTRY, peer.incarnation, peer.name)
        served = asyncio.create_task(self.peers._serve(FakeLink(), hello))
        self.tasks.append(served)
        await asyncio.sleep(0)
        self.peers._make_hello = lambda: None
        address = Address.from_text(peer.link)
        with mock.patch.object(peers, "open_link") as open_link:
            open_link.return_value = None, None
            dialling = asyncio.create_task(self.peers._maintain_link(address))
            for _ in range(20):
                await asyncio.sleep(0)
            self.assertEqual(0, open_link.call_count)
            served.cancel()
            for _ in range(20):
                await asyncio.sleep(0)
            self.assertGreater(open_link.call_count, 0)
            dialling.cancel()

    async def test_an_ended_link_is_removed(self):
        self.tasks[0].cancel()
        await asyncio.gather(self.tasks[0], return_exceptions=True)
        self.assertEqual(1, self.peers.link_count)


if __name__ == "__main__":
    unittest.main()
