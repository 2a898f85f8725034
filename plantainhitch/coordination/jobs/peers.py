"""Exchange of members, evacuations and the newest configuration between entries.

All are kept in the store. While the store is unreachable, or reachable from some
machines only, a process that starts learns them from other processes: it dials the
hosts named in its settings, and entries keep links to each other. An entry that can't
read the store asks its peers for members.
"""

import random

from ... import logs
from ...protocol import messages as m
from ...state.evacuations import EvacuatedZones
from ...state.members import Member
from ...transport.addresses import Address
from ...transport.links import LinkTiming
from ..agent_links import exchange_hellos
from ..background import spawn
from ..backoff import Backoff
from ..evacuation import no_evacuations
from ..introductions import open_link

FIRST_REDIAL_MS = 200
MAX_REDIAL_MS = 1_500
# Most peers get a new configuration from the store within some ten ms. The others are
# sent it after this delay, well below the 2 s within which it has to be in force.
PUSH_DELAY_MS = 300
# Interval at which peers are asked for members while the store can't be read, and how
# many of them are asked.
REQUEST_INTERVAL_MS = 400
REQUESTED_PEERS = 3
# The delay after which the entry with the higher address of two dials the other.
SECOND_DIAL_DELAY_MS = 700
LINK_CHECK_INTERVAL_MS = 500
# A peer without a link is taken to be alive for this long, which is longer than its
# restart takes, or a first connection.
PEER_GRACE_MS = 3_000
# A peer that has lost its power or is cut off is silent. Its share of the agents goes
# to the other entries soon after.
PEER_LINK_TIMING = LinkTiming(heartbeat_ms=1_000, silence_timeout_ms=3_500)

log = logs.get_logger("peers")


class Peers:
    """An entry's links to other entries, and to agents that introduce themselves.

    ``own`` is this process's ``Member``, and ``hello()`` returns its ``Hello``.
    ``routes`` is the ``RouteWatch``. ``decode_routes(document)`` returns a
    ``RouteTable`` or raises ValueError. ``evacuations`` is the ``EvacuationState``, and
    ``on_evacuations(EvacuatedZones)`` takes what a peer sends.
    """

    def __init__(
        self,
        clock,
        own,
        hello,
        membership,
        routes,
        decode_routes,
        evacuations=None,
        on_evacuations=None,
    ):
        self._clock = clock
        self._own_member = own
        self._make_hello = hello
        self._membership = membership
        self._routes = routes
        self._decode_routes = decode_routes
        self._evacuations = evacuations or no_evacuations(clock)
        self._on_evacuations = on_evacuations or self._evacuations.apply
        # The links of processes that can read ``Evacuations``.
        self._evacuation_links = set()
        # By link: the incarnations that the peer is known to know.
        self._known_by_link = {}
        # By link: the newest configuration version that the peer has named.
        self._version_by_link = {}
        # By link: the incarnation of the peer.
        self._incarnation_by_link = {}
        self._dialled_addresses = set()
        # By the address of a peer: when its last link ended, or when it became known.
        self._last_alive_ms = {}
        self._tasks = set()

    @property
    def link_count(self):
        """The number of open links."""
        return len(self._known_by_link)

    def is_alive(self, address):
        """Return whether the link to a peer is open or was recently."""
        last_alive_ms = self._last_alive_ms.get(address)
        return self._is_linked(address) or (
            last_alive_ms is not None
            and self._clock.now_ms() - last_alive_ms < PEER_GRACE_MS
        )

    def dial(self, address):
        """Maintain a link to the entry at an address, given as ``IP:port``."""
        if address in self._dialled_addresses or address == self._own_member.link:
            return
        self._dialled_addresses.add(address)
        self._last_alive_ms[address] = self._clock.now_ms()
        spawn(self._maintain_link(Address.from_text(address)), self._tasks)

    def announce_members(self):
        """Dial entries that are new, and introduce members that are not stored yet."""
        for member in self._membership.entries(self._own_member.region):
            self.dial(member.link)
        unstored = self._membership.unstored_members()
        for link in self._known_by_link:
            self._introduce(link, unstored)

    def announce_routes(self, table):
        """Announce a configuration's version; push it later to peers without it."""
        for link in self._known_by_link:
            link.send(m.Configuration(table.version, b""))
        spawn(self._push_routes(table), self._tasks)

    def announce_evacuations(self):
        """Send the evacuated zones to all peers; called when the zones change."""
        for link in self._evacuation_links:
            link.send(evacuations_message(self._evacuations))

    async def run(self):
        """Ask peers for members while the store can't be read; never returns."""
        while True:
            await self._clock.sleep_ms(REQUEST_INTERVAL_MS)
            if not self._membership.is_current:
                self._request_members()

    async def serve_link(self, link):
        """Serve a link that another process has opened, until it ends."""
        hello = await exchange_hellos(link, self._make_hello())
        if hello is None:
            link.close("no hello")
            return
        await self._serve(link, hello)

    def close(self):
        """Close all links."""
        for task in self._tasks:
            task.cancel()
        for link in list(self._known_by_link):
            link.close("the entry shuts down")

    async def _maintain_link(self, address):
        """Dial a peer whenever neither side has a link to the other.

        Of two entries the one with the lower address dials first, so that usually a
        single link connects them.
        """
        backoff = Backoff(first_delay_ms=FIRST_REDIAL_MS, max_delay_ms=MAX_REDIAL_MS)
        dials_first = self._own_member.link < str(address)
        while True:
            if not dials_first:
                await self._clock.sleep_ms(SECOND_DIAL_DELAY_MS)
            if self._is_linked(str(address)):
                await self._clock.sleep_ms(LINK_CHECK_INTERVAL_MS)
                continue
            link, hello = await open_link(
                address, self._clock, self._make_hello(), PEER_LINK_TIMING
            )
            if hello is not None and hello.incarnation == self._own_member.incarnation:
                link.close("connected to itself")
                return
            if hello is not None:
                backoff.reset()
                await self._serve(link, hello)
            await self._clock.sleep_ms(backoff.next_delay_ms())

    def _is_linked(self, address):
        """Return whether a link to or from the entry at an address is open."""
        return any(
            self._address_of(incarnation) == address
            for incarnation in self._incarnation_by_link.values()
        )

    def _address_of(self, incarnation):
        """Return the link address of an entry, or None if it isn't known."""
        member = self._membership.find_entry(incarnation)
        return member.link if member is not None else None

    async def _serve(self, link, hello):
        self._known_by_link[link] = {hello.incarnation}
        self._version_by_link[link] = hello.configuration_version
        self._incarnation_by_link[link] = hello.incarnation
        if hello.protocol_version >= m.EVACUATIONS_VERSION:
            self._evacuation_links.add(link)
            # Before the configuration, after which the peer accepts jobs.
            if (message := evacuations_message(self._evacuations)) is not None:
                link.send(message)
        self._introduce(link, self._membership.unstored_members())
        table = self._routes.table
        if table is not None and table.version > hello.configuration_version:
            link.send(m.Configuration(table.version, table.document))
        try:
            closed = await link.run(lambda envelope: self._receive(link, envelope))
            log.info("peer link ended", peer=hello.name, why=closed.detail)
        finally:
            del self._known_by_link[link], self._version_by_link[link]
            del self._incarnation_by_link[link]
            self._evacuation_links.discard(link)
            if address := self._address_of(hello.incarnation):
                self._last_alive_ms[address] = self._clock.now_ms()

    async def _push_routes(self, table):
        """Send a configuration to the peers that did not get it from the store."""
        await self._clock.sleep_ms(PUSH_DELAY_MS)
        if table is not self._routes.table:
            return
        for link, version in self._version_by_link.items():
            if version < table.version:
                link.send(m.Configuration(table.version, table.document))

    def _receive(self, link, envelope):
        match envelope.message:
            case m.Introduction([]):
                self._introduce(link, self._membership.present_members())
            case m.Introduction(members):
                self._add_members(link, members)
            case m.Evacuations(revision, zones):
                self._on_evacuations(EvacuatedZones(revision, frozenset(zones)))
            case m.Configuration(version, document):
                self._version_by_link[link] = max(version, self._version_by_link[link])
                if document:
                    self._apply_routes(version, document)

    def _request_members(self):
        """Ask a few peers for the members that this entry has not told them of."""
        links = list(self._known_by_link)
        for link in random.sample(links, min(REQUESTED_PEERS, len(links))):
            link.send(m.Introduction([]))

    def _add_members(self, link, members):
        for data in members:
            try:
                member = Member.from_json(data)
            except (ValueError, TypeError) as error:
                log.warning("unreadable member from a peer", why=str(error))
                continue
            self._known_by_link[link].add(member.incarnation)
            if member.incarnation != self._own_member.incarnation:
                self._membership.add_introduced(member)

    def _apply_routes(self, version, document):
        try:
            table = self._decode_routes(document)
        except ValueError as error:
            log.warning("unreadable configuration", version=version, why=str(error))
            return
        self._routes.apply(table)

    def _introduce(self, link, members):
        """Send a peer the members that it may not know, each member once.

        Peers read most members from the store, so only the others are sent unasked: a
        list of all members from each peer would fill the links of a large fleet while
        machines start.
        """
        known_to_peer = self._known_by_link[link]
        by_incarnation = {member.incarnation: member for member in members}
        by_incarnation[self._own_member.incarnation] = self._own_member
        unknown = [
            member
            for incarnation, member in by_incarnation.items()
            if incarnation not in known_to_peer
        ]
        if unknown:
            known_to_peer.update(member.incarnation for member in unknown)
            link.send(m.Introduction([member.to_json() for member in unknown]))


def evacuations_message(state):
    """Return the ``Evacuations`` of an ``EvacuationState``, None if it is unknown."""
    if not state.is_known:
        return None
    return m.Evacuations(state.current.revision, tuple(sorted(state.zones)))
