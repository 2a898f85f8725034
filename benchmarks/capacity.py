"""Slopes for ``docs/CAPACITY.md``, measured on small processes and on decisions.

``python -m benchmarks.capacity`` prints, as Markdown: what an idle entry costs by
the number of its agents, an idle agent by the number of its entries, and the
processor time of placing a task by the number of agents. ``make capacity`` runs it.
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
DECISION_COUNTS = (10, 50, 100, 200, 400)
LOAD = 0.6
DECISION_S = 2
SETTLE_S = 4
IDLE_S = 12
RESULT_FILE = Path(__file__).resolve().parent / "results" / "capacity.json"


async def idle_entry(count):
    """Return what one entry with ``count`` idle agents costs."""
    with tempfile.TemporaryDirectory() as folder:
        platform = await Process.start("platform", folder, "standin", "platform")
        peers = await Process.start(
            *("peers", folder, "agents", str(count), str(platform.address)),
            module="benchmarks.capacity_peers",
        )
        entry = await start_node(folder, platform, "entry", 0)
        try:
            await asyncio.sleep(SETTLE_S)
            return await _idle(entry, platform, count)
        finally:
            for process in (entry, peers, platform):
                await process.stop()


async def idle_agent(count):
    """Return what one agent with ``count`` idle entries costs."""
    with tempfile.TemporaryDirectory() as folder:
        platform = await Process.start("platform", folder, "standin", "platform")
        agent = await start_node(folder, platform, "agent", 0)
        endpoint = await Process.start(
            *("endpoint", folder, "standin", "endpoint", "--name", "endpoint-0"),
            *("--agent", str(agent.address)),
        )
        started = [platform, agent, endpoint]
        try:
            incarnation = await _registered(platform)
            peers = await Process.start(
                *("peers", folder, "entries", str(count)),
                *(agent.ready["link"], incarnation),
                module="benchmarks.capacity_peers",
            )
            started.append(peers)
            await asyncio.sleep(SETTLE_S)
            return await _idle(agent, platform, count)
        finally:
            for process in reversed(started):
                await process.stop()


def decisions(count):
    """Return the processor time of an entry's decisions with ``count`` agents."""
    fleet = ideal.Fleet.with_geometric_speeds(count, 8, 0.5, 2.0)
    jobs = arrivals.plan_jobs(workloads.TICKMARK, fleet, LOAD, DECISION_S, 1)
    policy = WaitingStarts(workloads.TICKMARK)
    trial = Trial(fleet, jobs, policy, entries=max(3, count // 30))
    clock = _Stopwatch(policy)
    trial.run()
    tasks = sum(len(job.tasks) for job in jobs)
    return {
        "agents": count,
        "entries": trial.entries,
        "tasks": tasks,
        "entry decisions, us a task": round(clock.entry_s / tasks * 1e6, 1),
        "agent decisions, us a task": round(clock.agent_s / tasks * 1e6, 1),
        "extra messages a task": round(trial.extra_messages / tasks, 3),
    }


class _Stopwatch:
    """Adds up the time spent in the decisions of entries and agents."""

    def __init__(self, policy):
        self.entry_s = 0.0
        self.agent_s = 0.0
        for entry in policy.entries:
            dispatcher = entry.dispatcher
            for name in ("submit", "receive", "place", "tick", "take_outbox"):
                self._time(dispatcher, name, "entry_s")
        for agent in policy.agents:
            for name in ("handle", "run_round"):
                self._time(agent.core, name, "agent_s")

    def _time(self, owner, name, total):
        method = getattr(owner, name)

        def timed(*arguments):
            began_s = time.perf_counter()
            try:
                return method(*arguments)
            finally:
                spent_s = time.perf_counter() - began_s
                setattr(self, total, getattr(self, total) + spent_s)

        setattr(owner, name, timed)


async def _idle(process, platform, count):
    """Measure a process over ``IDLE_S`` seconds without any work."""
    before = process.cpu_s(), await _counters(platform), SocketBytes.of(process.pid)
    began_s = time.monotonic()
    await asyncio.sleep(IDLE_S)
    seconds = time.monotonic() - began_s
    after = process.cpu_s(), await _counters(platform), SocketBytes.of(process.pid)
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


async def _counters(platform):
    _, counters = await platform.call("GET", "/counters")
    return {name: value for name, value in counters.items() if isinstance(value, int)}


async def _registered(platform):
    """Return the incarnation of the only registered agent, as hex."""
    while True:
        _, page = await platform.call("GET", "/tables/members/changes?since=0")
        for row in page["rows"]:
            if row["key"].startswith("agent/"):
                return row["key"].partition("/")[2]
        await asyncio.sleep(0.1)


def markdown(rows):
    """Return dicts with the same keys as a table."""
    names = list(rows[0])
    lines = [f"| {' | '.join(names)} |", f"|{' --- |' * len(names)}"]
    lines += [f"| {' | '.join(str(row[name]) for name in names)} |" for row in rows]
    return "\n".join(lines)


def main():
    """Measure all slopes, print them and save them."""
    results = {}
    for title, measure, counts in (
        ("idle entry", idle_entry, AGENT_COUNTS),
        ("idle agent", idle_agent, ENTRY_COUNTS),
    ):
        results[title] = [asyncio.run(measure(count)) for count in counts]
        print(f"## {title}\n\n{markdown(results[title])}\n", flush=True)
    title = "decisions"
    results[title] = [decisions(count) for count in DECISION_COUNTS]
    print(f"## {title}\n\n{markdown(results[title])}\n", flush=True)
    RESULT_FILE.parent.mkdir(exist_ok=True)
    RESULT_FILE.write_text(json.dumps(results, indent=1) + "\n")
    return 0


if __name__ == "__main__":
    sys.exit(main())
