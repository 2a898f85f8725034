"""An entry's links to agents: one task for each agent, which dials and redials it."""

import asyncio
import itertools
import random
from dataclasses import dataclass, field, replace

from .. import logs
from ..protocol import messages as m
from ..transport import links
from ..transport.addresses import Address
from .events import (
    AgentConnectionRefused,
    AgentGone,
    AgentLinked,
    AgentMessageReceived,
    AgentUnlinked,
)

CONNECT_TIMEOUT_MS = 2_000
HELLO_TIMEOUT_MS = 3_000
FIRST_REDIAL_DELAY_MS = 100
MAX_REDIAL_DELAY_MS = 2_000

# Shared by all dialers of a process: two of them may dial the same agent in turn.
_link_numbers = itertools.count(1)

log = logs.get_logger("agent-links")


@dataclass(frozen=True, slots=True)
class DialOptions:
    """Options of an ``AgentDialer``.

    With ``follow_address`` the dialer goes on when another incarnation answers at the
    address; without it the dialer ends. ``max_redial_delay_ms`` limits the delay
    between two attempts to connect.
    """

    timing: links.LinkTiming = field(default_factory=links.LinkTiming)
    max_redial_delay_ms: int = MAX_REDIAL_DELAY_MS
    connect_timeout_ms: int = CONNECT_TIMEOUT_MS
    follow_address: bool = False


class AgentDialer:
    """Keeps one link to one agent open and posts the link's events with ``post``."""

    def __init__(self, member, own_hello, clock, post, options=None):
        self._options = options or DialOptions()
        self._member = member
        self._own_hello = own_hello
        self._clock = clock
        self._post = post
        self._is_stopped = False
        self._is_withdrawn = False
        self._link = None

    @property
    def incarnation(self):
        """The incarnation of the agent that this dialer connects to."""
        return self._member.incarnation

    def stop_redialling(self):
        """Open no further link; an open one is served until it ends."""
        self._is_stopped = True

    def withdraw(self, detail):
        """Close the link and open no further one, although the agent is not gone."""
        self._is_stopped = self._is_withdrawn = True
        if self._link is not None:
            self._link.close(detail)

    async def run(self):
        """Dial and serve links, one after another, until the agent is gone."""
        delay_ms = FIRST_REDIAL_DELAY_MS
        while not self._is_stopped:
            link = await self._connect()
            if link is not None and await self._serve(link):
                delay_ms = FIRST_REDIAL_DELAY_MS
            if self._is_stopped:
                break
            await self._clock.sleep_ms(delay_ms * random.uniform(0.5, 1.0))
            delay_ms = min(delay_ms * 2, self._options.max_redial_delay_ms)
        if not self._is_withdrawn:
            self._post(AgentGone(self.incarnation))

    async def _connect(self):
        address = Address.from_text(self._member.link)
        try:
            async with asyncio.timeout(self._options.connect_timeout_ms / 1000):
                return await links.connect(address, self._clock, self._options.timing)
        except ConnectionRefusedError:
            self._post(AgentConnectionRefused(self.incarnation))
        except (OSError, TimeoutError) as error:
            log.debug("connection failed", agent=self._member.name, error=str(error))
        return None

    async def _serve(self, link):
        """Serve a link until it ends; return whether hellos were exchanged."""
        self._link = link
        own_hello = replace(self._own_hello(), link_number=next(_link_numbers))
        hello = await exchange_hellos(link, own_hello)
        if hello is None:
            link.close("no hello")
            return False
        if hello.incarnation != self.incarnation and self._options.follow_address:
            self._post(AgentGone(self.incarnation))
            self._member = replace(
                self._member, incarnation=hello.incarnation, name=hello.name
            )
        elif hello.incarnation != self.incarnation:
            # Another process answers at this address, so the dialled one is dead.
            self._is_stopped = True
            link.close("another incarnation")
            return False
        if self._is_withdrawn:
            link.close("withdrawn")
            return False
        self._post(AgentLinked(hello, self._member.rack, link))
        closed = await link.run(lambda envelope: self._receive(link, envelope))
        log.info("link ended", agent=self._member.name, detail=closed.detail)
        self._post(AgentUnlinked(self.incarnation, link))
        return True

    def _receive(self, link, envelope):
        message = envelope.message
        if isinstance(message, m.ReportBatch | m.RunReports):
            link.acknowledge(message.number)
        self._post(AgentMessageReceived(self.incarnation, message))


async def exchange_hellos(link, own_hello):
    """Send the own hello; return the other side's, or None if it does not arrive."""
    link.send(own_hello)
    try:
        async with asyncio.timeout(HELLO_TIMEOUT_MS / 1000):
            received = await link.receive_one()
    except TimeoutError:
        return None
    if isinstance(received, m.Envelope) and isinstance(received.message, m.Hello):
        return received.message
    return None
