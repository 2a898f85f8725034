"""An agent gets a heartbeat of another writer, in which fields are missing."""

import asyncio
import secrets
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import lab  # noqa: E402

RUN_MS = 2_500
TIME_BUDGET_MS = 8_000
MISSING_FIELDS = ("addr", "zone", "version", "slots", "labels", "cold_left_ms")


async def case(folder, is_troubled):
    """Return 1 if a task ran twice at the same time."""
    async with lab.Lab(folder, entries=2, minions=3) as world:
        job_id = secrets.token_hex(8)
        submission = asyncio.create_task(
            lab.request(
                world.record,
                world.entries[0],
                "POST",
                job_id,
                lab.job(f"{RUN_MS} sync", 3, RUN_MS, cpu=1_600),
                TIME_BUDGET_MS,
            )
        )
        await asyncio.sleep(0.4)
        if is_troubled:
            place = world.runs(job_id)[0][0]
            names = [minion.name for minion in world.minions]
            number = names.index(place)
            _, body = world.minions[number].heartbeat()
            body = {k: v for k, v in body.items() if k not in MISSING_FIELDS}
            body |= {"seq": 1, "born": int(time.time() * 1_000)}
            status, _ = await lab.http_call(
                world.agents[number].address(lab.CONTROL),
                "PUT",
                f"/instances/i-{secrets.token_hex(4)}",
                body,
                timeout_s=1.0,
            )
            world.record.write(
                "writer", f"heartbeat without {MISSING_FIELDS} at {place}: {status}"
            )
        status, _ = await submission
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
