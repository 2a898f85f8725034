"""Starts, and the next lifetime of an endpoint under the same id.

Guards against review case 9: an endpoint crashed and was back at once as another kind,
and until its heartbeat its agent went on to start tasks there without their label.
"""

import asyncio
import unittest

from plantainhitch.clock import Clock
from plantainhitch.coordination.runs.run_controller import OTHER_LIFETIME_REASON
from plantainhitch.platform.endpoint import EndpointClient
from plantainhitch.protocol import messages as m
from plantainhitch.standins.run_endpoint import RunEndpointStandIn
from plantainhitch.state.endpoints import (
    Accepted,
    End,
    Inventory,
    Rejected,
    Rejection,
)
from plantainhitch.state.jobs import Room, RunKey, StepSpec
from plantainhitch.transport.addresses import Address
from plantainhitch.transport.asgi import (
    Reply,
    read_body,
    send_reply,
    wait_for_disconnect,
)
from plantainhitch.transport.http_server import serve

from .deployment import LoopbackDeployment
from .test_job_scheduler import CAPACITY, SchedulerCase
from .test_run_controller import OWNER, RunControllerCase, heartbeat, run_start

KEY, OTHER_KEY = RunKey("job.0.0.0", 1), RunKey("job.0.0.1", 1)
FENCE = 5
NEXT_LABELS = ("b", "r1-1")
LOOPBACK = Address("127.0.0.1", 0)


class ClientTests(unittest.IsolatedAsyncioTestCase):
    """The client of one lifetime of an endpoint, on loopback."""

    async def asyncSetUp(self):
        self.endpoint = RunEndpointStandIn("e-1", "pool")
        self.server = await serve(self.endpoint, LOOPBACK)
        self.endpoint.reset_connections = self.server.reset_connections
        self.client = self.new_client()

    async def asyncTearDown(self):
        self.client.close()
        await self.server.aclose(grace_ms=0)

    def new_client(self):
        lifetime = self.endpoint.name, self.endpoint._born
        return EndpointClient(self.server.address, Clock(), lifetime)

    async def start(self, key=KEY):
        lease_expiry_ms = self.endpoint._clock_ms() + 900
        return await self.client.start(key, "500", lease_expiry_ms, FENCE)

    async def restart(self):
        """Let the endpoint crash and start again; return the birth of its lifetime."""
        await asyncio.sleep(0.01)  # births are in ms
        self.endpoint.crash(NEXT_LABELS)
        await asyncio.sleep(0.01)  # lets the client notice
        return self.endpoint._born

    async def test_no_start_is_sent_to_the_next_lifetime(self):
        self.assertIsInstance(await self.start(), Accepted)
        for _ in range(2):
            born_ms = await self.restart()
            starts = [self.start(RunKey(f"job.0.0.{n}", 1)) for n in range(8)]
            expected = Rejected(Rejection.OTHER_LIFETIME, born_ms=born_ms)
            self.assertEqual([expected] * 8, await asyncio.gather(*starts))
        self.assertEqual([KEY], self.endpoint.ledger)

    async def test_no_end_of_the_next_lifetime_is_discarded(self):
        await self.start()
        await self.restart()
        late = self.new_client()
        self.addCleanup(late.close)
        await late.start(KEY, "1", self.endpoint._clock_ms() + 900, FENCE)
        await asyncio.sleep(0.05)
        result = await self.client.inventory(FENCE, 500, None, 0)
        self.assertEqual(Rejection.OTHER_LIFETIME, result.reason)
        listed = await late.inventory(FENCE, 0, None, 0)
        self.assertEqual([KEY], [ended.key for ended in listed.ended])

    async def test_a_lifetime_with_a_higher_fence_refuses_unsent_starts(self):
        self.endpoint.raise_fence(FENCE + 1)
        # Its clock may be that of another lifetime.
        self.assertEqual(Rejected(Rejection.FENCE), await self.start())
        self.assertEqual([], self.endpoint.ledger)

    async def test_many_starts_share_the_connections(self):
        starts = [self.start(RunKey(f"job.0.0.{n}", 1)) for n in range(40)]
        results = await asyncio.gather(*starts)
        self.assertEqual({Accepted}, {type(result) for result in results})
        self.assertLessEqual(len(self.server._server.server_state.connections), 4)

    async def test_the_next_lifetime_is_asked_on_one_connection(self):
        await self.restart()
        for _ in range(10):
            await self.start()
        self.assertEqual(1, len(self.server._server.server_state.connections))


class ScriptedEndpoint:
    """An endpoint whose answers to inventories are given in advance."""

    def __init__(self):
        self.answers = []
        self.paths = []

    async def __call__(self, scope, receive, send):
        """Serve one request."""
        await read_body(receive, 1 << 20)
        self.paths.append(scope["path"])
        answer = self.answers.pop(0) if self.answers else None
        if answer is None:
            await wait_for_disconnect(receive)
            return
        status, body, *closes = answer
        await send_reply(send, Reply(status, body, close_connection=bool(closes)))


class HandshakeTests(unittest.IsolatedAsyncioTestCase):
    """A start is not sent where the first call on the connection fails."""

    SOUND = b'{"clock_ms":5,"born":1000,"running":[],"finished":[]}'

    async def asyncSetUp(self):
        self.endpoint = ScriptedEndpoint()
        self.server = await serve(self.endpoint, LOOPBACK)
        self.client = EndpointClient(self.server.address, Clock(), ("e-1", 1_000))

    async def asyncTearDown(self):
        self.client.close()
        await self.server.aclose(grace_ms=0)

    async def test_the_start_has_certainly_not_been_sent(self):
        cases = (
            (None, Rejected(Rejection.UNREACHABLE)),
            ((200, b"odd"), Rejected(Rejection.UNREACHABLE)),
            ((503, b""), Rejected(Rejection.UNHEALTHY)),
            ((421, b"{}"), Rejected(Rejection.OTHER_LIFETIME)),
            (
                (200, self.SOUND.replace(b"1000", b"999")),
                Rejected(Rejection.OTHER_LIFETIME, born_ms=999),
            ),
            (
                (200, self.SOUND, "closes the connection"),
                Rejected(Rejection.UNREACHABLE),
            ),
        )
        for answer, expected in cases:
            with self.subTest(answer=answer):
                self.endpoint.answers = [answer]
                result = await self.client.start(KEY, "", 900, FENCE)
                self.assertEqual(expected, result)
        self.assertEqual({"/hold"}, set(self.endpoint.paths))

    async def test_it_is_not_sent_if_it_is_withdrawn_meanwhile(self):
        # Guards against a start that waited for its connection while its owner gave the
        # run up, as when the process was suspended.
        self.endpoint.answers = [(200, self.SOUND), (200, b'{"clock_ms":6}')]
        for may_send, expected in (
            (lambda: not self.endpoint.paths, Rejected(Rejection.WITHDRAWN)),
            (lambda: True, Accepted(6)),
        ):
            result = await self.client.start(KEY, "", 900, FENCE, may_send=may_send)
            self.assertEqual(expected, result)
        self.assertEqual(["/hold", "/run-start"], self.endpoint.paths)
        self.assertEqual(1, len(self.server._server.server_state.connections))

    async def test_it_is_sent_after_a_sound_answer(self):
        self.endpoint.answers = [(200, self.SOUND), (200, b'{"clock_ms":6}')]
        self.assertEqual(Accepted(6), await self.client.start(KEY, "", 900, FENCE))
        self.assertEqual(["/hold", "/run-start"], self.endpoint.paths)


class ControllerTests(RunControllerCase):
    """What an agent decides when its endpoint answers as another lifetime."""

    def answer_as_other_lifetime(self, born_ms=2):
        """Let the next start, of ``OTHER_KEY``, reach the next lifetime."""
        self.send_orders(run_start(OTHER_KEY.task))
        result = Rejected(Rejection.OTHER_LIFETIME, born_ms=born_ms)
        self.controller.handle_start_result(OTHER_KEY, result)

    def test_the_runs_end_at_once_and_once(self):
        self.start_runs(run_start())
        self.deliver_inventory([KEY])
        self.answer_as_other_lifetime()
        self.assertFalse(self.controller.is_ready)
        self.assertEqual({}, dict(self.controller.runs))
        expected = {OTHER_KEY: End.NOT_STARTED, KEY: End.LOST}
        self.assertEqual(expected, self.reported_ends())
        self.controller.answered_as_other_lifetime(2)
        self.controller.answered_as_other_lifetime(3)
        self.controller.handle_heartbeat(heartbeat(born_ms=3))
        self.assertEqual({}, self.reported_ends())
        self.assertEqual(1, self.controller.crash_count)
        self.assertEqual(1, self.controller.lifetime.replacement_count)

    def test_nothing_is_free_before_the_next_heartbeat(self):
        self.answer_as_other_lifetime()
        self.assertEqual(0, self.controller.free_room.cpu_millis)
        report = self.controller.next_report(OWNER)
        self.assertEqual((0,) * 6, tuple(report.expected_free_millis))

    def test_an_inventory_of_another_lifetime_ends_the_present_one(self):
        self.deliver_inventory(born_ms=2)
        self.assertFalse(self.controller.is_ready)

    def test_no_start_is_accepted_before_the_next_heartbeat(self):
        self.answer_as_other_lifetime()
        for born_ms in (2, 1):
            self.deliver_inventory(born_ms=born_ms)
            self.assertEqual([], self.send_orders(run_start(f"job.0.1.{born_ms}")))
        self.controller.handle_heartbeat(heartbeat(born_ms=2))
        self.deliver_inventory(born_ms=2)
        self.assertTrue(self.controller.is_ready)

    def test_a_late_heartbeat_of_the_lifetime_that_is_over_begins_nothing(self):
        self.answer_as_other_lifetime()
        self.assertFalse(self.controller.lifetime.is_present(("e-1", 1)))
        self.assertFalse(self.controller.handle_heartbeat(heartbeat(sequence=9)))
        self.deliver_inventory()
        self.assertFalse(self.controller.is_ready)

    def test_a_lifetime_that_answers_after_all_begins_anew(self):
        self.answer_as_other_lifetime()
        found = self.controller.handle_heartbeat(heartbeat(), is_confirmed=True)
        self.assertTrue(found)
        self.deliver_inventory()
        self.assertTrue(self.controller.is_ready)

    def test_a_late_answer_from_before_the_last_loss_ends_nothing(self):
        fence = self.controller.fence
        self.controller.handle_heartbeat(heartbeat(born_ms=2))
        self.deliver_inventory(born_ms=2)
        self.controller.answered_as_other_lifetime(1, fence)
        self.assertTrue(self.controller.is_ready)

    def test_an_unanswered_start_may_begin_in_the_next_lifetime(self):
        # It is stopped there, and its end isn't told before the proof.
        self.send_orders(run_start())
        self.answer_as_other_lifetime()
        self.assertEqual([OTHER_KEY], list(self.reported_ends()))
        self.assertIn(KEY, self.controller.runs)
        self.controller.handle_heartbeat(heartbeat(born_ms=2))
        fence = self.controller.fence
        stopped = Accepted(self.clock.now_ms())
        self.controller.handle_stop_result(KEY, stopped, fence)
        self.clock.advance(10)
        inventory = Inventory(self.clock.now_ms(), 2, (), ())
        self.controller.handle_inventory(inventory, fence)
        self.assertEqual([KEY], list(self.reported_ends()))

    def test_a_start_that_was_placed_at_an_earlier_lifetime_is_refused(self):
        # Guards against a start that was on its way when the next lifetime was ready.
        self.controller.handle_heartbeat(
            heartbeat(born_ms=2, capacity=Room(500, 10, 0))
        )
        self.deliver_inventory(born_ms=2)
        self.assertEqual([], self.send_orders(run_start(born_ms=1, cpu=100)))
        (end,) = self.controller.next_report(OWNER).ends
        expected = End.NOT_STARTED, OTHER_LIFETIME_REASON
        self.assertEqual(expected, (end.end, end.reason))
        orders = self.send_orders(run_start("job.0.1.0", born_ms=2, cpu=100))
        self.assertEqual(1, len(orders))


class EntryTests(SchedulerCase):
    """What an entry holds of a lifetime, and tells of the one it placed a task at."""

    def begin_lifetime(self, agent, born_ms, **fields):
        """Let an agent report that its endpoint has begun a lifetime."""
        fields = {"capacity": CAPACITY, "kind": "a"} | fields
        text = f"e-{agent.decode()}"
        status = m.EndpointStatus(text, born_ms, "pool", True, **fields)
        self.scheduler.handle_agent_message(agent, status)

    def view(self, agent):
        return self.scheduler._fleet.get(agent)

    def test_the_room_of_an_earlier_lifetime_is_forgotten(self):
        # Guards against tasks that are placed by it until the next report: refused for
        # want of room, or waiting elsewhere while an endpoint has begun anew and empty.
        self.report(b"one", free=Room(0, 0, 0))
        self.begin_lifetime(b"one", 2)
        self.begin_lifetime(b"two", 2, capacity=Room(1_000, 1_000, 0))
        steps = [StepSpec(6, Room(1_000, 10, 0), 200)]
        agents = [agent for agent, _ in self.submit(steps=steps)]
        self.assertEqual([b"one"] * 4 + [b"two"], sorted(agents))

    def test_a_further_status_of_a_lifetime_changes_no_room(self):
        self.begin_lifetime(b"one", 1, cold_for_ms=5)
        self.assertEqual(CAPACITY, self.view(b"one").free_room)

    def test_failures_and_pace_of_an_earlier_lifetime_are_forgotten(self):
        agent = self.view(b"one")
        report = m.RunReports(1, 99, [], CAPACITY, (), pace=0.2)
        report.slowness, report.slowness_samples, report.failures = 4.0, 50, 9
        self.scheduler.handle_agent_message(b"one", report)
        self.assertTrue(agent.is_held_back)
        self.begin_lifetime(b"one", 2)
        self.assertFalse(agent.is_held_back)
        self.assertEqual(1.0, self.scheduler._fleet.current_slowness(agent))

    def test_the_speed_of_another_kind_is_forgotten(self):
        speeds = self.scheduler._fleet.speeds
        self.begin_lifetime(b"one", 2, kind="a")
        self.begin_lifetime(b"two", 2, kind="b")
        for _ in range(50):
            speeds.observe("e-one", "queue", 100, 300)
            speeds.observe("e-two", "queue", 100, 100)
        slow, fast = speeds.slowness("e-one"), speeds.slowness("e-two")
        self.begin_lifetime(b"one", 3, kind="a")
        self.assertEqual(slow, speeds.slowness("e-one"))
        self.begin_lifetime(b"one", 4, kind="b")
        self.assertAlmostEqual(fast, speeds.slowness("e-one"))

    def test_a_start_names_the_lifetime_that_it_is_for(self):
        for born_ms in (7, 8):
            for agent in (b"one", b"two"):
                status = m.EndpointStatus(
                    "e-1", born_ms, "pool", True, capacity=CAPACITY
                )
                self.scheduler.handle_agent_message(agent, status)
            ((_, start),) = self.submit(f"{born_ms:016x}")
            self.assertEqual(born_ms, start.born_ms)


class DeployedTests(unittest.IsolatedAsyncioTestCase):
    """Entries, agents and endpoints on loopback."""

    async def asyncSetUp(self):
        self.deployment = LoopbackDeployment()
        await self.deployment.start()

    async def asyncTearDown(self):
        await self.deployment.aclose()

    async def test_no_task_starts_without_its_label_before_the_next_heartbeat(self):
        endpoint = self.deployment.endpoints[0]
        jobs = asyncio.create_task(self.submit_jobs(60))
        await asyncio.sleep(0.3)
        self.deployment.stop_heartbeats(0)
        endpoint.crash(NEXT_LABELS)
        started = len(endpoint.ledger)
        await asyncio.sleep(0.6)
        self.deployment.begin_heartbeats(0)
        answers = await jobs
        self.assertEqual([], endpoint.ledger[started:])
        # On a busy machine some jobs are refused as too late; these never run.
        statuses = {number: answer.status for number, answer in enumerate(answers)}
        self.assertLessEqual(set(statuses.values()), {200, 503})
        starts = [task for each in self.deployment.endpoints for task, _ in each.ledger]
        ran = {int(task.split(".")[0], 16) for task in starts}
        refused = {number for number, status in statuses.items() if status == 503}
        self.assertEqual(set(), ran & refused)
        self.assertIn(200, statuses.values())

    async def submit_jobs(self, count):
        """Submit jobs whose tasks need the label "a", 50 a second."""
        jobs = []
        for number in range(count):
            job_id = f"{number:016x}"
            job = self.deployment.submit(job_id, run_ms=20, constraints="a")
            jobs.append(asyncio.create_task(job))
            await asyncio.sleep(0.02)
        return await asyncio.gather(*jobs)


if __name__ == "__main__":
    unittest.main()
