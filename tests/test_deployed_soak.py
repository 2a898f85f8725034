"""Short runs of the soak of the deployed programs, with fixed seeds.

``python -m tests.deployed_soak --seeds 1-50`` runs more seeds. A seed that once gave a
violation is added to ``REGRESSION_SEEDS``, with the cause.
"""

import asyncio
import random
import time
import unittest
from contextlib import asynccontextmanager
from dataclasses import replace
from unittest import mock

import msgspec

from plantainhitch.clock import Clock
from plantainhitch.standins.run_endpoint import DEADLY_PAYLOAD
from plantainhitch.transport.addresses import Address
from plantainhitch.transport.http_client import HttpClient

from . import deployed_soak as soak
from .deployed_world import (
    CONTACT_S,
    CPU_MILLIS,
    EVACUATE_S,
    Evacuation,
    LedgerEndpoint,
    Submission,
    TaskRun,
    World,
    active_run_count,
    contradictions,
    evacuated_starts,
    excessive_starts,
    overlapping_runs,
)
from .harness import ProcessTestCase
from .odd_values import DEEP_JSON, odd_documents
from .test_odd_input import odd_members

CRASH_SEED = 3
GRACEFUL_SEED = 11
DEADLY_SEED = 902
EVACUATION_SEED = 1_001
# Between the deaths of an entry and of an agent; within the lease of the entry.
DEATH_INTERVAL_S = 0.7
# Longer than the lease of an endpoint.
REFUSAL_S = 1.2
REPLACED_LINK_SEED = 2_001
LOST_OWNERS_SEED = 3_002
HOST_FAILURES_SEED = 4_023
KINDS_SEED = 5_005
HOLD_ATTEMPTS = 3
# Within the lease of the owner of an agent's runs.
LOSS_BEHIND_S = 0.75
# Until the runs of an agent that refuses connections have begun elsewhere.
NEXT_RUN_S = 1.5
# Seeds that once gave violations, with the cause.
REGRESSION_SEEDS = {
    18: "a start that arrived in the endpoint's next lifetime ran beside another run",
    21: "the same",
    55: "an agent stopped while it was loading was counted as failed",
}


class ShortSoakTests(ProcessTestCase):
    """Overlapping faults on separate processes."""

    async def test_crashes_and_broken_connections(self):
        faults = (soak.kill_everything, soak.hold_link, soak.late_orders)
        self.assertEqual([], await soak.run_seed(CRASH_SEED, faults))

    async def test_regression_seeds(self):
        for seed, cause in REGRESSION_SEEDS.items():
            with self.subTest(seed=seed, cause=cause):
                self.assertEqual([], await soak.run_seed(seed))

    async def test_jobs_that_crash_endpoints_while_an_agent_is_killed(self):
        # Jobs were refused as never run though an endpoint had begun them and crashed.
        faults = (soak.deadly_jobs, soak.kill_agent, soak.resize_endpoints)
        self.assertEqual([], await soak.run_seed(DEADLY_SEED, faults))

    async def test_planned_changes_under_traffic(self):
        faults = (soak.replace_in_turn, soak.drain_endpoint, soak.configuration_storm)
        self.assertEqual([], await soak.run_seed(GRACEFUL_SEED, faults))

    async def test_evacuations_during_crashes_and_outages(self):
        faults = (soak.evacuate_zones, soak.kill_everything, soak.store_outage)
        self.assertEqual([], await soak.run_seed(EVACUATION_SEED, faults))

    async def test_connections_that_deliver_late_beside_odd_heartbeats(self):
        # Review case 1: a start held up on a replaced link ran beside the next run.
        faults = (soak.silence_connections, soak.pause_agent, soak.odd_heartbeats)
        self.assertEqual([], await soak.run_seed(REPLACED_LINK_SEED, faults))

    async def test_entries_and_agents_of_their_runs_are_lost(self):
        # Issue 40: runs outlived their entries and ran beside the next ones.
        faults = (soak.lose_entries_and_agents,)
        self.assertEqual([], await soak.run_seed(LOST_OWNERS_SEED, faults))

    async def test_hosts_that_fail(self):
        # Issue 43: runs began elsewhere when their endpoints refused connections.
        faults = (soak.fail_as_hosts_do,)
        self.assertEqual([], await soak.run_seed(HOST_FAILURES_SEED, faults))

    async def test_endpoints_of_other_kinds_and_signals_to_starting_processes(self):
        # Review cases 9 and 10: tasks began at endpoints without their label, and
        # SIGHUP ended processes that had just been started.
        self.assertEqual([], await soak.run_seed(KINDS_SEED))


class LateStartTests(ProcessTestCase):
    """Starts that a connection or an endpoint holds up and that arrive late."""

    async def test_starts_held_up_on_connections_that_were_replaced(self):
        # Review case 1: they were carried out beside the next runs of their tasks.
        async with World(random.Random(1), entries=2, agents=3) as world:
            for _ in range(HOLD_ATTEMPTS):
                jobs = await self.submit_while_links_are_held(world)
                missing = [job for job in jobs if job.state != "completed"]
                if not missing:
                    break
                # They came so late that all agents were silent, and were refused.
                self.assertEqual([[503]] * len(missing), [j.statuses for j in missing])
            self.assertEqual([], missing)
            self.assertEqual([], world.violations())

    async def submit_while_links_are_held(self, world):
        for agent in world.agents:
            agent.link.hold_present()
        jobs = [
            asyncio.create_task(world.submit(tasks=2, run_ms=1_500)) for _ in range(5)
        ]
        await asyncio.sleep(soak.SILENCE_S + soak.MAX_LATENESS_S)
        for agent in world.agents:
            agent.link.heal()
        return await asyncio.gather(*jobs)

    async def test_a_start_carried_out_after_its_agent_was_suspended(self):
        # Review case 4: it ran beside the run that its owner had placed elsewhere.
        async with World(random.Random(4), entries=2, agents=3) as world:
            for endpoint in world.endpoints:
                endpoint.unanswered_starts, endpoint.late_order_s = 1, 3.2
            job = asyncio.create_task(world.submit(tasks=1, run_ms=2_500))
            chosen = None
            while chosen is None:
                await asyncio.sleep(0.002)
                for agent, endpoint in zip(world.agents, world.endpoints, strict=True):
                    if not endpoint.unanswered_starts:
                        agent.process.pause()
                        chosen = agent
            for endpoint in world.endpoints:
                endpoint.unanswered_starts = 0
            await asyncio.sleep(2.5)
            chosen.process.resume()
            self.assertEqual("completed", (await job).state)
            self.assertEqual([], world.violations())


class NestedLeaseTests(ProcessTestCase):
    """An entry dies, and soon after it the agent of one of its runs."""

    async def test_a_run_ends_before_its_job_is_submitted_again(self):
        # Review case 2: the endpoint's lease began anew until the agent died, and the
        # run went on beside the next one.
        async with World(random.Random(8), entries=2, agents=3) as world:
            first, second = world.entries
            submission = world.submit(first, tasks=3, run_ms=2_500, next_entry=second)
            job = asyncio.create_task(submission)
            async with asyncio.timeout(5):
                while sum(map(active_run_count, world.endpoints)) < 3:
                    await asyncio.sleep(0.01)
            await first.process.kill()
            await asyncio.sleep(DEATH_INTERVAL_S)
            for agent, endpoint in zip(world.agents, world.endpoints, strict=True):
                if active_run_count(endpoint):
                    await agent.process.kill()
                    break
            self.assertEqual("completed", (await job).state)
            self.assertEqual([], world.violations())


class RefusedConnectionTests(ProcessTestCase):
    """Addresses that refuse connections while the runs behind them go on.

    Issue 43: a refused connection was taken for the end of a process.
    """

    @asynccontextmanager
    async def agents_at_work(self):
        """Yield two agents of a world whose endpoints are at work.

        Afterwards all jobs are completed, and no task has run twice at the same time.
        """
        async with World(random.Random(43), entries=2, agents=4) as world:
            jobs = [
                asyncio.create_task(world.submit(tasks=2, run_ms=2_500))
                for _ in range(3)
            ]
            async with asyncio.timeout(5):
                while sum(map(active_run_count, world.endpoints)) < 6:
                    await asyncio.sleep(0.01)
            agents = [
                agent
                for agent, endpoint in zip(world.agents, world.endpoints, strict=True)
                if active_run_count(endpoint)
            ][:2]
            yield agents
            for agent in agents:
                agent.heal()
            for job in jobs:
                self.assertEqual("completed", (await job).state)
            self.assertEqual([], world.violations())

    async def test_runs_of_endpoints_that_refuse_connections_do_not_begin_elsewhere(
        self,
    ):
        async with self.agents_at_work() as agents:
            for agent in agents:
                agent.endpoint.refuse()
            await asyncio.sleep(REFUSAL_S)

    async def test_runs_of_agents_that_refuse_connections_and_lose_their_endpoints(
        self,
    ):
        # They can't stop the runs when their owner's lease ends.
        async with self.agents_at_work() as agents:
            for agent in agents:
                agent.link.refuse()
            await asyncio.sleep(LOSS_BEHIND_S)
            for agent in agents:
                agent.endpoint.hold()
            await asyncio.sleep(NEXT_RUN_S)

    async def test_runs_of_agents_that_refuse_connections_and_are_suspended(self):
        async with self.agents_at_work() as agents:
            for agent in agents:
                agent.link.refuse()
            await asyncio.sleep(LOSS_BEHIND_S)
            for agent in agents:
                agent.process.pause()
            await asyncio.sleep(NEXT_RUN_S)


class RestartTests(ProcessTestCase):
    """Faults that restart the same process."""

    async def test_two_faults_start_a_killed_process_once(self):
        # The first of two processes kept its addresses after the end of its world, and
        # the next worlds met it.
        async with World(random.Random(7), entries=1, agents=1) as world:
            (agent,) = world.agents
            await agent.process.kill()
            execute = asyncio.create_subprocess_exec
            with mock.patch("asyncio.create_subprocess_exec", wraps=execute) as started:
                await asyncio.gather(agent.start(), agent.start())
            self.assertEqual(1, started.call_count)
            await world.check_recovery("a restart by two faults")
            self.assertEqual([], world.violations())


class OddHeartbeatTests(ProcessTestCase):
    """Heartbeats of another writer, under the endpoint's id and under unknown ones."""

    async def test_odd_heartbeats_while_tasks_run(self):
        # Review case 5: the endpoint's runs were started elsewhere while they went on.
        async with World(random.Random(5), entries=2, agents=3) as world:
            job = asyncio.create_task(world.submit(tasks=3, run_ms=2_500))
            await asyncio.sleep(0.4)
            for agent, endpoint in zip(world.agents, world.endpoints, strict=True):
                await self.send_odd_heartbeats(agent, endpoint)
            self.assertEqual("completed", (await job).state)
            self.assertEqual([], world.violations())
            self.assertTrue(all(node.process.is_running for node in world.nodes))
            # The true endpoints are still followed, and get work.
            counts = [len(endpoint.runs) for endpoint in world.endpoints]
            for endpoint in world.endpoints:
                endpoint.resize(1_000)
            await asyncio.sleep(0.5)
            jobs = [world.submit(tasks=1, run_ms=200) for _ in range(3)]
            await asyncio.gather(*jobs)
            for endpoint, count in zip(world.endpoints, counts, strict=True):
                self.assertGreater(len(endpoint.runs), count)
            self.assertEqual([], world.violations())

    async def send_odd_heartbeats(self, agent, endpoint):
        client = HttpClient(Address.from_text(agent.address(4)), Clock())
        path, body = endpoint.heartbeat()
        document = msgspec.json.decode(body)
        newer = document | {"born": int(time.time() * 1_000), "seq": 1}
        bodies = [data for _, data in odd_documents(newer)]
        bodies.append(msgspec.json.encode(newer))  # sound, but of no endpoint
        for data in bodies:
            for target in (path, "/instances/i-unknown"):
                await client.request(b"PUT", target.encode(), data)
        await client.request(b"DELETE", path.encode())
        await client.aclose()


class OddRowTests(ProcessTestCase):
    """Odd rows of another writer in the tables, and odd jobs of callers."""

    async def test_odd_rows_end_no_process_and_the_others_are_followed(self):
        # Entries ended again and again at a member with a port out of range.
        async with World(random.Random(6), entries=2, agents=2) as world:
            for number, (_, value) in enumerate(odd_members("r1")):
                for role in ("agent", "entry"):
                    key = f"{role}/{number:032x}"
                    world.store.put("plantainhitch-members", key, value)
            await asyncio.sleep(1.5)
            self.assertTrue(all(node.process.is_running for node in world.nodes))
            world.store.put("plantainhitch-members", "agent/odd", {"no": "text"})
            world.store.put("plantainhitch-endpoints", "agent-0", DEEP_JSON)
            for value in (DEEP_JSON, b"\xff", {"no": "text"}):
                world.store.put("op", "config", value)
                await asyncio.sleep(0.7)
            self.assertTrue(all(node.process.is_running for node in world.nodes))
            # A process that starts now reads all of them, and is found by the others.
            for node in (world.agents[0], world.entries[0]):
                await node.process.kill()
                await node.start()
            count = len(world.endpoints[0].runs)
            await world.check_recovery("odd rows")
            await world.check_configuration()
            async with asyncio.timeout(10):
                while len(world.endpoints[0].runs) == count:
                    await world.submit(tasks=4, run_ms=80)
            self.assertTrue(all(node.process.is_running for node in world.nodes))
            self.assertEqual([], world.violations())

    async def test_odd_jobs_end_no_process(self):
        # One job with an estimate of 1e12 ms ended each entry that it was sent to.
        async with World(random.Random(7), entries=1, agents=1) as world:
            step = {"count": 1, "cpu": 1_000, "mem_mb": 10, "est_runtime_ms": 30}
            entry = world.entries[0]
            for number, change in enumerate(
                [
                    {"est_runtime_ms": 1e12},
                    {"est_runtime_ms": 2**31 - 1},
                    {"cpu": 2**90},
                ]
            ):
                body = {"spec": "30", "steps": [step | change], "best_effort": True}
                status, _ = await world._post(entry, f"/queue/{number:016x}", body)
                self.assertIn(status, (200, 400, 503))
            self.assertTrue(all(node.process.is_running for node in world.nodes))
            await world.check_recovery("odd jobs")
            self.assertEqual([], world.problems)


class EvacuationTests(ProcessTestCase):
    """Evacuations that some processes can't learn from the store."""

    async def evacuate_while(self, begin, end):
        """Evacuate z2 after ``begin(world)``; return the world and its violations.

        Jobs go to all entries until well after ``end(world)``, which is called after
        the bound.
        """
        rng = random.Random(EVACUATION_SEED)
        async with World(rng, zones=soak.ZONES) as world:
            jobs = []

            async def submit_for(duration_s):
                end_s = time.monotonic() + duration_s
                while time.monotonic() < end_s:
                    jobs.append(asyncio.create_task(world.submit()))
                    await asyncio.sleep(0.08)

            begin(world)
            await submit_for(0.5)
            world.evacuate("z2")
            await submit_for(EVACUATE_S + 0.5)
            end(world)
            await submit_for(3)
            ran_in_zone_1 = [r for e in world.endpoints[::2] for r in e.runs]
            world.end_evacuation("z2")
            await world.check_recovery("the evacuation")
            await self.check_zone_is_used(world)
            await asyncio.gather(*jobs)
            self.assertTrue(ran_in_zone_1)
            return world.violations()

    async def check_zone_is_used(self, world):
        """Submit jobs until a task starts in the zone that was evacuated."""
        count = sum(len(endpoint.runs) for endpoint in world.endpoints[1::2])
        async with asyncio.timeout(10):
            while sum(len(e.runs) for e in world.endpoints[1::2]) == count:
                await world.submit(tasks=4, run_ms=80)

    async def test_the_store_is_unavailable_to_entries_and_agents(self):
        # They learn it from the one entry that can read the row.
        cut_off = []

        def begin(world):
            cut_off.extend([*world.entries[1:], *world.agents])
            for node in cut_off:
                node.store.cut()

        def end(world):
            for node in cut_off:
                node.store.heal()

        self.assertEqual([], await self.evacuate_while(begin, end))

    async def test_entries_without_the_store_and_peers_are_refused_by_agents(self):
        # They never learn it and order starts in the zone until the end.
        def begin(world):
            for entry in world.entries:
                entry.link.cut()
            for entry in world.entries[1:]:
                entry.store.cut()

        def end(world):
            for entry in world.entries:
                entry.heal()

        self.assertEqual([], await self.evacuate_while(begin, end))

    async def test_an_entry_that_was_paused_over_the_bound(self):
        # On resuming it places the jobs that callers sent meanwhile by old state.
        self.assertEqual(
            [],
            await self.evacuate_while(
                lambda world: world.entries[1].process.pause(),
                lambda world: world.entries[1].process.resume(),
            ),
        )


class CheckTests(unittest.TestCase):
    """The checks of the soak detect each kind of violation."""

    def test_overlapping_runs_are_found(self):
        first = TaskRun("a.0.0.0", 1, "", "i-1", 10.0, 12.0, "done")
        second = TaskRun("a.0.0.0", 2, "", "i-2", 11.0, 13.0, "done")
        self.assertEqual(1, len(list(overlapping_runs([second, first]))))
        second.began_s = 12.5
        self.assertEqual([], list(overlapping_runs([second, first])))

    def test_starts_after_three_crashes_are_found(self):
        runs = [
            TaskRun("a.0.0.0", n, DEADLY_PAYLOAD, "i-1", n, n + 0.5, "crash")
            for n in range(6)
        ]
        self.assertEqual([], list(excessive_starts(runs[:5])))
        self.assertEqual(1, len(list(excessive_starts(runs))))

    def test_starts_in_an_evacuated_zone_after_the_bound_are_found(self):
        endpoint = LedgerEndpoint("i-1", "a")
        began_s = (EVACUATE_S, EVACUATE_S + 20, EVACUATE_S + 31)
        endpoint.runs = [TaskRun("a.0.0.0", 1, "", "i-1", 1 + at) for at in began_s]
        evacuation = Evacuation("a", 1.0)
        self.assertEqual(2, len(list(evacuated_starts([evacuation], [endpoint]))))
        evacuation.ended_s = EVACUATE_S + 31
        self.assertEqual(1, len(list(evacuated_starts([evacuation], [endpoint]))))
        evacuation.zone = "b"
        self.assertEqual([], list(evacuated_starts([evacuation], [endpoint])))

    def test_a_sound_job_that_is_failed_for_crashes_is_found(self):
        runs = [
            TaskRun("a.0.0.0", n, "30", "i-1", n, n + 0.5, "crash") for n in range(3)
        ]
        job = Submission("a", "30", 1, [200], "failed")
        self.assertEqual(1, len(list(contradictions(job, runs))))
        job.payload = DEADLY_PAYLOAD
        deadly_runs = [replace(run, payload=DEADLY_PAYLOAD) for run in runs]
        self.assertEqual([], list(contradictions(job, deadly_runs)))

    def test_a_start_over_a_capacity_that_shrank_long_ago_is_found(self):
        endpoint = LedgerEndpoint("i-1")
        endpoint.resize(1_000)
        now = time.monotonic()
        self.assertEqual(CPU_MILLIS, endpoint._counting_capacity(now))
        later = now + CONTACT_S + 1
        self.assertEqual(1_000, endpoint._counting_capacity(later))

    def test_answers_that_runs_contradict_are_found(self):
        run = TaskRun("a.0.0.0", 1, "30", "i-1", 10.0, 12.0, "stopped")
        for job in (
            Submission("a", "30", 1, [503]),
            Submission("a", "30", 1, [200], "completed"),
            Submission("a", "30", 1, [200], "failed"),
            Submission("a", "31", 1, [0]),
            Submission("a", "30", 1, [0], label="b"),
        ):
            self.assertEqual(1, len(list(contradictions(job, [run]))), job)
        self.assertEqual([], list(contradictions(Submission("a", "30", 1, [0]), [run])))

    def test_a_crash_ends_the_recorded_runs(self):
        endpoint = LedgerEndpoint("i-1")
        endpoint.runs.append(TaskRun("a.0.0.0", 1, "", "i-1", time.monotonic()))
        endpoint._running["a.0.0.0"] = 1
        endpoint._timers["a.0.0.0"] = mock.Mock()
        endpoint.crash()
        self.assertEqual("crash", endpoint.runs[0].outcome)
        self.assertEqual(CPU_MILLIS, endpoint.cpu_millis)


if __name__ == "__main__":
    unittest.main()
