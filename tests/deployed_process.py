"""Runs the program with its links one port above the address that it announces.

The soak puts a forwarder at the announced address, so that it can cut, hold and delay
what other processes send there. Nothing else is changed.
"""

import sys

from plantainhitch.__main__ import main
from plantainhitch.transport import links
from plantainhitch.transport.addresses import Address

LINK_OFFSET = 8

_listen = links.listen


async def listen(address, *rest):
    """Listen above the announced port."""
    return await _listen(Address(address.host, address.port + LINK_OFFSET), *rest)


if __name__ == "__main__":
    links.listen = listen
    sys.exit(main())
