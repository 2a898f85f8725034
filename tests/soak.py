"""A soak of random schedules: ``python -m tests.soak --seed 1 --minutes 5``.

Each schedule runs traffic with one to three concurrent faults; a fleet serves several
schedules. One line is printed for each schedule, and the totals at the end. The exit
code is 1 when there was a violation or a fleet did not recover.
"""

import argparse
import asyncio
import random
import sys
import time

from tests.harness import Fleet
from tests.scenarios import FAULTS, run_with_faults

SCHEDULES_PER_FLEET = 6
SHORT_DURATION_S = (0.2, 2.0)
# Longer than the validity of a start order and the silence that closes a link.
LONG_DURATION_S = (11.0, 17.0)
LONG_DURATION_SHARE = 0.15


class Totals:
    """Totals of all schedules."""

    def __init__(self):
        self.schedules = 0
        self.faults = 0
        self.starts = 0
        self.violations = 0
        self.failures = 0
        self.count_by_fault = dict.fromkeys(FAULTS, 0)

    def summary(self):
        counts = ", ".join(
            f"{name} {count}" for name, count in self.count_by_fault.items()
        )
        return (
            f"schedules {self.schedules}, faults {self.faults}, starts {self.starts}, "
            f"violations {self.violations}, failed fleets {self.failures}; {counts}"
        )


async def run_schedule(fleet, rng, totals):
    """Run one random schedule and add it to the totals; return its violations."""
    fault_names = rng.sample(sorted(FAULTS), rng.choice((1, 1, 2, 2, 3)))
    bounds = LONG_DURATION_S if rng.random() < LONG_DURATION_SHARE else SHORT_DURATION_S
    duration_s = rng.uniform(*bounds)
    started_s = time.monotonic()
    violations = await run_with_faults(
        fleet, rng, fault_names, jobs=60, requests=40, duration_s=duration_s
    )
    totals.schedules += 1
    totals.faults += len(fault_names)
    for name in fault_names:
        totals.count_by_fault[name] += 1
    print(
        f"{totals.schedules}: {' + '.join(fault_names)}, {duration_s:.1f} s of "
        f"{time.monotonic() - started_s:.1f} s: {len(violations)} violations",
        flush=True,
    )
    return violations


async def run_fleet(rng, totals, end_s):
    """Run schedules on one fleet; raise ``AssertionError`` on a violation."""
    async with Fleet(entries=2, agents=3) as fleet:
        violations = []
        for _ in range(SCHEDULES_PER_FLEET):
            violations = await run_schedule(fleet, rng, totals)
            if violations or time.monotonic() > end_s:
                break
            await fleet.wait_until_linked()
        totals.starts += len(await fleet.starts())
        totals.violations += len(violations)
        for violation in violations:
            print(f"  {violation}", flush=True)
        if violations:
            raise AssertionError("violations found; see the process logs above")


async def main(seed, minutes):
    """Run schedules for ``minutes``; return the exit code."""
    rng = random.Random(seed)
    totals = Totals()
    end_s = time.monotonic() + minutes * 60
    has_passed = True
    while time.monotonic() < end_s:
        try:
            await run_fleet(rng, totals, end_s)
        except AssertionError as error:
            has_passed = False
            totals.failures += 1
            print(f"  {error}", flush=True)
    print(f"seed {seed}: {totals.summary()}")
    return 0 if has_passed else 1


if __name__ == "__main__":
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--minutes", type=float, default=5)
    options = parser.parse_args()
    sys.exit(asyncio.run(main(options.seed, options.minutes)))
