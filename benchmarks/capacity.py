"""Costs by the number of links and agents, for ``docs/CAPACITY.md``.

``python -m benchmarks.capacity`` prints Markdown tables of the costs of an idle entry
by its number of agents, of an idle agent by its number of entries, and of the time that
placing a task takes by the number of agents. ``make capacity`` runs it.
"""

import asyncio
import json
import sys
import tempfile
import time
from pathlib import Path

from plantainhitch.loadgen import arrivals, ideal, workloads

from .decision_loop import Trial
from .processes import Process, start_node
from .product_policy import WaitingStarts
from .socket_bytes import SocketBytes

AGENT_COUNTS = (10, 50, 100, 200, 360)
ENTRY_COUNTS = (1, 3, 10, 30)
DECISION_AGENT_COUNTS = (10, 50, 100, 200, 400)
LOAD = 0.6
DECISION_S = 2
SETTLE_S = 4
IDLE_S = 12
RESULT_FILE = Path(__file__).resolve().parent / "results" / "capacity.json"


async def idle_entry(count):
    """Measure one entry that is linked to ``count`` idle agents."""
    with tempfile.TemporaryDirectory() as folder:
        platform = await Process.start("platform", folder, "standin", "platform")
        peers = await Process.start(
            *("peers", folder, "agents", str(count), str(platform.address)),
            module="benchmarks.capacity_peers",
        )
        entry = await start_node(folder, platform, "entry", 0)
        try:
            await asyncio.sleep(SETTLE_S)
            return await _measure_idle(entry, platform, count)
        finally:
            for process in (entry, peers, platform):
                await process.stop()


async def idle_agent(count):
    """Measure one agent that is linked to ``count`` idle entries."""
    with tempfile.TemporaryDirectory() as folder:
        platform = await Process.start("platform", folder, "standin", "platform")
        agent = await start_node(folder, platform, "agent", 0)
        endpoint = await Process.start(
            *("endpoint", folder, "standin", "endpoint", "--name", "endpoint-0"),
            *("--agent", str(agent.address)),
        )
        started = [platform, agent, endpoint]
        try:
            incarnation = await _registered_incarnation(platform)
            peers = await Process.start(
                *("peers", folder, "entries", str(count)),
                *(agent.ready["link"], incarnation),
                module="benchmarks.capacity_peers",
            )
            started.append(peers)
            await asyncio.sleep(SETTLE_S)
            return await _measure_idle(agent, platform, count)
        finally:
            for process in reversed(started):
                await process.stop()


def decision_costs(count):
    """Measure the time of placing a task in a simulation with ``count`` agents."""
    fleet = ideal.Fleet.with_geometric_speeds(count, 8, 0.5, 2.0)
    jobs = arrivals.plan_jobs(workloads.TICKMARK, fleet, LOAD, DECISION_S, 1)
    policy = WaitingStarts(workloads.TICKMARK)
    trial = Trial(fleet, jobs, policy, entries=max(3, count // 30))
    timer = _DecisionTimer(policy)
    trial.run()
    tasks = sum(len(job.tasks) for job in jobs)
    return {
        "agents": count,
        "entries": trial.entries,
        "tasks": tasks,
        "entry decisions, us a task": round(timer.entry_s / tasks * 1e6, 1),
        "agent decisions, us a task": round(timer.agent_s / tasks * 1e6, 1),
        "extra messages a task": round(trial.extra_messages / tasks, 3),
    }


class _DecisionTimer:
    """Sums up the time in s that entries and agents spend in their decision methods."""

    def __init__(self, policy):
        self.entry_s = 0.0
        self.agent_s = 0.0
        for entry in policy.entries:
            dispatcher = entry.dispatcher
            for name in ("submit", "receive", "place", "tick", "take_outbox"):
                self._time_calls(dispatcher, name, "entry_s")
        for agent in policy.agents:
            for name in ("handle", "run_round"):
                self._time_calls(agent.core, name, "agent_s")

    def _time_calls(self, target, name, total_name):
        method = getattr(target, name)

        def timed(*arguments):
            began_s = time.perf_counter()
            try:
                return method(*arguments)
            finally:
                spent_s = time.perf_counter() - began_s
                setattr(self, total_name, getattr(self, total_name) + spent_s)

        setattr(target, name, timed)


async def _measure_idle(process, platform, count):
    """Measure a process over ``IDLE_S`` seconds without jobs."""
    before = (
        process.cpu_s(),
        await _platform_counters(platform),
        SocketBytes.from_process(process.pid),
    )
    began_s = time.monotonic()
    await asyncio.sleep(IDLE_S)
    seconds = time.monotonic() - began_s
    after = (
        process.cpu_s(),
        await _platform_counters(platform),
        SocketBytes.from_process(process.pid),
    )
    calls = sum(after[1].values()) - sum(before[1].values())
    sent, received = after[2].since(before[2])
    return {
        "links": count,
        "CPU % of a core": round((after[0] - before[0]) / seconds * 100, 2),
        "resident MB": round(process.resident_mb(), 1),
        "bytes/s sent": round(sent / seconds),
        "bytes/s received": round(received / seconds),
        "platform calls/s": round(calls / seconds, 2),
    }


async def _platform_counters(platform):
    _, counters = await platform.call("GET", "/counters")
    return {name: value for name, value in counters.items() if isinstance(value, int)}


async def _registered_incarnation(platform):
    """Wait until an agent is registered; return its incarnation as hex."""
    while True:
        _, page = await platform.call("GET", "/tables/members/changes?since=0")
        for row in page["rows"]:
            if row["key"].startswith("agent/"):
                return row["key"].partition("/")[2]
        await asyncio.sleep(0.1)


def format_rows(rows):
    """Return a Markdown table of dicts that all have the same keys."""
    names = list(rows[0])
    lines = [f"| {' | '.join(names)} |", f"|{' --- |' * len(names)}"]
    lines += [f"| {' | '.join(str(row[name]) for name in names)} |" for row in rows]
    return "\n".join(lines)


def main():
    """Measure all costs, print them and save them."""
    results = {}
    for title, measure, counts in (
        ("idle entry", idle_entry, AGENT_COUNTS),
        ("idle agent", idle_agent, ENTRY_COUNTS),
    ):
        results[title] = [asyncio.run(measure(count)) for count in counts]
        print(f"## {title}\n\n{format_rows(results[title])}\n", flush=True)
    title = "decisions"
    results[title] = [decision_costs(count) for count in DECISION_AGENT_COUNTS]
    print(f"## {title}\n\n{format_rows(results[title])}\n", flush=True)
    RESULT_FILE.parent.mkdir(exist_ok=True)
    RESULT_FILE.write_text(json.dumps(results, indent=1) + "\n")
    return 0


if __name__ == "__main__":
    sys.exit(main())
