"""How an agent that no entry knows yet makes itself known: it tells the seeds."""

import asyncio

from .. import logs
from ..protocol import messages as m
from ..transport import links
from .agent_links import exchange_hellos

# An agent without links introduces itself again this often, so that it is known
# soon after an entry has started.
INTRODUCE_INTERVAL_MS = 300
CONNECT_TIMEOUT_S = 0.5
# The other side closes nothing; a close at once could overtake what was sent.
CLOSE_AFTER_MS = 200

log = logs.get_logger("peers")


async def introduce(member, hello, clock, addresses):
    """Tell the entries at ``addresses``, as far as they answer, of an agent."""
    telling = (_introduce_to(member, hello, clock, address) for address in addresses)
    await asyncio.gather(*telling)


async def _introduce_to(member, hello, clock, address):
    link, answer = await open_link(address, clock, hello)
    if answer is None:
        return
    link.send(m.Introduction([member.to_json()]))
    await clock.sleep_ms(CLOSE_AFTER_MS)
    link.close("introduced")


async def open_link(address, clock, hello):
    """Return a link and the other side's hello; both None where none answers."""
    try:
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            link = await links.connect(address, clock)
            answer = await exchange_hellos(link, hello)
    except (OSError, TimeoutError) as error:
        log.debug("no link", address=str(address), why=str(error))
        return None, None
    if answer is None:
        link.close("no hello")
        return None, None
    return link, answer
