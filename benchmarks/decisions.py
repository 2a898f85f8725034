"""Compare placement policies at decision level, in one run on the same jobs.

``python -m benchmarks.decisions`` prints a table of response against the ideal
and of extra messages a task; each figure is the median over the seeds.
"""

import json
import statistics
import sys
import time
from dataclasses import asdict, dataclass

from plantainhitch.loadgen import arrivals, ideal, workloads

from . import policies
from .decision_loop import Trial
from .product_policy import WaitingStarts

SEEDS = (1, 2, 3)
SECONDS = 60
LOADS = (0.6, 0.85)
# Jobs due in the first seconds meet estimates that have seen nothing.
WARM_UP_MS = 5_000
FLEET = ideal.Fleet.with_geometric_speeds(10, 8, 0.5, 2.0)


@dataclass(frozen=True, slots=True)
class Row:
    """One policy's figures at one load and mix."""

    mix: str
    load: float
    policy: str
    p50: float
    p95: float
    p99: float
    extra_messages: float
    incomplete: float
    seconds: float


def all_policies(mix):
    """Return functions that make each policy compared, by seed."""
    return [
        policies.Random,
        policies.RoundRobin,
        *(
            _least(view, speeds)
            for view in ("own", "old", "fresh")
            for speeds in (False, True)
        ),
        policies.TwoProbes,
        lambda seed: policies.TwoProbes(True, seed),
        policies.LateBinding,
        lambda seed: WaitingStarts(mix, seed),
        policies.PerfectKnowledge,
        lambda seed: policies.PerfectKnowledge(True, seed),
    ]


def measure(make_policy, mix, load, seed, **options):
    """Return the (ratios, extra messages a task, share incomplete) of one trial."""
    jobs = arrivals.plan_jobs(mix, FLEET, load, SECONDS, seed)
    trial = Trial(FLEET, jobs, make_policy(seed=seed), **options).run()
    measured = [run for run in trial.runs if run.planned.due_ms >= WARM_UP_MS]
    ratios = sorted(run.ratio for run in measured if not run.refused)
    tasks = sum(len(run.planned.tasks) for run in trial.runs)
    incomplete = sum(run.refused or run.failed_tasks > 0 for run in measured)
    return (
        trial.policy.name,
        ratios,
        trial.extra_messages / tasks,
        incomplete / len(measured),
    )


def percentile(ordered, share):
    """Return the value below which ``share`` of the ordered values lie."""
    return ordered[min(len(ordered) - 1, int(len(ordered) * share))]


def compare(mix, load, makers, seeds=SEEDS):
    """Return a ``Row`` for each policy."""
    rows = []
    for make_policy in makers:
        began = time.perf_counter()
        results = [measure(make_policy, mix, load, seed) for seed in seeds]
        name = results[0][0]
        figures = [
            statistics.median(percentile(result[1], share) for result in results)
            for share in (0.5, 0.95, 0.99)
        ]
        rows.append(
            Row(
                mix.name,
                load,
                name,
                *figures,
                statistics.median(result[2] for result in results),
                statistics.median(result[3] for result in results),
                time.perf_counter() - began,
            )
        )
        print(format_row(rows[-1]), flush=True)
    return rows


def format_row(row):
    """Return the row as one line of a Markdown table."""
    return (
        f"| {row.mix} | {row.load:.2f} | {row.policy} | {row.p50:.2f} | {row.p95:.2f} "
        f"| {row.p99:.2f} | {row.extra_messages:.3f} | {row.incomplete:.4f} |"
    )


def _least(view, speeds):
    return lambda seed: policies.LeastOutstanding(view, speeds, seed)


def main():
    """Run the comparison; with ``--json`` print the rows as JSON at the end."""
    rows = []
    print("| mix | load | policy | p50 | p95 | p99 | extra messages a task | failed |")
    print("| --- | --- | --- | --- | --- | --- | --- | --- |")
    for mix in workloads.MIXES.values():
        for load in LOADS:
            rows += compare(mix, load, all_policies(mix))
    if "--json" in sys.argv[1:]:
        print(json.dumps([asdict(row) for row in rows]))
    return 0


if __name__ == "__main__":
    sys.exit(main())
