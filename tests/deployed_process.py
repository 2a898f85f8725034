"""Run the program with its links at another port than the one it announces.

The soak runs a forwarder at the announced address, which can cut, hold and delay the
connections of other processes to it. Nothing else differs from the program.
"""

import sys

from plantainhitch.__main__ import main
from plantainhitch.transport import links
from plantainhitch.transport.addresses import Address

LINK_PORT_OFFSET = 8

_original_listen = links.listen


async def listen(address, *rest):
    """Listen ``LINK_PORT_OFFSET`` ports above the announced port."""
    return await _original_listen(
        Address(address.host, address.port + LINK_PORT_OFFSET), *rest
    )


if __name__ == "__main__":
    links.listen = listen
    sys.exit(main())
