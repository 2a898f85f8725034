"""Time until an accepted configuration is in force on every process.

Run with ``python -m benchmarks.configuration_spread [CHANGES]``. It starts separate
processes on loopback; in the first case two operators apply changes at the same time
at different entries. Prints one JSON object for each case. Times are from the response
to the operator until the log line of each process; if a process skips a version, the
time is that of the newer version that it put in force instead.
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
LOST_REPLY_SHARE = 0.2
IN_FORCE_WAIT_S = 6
IN_FORCE_MESSAGES = ("configuration taken", "configuration in force")


class ChangeResults:
    """Wall times in s of accepted versions, and counts of refusals by error code.

    ``accepted_twice`` counts responses that accept a version accepted before.
    """

    def __init__(self):
        self.accepted = {}
        self.accepted_twice = 0
        self.refused = {}

    def record_response(self, response):
        """Record the response to one change."""
        body = response.json()
        if response.status_code == 200:
            self.accepted_twice += body["version"] in self.accepted
            self.accepted[body["version"]] = time.time()
            return
        code = body["error"]["code"]
        self.refused[code] = self.refused.get(code, 0) + 1


async def read_version(fleet, entry):
    """Return the version in force at an entry."""
    answer = await fleet.http.get(fleet.url(entry, "/v1/classes"))
    return answer.json()["version"]


async def apply_changes(fleet, entry, name, count, result, rng):
    """Apply changes one after another; for some, a reply of the store is lost."""
    for number in range(count):
        if rng.random() < LOST_REPLY_SHARE:
            await fleet.set_platform_faults(lose_replies=1)
        version = await read_version(fleet, entry)
        classes = json.loads(json.dumps(CLASSES))
        classes["render"]["answers_within_ms"] = 1_000 + number
        result.record_response(await fleet.apply(entry, version, classes, author=name))


def versions_in_force(process):
    """Yield (version, wall time in s) of each version that a process put in force."""
    for line in process.log_path.read_text().splitlines():
        record = json.loads(line)
        if record["message"] in IN_FORCE_MESSAGES:
            logged_at = datetime.fromisoformat(record["time"]).replace(tzinfo=UTC)
            yield record["version"], logged_at.timestamp()


def print_spread(case, fleet, result):
    """Print the times of all accepted versions, and the versions that went back."""
    processes = [*fleet.entries, *(agent.process for agent in fleet.agents)]
    spreads_s, steps_back, missing = [], 0, 0
    for process in processes:
        versions_seen = list(versions_in_force(process))
        versions = [version for version, _ in versions_seen]
        steps_back += sum(
            newer <= older for older, newer in zip(versions, versions[1:], strict=False)
        )
        for version, accepted_at_s in result.accepted.items():
            times_s = [
                logged_at_s
                for seen_version, logged_at_s in versions_seen
                if seen_version >= version
            ]
            missing += not times_s
            spreads_s += [max(0.0, min(times_s) - accepted_at_s)] if times_s else []
    spreads_s.sort()
    report = {
        "case": case,
        "processes": len(processes),
        "accepted": len(result.accepted),
        "accepted_twice": result.accepted_twice,
        "refused": result.refused,
        "steps_back": steps_back,
        "not_in_force": missing,
        "p50_ms": round(spreads_s[len(spreads_s) // 2] * 1e3),
        "max_ms": round(spreads_s[-1] * 1e3),
    }
    print(json.dumps(report), flush=True)


async def concurrent_operators(count):
    """Let two operators apply changes at once while some store replies are lost."""
    result, rng = ChangeResults(), random.Random(SEED)
    async with Fleet(entries=ENTRIES, agents=AGENTS) as fleet:
        await asyncio.gather(
            *(
                apply_changes(fleet, entry, name, count, result, rng)
                for entry, name in zip(fleet.entries, OPERATORS, strict=False)
            )
        )
        await asyncio.sleep(IN_FORCE_WAIT_S)
        print_spread("two operators, lost replies", fleet, result)


async def sequential_changes(case, before, after):
    """Let one operator apply changes; set platform faults before and after each."""
    result = ChangeResults()
    async with Fleet(entries=ENTRIES, agents=AGENTS) as fleet:
        for number in range(FEW_CHANGES):
            entry = fleet.entries[number % ENTRIES]
            version = max([await read_version(fleet, other) for other in fleet.entries])
            await fleet.set_platform_faults(**before)
            result.record_response(await fleet.apply(entry, version, CLASSES))
            await fleet.set_platform_faults(**after)
            await asyncio.sleep(IN_FORCE_WAIT_S)
        print_spread(case, fleet, result)


async def main(count):
    """Run all cases."""
    await concurrent_operators(count)
    await sequential_changes("store fails after the answer", {}, {"outage": True})
    slow = {"delay_ms": 2_000}
    await sequential_changes("store takes 2 s a call", slow, slow)


if __name__ == "__main__":
    asyncio.run(main(int(sys.argv[1]) if len(sys.argv) > 1 else CHANGES))
