"""Introduction of an agent that no entry knows yet to the seed entries."""

import asyncio

from .. import logs
from ..protocol import messages as m
from ..transport import links
from .agent_links import exchange_hellos

# Interval at which an agent without links introduces itself, so that it becomes known
# soon after an entry has started.
INTRODUCE_INTERVAL_MS = 300
CONNECT_TIMEOUT_S = 0.5
# The entry does not close the link, and closing it at once could overtake the message
# just sent.
CLOSE_DELAY_MS = 200

log = logs.get_logger("peers")


async def introduce(member, hello, clock, addresses):
    """Introduce an agent to the entries at ``addresses``; skip those that fail."""
    attempts = (_introduce_to(member, hello, clock, address) for address in addresses)
    await asyncio.gather(*attempts)


async def _introduce_to(member, hello, clock, address):
    link, peer_hello = await open_link(address, clock, hello)
    if peer_hello is None:
        return
    link.send(m.Introduction([member.to_json()]))
    await clock.sleep_ms(CLOSE_DELAY_MS)
    link.close("introduced")


async def open_link(address, clock, hello, timing=links.DEFAULT_TIMING):
    """Connect and exchange hellos; return (link, the other side's hello).

    Both are None if the connection fails or no hello arrives.
    """
    try:
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            link = await links.connect(address, clock, timing)
            peer_hello = await exchange_hellos(link, hello)
    except (OSError, TimeoutError) as error:
        log.debug("connection failed", address=str(address), why=str(error))
        return None, None
    if peer_hello is None:
        link.close("no hello")
        return None, None
    return link, peer_hello
