"""Faults among separate processes, checked against the ledgers of the endpoints.

Under faults that lose no task, every job has to complete. After any fault, the answers
to callers have to agree with the ledgers.
"""

import asyncio
import random

from tests.harness import Fleet, ProcessTestCase
from tests.scenarios import Traffic, run_with_faults

JOBS = 20
REQUESTS = 15
FAULT_DURATION_S = 0.8
# No task may start later than this after the drain of its endpoint was requested.
DRAIN_BOUND_MS = 5_000
# Seed of the first round of each fleet; the next rounds take the seeds after it.
# Callers and targets are thus the same in every run of the test.
SEED = 7
# One tuple of rounds for each fleet, and one list of concurrent faults for each round.
# The fleets run concurrently.
LOSSLESS_ROUNDS = (
    (["link cut"], ["link held", "agent paused"], ["link held, then cut"]),
    (["platform outage"], ["platform slow"], ["platform loses replies"]),
    (["agent stopped"], ["entry stopped"], ["entry paused"]),
)
LOSSY_ROUNDS = (
    (["agent killed"], ["entry killed"], ["agent killed", "link held"]),
    (
        ["endpoint refuses", "endpoint late"],
        ["endpoint resets", "endpoint half"],
        ["endpoint hangs", "endpoint fails"],
    ),
)


class FaultTests(ProcessTestCase):
    """Traffic under single faults and pairs of concurrent faults."""

    async def test_faults_without_loss(self):
        # Broken links, platform outages, graceful stops and a suspended process lose no
        # task: each job has to complete, and each request to succeed.
        fleets = await asyncio.gather(*map(self.run_faults, LOSSLESS_ROUNDS))
        for fleet in fleets:
            for job in fleet.history.jobs:
                self.assertEqual([a["state"] for a in job.answers[:1]], ["complete"])
            for request in fleet.history.requests:
                self.assertIsNotNone(request.answer)
                self.assertEqual(request.answer["outcome"], "succeeded")

    async def test_faults_that_may_lose_tasks(self):
        await asyncio.gather(*map(self.run_faults, LOSSY_ROUNDS))

    async def run_faults(self, rounds):
        async with Fleet() as fleet:
            for seed, fault_names in enumerate(rounds, SEED):
                rng = random.Random(seed)
                violations = await run_with_faults(
                    *(fleet, rng, fault_names),
                    jobs=JOBS,
                    requests=REQUESTS,
                    duration_s=FAULT_DURATION_S,
                )
                self.assertEqual(violations, [], fault_names)
                await fleet.wait_until_linked()
        return fleet


class StopTests(ProcessTestCase):
    """Graceful shutdown with many jobs in flight."""

    async def test_entry_with_hundreds_of_jobs(self):
        # Guards against an entry that, on SIGTERM, drops jobs and requests in flight
        # instead of answering them first.
        async with Fleet(agents=2, slots=8) as fleet:
            entry = fleet.entries[0]
            await fleet.open_connections(entry, 420)
            ids = await fleet.open_ids(entry, 300)
            jobs = [fleet.new_job(1, sleep_ms=250) for _ in ids]
            calls = [
                asyncio.create_task(fleet.submit(entry, submission_id, job))
                for submission_id, job in zip(ids, jobs, strict=True)
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
        # Guards against an agent that, on SIGTERM, loses tasks that run in its slots or
        # wait for one.
        async with Fleet(agents=2, slots=8) as fleet:
            entry, agent = fleet.entries[0], fleet.agents[0]
            ids = await fleet.open_ids(entry, 60)
            jobs = [fleet.new_job(2, sleep_ms=150) for _ in ids]
            calls = [
                asyncio.create_task(fleet.submit(entry, submission_id, job))
                for submission_id, job in zip(ids, jobs, strict=True)
            ]
            await fleet.wait_until(lambda: has_started(fleet, 20), "starts")
            agent.process.terminate()
            self.assertEqual(await agent.process.wait(), 0)
            await asyncio.gather(*calls)
            for job in jobs:
                self.assertEqual([a["state"] for a in job.answers], ["complete"])
            self.assertEqual(await fleet.violations(), [])


class DrainTests(ProcessTestCase):
    """No task starts at a draining endpoint later than the bound."""

    async def test_no_start_later_than_the_limit(self):
        async with Fleet(agents=3) as fleet:
            drained, leaving, _ = fleet.agents
            traffic = Traffic(fleet, random.Random(SEED))
            traffic.start(jobs=50, requests=30, spread_s=7)
            await asyncio.sleep(0.5)
            drained_ms = await fleet.drain(fleet.entries[0], drained)
            left_ms = await fleet.announce_leave(leaving)
            await traffic.finish()
            starts = await fleet.starts()
            self.assert_drained(starts, drained, drained_ms)
            self.assert_drained(starts, leaving, left_ms)
            self.assertEqual(await fleet.violations(), [])

    async def test_delayed_starts(self):
        # Starts sent before the drain reach the agent after the bound, because the link
        # was held: the agent must not run them, and they have to complete elsewhere.
        async with Fleet(agents=2) as fleet:
            agent = fleet.agents[0]
            agent.link.hold()
            entry = fleet.entries[0]
            ids = await fleet.open_ids(entry, 8)
            jobs = [fleet.new_job(2) for _ in ids]
            calls = [
                asyncio.create_task(fleet.submit(entry, submission_id, job))
                for submission_id, job in zip(ids, jobs, strict=True)
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
