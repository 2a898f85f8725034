"""Addresses of test processes that run at the same time.

They were derived from the process id modulo 100, so that two runs could share ports.
"""

import unittest

from .loopback import LoopbackHosts


class LoopbackHostsTests(unittest.TestCase):
    """Two claims at the same time stand for two processes."""

    def test_two_claims_never_share_an_address(self):
        first, second = LoopbackHosts(), LoopbackHosts()
        addresses = [hosts.next_host() for hosts in (first, second) for _ in range(600)]
        first._claim.close()
        second._claim.close()
        self.assertEqual(len(addresses), len(set(addresses)))


if __name__ == "__main__":
    unittest.main()
