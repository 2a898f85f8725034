"""Jobs, configuration and bad input in a deployment on loopback."""

import asyncio
import unittest

from .deployment import PREFIX, LoopbackDeployment, configuration

JOB = "00000000000000{:02x}"
START_TIMEOUT_S = 5.0


class DeploymentCase(unittest.IsolatedAsyncioTestCase):
    """A deployment with two entries and two agents, ready before each test."""

    async def asyncSetUp(self):
        self.deployment = LoopbackDeployment()
        await self.deployment.start()
        self.addAsyncCleanup(self.deployment.aclose)

    def starts(self):
        """Return all starts that endpoints carried out."""
        return [start for e in self.deployment.endpoints for start in e.ledger]


class JobTests(DeploymentCase):
    """Jobs from submission to answer, also when processes or endpoints fail."""

    async def test_a_job_completes_when_all_of_its_tasks_are_done(self):
        answer = await self.deployment.submit(JOB.format(1), tasks=3)
        self.assertEqual((200, b'{"state":"completed"}'), (answer.status, answer.body))
        self.assertEqual(3, len(self.starts()))

    async def test_many_jobs_stay_within_the_room_of_the_endpoints(self):
        """More jobs than fit: placement must not exceed an endpoint's processor room.

        A job that is refused must not have started a run.
        """
        jobs = []
        for number in range(12):
            job = self.deployment.submit(JOB.format(number), entry=number % 2, tasks=3)
            jobs.append(asyncio.create_task(job))
            await asyncio.sleep(0.04)
        answers = await asyncio.gather(*jobs)
        # A job without room for it is refused, and has then never run.
        self.assertLessEqual({a.status for a in answers}, {200, 503})
        self.assertGreaterEqual(sum(a.status == 200 for a in answers), 6)
        ran = {task.split(".")[0] for task, _ in self.starts()}
        refused = {
            JOB.format(number)
            for number, answer in enumerate(answers)
            if answer.status == 503
        }
        self.assertEqual(set(), ran & refused)
        for endpoint in self.deployment.endpoints:
            self.assertLessEqual(endpoint.peak_cpu_millis, endpoint.cpu_millis)
        self.assertEqual(len(self.starts()), len(set(self.starts())))

    async def test_a_long_task_on_an_idle_link_is_run_once(self):
        """The task runs longer than the lease of 1 s, with no other traffic."""
        answer = await self.deployment.submit(JOB.format(1), run_ms=2_500)
        self.assertEqual(200, answer.status)
        self.assertEqual(1, len(self.starts()))

    async def test_a_job_whose_runs_fail_on_all_endpoints_fails(self):
        for endpoint in self.deployment.endpoints:
            endpoint.fail_all = True
        answer = await self.deployment.submit(JOB.format(1))
        self.assertEqual((200, b'{"state":"failed"}'), (answer.status, answer.body))

    async def test_a_start_that_is_carried_out_late_does_not_run_twice(self):
        """An endpoint may carry out a start late and never answer the agent.

        The agent can't tell it from a lost start; the task must still run only once.
        """
        for endpoint in self.deployment.endpoints:
            endpoint.unanswered_starts = 1
        answer = await self.deployment.submit(JOB.format(1), run_ms=400)
        self.assertEqual(200, answer.status)
        await asyncio.sleep(0.5)
        done = [start for start in self.starts() if start[0].startswith(JOB.format(1))]
        self.assertEqual(1, len(done))

    async def test_tasks_of_a_crashed_endpoint_run_elsewhere(self):
        job = asyncio.create_task(
            self.deployment.submit(JOB.format(1), run_ms=600, tasks=2)
        )
        busy = []
        async with asyncio.timeout(START_TIMEOUT_S):
            while not busy:
                await asyncio.sleep(0.01)
                busy = [e for e in self.deployment.endpoints if e.ledger]
        busy[0].crash()
        answer = await job
        self.assertEqual(200, answer.status)

    async def test_runs_of_a_killed_entry_are_stopped(self):
        """Agents stop the runs of an owner that they don't hear from for the lease."""
        job = asyncio.create_task(self.deployment.submit(JOB.format(1), run_ms=5_000))
        await asyncio.sleep(0.3)
        self.assertEqual(1, len(self.starts()))
        await self.deployment.entries[0].kill()
        job.cancel()
        await asyncio.sleep(1.3)
        answer = await self.deployment.submit(JOB.format(1), run_ms=50, entry=1)
        self.assertEqual(200, answer.status)
        running = [e._running for e in self.deployment.endpoints]
        self.assertEqual([{}, {}], running)

    async def test_jobs_complete_while_the_store_is_unreachable(self):
        self.deployment.store.silent = True
        answer = await self.deployment.submit(JOB.format(1))
        self.assertEqual(200, answer.status)

    async def test_a_stopped_entry_finishes_its_jobs(self):
        job = asyncio.create_task(self.deployment.submit(JOB.format(1), run_ms=800))
        await asyncio.sleep(0.2)
        self.deployment.entries[0].signals.on_stop_signal()
        answer = await job
        self.assertEqual(200, answer.status)
        await asyncio.wait_for(self.deployment.entries[0].task, 6)


class ConfigurationTests(DeploymentCase):
    """Routes that are added, stay or don't exist."""

    async def test_a_new_route_is_served_although_the_store_lost_its_history(self):
        missing = await self.deployment.call("GET", "/new/")
        self.assertEqual(404, missing.status)
        self.deployment.configure(configuration(2, (PREFIX, "/new/")))
        self.deployment.store.truncate_history()
        await asyncio.sleep(1.5)
        found = await self.deployment.call("GET", "/new/")
        self.assertEqual((200, b'{"pending":0}'), (found.status, found.body))

    async def test_an_older_version_is_ignored(self):
        self.deployment.configure(configuration(5, (PREFIX, "/new/")))
        await asyncio.sleep(1.2)
        self.deployment.configure(configuration(3))
        await asyncio.sleep(1.2)
        self.assertEqual(200, (await self.deployment.call("GET", "/new/")).status)

    async def test_a_new_entry_gets_its_state_from_a_peer_without_the_store(self):
        self.deployment.store.silent = True
        await self.deployment.add_entry()
        answer = await self.deployment.submit(JOB.format(1), entry=2)
        self.assertEqual(200, answer.status)

    async def test_an_invalid_configuration_is_ignored(self):
        self.deployment.store.put("op", "config", b'{"version": "seven"}')
        await asyncio.sleep(1.2)
        self.assertEqual(200, (await self.deployment.submit(JOB.format(1))).status)


class BadInputTests(DeploymentCase):
    """Invalid requests, agents that restart, and jobs that can't be placed."""

    async def test_invalid_requests_are_refused_with_their_status(self):
        path = PREFIX + JOB.format(1)
        two_steps = b'{"best_effort":true,"steps":[{"count":1,"after":[0]}]}'
        cases = (
            (404, "GET", "/nowhere/", b""),
            (400, "POST", PREFIX + "not-an-id", b"{}"),
            (400, "POST", path, b"not json"),
            (400, "POST", path, b'{"best_effort":true,"steps":[]}'),
            (400, "POST", path, two_steps),
            (400, "POST", path, b'{"best_effort":true,"steps":[{"count":0}]}'),
            (413, "POST", path, b" " * 20_000),
            (405, "PUT", path, b""),
            (405, "POST", PREFIX, b""),
            (410, "GET", path, b""),
            (410, "DELETE", path, b""),
            (503, "POST", path, b'{"steps":[{"count":1}]}'),
        )
        for status, method, target, body in cases:
            with self.subTest(method=method, target=target, body=body[:40]):
                answer = await self.deployment.call(method, target, body)
                self.assertEqual(status, answer.status)
        self.assertEqual([], self.starts())
        self.assertEqual(200, (await self.deployment.submit(JOB.format(1))).status)

    async def test_a_restarted_agent_uses_its_stored_endpoint(self):
        """Without a heartbeat, only the stored row tells the agent its endpoint."""
        await self.deployment.submit(JOB.format(1))
        for number in range(len(self.deployment.agents)):
            await self.deployment.restart_agent(number, with_heartbeats=False)
        async with asyncio.timeout(5):
            while (await self.deployment.submit(JOB.format(2), entry=0)).status != 200:
                await asyncio.sleep(0.05)

    async def test_a_restarted_agent_does_not_use_an_endpoint_that_was_replaced(self):
        """The stored row names an endpoint that another one has replaced since."""
        await self.deployment.submit(JOB.format(1))
        for number, endpoint in enumerate(self.deployment.endpoints):
            await self.deployment.restart_agent(number, with_heartbeats=False)
            endpoint.name = f"i-new-{number}"
            endpoint.crash()
        await asyncio.sleep(1.0)
        for entry in self.deployment.entries:
            self.assertEqual(0, await self.deployment.count_ready_agents(entry))

    async def test_a_queue_with_its_own_policy_is_refused(self):
        """Jobs of a queue with ``advice`` are not supported and get 503."""
        document = configuration(version=9, prefixes=("/queue/", "/ruled/"))
        document["routes"][1]["advice"] = {"decide_ms": 20}
        self.deployment.configure(document)
        body = b'{"best_effort":true,"steps":[{"count":1,"est_runtime_ms":20}]}'
        async with asyncio.timeout(5):
            while True:
                answer = await self.deployment.call(
                    "POST", f"/ruled/{JOB.format(1)}", body
                )
                if answer.status != 404:
                    break
                await asyncio.sleep(0.05)
        self.assertEqual(503, answer.status)
        self.assertEqual([], self.starts())

    async def test_a_task_that_fits_no_endpoint_is_refused_at_once(self):
        answer = await self.deployment.submit(JOB.format(1), cpu=99_000)
        self.assertEqual(503, answer.status)
        self.assertIn(b"retry-after", answer.headers)


if __name__ == "__main__":
    unittest.main()
