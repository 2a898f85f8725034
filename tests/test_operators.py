"""Concurrent changes of the classes by two operators.

Exactly one of two changes on the same version is accepted, and no process ever goes
back to an older version.
"""

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


class VersionPoller:
    """Polls the version in force at every process; ``seen`` has all values by name."""

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
    """Two operators at two entries, with faults of the platform."""

    async def test_one_of_two_concurrent_changes_is_accepted(self):
        """A lost reply of the store must not let both changes, or none, succeed.

        The last version has to reach every process although the store is then down.
        """
        async with Fleet() as fleet:
            poller = VersionPoller(fleet)
            polling = asyncio.create_task(poller.run())
            version = 1
            for number in range(ROUNDS):
                if number % 20 == 10:
                    await fleet.set_platform_faults(lose_replies=1)
                version = await self.apply_concurrently(fleet, version, number)
            accepted_s = time.monotonic()
            await fleet.set_platform_faults(outage=True)
            await fleet.wait_until(
                lambda: self.is_everywhere(fleet, poller, version),
                "the last version in force everywhere",
                timeout_s=IN_FORCE_S - (time.monotonic() - accepted_s),
            )
            polling.cancel()
            self.assertEqual(version, ROUNDS + 1)
            for name, seen in poller.seen.items():
                decreases = [
                    pair for pair in itertools.pairwise(seen) if pair[0] > pair[1]
                ]
                self.assertEqual(decreases, [], name)

    async def apply_concurrently(self, fleet, version, number):
        """Apply two changes to one version at once; return the new version."""
        responses = await asyncio.gather(
            *(
                fleet.apply(entry, version, self.classes(number, author), author)
                for entry, author in zip(fleet.entries, ("ann", "ben"), strict=True)
            )
        )
        statuses = sorted(response.status_code for response in responses)
        self.assertEqual(
            statuses, [200, 409], [response.text for response in responses]
        )
        accepted = next(r for r in responses if r.status_code == 200)
        rejected = next(r for r in responses if r.status_code == 409)
        self.assertEqual(rejected.json()["error"]["code"], "version_conflict")
        self.assertTrue(rejected.json()["error"]["not_run"])
        self.assertIn(accepted.json()["author"], rejected.text)
        self.assertEqual(accepted.json()["version"], version + 1)
        return version + 1

    def classes(self, number, author):
        own = {"answers_within_ms": 1_000 + number, "team": ""}
        return {**CLASSES, author: own}

    async def is_everywhere(self, fleet, poller, version):
        versions = [await version_at(fleet, process) for process in poller.processes]
        return set(versions) == {version}
