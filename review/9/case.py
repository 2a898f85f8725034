"""A minion starts again under its id as another kind, and gets tasks of the old one."""

import asyncio
import os
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from stage import Stage, new_id, run_case  # noqa: E402

IS_TROUBLED = os.environ.get("TROUBLE", "1") != "0"
WORK_MS = 200
JOB_INTERVAL_S = 0.04
TASKS = 4
TRAFFIC_S = 14.0
# When each of the minions of kind a starts again, in s after the traffic.
CRASHES_S = (2.0, 5.0, 8.0, 11.0)
KINDS = (*[["a", "r1"]] * 7, ["b", "r1"])
IS_PROMPT = os.environ.get("PROMPT") == "1"


async def main():
    """Return a text for each start of a task at a minion without its label."""
    async with Stage(FOLDER / "record.txt", labels=KINDS) as stage:
        jobs = stage.spawn(submit_jobs(stage))
        if IS_TROUBLED:
            stage.spawn(crash_in_turn(stage))
        await jobs
        return [
            f"{run.task} run {run.number} (constraints a) was started at "
            f"{run.minion} with labels {list(run.labels)}"
            for run in stage.runs
            if run.spec == str(WORK_MS) and "a" not in run.labels
        ]


async def submit_jobs(stage):
    """Submit jobs for minions of kind a, to each entry in turn, and await them."""
    step = {"count": TASKS, "cpu": 1_000, "mem_mb": 64, "est_runtime_ms": WORK_MS}
    step |= {"constraints": "a"}
    jobs = []
    for number in range(int(TRAFFIC_S / JOB_INTERVAL_S)):
        entry = stage.entries[number % len(stage.entries)]
        jobs.append(stage.spawn(stage.submit(entry, new_id(), str(WORK_MS), [step])))
        await asyncio.sleep(JOB_INTERVAL_S)
    await asyncio.gather(*jobs)


async def crash_in_turn(stage):
    """Let four minions of kind a crash and start again as kind b."""
    began_s = stage.record.now_s()
    for minion, crash_s in zip(stage.minions, CRASHES_S, strict=False):
        await asyncio.sleep(began_s + crash_s - stage.record.now_s())
        minion.crash(labels=["b", "r1"])
        if IS_PROMPT:
            await minion.send_heartbeat()


if __name__ == "__main__":
    run_case(main)
