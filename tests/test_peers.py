"""Tests of calls and pushes between entries, over real links on loopback."""

import unittest

from returns.result import Success

from plantainhitch.clock import Clock
from plantainhitch.coordination.configuration_push import ConfigurationPusher
from plantainhitch.coordination.membership import Membership
from plantainhitch.coordination.peers import OtherIncarnation, PeerCaller, PeerServer
from plantainhitch.protocol import messages as m
from plantainhitch.protocol.calls import Fetch, JobAnswer, JobState
from plantainhitch.standins.table import MemoryPlatform
from plantainhitch.state.members import Member
from plantainhitch.transport import links
from plantainhitch.transport.addresses import Address
from plantainhitch.transport.platform import TABLE_MEMBERS, Write

OLD, NEW, CALLER = (bytes([number]) * 16 for number in (1, 2, 3))
ID = b"i" * 40


def entry(incarnation, link, region="south"):
    """Return a ``Member`` for an entry that is registered at ``link``."""
    name = f"entry-{incarnation[0]}"
    return Member(
        m.ROLE_ENTRY, incarnation, name, f"{region}-1", region, "r1", link, ""
    )


class ListeningEntry:
    """An entry whose answer to every fetch contains its own incarnation."""

    def __init__(self, incarnation):
        self.incarnation = incarnation
        self.configurations = []
        self._peers = PeerServer(
            self._hello, self._handle_call, self.configurations.append
        )
        self._server = None

    async def listen(self, port=0):
        """Start to listen and return the address."""
        self._server = await links.listen(
            Address("127.0.0.1", port), Clock(), self._peers.serve
        )
        return Address(*self._server.sockets[0].getsockname()[:2])

    def stop_listening(self):
        """Free the port; open links stay, as after a loss of power."""
        self._server.close()

    async def aclose(self):
        """Close the port and all links."""
        self._server.close()
        self._peers.close()

    def _hello(self):
        return m.Hello(m.ROLE_ENTRY, self.incarnation, "listening")

    async def _handle_call(self, call):
        return JobAnswer(call.submission + self.incarnation, JobState.RUNNING, {})


class PeerTest(unittest.IsolatedAsyncioTestCase):
    """A caller, and two entries that use the same address one after the other."""

    async def asyncSetUp(self):
        self.old, self.new = ListeningEntry(OLD), ListeningEntry(NEW)
        self.address = await self.old.listen()
        self.addAsyncCleanup(self.old.aclose)
        self.caller = PeerCaller(
            lambda: m.Hello(m.ROLE_ENTRY, CALLER, "caller"), Clock()
        )
        self.addAsyncCleanup(self.caller.aclose)

    async def fetch(self, incarnation):
        return await self.caller.forward(
            entry(incarnation, str(self.address)), Fetch(ID)
        )

    async def replace_old(self):
        self.old.stop_listening()
        await self.new.listen(self.address.port)
        self.addAsyncCleanup(self.new.aclose)

    async def test_link_to_the_old_incarnation_is_replaced(self):
        # The link to the old incarnation still seems to be open after its death. Using
        # it for a call to the new incarnation would wrongly prove the new one dead.
        self.assertEqual((await self.fetch(OLD)).submission, ID + OLD)
        await self.replace_old()
        self.assertEqual((await self.fetch(NEW)).submission, ID + NEW)

    async def test_answer_of_a_new_incarnation_proves_the_old_one_dead(self):
        await self.replace_old()
        answer = await self.fetch(OLD)
        self.assertIsInstance(answer, OtherIncarnation)
        self.assertEqual(answer.incarnation, NEW)


class PusherTest(unittest.IsolatedAsyncioTestCase):
    """Selection of the entries to which an accepted configuration is pushed."""

    async def asyncSetUp(self):
        platform = MemoryPlatform()
        self.members = [
            entry(bytes([16 * region + number]) * 16, "", f"region-{region}")
            for region in range(3)
            for number in range(6)
        ]
        writes = [Write(member.key, member.to_json()) for member in self.members]
        self.assertIsInstance(await platform.write(TABLE_MEMBERS, writes), Success)
        self.membership = Membership(platform, Clock())
        await self.membership.refresh()
        self.own = self.members[0]
        self.unreachable = set()
        self.sent = []

    async def send(self, member, message):
        self.sent.append(member)
        return member not in self.unreachable

    def count_sent(self, region):
        return sum(member.region == region for member in self.sent)

    def pusher(self):
        return ConfigurationPusher(self.own, self.membership, self.send)

    async def test_whole_own_region_and_some_of_each_other_region(self):
        await self.pusher().push_to_all(m.Configuration(1, b"{}"))
        self.assertNotIn(self.own, self.sent)
        self.assertEqual(self.count_sent("region-0"), 5)
        self.assertEqual(
            (self.count_sent("region-1"), self.count_sent("region-2")), (2, 2)
        )

    async def test_unreachable_entries_are_replaced_by_others(self):
        self.unreachable = set(self.members[6:11])
        await self.pusher().push_to_all(m.Configuration(1, b"{}"))
        self.assertIn(self.members[11], self.sent)
