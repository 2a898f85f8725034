"""Measures the usual load on a fleet whose endpoints slow down, crash or fail.

Run as ``python -m tests.endpoint_fault_load [SEEDS]`` it prints a line per fault, each
the mean over the seeds.
"""

import enum
import multiprocessing
import sys
from dataclasses import dataclass, replace

from .fleet_sim import FLEET, PING, RENDER, SYNC, FleetSim

ENTRIES = 12
FLEET_FACTOR = 4
LENGTH_MS = 14_000
# The faults begin here. The speeds of the endpoints have been learnt by then.
FAULT_BEGIN_MS = 3_000
SLOW_MS = 9_000
SLOW_FACTOR = 8.0
CRASH_INTERVAL_MS = 1_200
CRASH_DOWN_MS = 600
FAILING_MS = 6_000
# An entry that starts amid the faults starts this long after they have begun.
NEW_ENTRY_DELAY_MS = 1_500
# How long the answers of a new entry are looked at.
NEW_ENTRY_MS = 3_000


class Fault(enum.Flag):
    """What is wrong with a part of the endpoints."""

    NONE = 0
    SLOW = enum.auto()
    CRASHING = enum.auto()
    FAILING = enum.auto()
    ALL = SLOW | CRASHING | FAILING


@dataclass(frozen=True)
class Result:
    """What callers got after the faults began.

    ``late`` and ``refused`` are shares of the jobs, ``failed_runs`` a count.
    ``new_entry_value`` is the value at an entry that started amid the faults, in its
    first ``NEW_ENTRY_MS``, None without one.
    """

    value: float
    late: float
    refused: float
    failed_runs: int
    new_entry_value: float | None = None


def run_load(faults, seed=1, *, with_new_entry=False, length_ms=LENGTH_MS):
    """Return the ``Result`` of the usual load with some faults."""
    kinds = [
        replace(kind, jobs_per_s=kind.jobs_per_s * FLEET_FACTOR)
        for kind in (RENDER, SYNC, PING)
    ]
    sim = FleetSim(kinds, FLEET * FLEET_FACTOR, entries=ENTRIES, seed=seed)
    schedule_faults(sim, faults)
    if with_new_entry:
        sim.call_later(FAULT_BEGIN_MS + NEW_ENTRY_DELAY_MS, sim.add_entry)
    sim.simulate(length_ms)
    since_ms = sim.begin_ms + FAULT_BEGIN_MS
    answers = [a for a in sim.answers if a.submitted_ms >= since_ms]
    new = [
        a
        for a in answers
        if a.entry == ENTRIES
        and a.submitted_ms < since_ms + NEW_ENTRY_DELAY_MS + NEW_ENTRY_MS
    ]
    answered = [a for a in answers if type(a.outcome).__name__ == "Ended"]
    return Result(
        _value(answers),
        sum(a.took_ms > a.objective_ms for a in answered) / len(answers),
        1 - len(answered) / len(answers),
        sim.failed_runs,
        _value(new) if new else None,
    )


def schedule_faults(sim, faults):
    """Schedule the faults of a quarter, an eighth and a tenth of the endpoints."""
    order = list(sim.agents)
    sim.rng.shuffle(order)
    count = len(order)
    slow = order[: count // 4]
    crashing = order[count // 4 : count // 4 + count // 8]
    failing = order[-(count // 10) :]
    if Fault.SLOW in faults:
        for agent in slow:
            usual = agent.slowness
            sim.call_later(
                FAULT_BEGIN_MS,
                lambda a=agent, s=usual: a.set_slowness(s * SLOW_FACTOR),
            )
            sim.call_later(
                FAULT_BEGIN_MS + SLOW_MS, lambda a=agent, s=usual: a.set_slowness(s)
            )
    if Fault.CRASHING in faults:
        for index, agent in enumerate(crashing):
            offset_ms = index * CRASH_INTERVAL_MS // len(crashing)
            for delay_ms in range(offset_ms, SLOW_MS, CRASH_INTERVAL_MS):
                sim.call_later(
                    FAULT_BEGIN_MS + delay_ms, lambda a=agent: a.crash(CRASH_DOWN_MS)
                )
    if Fault.FAILING in faults:
        for agent in failing:
            sim.call_later(FAULT_BEGIN_MS, lambda a=agent: _set_failing(a, True))
            sim.call_later(
                FAULT_BEGIN_MS + FAILING_MS, lambda a=agent: _set_failing(a, False)
            )


def _set_failing(agent, fails_runs):
    agent.fails_runs = fails_runs


def _value(answers):
    weight = sum(a.kind.weight for a in answers)
    return sum(a.score * a.kind.weight for a in answers) / weight


def main():
    """Print the results of all faults; the argument is the number of seeds."""
    seeds = range(1, 1 + int(sys.argv[1] if len(sys.argv) > 1 else 3))
    cases = [
        (Fault.NONE, False),
        (Fault.SLOW, False),
        (Fault.CRASHING, False),
        (Fault.FAILING, False),
        (Fault.ALL, False),
        (Fault.ALL, True),
    ]
    jobs = [(case, seed) for case in cases for seed in seeds]
    with multiprocessing.Pool(2) as pool:
        results = pool.map(_run_case, jobs, chunksize=1)
    for case in cases:
        of_case = [r for (c, _), r in zip(jobs, results, strict=True) if c == case]
        count = len(of_case)
        line = (
            f"{case[0].name:9} value {sum(r.value for r in of_case) / count:.4f}"
            f" late {sum(r.late for r in of_case) / count:.4f}"
            f" refused {sum(r.refused for r in of_case) / count:.4f}"
            f" failed runs {sum(r.failed_runs for r in of_case) / count:.0f}"
        )
        if case[1]:
            mean = sum(r.new_entry_value for r in of_case) / count
            line += f" new entry {mean:.4f}"
        print(line, flush=True)


def _run_case(job):
    (faults, with_new_entry), seed = job
    return run_load(faults, seed, with_new_entry=with_new_entry)


if __name__ == "__main__":
    main()
