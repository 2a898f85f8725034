"""Operators who race: one wins each version, and no version goes back anywhere."""

import asyncio
import itertools
import re
import time

from tests.harness import CLASSES, Fleet, ProcessTestCase

ROUNDS = 150
IN_FORCE_S = 6
VERSION = re.compile(r"^\S*configuration_version\S* (\d+)", re.MULTILINE)


async def version_at(fleet, process):
    """Return the version in force at an entry or an agent."""
    text = (await fleet.http.get(fleet.url(process, "/metrics"))).text
    return int(float(VERSION.search(text).group(1)))


class Watcher:
    """Reads the version of every process again and again."""

    def __init__(self, fleet):
        self._fleet = fleet
        self.processes = [*fleet.entries, *(agent.process for agent in fleet.agents)]
        self.seen = {process.name: [] for process in self.processes}

    async def run(self):
        while True:
            for process in self.processes:
                version = await version_at(self._fleet, process)
                self.seen[process.name].append(version)
            await asyncio.sleep(0.02)


class OperatorTests(ProcessTestCase):
    """Two operators at two entries, and the platform with them."""

    async def test_two_operators_race(self):
        async with Fleet() as fleet:
            watcher = Watcher(fleet)
            watching = asyncio.create_task(watcher.run())
            version = 1
            for number in range(ROUNDS):
                if number % 20 == 10:
                    await fleet.set_platform_faults(lose_replies=1)
                version = await self.race(fleet, version, number)
            accepted = time.monotonic()
            await fleet.set_platform_faults(outage=True)
            await fleet.wait_until(
                lambda: self.is_everywhere(fleet, watcher, version),
                "the last version in force everywhere",
                timeout_s=IN_FORCE_S - (time.monotonic() - accepted),
            )
            watching.cancel()
            self.assertEqual(version, ROUNDS + 1)
            for name, seen in watcher.seen.items():
                back = [pair for pair in itertools.pairwise(seen) if pair[0] > pair[1]]
                self.assertEqual(back, [], name)

    async def race(self, fleet, version, number):
        """Apply two changes on one version at once; return the new version."""
        told = await asyncio.gather(
            *(
                fleet.apply(entry, version, self.classes(number, author), author)
                for entry, author in zip(fleet.entries, ("ann", "ben"), strict=True)
            )
        )
        statuses = sorted(response.status_code for response in told)
        self.assertEqual(statuses, [200, 409], [response.text for response in told])
        won = next(response for response in told if response.status_code == 200)
        lost = next(response for response in told if response.status_code == 409)
        self.assertEqual(lost.json()["error"]["code"], "version_conflict")
        self.assertTrue(lost.json()["error"]["not_run"])
        self.assertIn(won.json()["author"], lost.text)
        self.assertEqual(won.json()["version"], version + 1)
        return version + 1

    def classes(self, number, author):
        own = {"answers_within_ms": 1_000 + number, "team": ""}
        return {**CLASSES, author: own}

    async def is_everywhere(self, fleet, watcher, version):
        versions = [await version_at(fleet, process) for process in watcher.processes]
        return set(versions) == {version}
