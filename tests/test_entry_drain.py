"""An entry that is asked to stop ends only after what it has taken has ended."""

import asyncio
import unittest
import unittest.mock

from plantainhitch.clock import Clock
from plantainhitch.coordination import entry
from plantainhitch.protocol import calls, messages as m
from plantainhitch.standins.table import MemoryPlatform
from plantainhitch.state.classes import ClassDefinition, ClassDocument
from plantainhitch.state.ids import IdIssuer
from plantainhitch.state.members import Member

DOCUMENT = ClassDocument(
    1, "c1", "operator", {"render": ClassDefinition("render", 500)}
)
JOB = calls.Job("render", (calls.TaskSpec(0, b"0"),), b"digest")
# Long for a stop that waits for nothing, short beside the queue's patience.
EARLY_S = 0.3
patch = unittest.mock.patch.object


class EntryDrainTests(unittest.IsolatedAsyncioTestCase):
    """An entry without agents, so that its job waits until it is cancelled."""

    async def asyncSetUp(self):
        for name in ("BALANCER_NOTICE_MS", "FETCH_GRACE_MS"):
            patcher = patch(entry, name, 0)
            patcher.start()
            self.addCleanup(patcher.stop)
        clock = Clock()
        issuer = IdIssuer.with_random_key()
        address = "127.0.0.1:1"
        member = Member(
            m.ROLE_ENTRY, issuer.incarnation, "e", "z", "r", "", address, address
        )
        self.node = entry.EntryNode(member, issuer, clock, MemoryPlatform(clock))
        self.node.configuration.adopt_if_newer(DOCUMENT)
        self.stop = asyncio.Event()
        self.running = asyncio.create_task(self.node.run(self.stop))
        self.addAsyncCleanup(self.node.aclose)

    async def stop_with_a_job(self):
        """Stop while a job waits; return whether the entry ended before the job."""
        opened = await self.node.handle_call(calls.OpenIds(1))
        submit = calls.Submit(opened.ids[0], JOB)
        answer = await self.node.handle_call(submit)
        self.assertIs(answer.state, calls.JobState.RUNNING)
        self.stop.set()
        await asyncio.sleep(EARLY_S)
        ended_early = self.running.done()
        again = await self.node.handle_call(submit)
        self.assertIs(again.state, calls.JobState.RUNNING)
        await self.node.handle_call(calls.Cancel(opened.ids[0]))
        await self.running
        return ended_early

    async def test_stop_waits_for_jobs(self):
        self.assertFalse(await self.stop_with_a_job())

    async def test_stop_that_waits_for_nothing_is_found_out(self):
        async def at_once(node):
            """Do nothing."""

        with patch(entry.EntryNode, "_drain", at_once):
            self.assertTrue(await self.stop_with_a_job())

    async def test_new_work_is_refused_as_not_run(self):
        opened = await self.node.handle_call(calls.OpenIds(2))
        held, late = opened.ids
        await self.node.handle_call(calls.Submit(held, JOB))
        self.stop.set()
        await asyncio.sleep(EARLY_S)
        refusal = await self.node.handle_call(calls.Submit(late, JOB))
        self.assertTrue(refusal.not_run)
        await self.node.handle_call(calls.Cancel(held))
        await self.running
