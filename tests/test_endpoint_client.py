"""Tests of the endpoint client against the stand-in endpoint and its faults."""

import asyncio
import contextlib
import unittest

import msgspec

from plantainhitch.clock import Clock
from plantainhitch.outcomes import Failed, NotRun, Reason, Succeeded, Unknown
from plantainhitch.protocol.messages import Start, TaskKey
from plantainhitch.standins.endpoint import EndpointOptions, EndpointStandIn, Faults
from plantainhitch.transport.addresses import Address
from plantainhitch.transport.endpoint_http import HttpEndpointClient
from plantainhitch.transport.http_client import ConnectionLost, HttpClient

SUBMISSION = bytes(range(40))
LOOPBACK = Address("127.0.0.1", 0)


def make_start(index, timeout_ms=5_000, **body):
    """Return the ``Start`` of one task; ``body`` are the fields of its JSON body."""
    key = TaskKey(SUBMISSION, index, 1)
    return Start(key, "render", msgspec.json.encode(body), timeout_ms, "00-aa-bb-01")


class EndpointClientTests(unittest.IsolatedAsyncioTestCase):
    """Outcomes of faults: ``NotRun`` only if the task can't have started.

    ``NotRun`` for a task that did start would have it run twice.
    """

    async def asyncSetUp(self):
        self.stand_in = EndpointStandIn(EndpointOptions(slots=2))
        await self.stand_in.start(LOOPBACK)
        self.client = HttpEndpointClient.from_address(self.stand_in.address, Clock())

    async def asyncTearDown(self):
        await self.client.aclose()
        await self.stand_in.aclose()

    async def run_with_faults(self, start, **faults):
        self.stand_in.faults = Faults(**faults)
        return await self.client.run(start)

    async def test_success_returns_complete_answer_and_sends_task_headers(self):
        outcome = await self.client.run(make_start(7, sleep_ms=1, text="é"))
        self.assertIsInstance(outcome, Succeeded)
        answer = msgspec.json.decode(outcome.body)
        self.assertEqual(answer["submission"], SUBMISSION.hex())
        self.assertEqual(answer["index"], 7)
        self.assertEqual(answer["body"]["text"], "é")
        self.assertEqual(self.stand_in.ledger[0].traceparent, "00-aa-bb-01")

    async def test_outcome_of_each_fault(self):
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
                actual = await self.run_with_faults(
                    make_start(index, timeout_ms=300), **faults
                )
                self.assertEqual(actual, outcome)
                self.assertEqual(len(self.stand_in.ledger) - before, starts)
                await self.client.cancel(TaskKey(SUBMISSION, index, 1))

    async def test_error_status_is_failed(self):
        outcome = await self.run_with_faults(make_start(1), fail_all=True)
        self.assertEqual(outcome.reason, Reason.TASK_FAILED)
        self.assertIsInstance(outcome, Failed)

    async def test_refused_connection_is_not_run(self):
        await self.stand_in.aclose()
        outcome = await self.client.run(make_start(1))
        self.assertEqual(outcome, NotRun(Reason.ENDPOINT_REFUSED, 500))
        self.assertIsNone(await self.client.busy_slots())

    async def test_reset_of_reused_connection_is_unknown(self):
        # The endpoint may have read the request before the connection was reset.
        await self.client.run(make_start(1))
        outcome = await self.run_with_faults(make_start(2), reset=True)
        self.assertEqual(outcome, Unknown(Reason.ENDPOINT_LOST))

    async def test_late_answer_is_not_taken_for_next_request(self):
        # The connection of a request that timed out must not be reused: the answer
        # of the first task would then be read as that of the second.
        await self.run_with_faults(make_start(1, timeout_ms=50, sleep_ms=100))
        outcome = await self.run_with_faults(make_start(2))
        self.assertEqual(msgspec.json.decode(outcome.body)["index"], 2)


class ResponseHeadTests(unittest.IsolatedAsyncioTestCase):
    """Responses whose headers would fill the memory of the caller."""

    async def test_too_large_headers_end_the_request_and_the_next_is_served(self):
        async def answer(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            lines = self.lines.pop()
            writer.write(b"HTTP/1.1 200 OK\r\n" + lines + b"\r\n")
            with contextlib.suppress(ConnectionError):
                await writer.drain()
            # The writer outlives the test's event loop if nobody closes it.
            writer.close()

        many = b"".join(b"h%d: %s\r\n" % (n, b"x" * 1_000) for n in range(100))
        self.lines = [b"Content-Length: 0\r\n", many + b"Content-Length: 0\r\n"]
        server = await asyncio.start_server(answer, "127.0.0.1", 0)
        address = Address(*server.sockets[0].getsockname())
        client = HttpClient(address, Clock())
        first = await client.request(b"GET", b"/")
        second = await client.request(b"GET", b"/")
        client.close()
        server.close()
        self.assertIsInstance(first, ConnectionLost)
        self.assertEqual(200, second.status)
