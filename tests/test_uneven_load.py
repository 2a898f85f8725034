"""Callers of entries that get several times their usual load, see ``fleet_sim``.

The fleet has 16 entries and 74 endpoints in three zones, so that each entry is linked
to half of the endpoints. See ``docs/design/subset-extension.md`` for higher loads.
"""

import unittest
from dataclasses import replace

from .fleet_sim import FLEET, PING, RENDER, SYNC, Burst, FleetSim

ENTRIES, ENDPOINTS, ZONES = 16, 74, 3
LENGTH_MS = 7_000
BURST_BEGINS_MS, BURST_MS = 2_500, 3_500
MAX_ZONE_DIFFERENCE = 0.03


class UnevenLoadTests(unittest.TestCase):
    """Bursts at a part of the entries, while the fleet as a whole has room."""

    def check_zones(self, load_factor, burst_factor, burst_entries):
        """Check that callers fare alike in all zones during a burst.

        ``load_factor`` 1.0 takes 0.56 of the processor outside the burst.
        """
        scale = load_factor * ENDPOINTS / len(FLEET)
        kinds = [
            replace(kind, jobs_per_s=kind.jobs_per_s * scale)
            for kind in (RENDER, SYNC, PING)
        ]
        endpoints = [FLEET[number % len(FLEET)] for number in range(ENDPOINTS)]
        sim = FleetSim(kinds, endpoints, entries=ENTRIES, zones=ZONES, seed=2)
        burst = Burst(
            BURST_BEGINS_MS, BURST_MS, burst_factor, entries=frozenset(burst_entries)
        )
        sim.simulate(LENGTH_MS, [burst])
        values = [
            sim.attainment(
                since_ms=BURST_BEGINS_MS,
                until_ms=BURST_BEGINS_MS + BURST_MS,
                zone=zone,
            )
            for zone in range(ZONES)
        ]
        self.assertLessEqual(max(values) - min(values), MAX_ZONE_DIFFERENCE, values)
        self.assertGreaterEqual(min(values), 0.95)

    def test_three_times_the_load_in_one_zone(self):
        # Hashing gave a zone's entries a fixed part of the fleet, whatever their load.
        self.check_zones(0.8, 3.0, range(0, ENTRIES, ZONES))

    def test_six_times_the_load_at_one_entry(self):
        # A balancer that hashes few clients sends most of a zone's jobs to one entry.
        self.check_zones(1.0, 6.0, [0])


if __name__ == "__main__":
    unittest.main()
