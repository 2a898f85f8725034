"""An endpoint leaves a start unanswered, and its agent is suspended meanwhile."""

import asyncio
import secrets
import signal
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import lab  # noqa: E402

RUN_MS = 2_500
TIME_BUDGET_MS = 8_000
# How much later the unanswered start is carried out.
LATE_S = 3.2
# For how long the agent is suspended.
FREEZE_S = 2.5


async def case(folder, is_troubled):
    """Return 1 if a task ran twice at the same time."""
    async with lab.Lab(folder, entries=4, minions=11) as world:
        job_id = secrets.token_hex(8)
        frozen = asyncio.get_running_loop().create_future()

        def leave_unanswered(number):
            def unanswered(path, call):
                is_chosen = path == "/run-start" and call["task"].startswith(job_id)
                if not is_chosen or frozen.done():
                    return None
                agent = world.agents[number]
                agent.send_signal(signal.SIGSTOP)
                frozen.set_result(agent)
                return LATE_S

            return unanswered

        if is_troubled:
            for number, minion in enumerate(world.minions):
                minion.unanswered = leave_unanswered(number)
        submission = asyncio.create_task(
            lab.request(
                world.record,
                world.entries[0],
                "POST",
                job_id,
                lab.job(f"{RUN_MS} sync", 1, RUN_MS, cpu=1_600),
                TIME_BUDGET_MS,
            )
        )
        if is_troubled:
            agent = await frozen
            await asyncio.sleep(FREEZE_S)
            agent.send_signal(signal.SIGCONT)
        status, _ = await submission
        await asyncio.sleep(1.0)
        found = lab.overlaps(world.runs(job_id))
        for name, row, other_name, other in found:
            world.record.write(
                "lab",
                f"TWICE: {row[0]} at {name} from {row[3]:.3f} to {row[4]:.3f}, "
                f"and at {other_name} from {other[3]:.3f} to {other[4]:.3f}",
            )
        if status != 200 and not found:
            raise RuntimeError(f"the job was not served: {status}")
        return 1 if found else 0


lab.main(FOLDER, case)
