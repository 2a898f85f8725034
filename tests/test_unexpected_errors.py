"""Errors that no code expects: one event or message must not end a whole process."""

import asyncio
import unittest
from types import SimpleNamespace
from unittest import mock

import logbook

from plantainhitch.clock import Clock
from plantainhitch.coordination.jobs.entry_node import JobEntryNode
from plantainhitch.coordination.jobs.outcomes import GaveUp, NeverRan
from plantainhitch.coordination.jobs.scheduler import Scheduler
from plantainhitch.coordination.runs import agent_node
from plantainhitch.coordination.runs.run import StartOrder
from plantainhitch.coordination.runs.run_controller import RunController
from plantainhitch.protocol import messages as m
from plantainhitch.state.jobs import JobSpec, Room, RunKey, StepSpec
from plantainhitch.state.members import Member
from plantainhitch.state.routes import Route

from .deployment import LEASE_TIMES

ROUTE = Route("queue", "host", "/q/", "pool", 0, 2, stretch=2.0, target_ms=100)
SPEC = JobSpec("00000000000000aa", "", (StepSpec(1, Room(1, 1, 0), 10),))


class QuietLogCase(unittest.IsolatedAsyncioTestCase):
    """Keeps the log of a test; ``self.logged`` has its records."""

    async def asyncSetUp(self):
        self.logged = logbook.TestHandler()
        self.logged.push_application()
        self.addCleanup(self.logged.pop_application)

    def assert_error_is_logged(self):
        """Check that the traceback of an unexpected error is in the log."""
        errors = [record for record in self.logged.records if record.exc_info]
        self.assertEqual(["event not handled"], [error.message for error in errors])


class EntryTests(QuietLogCase):
    """An entry whose scheduler fails in one event."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        clock = Clock()
        member = Member(m.ROLE_ENTRY, b"own", "own", "z", "r", "", "own:1", "")
        self.scheduler = Scheduler(clock, LEASE_TIMES)
        self.node = JobEntryNode(
            SimpleNamespace(region="r"), member, clock, self.scheduler, None, None, None
        )
        self.task = asyncio.create_task(self.node._run_scheduler())

    async def asyncTearDown(self):
        self.task.cancel()
        await asyncio.gather(self.task, return_exceptions=True)

    async def submit(self):
        """Submit a job; return its outcome."""
        disconnected = asyncio.get_running_loop().create_future()
        async with asyncio.timeout(5):
            return await self.node.run_job(SPEC, ROUTE, 1_000, disconnected)

    async def test_an_error_in_one_submission_is_answered_and_the_next_is_served(self):
        def fail(*arguments):
            raise LookupError("unexpected")

        self.scheduler.submit, submit = fail, self.scheduler.submit
        self.assertIsInstance(await self.submit(), GaveUp)
        self.assert_error_is_logged()
        self.scheduler.submit = submit
        self.assertIsInstance(await self.submit(), NeverRan)

    async def test_a_submission_that_failed_half_way_leaves_no_job(self):
        # Guards against two owners: its caller reads 504 and submits elsewhere, and
        # this entry started the tasks as well.
        with (
            mock.patch.object(self.scheduler, "_refusal", return_value=""),
            mock.patch.object(self.scheduler, "_contain", side_effect=LookupError),
        ):
            self.assertIsInstance(await self.submit(), GaveUp)
        self.assert_error_is_logged()
        self.assertEqual({}, self.scheduler.jobs)

    async def test_an_error_in_a_message_of_an_agent_leaves_the_entry_running(self):
        self.node._post_agent_event(agent_node.HeartbeatReceived(None))
        self.assertIsInstance(await self.submit(), NeverRan)
        self.assertFalse(self.task.done())


class RecordingClient:
    """An endpoint client that records the starts sent."""

    def __init__(self):
        self.started = []

    async def start(self, key, *rest):
        """Record the key."""
        self.started.append(key)

    def close(self):
        """Do nothing."""


class AgentTests(QuietLogCase):
    """An agent with an error in an event, and one that was paused."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.clock = Clock()
        self.controller = RunController(self.clock, LEASE_TIMES, first_fence=1)
        hello = m.Hello(m.ROLE_AGENT, b"agent", "agent")
        self.client = RecordingClient()
        self.node = agent_node.RunAgentNode(
            hello, self.clock, self.controller, lambda endpoint_id: self.client
        )
        self.node._session._client = self.client

    async def test_an_error_in_an_event_leaves_the_agent_running(self):
        task = asyncio.create_task(self.node._process_events())
        self.node.on_heartbeat(None)
        self.node._inbox.post(agent_node.TimerTicked())
        await asyncio.sleep(0.01)
        self.assertFalse(task.done())
        self.assert_error_is_logged()
        task.cancel()

    async def test_a_start_decided_before_a_pause_is_not_sent_after_it(self):
        # The owner's lease has run out meanwhile; it is unknown here after that.
        start = m.RunStart(RunKey("job.0.0.0", 1), "", Room(1, 1, 0))
        session = self.node._session
        session.send(StartOrder(start))
        await asyncio.gather(*session.tasks)
        self.assertEqual([], self.client.started)


if __name__ == "__main__":
    unittest.main()
