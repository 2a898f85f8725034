"""What entries tell one another: members and the newest configuration.

The store is where both are kept. While it is away, or serves only some machines, a
process that starts learns from others what it needs: it dials the hosts named in
its settings, and entries keep links among each other.
"""

import msgspec

from ... import logs
from ...protocol import messages as m
from ...state.members import Member
from ...transport.addresses import Address
from ..agent_links import exchange_hellos
from ..background import spawn
from ..backoff import Backoff
from ..introductions import open_link

FIRST_REDIAL_MS = 200
MAX_REDIAL_MS = 1_500
# Most peers have a new configuration from the store within some ten ms; the others get
# it this long after, well below the 2 s in which it has to be in force.
PUSH_AFTER_MS = 300

log = logs.get_logger("peers")


class Peers:
    """An entry's links to other entries, and to agents that introduce themselves.

    ``decode_routes(document)`` returns a ``RouteTable`` or raises ValueError.
    """

    def __init__(self, clock, own, hello, membership, routes, decode_routes):
        self._clock = clock
        self._own = own
        self._hello = hello
        self._membership = membership
        self._routes = routes
        self._decode_routes = decode_routes
        # By link: the incarnations that the other side is known to know.
        self._links = {}
        # By link: the newest configuration that the other side has named.
        self._versions = {}
        self._dialled = set()
        self._tasks = set()

    @property
    def count(self):
        """How many links are open."""
        return len(self._links)

    def dial(self, address):
        """Keep a link to the entry at an address, given as ``IP:port``."""
        if address in self._dialled or address == self._own.link:
            return
        self._dialled.add(address)
        spawn(self._keep_link(Address.from_text(address)), self._tasks)

    def tell_members(self):
        """Tell the peers of members that are new; dial the entries among them."""
        for member in self._membership.entries(self._own.region):
            self.dial(member.link)
        for link in self._links:
            self._introduce_new(link)

    def tell_routes(self, table):
        """Tell the peers which configuration is here; send it to those that lack it."""
        for link in self._links:
            link.send(m.Configuration(table.version, b""))
        spawn(self._push_routes(table), self._tasks)

    async def serve_link(self, link):
        """Serve a link that another process has opened, until it ends."""
        hello = await exchange_hellos(link, self._hello())
        if hello is None:
            link.close("no hello")
            return
        await self._serve(link, hello)

    def close(self):
        """End all links."""
        for task in self._tasks:
            task.cancel()
        for link in list(self._links):
            link.close("the entry ends")

    async def _keep_link(self, address):
        backoff = Backoff(first_delay_ms=FIRST_REDIAL_MS, max_delay_ms=MAX_REDIAL_MS)
        while True:
            link, hello = await open_link(address, self._clock, self._hello())
            if hello is not None and hello.incarnation == self._own.incarnation:
                link.close("our own address")
                return
            if hello is not None:
                backoff.reset()
                await self._serve(link, hello)
            await self._clock.sleep_ms(backoff.next_delay_ms())

    async def _serve(self, link, hello):
        self._links[link] = {hello.incarnation}
        self._versions[link] = hello.configuration_version
        self._introduce_new(link)
        table = self._routes.table
        if table is not None and table.version > hello.configuration_version:
            link.send(m.Configuration(table.version, table.document))
        try:
            closed = await link.run(lambda envelope: self._receive(link, envelope))
            log.info("peer link ended", peer=hello.name, why=closed.detail)
        finally:
            del self._links[link], self._versions[link]

    async def _push_routes(self, table):
        """Send a configuration to the peers that have not got it from the store."""
        await self._clock.sleep_ms(PUSH_AFTER_MS)
        if table is not self._routes.table:
            return
        for link, version in self._versions.items():
            if version < table.version:
                link.send(m.Configuration(table.version, table.document))

    def _receive(self, link, envelope):
        match envelope.message:
            case m.Introduction(members):
                self._learn(link, members)
            case m.Configuration(version, document):
                self._versions[link] = max(version, self._versions[link])
                if document:
                    self._take_routes(version, document)

    def _learn(self, link, members):
        for data in members:
            try:
                member = Member.from_json(data)
            except (msgspec.DecodeError, ValueError, TypeError) as error:
                log.warning("unreadable member from a peer", why=str(error))
                continue
            self._links[link].add(member.incarnation)
            if member.incarnation != self._own.incarnation:
                self._membership.add_introduced(member)

    def _take_routes(self, version, document):
        try:
            table = self._decode_routes(document)
        except (msgspec.DecodeError, ValueError) as error:
            log.warning("unreadable configuration", version=version, why=str(error))
            return
        self._routes.take(table)

    def _introduce_new(self, link):
        """Tell the other side of a link the members that it may not know.

        Each is told once: a list of all members for each change would fill the links
        of a large fleet while machines join.
        """
        told = self._links[link]
        known = {
            member.incarnation: member for member in self._membership.present_members()
        }
        known[self._own.incarnation] = self._own
        new = [known[name] for name in known if name not in told]
        if new:
            told.update(member.incarnation for member in new)
            link.send(m.Introduction([member.to_json() for member in new]))
