"""A settings file changes just after its process was started: the process ends."""

import asyncio
import os
import signal
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from stage import BOUNDS, Stage, call, run_case  # noqa: E402

IS_TROUBLED = os.environ.get("TROUBLE", "1") != "0"
ROUNDS = 3
CHANGE_AFTER_S = 0.1
RESTART_DELAY_S = 0.5
# The rule: so often on so many machines.
ENDS, MACHINES = 3, 2


async def main():
    """Return a text for each entry that ended by itself too often."""
    async with Stage(FOLDER / "record.txt") as stage:
        ends = dict.fromkeys(stage.entries, 0)
        for _ in range(ROUNDS):
            for entry in stage.entries:
                ends[entry] += await restart(stage, entry)
        often = [entry for entry, count in ends.items() if count >= ENDS]
        if len(often) < MACHINES:
            return []
        return [f"{entry.name} ended by itself {ends[entry]} times" for entry in often]


async def restart(stage, entry):
    """Stop and start an entry as planned work; return whether it ended by itself."""
    entry.send_signal(signal.SIGTERM)
    async with asyncio.timeout(BOUNDS["grace_s"] + 1):
        await entry.process.wait()
    await entry.start()
    await asyncio.sleep(CHANGE_AFTER_S)
    if IS_TROUBLED:
        change_settings(entry)
        entry.send_signal(signal.SIGHUP)
    await asyncio.sleep(RESTART_DELAY_S)
    code = entry.process.returncode
    if code is not None:
        stage.record.write(f"{entry.name} has ended with {code}")
        await entry.start()
    while (await call(entry.readiness, "GET", "/ready"))[0] != 200:
        await asyncio.sleep(0.1)
    stage.record.write(f"{entry.name} is ready")
    return code is not None


def change_settings(entry):
    """Change a field that the project doesn't know, as the platform may."""
    path = entry.stage.folder / f"{entry.name}.toml"
    lines = path.read_text(encoding="utf-8").splitlines()
    kept = [line for line in lines if not line.startswith("in_tolerance")]
    changed = path.with_suffix(".new")
    value = "false" if "in_tolerance = true" in lines else "true"
    text = "\n".join([f"in_tolerance = {value}", *kept])
    changed.write_text(text, encoding="utf-8")
    changed.replace(path)


if __name__ == "__main__":
    run_case(main)
