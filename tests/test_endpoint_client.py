"""The client of the endpoint against the stand-in and its faults."""

import unittest

import msgspec

from plantainhitch.clock import Clock
from plantainhitch.outcomes import Failed, NotRun, Reason, Succeeded, Unknown
from plantainhitch.protocol.messages import Start, TaskKey
from plantainhitch.standins.endpoint import EndpointOptions, EndpointStandIn, Faults
from plantainhitch.transport.addresses import Address
from plantainhitch.transport.endpoint_http import HttpEndpointClient

SUBMISSION = bytes(range(40))
LOOPBACK = Address("127.0.0.1", 0)


def start_of(index, timeout_ms=5_000, **body):
    """Return a start of one task with a JSON body."""
    key = TaskKey(SUBMISSION, index, 1)
    return Start(key, "render", msgspec.json.encode(body), timeout_ms, "00-aa-bb-01")


class EndpointClientTests(unittest.IsolatedAsyncioTestCase):
    """Each fault becomes the outcome that it proves, and no other."""

    async def asyncSetUp(self):
        self.stand_in = EndpointStandIn(EndpointOptions(slots=2))
        await self.stand_in.start(LOOPBACK)
        self.client = HttpEndpointClient.from_address(self.stand_in.address, Clock())

    async def asyncTearDown(self):
        await self.client.aclose()
        await self.stand_in.aclose()

    async def run_with(self, start, **faults):
        self.stand_in.faults = Faults(**faults)
        return await self.client.run(start)

    async def test_answer_is_whole_and_names_its_task(self):
        outcome = await self.client.run(start_of(7, sleep_ms=1, text="é"))
        self.assertIsInstance(outcome, Succeeded)
        answer = msgspec.json.decode(outcome.body)
        self.assertEqual(answer["submission"], SUBMISSION.hex())
        self.assertEqual(answer["index"], 7)
        self.assertEqual(answer["body"]["text"], "é")
        self.assertEqual(self.stand_in.ledger[0].traceparent, "00-aa-bb-01")

    async def test_faults_become_the_outcomes_that_they_prove(self):
        cases = [
            ({"refuse": True}, NotRun(Reason.ENDPOINT_REFUSED, 500), 0),
            ({"reset": True}, Unknown(Reason.ENDPOINT_LOST), 1),
            ({"half_answer": True}, Unknown(Reason.ENDPOINT_LOST), 1),
            ({"hang": True}, Unknown(Reason.TIMED_OUT), 1),
            ({"late_ms": 2_000.0}, Unknown(Reason.TIMED_OUT), 1),
        ]
        for index, (faults, outcome, starts) in enumerate(cases):
            with self.subTest(faults=faults):
                before = len(self.stand_in.ledger)
                found = await self.run_with(start_of(index, timeout_ms=300), **faults)
                self.assertEqual(found, outcome)
                self.assertEqual(len(self.stand_in.ledger) - before, starts)
                await self.client.cancel(TaskKey(SUBMISSION, index, 1))

    async def test_failing_endpoint(self):
        outcome = await self.run_with(start_of(1), fail_all=True)
        self.assertEqual(outcome.reason, Reason.TASK_FAILED)
        self.assertIsInstance(outcome, Failed)

    async def test_refused_connection_is_not_run(self):
        await self.stand_in.aclose()
        outcome = await self.client.run(start_of(1))
        self.assertEqual(outcome, NotRun(Reason.ENDPOINT_REFUSED, 500))
        self.assertIsNone(await self.client.busy_slots())

    async def test_reset_on_reused_connection_proves_nothing(self):
        await self.client.run(start_of(1))
        outcome = await self.run_with(start_of(2), reset=True)
        self.assertEqual(outcome, Unknown(Reason.ENDPOINT_LOST))

    async def test_an_answer_after_its_caller_gave_up_reaches_nobody(self):
        await self.run_with(start_of(1, timeout_ms=50, sleep_ms=100))
        outcome = await self.run_with(start_of(2))
        self.assertEqual(msgspec.json.decode(outcome.body)["index"], 2)
