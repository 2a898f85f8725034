"""Run scenarios on real processes and compare their figures with the targets.

``python -m benchmarks.bench load60 flood_least`` runs each named scenario with three
seeds; without names it runs all. A missed target is reported in the table and does
not change the exit code.
"""

import functools
import sys
from collections.abc import Callable
from dataclasses import dataclass

import uvloop

from . import costs, scenarios
from .measures import Measure, format_table, gather, save_figures

SEEDS = (1, 2, 3)


@dataclass(frozen=True, slots=True)
class Scenario:
    """A coroutine function that takes a seed and returns figures; its measures."""

    run: Callable
    measures: tuple[Measure, ...]


def _steady_load_measures(p50, p99, wasted):
    return (
        Measure("response/ideal p50", p50),
        Measure("response/ideal p95"),
        Measure("response/ideal p99", p99),
        Measure("wasted messages a task", wasted),
        Measure("CPU us a task, entries and agents"),
        Measure("jobs not complete", 0),
        Measure("wrong answers", 0),
    )


SCENARIOS = {
    "load60": Scenario(
        functools.partial(scenarios.steady, 0.6), _steady_load_measures(1.05, 1.5, 0.02)
    ),
    "load85": Scenario(
        functools.partial(scenarios.steady, 0.85),
        _steady_load_measures(1.15, 2.5, None),
    ),
    "flood_least": Scenario(
        scenarios.flood_least,
        (
            Measure("others' attainment against no flood", 0.98, at_most=False),
            Measure("goodput against capacity", 0.95, at_most=False),
        ),
    ),
    "flood_most": Scenario(
        scenarios.flood_most,
        (
            Measure("least part of a promised share after 2 s", 0.95, at_most=False),
            Measure("goodput against capacity", 0.95, at_most=False),
        ),
    ),
    "failing_endpoint": Scenario(
        scenarios.failing_endpoint,
        (
            Measure("share of tasks failed within 5 s", 0.02),
            Measure("jobs not complete"),
        ),
    ),
    "killed": Scenario(
        scenarios.killed,
        (
            Measure("jobs failed beyond those in flight", 0),
            Measure("jobs failed that ran there"),
            Measure("jobs failed that waited there"),
            Measure("response/ideal p99"),
        ),
    ),
    "outage": Scenario(
        scenarios.outage,
        (
            Measure("p99 response against no outage", 1.05),
            Measure("jobs not complete", 0),
        ),
    ),
    "cancellation": Scenario(
        costs.cancellation,
        (
            Measure("ms until slots serve others", 100),
            Measure("ms until all cancels are answered"),
        ),
    ),
    "cpu": Scenario(
        costs.cpu_per_task,
        (
            Measure("entry and agent, jobs of 100", 200),
            *(
                Measure(f"{role}, jobs of {size}")
                for size in (1, 10, 100, 1_000)
                for role in ("entry", "agent")
            ),
        ),
    ),
    "latency": Scenario(
        costs.added_latency,
        (
            Measure("added latency ms p50"),
            Measure("added latency ms p99"),
            Measure("direct ms p50"),
            Measure("direct ms p99"),
        ),
    ),
    "throughput": Scenario(
        costs.requests_per_second,
        (
            Measure("requests a second"),
            Measure("entry CPU us a request"),
            Measure("agent CPU us a request"),
        ),
    ),
}


def run_scenario(name, seeds=SEEDS):
    """Run a scenario once with each seed, print its table and save its figures.

    Series are saved for the first seed only.
    """
    scenario = SCENARIOS[name]
    runs = []
    for seed in seeds:
        runs.append(uvloop.run(scenario.run(seed)))
        shown = {key: value for key, value in runs[-1].items() if key != "series"}
        print(f"{name}, seed {seed}: {shown}", flush=True)
    figures = gather(scenario.measures, runs)
    print(format_table(name, figures), flush=True)
    save_figures(name, figures, runs[0].get("series"))


def main(arguments):
    """Run the named scenarios, or all; return the exit code."""
    unknown = [name for name in arguments if name not in SCENARIOS]
    if unknown:
        print(f"unknown scenarios {unknown}; any of {', '.join(SCENARIOS)}")
        return 2
    for name in arguments or SCENARIOS:
        run_scenario(name)
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
