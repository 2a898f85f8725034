"""Scenarios under load: steady, floods, failures, an outage.

Each one starts its own processes, runs once with a seed and returns its figures by
the names of its measures.
"""

import asyncio
import time

from plantainhitch.clock import Clock
from plantainhitch.loadgen import arrivals, ideal, workloads
from plantainhitch.loadgen.recorder import Ending, Recorder
from plantainhitch.loadgen.runner import LoadRunner
from plantainhitch.outcomes import Reason

from . import ledgers
from .processes import Deployment, Shape

FLEET = ideal.Fleet.with_geometric_speeds(10, 8, 0.5, 2.0)
MIX = workloads.TICKMARK
WARM_UP_S = 5
STEADY_S = 30
FAULT_AT_S = 10
FLOOD_S = 10
FLOOD_LOAD = 10.0
OUTAGE_S = 60
SETTLING_MS = 2_000
FAILING_WINDOW_MS = 5_000


class LoadedRun:
    """One deployment under planned load, with what was seen of it."""

    def __init__(self, deployment, jobs):
        targets = {model.name: model.answers_within_ms for model in MIX.classes}
        self.deployment = deployment
        self.jobs = jobs
        self.recorder = Recorder(targets)
        self.runner = LoadRunner(deployment.addresses, Clock(), FLEET, self.recorder)
        self.began_ms = 0.0
        self.starts = []

    async def run(self, *events):
        """Send the load; ``events`` are (at in s, coroutine function) pairs."""
        self.began_ms = time.time() * 1000
        tasks = [asyncio.create_task(self._later(*event)) for event in events]
        await self.runner.run(self.jobs, measured_from_ms=WARM_UP_S * 1000)
        await asyncio.gather(*tasks)
        self.starts = await self.deployment.starts()
        await self.runner.aclose()
        return self

    def wall_ms(self, at_s):
        """Return the wall time of a moment of the run."""
        return self.began_ms + at_s * 1000

    def not_complete(self):
        """Return how many recorded jobs did not end complete."""
        total = self.recorder.total
        return total.jobs - total.endings[Ending.COMPLETE]

    async def _later(self, at_s, event):
        await asyncio.sleep(at_s)
        await event()


def plan(load, seconds, seed, **extra):
    """Return the planned jobs of the standard mix and fleet."""
    return arrivals.plan_jobs(MIX, FLEET, load, seconds, seed, **extra)


async def steady(load, seed):
    """Return response/ideal, messages and CPU under a steady load."""
    async with Deployment(Shape(FLEET), MIX) as deployment:
        before = [each.cpu_s() for each in deployment.entries + deployment.agents]
        run = LoadedRun(deployment, plan(load, STEADY_S, seed))
        await run.run()
        after = [each.cpu_s() for each in deployment.entries + deployment.agents]
        counts = await _message_counts(deployment)
        tasks = sum(len(job.tasks) for job in run.jobs)
        ratios = run.recorder.total.ratios
        return {
            "response/ideal p50": ratios.get_value_at_percentile(50) / 1000,
            "response/ideal p95": ratios.get_value_at_percentile(95) / 1000,
            "response/ideal p99": ratios.get_value_at_percentile(99) / 1000,
            "wasted messages a task": counts["wasted"] / tasks,
            "jobs not complete": run.not_complete(),
            "wrong answers": run.runner.counts.wrong_answers,
            "CPU us a task, entries and agents": (sum(after) - sum(before))
            / tasks
            * 1e6,
        }


async def flood_least(seed):
    """Flood the least urgent class at 10 times the fleet."""
    flooded = MIX.by_urgency[-1].name
    figures = await _flood(seed, flooded)
    others = [model.name for model in MIX.classes if model.name != flooded]
    worst = min(
        figures["flooded"].class_record(name).attainment
        / max(figures["quiet"].class_record(name).attainment, 1e-9)
        for name in others
    )
    return {
        "others' attainment against no flood": worst,
        "goodput against capacity": figures["goodput"],
        "series": figures["series"],
    }


async def flood_most(seed):
    """Flood the most urgent class at 10 times the fleet."""
    flooded = MIX.by_urgency[0].name
    figures = await _flood(seed, flooded)
    promised = {
        model.name: min(model.claims_at_least, figures["offered"][model.name])
        for model in MIX.classes
        if model.name != flooded
    }
    worst = min(
        figures["shares"].get(name, 0.0) / share for name, share in promised.items()
    )
    return {
        "least part of a promised share after 2 s": worst,
        "goodput against capacity": figures["goodput"],
        "series": figures["series"],
    }


async def failing_endpoint(seed):
    """One endpoint fails everything at once, and fast."""
    async with Deployment(Shape(FLEET), MIX) as deployment:
        victim = deployment.endpoints[5]

        async def fail():
            await victim.call("POST", "/faults", {"fail_all": True})

        run = LoadedRun(deployment, plan(0.6, STEADY_S, seed))
        await run.run((FAULT_AT_S, fail))
        from_ms = run.wall_ms(FAULT_AT_S)
        counts = [
            ledgers.count_between(starts, from_ms, from_ms + FAILING_WINDOW_MS)
            for starts in run.starts
        ]
        return {
            "share of tasks failed within 5 s": counts[5] / sum(counts),
            "jobs not complete": run.not_complete(),
        }


async def killed(seed):
    """Kill 1 of 10 agents and 1 of 3 entries under 60% load."""
    async with Deployment(Shape(FLEET), MIX) as deployment:

        async def kill():
            deployment.entries[1].kill()
            deployment.agents[4].kill()

        run = LoadedRun(deployment, plan(0.6, STEADY_S, seed))
        await run.run((FAULT_AT_S, kill))
        faults = run.runner.counts.incomplete_jobs
        lost_agent = ledgers.running_at(run.starts[4], run.wall_ms(FAULT_AT_S))
        running = [f for f in faults if f.entry == 1 or f.submission in lost_agent]
        # Sent to the killed agent and still waiting there for a slot: no ledger
        # has them. Only that agent is killed, so no other start is lost this way.
        waiting = [
            f for f in faults if f not in running and f.detail == Reason.ENDPOINT_LOST
        ]
        return {
            "jobs failed beyond those in flight": len(faults)
            - len(running)
            - len(waiting),
            "jobs failed that ran there": len(running),
            "jobs failed that waited there": len(waiting),
            "response/ideal p99": run.recorder.total.ratios.get_value_at_percentile(99)
            / 1000,
        }


async def outage(seed):
    """Take the platform away for 60 s; the same jobs run without an outage too."""
    p99 = {}
    for down in (False, True):
        async with Deployment(Shape(FLEET), MIX) as deployment:
            platform = deployment.platform

            async def switch(outage, platform=platform):
                await platform.call("POST", "/faults", {"outage": outage})

            run = LoadedRun(deployment, plan(0.6, WARM_UP_S + OUTAGE_S, seed))
            events = [
                (WARM_UP_S, lambda switch=switch: switch(True)),
                (WARM_UP_S + OUTAGE_S, lambda switch=switch: switch(False)),
            ]
            await run.run(*(events if down else ()))
            p99[down] = run.recorder.total.responses.get_value_at_percentile(99)
            failed = run.not_complete()
    return {
        "p99 response against no outage": p99[True] / p99[False],
        "jobs not complete": failed,
    }


async def _flood(seed, class_name):
    """Run the same background work without and with a flood of a class."""
    results = {}
    flood_end_s = FAULT_AT_S + FLOOD_S
    floods = [
        arrivals.Flood(class_name, FLOOD_LOAD, FAULT_AT_S * 1000, flood_end_s * 1000)
    ]
    for name, extra in (("quiet", ()), ("flooded", floods)):
        async with Deployment(Shape(FLEET), MIX) as deployment:
            run = LoadedRun(deployment, plan(0.6, flood_end_s, seed, floods=extra))
            await run.run()
            results[name] = run.recorder
            # Busy from 2 s after the flood begins until it ends.
            from_ms = run.wall_ms(FAULT_AT_S) + SETTLING_MS
            until_ms = run.wall_ms(flood_end_s)
            shares = ledgers.shares(run.starts, FLEET, from_ms, until_ms)
            results["shares"] = shares
            results["goodput"] = sum(shares.values())
            results["offered"] = _offered(
                run, FAULT_AT_S + SETTLING_MS / 1000, flood_end_s
            )
            results["series"] = {
                "refusals": dict(run.runner.counts.refusals),
                "shares": shares,
                "classes": run.recorder.to_dict()["classes"],
                "by_second": [
                    ledgers.shares(
                        run.starts, FLEET, run.wall_ms(s), run.wall_ms(s + 1)
                    )
                    for s in range(flood_end_s)
                ],
            }
    return results


def _offered(run, from_s, until_s):
    """Return each class's offered work as a part of the fleet's capacity."""
    offered = {}
    for job in run.jobs:
        if from_s * 1000 <= job.due_ms < until_s * 1000:
            offered[job.class_name] = offered.get(job.class_name, 0) + job.work_ms
    capacity = FLEET.capacity * (until_s - from_s) * 1000
    return {name: work_ms / capacity for name, work_ms in offered.items()}


async def _message_counts(deployment):
    """Return the wasted messages: refusals and duplicates; there are no others."""
    statuses = await deployment.statuses()
    wasted = sum(
        status["refused_starts"] + status["late_reports"] for status in statuses
    )
    return {"wasted": wasted}
