"""The drain of an entry: a stopped entry ends only after its accepted work has ended.

An entry that ends earlier cuts off the jobs that it has accepted, and their outcomes
are lost with it.
"""

import asyncio
import unittest
import unittest.mock

from plantainhitch.clock import Clock
from plantainhitch.coordination import entry
from plantainhitch.protocol import calls, messages as m
from plantainhitch.protocol.errors import Refusal
from plantainhitch.standins.table import Faults, MemoryPlatform
from plantainhitch.state.classes import ClassDefinition, ClassDocument
from plantainhitch.state.ids import IdIssuer
from plantainhitch.state.members import Member

DOCUMENT = ClassDocument(
    1, "c1", "operator", {"render": ClassDefinition("render", 500)}
)
JOB = calls.Job("render", (calls.TaskSpec(0, b"0"),), b"digest")
# Enough for a stop that doesn't wait for jobs; short against their queue time limit.
EARLY_END_CHECK_S = 0.3
patch_object = unittest.mock.patch.object


class EntryDrainTests(unittest.IsolatedAsyncioTestCase):
    """Stops of an entry without agents, where a job waits until it is cancelled."""

    async def asyncSetUp(self):
        for name in ("BALANCER_NOTICE_MS", "FETCH_GRACE_MS"):
            patcher = patch_object(entry, name, 0)
            patcher.start()
            self.addCleanup(patcher.stop)
        clock = Clock()
        issuer = IdIssuer.with_random_key()
        address = "127.0.0.1:1"
        member = Member(
            m.ROLE_ENTRY, issuer.incarnation, "e", "z", "r", "", address, address
        )
        self.platform = MemoryPlatform(clock)
        self.node = entry.EntryNode(member, issuer, clock, self.platform)
        self.node.configuration.adopt_if_newer(DOCUMENT)
        self.stop = asyncio.Event()
        self.run_task = asyncio.create_task(self.node.run(self.stop))
        self.addAsyncCleanup(self.node.aclose)

    async def stop_while_a_job_waits(self):
        """Stop the entry while a job waits; return whether it ended before the job."""
        opened = await self.node.handle_call(calls.OpenIds(1))
        submit = calls.Submit(opened.ids[0], JOB)
        answer = await self.node.handle_call(submit)
        self.assertIs(answer.state, calls.JobState.RUNNING)
        self.stop.set()
        await asyncio.sleep(EARLY_END_CHECK_S)
        ended_early = self.run_task.done()
        again = await self.node.handle_call(submit)
        self.assertIs(again.state, calls.JobState.RUNNING)
        await self.node.handle_call(calls.Cancel(opened.ids[0]))
        await self.run_task
        return ended_early

    async def test_stop_waits_for_jobs(self):
        self.assertFalse(await self.stop_while_a_job_waits())

    async def test_detects_a_stop_that_does_not_wait_for_jobs(self):
        async def drain_without_waiting(node):
            """Return at once."""

        with patch_object(entry.EntryNode, "_drain", drain_without_waiting):
            self.assertTrue(await self.stop_while_a_job_waits())

    async def test_a_call_that_waits_for_its_key_is_refused_at_the_close(self):
        # The write of the key went on after the close, and the call was never answered.
        await asyncio.sleep(EARLY_END_CHECK_S)
        self.platform.set_faults(Faults(delay_ms=60_000))
        call = asyncio.create_task(
            self.node.handle_call(calls.SubmitWithKey("key", JOB))
        )
        await asyncio.sleep(EARLY_END_CHECK_S)
        self.platform.set_faults(Faults())
        await self.node.aclose()
        done, _ = await asyncio.wait([call], timeout=EARLY_END_CHECK_S)
        self.assertTrue(done)
        self.assertIsInstance(call.result(), Refusal)
        self.assertFalse(call.result().not_run)

    async def test_new_work_is_refused_as_not_run(self):
        opened = await self.node.handle_call(calls.OpenIds(2))
        pending_id, late_id = opened.ids
        await self.node.handle_call(calls.Submit(pending_id, JOB))
        self.stop.set()
        await asyncio.sleep(EARLY_END_CHECK_S)
        refusal = await self.node.handle_call(calls.Submit(late_id, JOB))
        self.assertTrue(refusal.not_run)
        await self.node.handle_call(calls.Cancel(pending_id))
        await self.run_task
