"""Compare placement policies in the simulation of ``decision_loop``.

``python -m benchmarks.decisions`` runs all policies on the same jobs and prints a
table of response/ideal and of extra messages a task; each figure is the median over
the seeds.
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
DURATION_S = 60
LOADS = (0.6, 0.85)
# Jobs due earlier are placed before run times are learnt; figures exclude them.
WARM_UP_MS = 5_000
FLEET = ideal.Fleet.with_geometric_speeds(10, 8, 0.5, 2.0)


@dataclass(frozen=True, slots=True)
class PolicyResult:
    """One policy's figures at one load and mix.

    ``p50``, ``p95`` and ``p99`` are of response/ideal; ``extra_messages`` are a task,
    ``incomplete`` is a share of the jobs, ``seconds`` is the time taken to simulate.
    """

    mix: str
    load: float
    policy: str
    p50: float
    p95: float
    p99: float
    extra_messages: float
    incomplete: float
    seconds: float


def policy_factories(mix):
    """Return a factory for each compared policy; it takes ``seed``."""
    return [
        policies.Random,
        policies.RoundRobin,
        *(
            _least_outstanding(view, speeds)
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
    """Run one trial and return its figures.

    They are (policy name, sorted response/ideal ratios, extra messages a task, share
    of incomplete jobs).
    """
    jobs = arrivals.plan_jobs(mix, FLEET, load, DURATION_S, seed)
    trial = Trial(FLEET, jobs, make_policy(seed=seed), **options).run()
    measured_runs = [run for run in trial.runs if run.planned.due_ms >= WARM_UP_MS]
    ratios = sorted(run.ratio for run in measured_runs if not run.refused)
    tasks = sum(len(run.planned.tasks) for run in trial.runs)
    incomplete = sum(run.refused or run.failed_tasks > 0 for run in measured_runs)
    return (
        trial.policy.name,
        ratios,
        trial.extra_messages / tasks,
        incomplete / len(measured_runs),
    )


def percentile(ordered, share):
    """Return the value below which ``share`` of the ordered values lie."""
    return ordered[min(len(ordered) - 1, int(len(ordered) * share))]


def compare(mix, load, factories, seeds=SEEDS):
    """Return a ``PolicyResult`` for each policy, and print its row at once."""
    rows = []
    for make_policy in factories:
        began_s = time.perf_counter()
        results = [measure(make_policy, mix, load, seed) for seed in seeds]
        name = results[0][0]
        figures = [
            statistics.median(percentile(result[1], share) for result in results)
            for share in (0.5, 0.95, 0.99)
        ]
        rows.append(
            PolicyResult(
                mix.name,
                load,
                name,
                *figures,
                statistics.median(result[2] for result in results),
                statistics.median(result[3] for result in results),
                time.perf_counter() - began_s,
            )
        )
        print(format_row(rows[-1]), flush=True)
    return rows


def format_row(row):
    """Return the result as one row of a Markdown table."""
    return (
        f"| {row.mix} | {row.load:.2f} | {row.policy} | {row.p50:.2f} | {row.p95:.2f} "
        f"| {row.p99:.2f} | {row.extra_messages:.3f} | {row.incomplete:.4f} |"
    )


def _least_outstanding(view, speeds):
    return lambda seed: policies.LeastOutstanding(view, speeds, seed)


def main():
    """Run the comparison; with ``--json`` print the rows as JSON at the end."""
    rows = []
    print("| mix | load | policy | p50 | p95 | p99 | extra messages a task | failed |")
    print("| --- | --- | --- | --- | --- | --- | --- | --- |")
    for mix in workloads.MIXES.values():
        for load in LOADS:
            rows += compare(mix, load, policy_factories(mix))
    if "--json" in sys.argv[1:]:
        print(json.dumps([asdict(row) for row in rows]))
    return 0


if __name__ == "__main__":
    sys.exit(main())
