"""How soon an accepted configuration is in force on every process.

Run with ``python -m benchmarks.configuration_spread [CHANGES]``: separate processes
on loopback, two operators who apply at once at different entries. Prints one JSON
object for each case. Times are from the operator's answer to the last process's log
line; a version that a process skips counts from the newer one it took instead.
"""

import asyncio
import json
import random
import sys
import time
from datetime import UTC, datetime

from tests.harness import CLASSES, Fleet

ENTRIES = 4
AGENTS = 6
OPERATORS = ("ann", "ben")
CHANGES = 100
FEW_CHANGES = 5
SEED = 1
LOSE_SHARE = 0.2
IN_FORCE_S = 6
IN_FORCE_LINES = ("configuration taken", "configuration in force")


class Result:
    """Accepted changes with their times, and refusals by code."""

    def __init__(self):
        self.accepted = {}
        self.twice = 0
        self.refused = {}

    def take(self, response):
        """Note the answer to one change."""
        body = response.json()
        if response.status_code == 200:
            self.twice += body["version"] in self.accepted
            self.accepted[body["version"]] = time.time()
            return
        code = body["error"]["code"]
        self.refused[code] = self.refused.get(code, 0) + 1


async def read_version(fleet, entry):
    """Return the version in force at an entry."""
    answer = await fleet.http.get(fleet.url(entry, "/v1/classes"))
    return answer.json()["version"]


async def operate(fleet, entry, name, count, result, rng):
    """Apply changes one after another, some with a lost reply."""
    for number in range(count):
        if rng.random() < LOSE_SHARE:
            await fleet.set_platform_faults(lose_replies=1)
        version = await read_version(fleet, entry)
        classes = json.loads(json.dumps(CLASSES))
        classes["render"]["answers_within_ms"] = 1_000 + number
        result.take(await fleet.apply(entry, version, classes, author=name))


def taken(process):
    """Yield (version, wall time) for each version that a process put in force."""
    for line in process.log_path.read_text().splitlines():
        record = json.loads(line)
        if record["message"] in IN_FORCE_LINES:
            at = datetime.fromisoformat(record["time"]).replace(tzinfo=UTC)
            yield record["version"], at.timestamp()


def judge(case, fleet, result):
    """Print the spread of all accepted versions and any step back."""
    processes = [*fleet.entries, *(agent.process for agent in fleet.agents)]
    spreads, steps_back, missing = [], 0, 0
    for process in processes:
        seen = list(taken(process))
        versions = [version for version, _ in seen]
        steps_back += sum(
            newer <= older for older, newer in zip(versions, versions[1:], strict=False)
        )
        for version, accepted_at in result.accepted.items():
            at = [when for found, when in seen if found >= version]
            missing += not at
            spreads += [max(0.0, min(at) - accepted_at)] if at else []
    spreads.sort()
    report = {
        "case": case,
        "processes": len(processes),
        "accepted": len(result.accepted),
        "accepted_twice": result.twice,
        "refused": result.refused,
        "steps_back": steps_back,
        "not_in_force": missing,
        "p50_ms": round(spreads[len(spreads) // 2] * 1e3),
        "max_ms": round(spreads[-1] * 1e3),
    }
    print(json.dumps(report), flush=True)


async def concurrent(count):
    """Two operators at once, replies of the store lost now and then."""
    result, rng = Result(), random.Random(SEED)
    async with Fleet(entries=ENTRIES, agents=AGENTS) as fleet:
        await asyncio.gather(
            *(
                operate(fleet, entry, name, count, result, rng)
                for entry, name in zip(fleet.entries, OPERATORS, strict=False)
            )
        )
        await asyncio.sleep(IN_FORCE_S)
        judge("two operators, lost replies", fleet, result)


async def one_by_one(case, before, after):
    """One operator's changes, with faults set before and after each."""
    result = Result()
    async with Fleet(entries=ENTRIES, agents=AGENTS) as fleet:
        for number in range(FEW_CHANGES):
            entry = fleet.entries[number % ENTRIES]
            version = max([await read_version(fleet, other) for other in fleet.entries])
            await fleet.set_platform_faults(**before)
            result.take(await fleet.apply(entry, version, CLASSES))
            await fleet.set_platform_faults(**after)
            await asyncio.sleep(IN_FORCE_S)
        judge(case, fleet, result)


async def main(count):
    """Run all cases."""
    await concurrent(count)
    await one_by_one("store fails after the answer", {}, {"outage": True})
    slow = {"delay_ms": 2_000}
    await one_by_one("store takes 2 s a call", slow, slow)


if __name__ == "__main__":
    asyncio.run(main(int(sys.argv[1]) if len(sys.argv) > 1 else CHANGES))
