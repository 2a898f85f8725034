"""Simulate the same jobs with and without single parts of the product's policy.

``python -m benchmarks.variants`` measures the effect of speed estimates under steady
load, of headroom during a flood, and of holding back a failing endpoint.
"""

import statistics
import sys
from unittest import mock

from plantainhitch.coordination.headroom import Headroom
from plantainhitch.coordination.health import OutlierDetector
from plantainhitch.loadgen import arrivals, workloads
from plantainhitch.state.estimates import RunTimeEstimates

from .decision_loop import Trial
from .decisions import FLEET, SEEDS, percentile
from .product_policy import WaitingStarts

DURATION_S = 20
FAULT_AT_MS = 8_000
FAILING_WINDOW_MS = 5_000
FAILING_ENDPOINT = 5

WITHOUT_SPEEDS = mock.patch.object(
    RunTimeEstimates,
    "expected_ms",
    lambda self, endpoint, class_name: self.class_run_ms(class_name),
)
WITHOUT_HEADROOM = mock.patch.object(
    Headroom, "reserve_last_slot", lambda *arguments: False
)
WITHOUT_HOLDING_BACK = mock.patch.object(
    OutlierDetector, "may_start", lambda *arguments: True
)


def steady(mix, load, seed):
    """Return (p50, p99) of response/ideal under a steady load."""
    ratios = _ratios(_run_trial(mix, load, seed), mix)
    return percentile(ratios, 0.5), percentile(ratios, 0.99)


def flood(mix, seed):
    """Return response/ideal (p50, p99) of the most urgent class in a flood.

    The least urgent class floods the fleet with 10 times its capacity.
    """
    classes = mix.by_urgency
    floods = [arrivals.Flood(classes[-1].name, 10.0, FAULT_AT_MS, DURATION_S * 1000)]
    trial = _run_trial(mix, 0.5, seed, floods=floods)
    ratios = _ratios(trial, mix, classes[0].name, FAULT_AT_MS)
    return percentile(ratios, 0.5), percentile(ratios, 0.99)


def failing(mix, seed):
    """Return the share of starts in the first 5 s that the failing endpoint fails."""
    trial = _run_trial(mix, 0.6, seed, failing=(FAILING_ENDPOINT, FAULT_AT_MS))
    window = [
        failed
        for start_ms, _, failed in trial.starts
        if FAULT_AT_MS <= start_ms < FAULT_AT_MS + FAILING_WINDOW_MS
    ]
    return (sum(window) / len(window),)


def compare(title, without, measure, *arguments):
    """Print the medians over the seeds with and without a part of the policy.

    ``without`` is a patch that disables the part.
    """
    for label, patch in (("with", None), ("without", without)):
        if patch:
            patch.start()
        try:
            runs = [measure(*arguments, seed) for seed in SEEDS]
        finally:
            if patch:
                patch.stop()
        medians = [statistics.median(values) for values in zip(*runs, strict=True)]
        figures = " | ".join(f"{value:.3g}" for value in medians)
        print(f"| {title} | {label} | {figures} |", flush=True)


def _run_trial(mix, load, seed, floods=(), **options):
    jobs = arrivals.plan_jobs(mix, FLEET, load, DURATION_S, seed, floods=floods)
    return Trial(FLEET, jobs, WaitingStarts(mix, seed), **options).run()


def _ratios(trial, mix, class_name="", from_ms=5_000):
    return sorted(
        run.ratio
        for run in trial.runs
        if run.planned.due_ms >= from_ms
        and not run.refused
        and class_name in ("", run.planned.class_name)
    )


def main():
    """Run all comparisons for each mix."""
    for mix in workloads.MIXES.values():
        for load in (0.6, 0.85):
            title = f"speeds, {mix.name} {load}"
            compare(title, WITHOUT_SPEEDS, steady, mix, load)
        compare(f"headroom, flood, {mix.name}", WITHOUT_HEADROOM, flood, mix)
        title = f"holding back, failing endpoint, {mix.name}"
        compare(title, WITHOUT_HOLDING_BACK, failing, mix)
    return 0


if __name__ == "__main__":
    sys.exit(main())
