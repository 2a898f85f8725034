"""Loopback addresses that no other process of the tests uses at the same time."""

import itertools
import socket

HOSTS_PER_SUBNET = 250
# The second byte of the addresses; a process claims one value.
BLOCKS = range(100, 200)
CLAIM_HOST_SUFFIX = "255.254"
CLAIM_PORT = 47_000


class LoopbackHosts:
    """Hosts of the block of loopback addresses that this process has claimed.

    The claim is a bound socket, so it ends with the process, and two processes can't
    have the same block.
    """

    def __init__(self):
        self._numbers = itertools.count()
        self._claim = None
        self._block = None

    def next_host(self):
        """Return an address that was not returned before."""
        if self._claim is None:
            self._claim_block()
        subnet, host = divmod(next(self._numbers), HOSTS_PER_SUBNET)
        return f"127.{self._block}.{subnet}.{host + 1}"

    def _claim_block(self):
        for block in BLOCKS:
            claim = socket.socket()
            try:
                claim.bind((f"127.{block}.{CLAIM_HOST_SUFFIX}", CLAIM_PORT))
            except OSError:
                claim.close()
                continue
            self._claim, self._block = claim, block
            return
        raise OSError("all blocks of loopback addresses are in use")


HOSTS = LoopbackHosts()
