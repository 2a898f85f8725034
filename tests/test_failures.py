"""Real faults among separate processes, each checked against the ledgers.

Faults that cost no task must leave every job complete; after any of them the
ledgers of the endpoints must agree with all that callers were told.
"""

import asyncio
import random

from tests.harness import Fleet, ProcessTestCase
from tests.scenarios import Traffic, play

JOBS = 20
REQUESTS = 15
FAULT_DURATION_S = 0.8
# The promise: nothing starts later than this after a drain was asked for.
DRAIN_BOUND_MS = 5_000
# Seed for each round, so that callers and targets are the same every time.
SEED = 7


# One list for each fleet; the fleets run side by side.
HARMLESS = (
    (["link cut"], ["link held", "agent paused"], ["link held, then cut"]),
    (["platform outage"], ["platform slow"], ["platform loses replies"]),
    (["agent stopped"], ["entry stopped"], ["entry paused"]),
)
HARMFUL = (
    (["agent killed"], ["entry killed"], ["agent killed", "link held"]),
    (
        ["endpoint refuses", "endpoint late"],
        ["endpoint resets", "endpoint half"],
        ["endpoint hangs", "endpoint fails"],
    ),
)


class FaultTests(ProcessTestCase):
    """Traffic while faults come singly and in pairs."""

    async def test_faults_that_cost_nothing(self):
        fleets = await asyncio.gather(*map(self.run_faults, HARMLESS))
        for fleet in fleets:
            for job in fleet.history.jobs:
                self.assertEqual([a["state"] for a in job.answers[:1]], ["complete"])
            for request in fleet.history.requests:
                self.assertIsNotNone(request.answer)
                self.assertEqual(request.answer["outcome"], "succeeded")

    async def test_faults_that_may_cost_tasks(self):
        await asyncio.gather(*map(self.run_faults, HARMFUL))

    async def run_faults(self, rounds):
        async with Fleet() as fleet:
            for seed, names in enumerate(rounds, SEED):
                rng = random.Random(seed)
                found = await play(
                    *(fleet, rng, names),
                    jobs=JOBS,
                    requests=REQUESTS,
                    duration_s=FAULT_DURATION_S,
                )
                self.assertEqual(found, [], names)
                await fleet.wait_until_linked()
        return fleet


class StopTests(ProcessTestCase):
    """Graceful shutdown with much in flight."""

    async def test_entry_with_hundreds_of_jobs(self):
        async with Fleet(agents=2, slots=8) as fleet:
            entry = fleet.entries[0]
            await fleet.open_connections(entry, 420)
            ids = await fleet.open_ids(entry, 300)
            jobs = [fleet.new_job(1, sleep_ms=250) for _ in ids]
            calls = [
                asyncio.create_task(fleet.submit(entry, identity, job))
                for identity, job in zip(ids, jobs, strict=True)
            ]
            calls += [asyncio.create_task(fleet.request(entry)) for _ in range(100)]
            await fleet.wait_until(
                lambda: is_running(fleet, entry, 250), "jobs in flight"
            )
            entry.terminate()
            await asyncio.gather(*calls)
            self.assertEqual(await entry.wait(), 0)
            for job in jobs:
                self.assertEqual([a["state"] for a in job.answers], ["complete"])
            for request in fleet.history.requests:
                self.assertEqual(request.answer["outcome"], "succeeded")
            self.assertEqual(await fleet.violations(), [])

    async def test_agent_with_full_slots(self):
        async with Fleet(agents=2, slots=8) as fleet:
            entry, agent = fleet.entries[0], fleet.agents[0]
            ids = await fleet.open_ids(entry, 60)
            jobs = [fleet.new_job(2, sleep_ms=150) for _ in ids]
            calls = [
                asyncio.create_task(fleet.submit(entry, identity, job))
                for identity, job in zip(ids, jobs, strict=True)
            ]
            await fleet.wait_until(lambda: has_started(fleet, 20), "starts")
            agent.process.terminate()
            self.assertEqual(await agent.process.wait(), 0)
            await asyncio.gather(*calls)
            for job in jobs:
                self.assertEqual([a["state"] for a in job.answers], ["complete"])
            self.assertEqual(await fleet.violations(), [])


class DrainTests(ProcessTestCase):
    """A draining endpoint is sent no start later than the limit."""

    async def test_no_start_later_than_the_limit(self):
        async with Fleet(agents=3) as fleet:
            ordered, leaving, _ = fleet.agents
            traffic = Traffic(fleet, random.Random(SEED))
            traffic.start(jobs=50, requests=30, spread_s=7)
            await asyncio.sleep(0.5)
            drained_ms = await fleet.drain(fleet.entries[0], ordered)
            left_ms = await fleet.announce_leave(leaving)
            await traffic.finish()
            starts = await fleet.starts()
            self.assert_drained(starts, ordered, drained_ms)
            self.assert_drained(starts, leaving, left_ms)
            self.assertEqual(await fleet.violations(), [])

    async def test_starts_that_were_held_up(self):
        async with Fleet(agents=2) as fleet:
            agent = fleet.agents[0]
            agent.link.hold()
            entry = fleet.entries[0]
            ids = await fleet.open_ids(entry, 8)
            jobs = [fleet.new_job(2) for _ in ids]
            calls = [
                asyncio.create_task(fleet.submit(entry, identity, job))
                for identity, job in zip(ids, jobs, strict=True)
            ]
            await asyncio.sleep(0.3)
            drained_ms = await fleet.drain(fleet.entries[1], agent)
            await asyncio.sleep(DRAIN_BOUND_MS / 1000 + 1)
            agent.link.heal()
            await asyncio.gather(*calls)
            self.assert_drained(await fleet.starts(), agent, drained_ms)
            for job in jobs:
                self.assertEqual([a["state"] for a in job.answers], ["complete"])
            self.assertEqual(await fleet.violations(), [])

    def assert_drained(self, starts, agent, since_ms):
        late = [
            start
            for start in starts
            if start.endpoint == agent.name
            and start.start_ms > since_ms + DRAIN_BOUND_MS
        ]
        self.assertEqual(late, [])
        self.assertTrue(any(s.start_ms > since_ms for s in starts))


async def has_started(fleet, count):
    """Return whether at least ``count`` tasks have started."""
    return len(await fleet.starts()) >= count


async def is_running(fleet, entry, count):
    """Return whether at least ``count`` submissions run at the entry."""
    return (await fleet.status(entry))["submissions_running"] >= count
