"""Run the program with its links at another port than the one it announces.

The soak runs a forwarder at the announced address, which can cut, hold and delay the
connections of other processes to it. Nothing else differs from the program.
"""

import sys

from plantainhitch import __main__ as program, signal_mask

LINK_PORT_OFFSET = 8


def shift_links():
    """Make the program listen ``LINK_PORT_OFFSET`` ports above the announced port."""
    from plantainhitch.transport import links
    from plantainhitch.transport.addresses import Address

    original_listen = links.listen

    async def listen(address, *rest):
        return await original_listen(
            Address(address.host, address.port + LINK_PORT_OFFSET), *rest
        )

    links.listen = listen


if __name__ == "__main__":
    # As the program does, before it imports anything else.
    signal_mask.block_for_command(sys.argv[1:])
    shift_links()
    sys.exit(program.main())
