"""A longer run of drawn schedules: ``python -m tests.soak --seed 1 --minutes 5``.

Each schedule runs traffic while one to three faults happen at once; a fleet lives
for several schedules. One line is printed for each schedule, and a sum at the end.
The exit code is 1 when a promise was broken or the fleet did not recover.
"""

import argparse
import asyncio
import random
import sys
import time

from tests.harness import Fleet
from tests.scenarios import FAULTS, play

SCHEDULES_PER_FLEET = 6
SHORT_STAY_S = (0.2, 2.0)
# Longer than the validity of a start and the silence after which links end.
LONG_STAY_S = (11.0, 17.0)
LONG_SHARE = 0.15


class Totals:
    """Sums over all schedules."""

    def __init__(self):
        self.schedules = 0
        self.faults = 0
        self.starts = 0
        self.violations = 0
        self.failures = 0
        self.by_fault = dict.fromkeys(FAULTS, 0)

    def line(self):
        counts = ", ".join(f"{name} {count}" for name, count in self.by_fault.items())
        return (
            f"schedules {self.schedules}, faults {self.faults}, starts {self.starts}, "
            f"violations {self.violations}, failed fleets {self.failures}; {counts}"
        )


async def run_schedule(fleet, rng, totals):
    """Run one schedule and count it; return what was broken."""
    names = rng.sample(sorted(FAULTS), rng.choice((1, 1, 2, 2, 3)))
    bounds = LONG_STAY_S if rng.random() < LONG_SHARE else SHORT_STAY_S
    stay_s = rng.uniform(*bounds)
    begun = time.monotonic()
    found = await play(fleet, rng, names, jobs=60, requests=40, stay_s=stay_s)
    totals.schedules += 1
    totals.faults += len(names)
    for name in names:
        totals.by_fault[name] += 1
    print(
        f"{totals.schedules}: {' + '.join(names)}, {stay_s:.1f} s of "
        f"{time.monotonic() - begun:.1f} s: {len(found)} violations",
        flush=True,
    )
    return found


async def run_fleet(rng, totals, end):
    """Run schedules on one fleet; return what was broken."""
    async with Fleet(entries=2, agents=3) as fleet:
        found = []
        for _ in range(SCHEDULES_PER_FLEET):
            found = await run_schedule(fleet, rng, totals)
            if found or time.monotonic() > end:
                break
            await fleet.wait_until_linked()
        totals.starts += len(await fleet.starts())
        totals.violations += len(found)
        for line in found:
            print(f"  {line}", flush=True)
        if found:
            raise AssertionError("a promise was broken; the logs are above")


async def main(seed, minutes):
    """Run for so many minutes; return the exit code."""
    rng = random.Random(seed)
    totals = Totals()
    end = time.monotonic() + minutes * 60
    is_right = True
    while time.monotonic() < end:
        try:
            await run_fleet(rng, totals, end)
        except AssertionError as error:
            is_right = False
            totals.failures += 1
            print(f"  {error}", flush=True)
    print(f"seed {seed}: {totals.line()}")
    return 0 if is_right else 1


if __name__ == "__main__":
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--minutes", type=float, default=5)
    options = parser.parse_args()
    sys.exit(asyncio.run(main(options.seed, options.minutes)))
