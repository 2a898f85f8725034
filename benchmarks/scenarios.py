"""Scenarios under planned load: steady load, floods, failures, a platform outage.

Each function starts its own processes, runs once with a seed and returns a dict of
figures by the names of its measures in ``bench``.
"""

import asyncio
import time

from plantainhitch.clock import Clock
from plantainhitch.loadgen import arrivals, ideal, workloads
from plantainhitch.loadgen.recorder import Ending, Recorder
from plantainhitch.loadgen.runner import LoadRunner
from plantainhitch.outcomes import Reason

from . import ledgers
from .processes import Deployment, DeploymentSpec

FLEET = ideal.Fleet.with_geometric_speeds(10, 8, 0.5, 2.0)
MIX = workloads.TICKMARK
WARM_UP_S = 5
STEADY_S = 30
FAULT_AT_S = 10
FLOOD_S = 10
FLOOD_LOAD = 10.0
OUTAGE_S = 60
# A flood's figures leave out this time after it begins.
SETTLING_MS = 2_000
FAILING_WINDOW_MS = 5_000


class LoadRun:
    """Sends planned jobs to a deployment and records their responses.

    ``starts`` holds the endpoints' ledgers once ``run`` has returned.
    """

    def __init__(self, deployment, jobs):
        targets = {model.name: model.answers_within_ms for model in MIX.classes}
        self.deployment = deployment
        self.jobs = jobs
        self.recorder = Recorder(targets)
        self.runner = LoadRunner(deployment.addresses, Clock(), FLEET, self.recorder)
        self.began_ms = 0.0
        self.starts = []

    async def run(self, *events):
        """Send the jobs; call each of ``events``, (at in s, coroutine function)."""
        self.began_ms = time.time() * 1000
        tasks = [asyncio.create_task(self._run_at(*event)) for event in events]
        await self.runner.run(self.jobs, measured_from_ms=WARM_UP_S * 1000)
        await asyncio.gather(*tasks)
        self.starts = await self.deployment.starts()
        await self.runner.aclose()
        return self

    def wall_ms(self, at_s):
        """Return the wall clock time in ms of a time in s since the run began."""
        return self.began_ms + at_s * 1000

    def count_incomplete(self):
        """Return the number of recorded jobs that did not end complete."""
        total = self.recorder.total
        return total.jobs - total.endings[Ending.COMPLETE]

    async def _run_at(self, at_s, event):
        await asyncio.sleep(at_s)
        await event()


def standard_jobs(load, seconds, seed, **extra):
    """Return the planned jobs of the module's mix and fleet."""
    return arrivals.plan_jobs(MIX, FLEET, load, seconds, seed, **extra)


async def steady(load, seed):
    """Measure response/ideal, wasted messages and CPU time under a steady load."""
    async with Deployment(DeploymentSpec(FLEET), MIX) as deployment:
        cpu_before_s = [each.cpu_s() for each in deployment.entries + deployment.agents]
        run = LoadRun(deployment, standard_jobs(load, STEADY_S, seed))
        await run.run()
        cpu_after_s = [each.cpu_s() for each in deployment.entries + deployment.agents]
        counts = await _message_counts(deployment)
        tasks = sum(len(job.tasks) for job in run.jobs)
        ratios = run.recorder.total.ratios
        return {
            "response/ideal p50": ratios.get_value_at_percentile(50) / 1000,
            "response/ideal p95": ratios.get_value_at_percentile(95) / 1000,
            "response/ideal p99": ratios.get_value_at_percentile(99) / 1000,
            "wasted messages a task": counts["wasted"] / tasks,
            "jobs not complete": run.count_incomplete(),
            "wrong answers": run.runner.counts.wrong_answers,
            "CPU us a task, entries and agents": (sum(cpu_after_s) - sum(cpu_before_s))
            / tasks
            * 1e6,
        }


async def flood_least(seed):
    """Offer 10 times the fleet's capacity in the least urgent class."""
    flooded = MIX.by_urgency[-1].name
    figures = await _flood(seed, flooded)
    others = [model.name for model in MIX.classes if model.name != flooded]
    lowest_ratio = min(
        figures["flooded"].class_record(name).attainment
        / max(figures["quiet"].class_record(name).attainment, 1e-9)
        for name in others
    )
    return {
        "others' attainment against no flood": lowest_ratio,
        "goodput against capacity": figures["goodput"],
        "series": figures["series"],
    }


async def flood_most(seed):
    """Offer 10 times the fleet's capacity in the most urgent class."""
    flooded = MIX.by_urgency[0].name
    figures = await _flood(seed, flooded)
    guaranteed_shares = {
        model.name: min(model.claims_at_least, figures["offered"][model.name])
        for model in MIX.classes
        if model.name != flooded
    }
    lowest_ratio = min(
        figures["shares"].get(name, 0.0) / share
        for name, share in guaranteed_shares.items()
    )
    return {
        "least part of a promised share after 2 s": lowest_ratio,
        "goodput against capacity": figures["goodput"],
        "series": figures["series"],
    }


async def failing_endpoint(seed):
    """Let one endpoint fail every task immediately, under 60% load."""
    async with Deployment(DeploymentSpec(FLEET), MIX) as deployment:
        failing = deployment.endpoints[5]

        async def fail():
            await failing.call("POST", "/faults", {"fail_all": True})

        run = LoadRun(deployment, standard_jobs(0.6, STEADY_S, seed))
        await run.run((FAULT_AT_S, fail))
        from_ms = run.wall_ms(FAULT_AT_S)
        counts = [
            ledgers.count_starts(starts, from_ms, from_ms + FAILING_WINDOW_MS)
            for starts in run.starts
        ]
        return {
            "share of tasks failed within 5 s": counts[5] / sum(counts),
            "jobs not complete": run.count_incomplete(),
        }


async def killed(seed):
    """Kill 1 of 10 agents and 1 of 3 entries at the same time under 60% load."""
    async with Deployment(DeploymentSpec(FLEET), MIX) as deployment:

        async def kill():
            deployment.entries[1].kill()
            deployment.agents[4].kill()

        run = LoadRun(deployment, standard_jobs(0.6, STEADY_S, seed))
        await run.run((FAULT_AT_S, kill))
        incomplete_jobs = run.runner.counts.incomplete_jobs
        submissions_at_agent = ledgers.submissions_running_at(
            run.starts[4], run.wall_ms(FAULT_AT_S)
        )
        failed_running = [
            job
            for job in incomplete_jobs
            if job.entry == 1 or job.submission in submissions_at_agent
        ]
        # Starts that waited for a slot at the killed agent are in no ledger. They fail
        # with ENDPOINT_LOST, and no other agent is killed that could lose a start.
        failed_waiting = [
            job
            for job in incomplete_jobs
            if job not in failed_running and job.detail == Reason.ENDPOINT_LOST
        ]
        return {
            "jobs failed beyond those in flight": len(incomplete_jobs)
            - len(failed_running)
            - len(failed_waiting),
            "jobs failed that ran there": len(failed_running),
            "jobs failed that waited there": len(failed_waiting),
            "response/ideal p99": run.recorder.total.ratios.get_value_at_percentile(99)
            / 1000,
        }


async def outage(seed):
    """Run the same jobs without and with a platform outage of 60 s."""
    p99 = {}
    for with_outage in (False, True):
        async with Deployment(DeploymentSpec(FLEET), MIX) as deployment:
            platform = deployment.platform

            async def set_outage(outage, platform=platform):
                await platform.call("POST", "/faults", {"outage": outage})

            run = LoadRun(deployment, standard_jobs(0.6, WARM_UP_S + OUTAGE_S, seed))
            events = [
                (WARM_UP_S, lambda set_outage=set_outage: set_outage(True)),
                (WARM_UP_S + OUTAGE_S, lambda set_outage=set_outage: set_outage(False)),
            ]
            await run.run(*(events if with_outage else ()))
            p99[with_outage] = run.recorder.total.responses.get_value_at_percentile(99)
            failed = run.count_incomplete()
    return {
        "p99 response against no outage": p99[True] / p99[False],
        "jobs not complete": failed,
    }


async def _flood(seed, class_name):
    """Run the same background jobs without and with a flood of a class.

    Returns the recorders as ``quiet`` and ``flooded``; the further figures are those
    of the flooded run.
    """
    results = {}
    flood_end_s = FAULT_AT_S + FLOOD_S
    floods = [
        arrivals.Flood(class_name, FLOOD_LOAD, FAULT_AT_S * 1000, flood_end_s * 1000)
    ]
    for name, extra in (("quiet", ()), ("flooded", floods)):
        async with Deployment(DeploymentSpec(FLEET), MIX) as deployment:
            run = LoadRun(
                deployment, standard_jobs(0.6, flood_end_s, seed, floods=extra)
            )
            await run.run()
            results[name] = run.recorder
            # Shares are measured from 2 s after the flood begins until it ends.
            from_ms = run.wall_ms(FAULT_AT_S) + SETTLING_MS
            until_ms = run.wall_ms(flood_end_s)
            shares = ledgers.shares(run.starts, FLEET, from_ms, until_ms)
            results["shares"] = shares
            results["goodput"] = sum(shares.values())
            results["offered"] = _offered_shares(
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


def _offered_shares(run, from_s, until_s):
    """Return the offered work of each class as a share of the fleet's capacity."""
    offered = {}
    for job in run.jobs:
        if from_s * 1000 <= job.due_ms < until_s * 1000:
            offered[job.class_name] = offered.get(job.class_name, 0) + job.work_ms
    capacity = FLEET.capacity * (until_s - from_s) * 1000
    return {name: work_ms / capacity for name, work_ms in offered.items()}


async def _message_counts(deployment):
    """Return a dict with the number of ``wasted`` messages over all entries.

    Only refused starts and late reports are wasted; there is no other kind.
    """
    statuses = await deployment.statuses()
    wasted = sum(
        status["refused_starts"] + status["late_reports"] for status in statuses
    )
    return {"wasted": wasted}
