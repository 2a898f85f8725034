"""``plantainhitch load``: open-loop load on entries, compared with the ideal."""

import asyncio
import json as json_library

from ..clock import Clock
from ..loadgen import arrivals, ideal, workloads
from ..loadgen.recorder import Recorder
from ..loadgen.runner import LoadRunner
from .client import entry_addresses
from .exit_codes import ExitCode
from .output import print_error
from .usage import check_number

DEFAULT_FLEET = ideal.Fleet.with_geometric_speeds(10, 8, 0.5, 2.0)


def load(
    entry="",
    load=0.6,
    seconds=20,
    seed=1,
    mix="tickmark",
    fleet="",
    flood="",
    warm_up=0,
    json=False,
):
    """Send jobs at their arrival times, without waiting for earlier ones, and report.

    The endpoints have to be stand-ins: a task's body says how long to sleep.

    Args:
        entry: IP:PORT of an entry, or several with commas between.
        load: the offered load as a fraction of the fleet's capacity.
        seconds: the time for which jobs arrive.
        seed: seed of the random arrivals and tasks; the same seed, the same jobs.
        mix: the workload model, tickmark or canegrove.
        fleet: the endpoints as slots*speed,...; ten of 8 slots if empty.
        flood: CLASS*LOAD: additional load of one class in the middle third.
        warm_up: jobs that arrive in these first seconds are not recorded.
        json: print the figures as JSON.
    """
    load = check_number("load", load, kind=float)
    seconds = check_number("seconds", seconds, kind=float)
    seed = check_number("seed", seed)
    warm_up = check_number("warm_up", warm_up, kind=float)
    try:
        addresses = entry_addresses(entry)
        model = ideal.Fleet.from_text(fleet) if fleet else DEFAULT_FLEET
        workload = _find_mix(mix)
        floods = _parse_floods(str(flood), seconds)
        jobs = arrivals.plan_jobs(workload, model, load, seconds, seed, floods=floods)
    except ValueError as error:
        print_error(error)
        return ExitCode.USAGE
    recorder = Recorder(_targets(workload))
    counts = asyncio.run(_run(addresses, model, jobs, recorder, warm_up * 1000))
    figures = recorder.to_dict() | {
        "refusals": dict(counts.refusals),
        "task_reasons": dict(counts.task_reasons),
        "wrong_answers": counts.wrong_answers,
        "latest_send_ms": round(counts.latest_send_ms, 1),
    }
    print(json_library.dumps(figures, indent=2) if json else _format_figures(figures))
    return ExitCode.OK


async def _run(addresses, fleet, jobs, recorder, measured_from_ms):
    runner = LoadRunner(addresses, Clock(), fleet, recorder)
    await runner.run(jobs, measured_from_ms=measured_from_ms)
    await runner.aclose()
    return runner.counts


def _find_mix(name):
    if name not in workloads.MIXES:
        allowed = ", ".join(workloads.MIXES)
        raise ValueError(f"unknown mix {name!r}; one of {allowed}")
    return workloads.MIXES[name]


def _parse_floods(text, seconds):
    if not text:
        return ()
    name, _, load = text.partition("*")
    third_ms = seconds * 1000 / 3
    return (arrivals.Flood(name, float(load), third_ms, 2 * third_ms),)


def _targets(mix):
    return {model.name: model.answers_within_ms for model in mix.classes}


def _format_figures(figures):
    """Return the figures as a table and lines of text."""
    lines = ["class      jobs  complete  in target   p50 ms   p99 ms  /ideal p50  p99"]
    rows = {"all": figures["all"]} | figures["classes"]
    for name, row in rows.items():
        response, ratio = row["response_ms"], row["response_to_ideal"]
        lines.append(
            f"{name:<9} {row['jobs']:>5} {row['endings'].get('complete', 0):>9}"
            f" {row['attainment']:>10.4f} {response.get('p50', 0):>8.0f}"
            f" {response.get('p99', 0):>8.0f} {ratio.get('p50', 0):>11.2f}"
            f" {ratio.get('p99', 0):>5.2f}"
        )
    others = {name: figures[name] for name in ("refusals", "task_reasons")}
    lines += [f"{name}: {counts}" for name, counts in others.items() if counts]
    lines.append(f"wrong answers: {figures['wrong_answers']}")
    return "\n".join(lines)
