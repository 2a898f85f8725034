"""An entry that reads late what arrived while it was suspended, or was held up.

The loop of the entry is blocked while its callers and its agent act, so that everything
is waiting at its sockets when it goes on. Each scenario runs under the event loop of
the deployed program and under that of the standard library.
"""

import asyncio
import contextlib
import os
import random
import socket
import struct
import time
import unittest
from types import SimpleNamespace

import msgspec
import uvloop

from plantainhitch.clock import Clock
from plantainhitch.coordination.agent_links import AgentDialer, exchange_hellos
from plantainhitch.coordination.jobs.agent_connections import DIAL_OPTIONS
from plantainhitch.coordination.jobs.entry_node import JobEntryNode
from plantainhitch.coordination.jobs.scheduler import Scheduler
from plantainhitch.platform.job_app import JobApp
from plantainhitch.protocol import codec, messages as m
from plantainhitch.state.endpoints import End
from plantainhitch.state.jobs import Room
from plantainhitch.state.members import Member
from plantainhitch.state.routes import Route
from plantainhitch.transport import links
from plantainhitch.transport.addresses import Address
from plantainhitch.transport.http_server import serve

from .deployed_world import World, active_run_count
from .deployment import LEASE_TIMES
from .harness import ProcessTestCase

CAPACITY = Room(4_000, 1_000, 0)
ROUTE = Route("queue", "host", "/q/", "pool", 0, 2, stretch=2.0, target_ms=100)
LOCALHOST = Address("127.0.0.1", 0)
JOBS = 3
RUN_MS = 2_500
SUSPENDED_S = 0.3
# Longer than an entry may be held up without reading closed connections before it acts.
HELD_UP_S = 0.06
# A close takes up to five turns of the event loop to have an effect.
HELD_UP_TURNS = range(10)
# Longer than what has arrived takes to have an effect here.
SETTLE_S = 0.1
TIMEOUT_S = 5.0
# Makes the close of a socket a reset.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class FakeAgent:
    """An agent that takes starts and reports what a test tells it to."""

    def __init__(self):
        self.starts = []
        self.stops = []
        # The newest echo when the last stops arrived.
        self.echo_at_stop_ms = None
        self._link = None
        self._socket = None
        self._linked = asyncio.Event()

    async def serve_link(self, link):
        """Serve the link of the entry."""
        await exchange_hellos(link, m.Hello(m.ROLE_AGENT, b"agent", "agent"))
        self._link = link
        link.send(m.EndpointStatus("e-1", 1, "pool", True, capacity=CAPACITY))
        link.send(self._report([]))
        self._linked.set()
        await link.run(self._receive)

    async def wait_for_starts(self, count):
        """Wait until so many starts have been ordered in all."""
        async with asyncio.timeout(TIMEOUT_S):
            await self._linked.wait()
            while len(self.starts) < count:
                await asyncio.sleep(0.005)

    def report_stops(self):
        """Report that all runs were stopped, without a turn of the event loop."""
        reason = "owner silent"
        self.report(
            [m.RunEnd(start.key, End.STOPPED, reason, "", 9) for start in self.starts]
        )

    def report(self, ends):
        """Send a report without a turn of the event loop; return its time stamp."""
        stamp_ms = Clock().now_ms()
        data = codec.encode(m.Envelope(self._report(ends), stamp_ms))
        descriptor = self._link._transport.get_extra_info("socket").fileno()
        with socket.socket(fileno=os.dup(descriptor)) as duplicate:
            duplicate.send(links.LENGTH_PREFIX.pack(len(data)) + data)
        return stamp_ms

    def _report(self, ends):
        free = (CAPACITY.cpu_millis,) * 6
        return m.RunReports(2 if ends else 1, 99, ends, CAPACITY, free)

    def _receive(self, envelope):
        match envelope.message:
            case m.RunOrders(starts=starts, stops=stops):
                self.starts.extend(starts)
                self.stops.extend(stops)
                if stops:
                    self.echo_at_stop_ms = self._link.echo_ms


class EntryUnderTest:
    """An entry with its HTTP server and a link to a ``FakeAgent``."""

    def __init__(self):
        self.agent = FakeAgent()
        self._callers = []
        self._node = self._server = None

    @contextlib.asynccontextmanager
    async def running(self):
        """Run the entry and the agent; wait until the entry can use the agent."""
        clock = Clock()
        own = Member(m.ROLE_ENTRY, b"own", "own", "z", "r", "", "own:1", "")
        table = SimpleNamespace(
            version=1, max_body_bytes=10_000, find=lambda host, path: ROUTE
        )
        self.scheduler = Scheduler(clock, LEASE_TIMES)
        node = self._node = JobEntryNode(
            SimpleNamespace(region="r"),
            own,
            clock,
            self.scheduler,
            SimpleNamespace(table=table),
            None,
            None,
        )
        self._server = await serve(JobApp(node), LOCALHOST)
        listener = await links.listen(LOCALHOST, clock, self.agent.serve_link)
        host, port = listener.sockets[0].getsockname()
        member = Member(
            m.ROLE_AGENT, b"agent", "agent", "z", "r", "", f"{host}:{port}", ""
        )
        dialer = AgentDialer(
            member, node._make_hello, clock, node._post_agent_event, DIAL_OPTIONS
        )
        tasks = [
            asyncio.create_task(coroutine)
            for coroutine in (node._run_scheduler(), node._tick(), dialer.run())
        ]
        try:
            async with asyncio.timeout(TIMEOUT_S):
                while not self.scheduler.fleet.usable_agents("pool"):
                    await asyncio.sleep(0.005)
            yield
        finally:
            for task in tasks:
                task.cancel()
            for caller in self._callers:
                caller.close()
            listener.close()
            await self._server.aclose(grace_ms=0)

    def hold_up_twice(self, turns, action):
        """Hold up the entry in a round, and again some turns of its event loop later.

        ``action()`` is called at the second time.
        """

        def count_down(turns):
            if turns:
                asyncio.get_running_loop().call_soon(count_down, turns - 1)
            else:
                action()

        def hold_up():
            time.sleep(HELD_UP_S)
            count_down(turns)

        self._node._inbox.post(hold_up)

    def submit(self, number):
        """Send a job over a connection of its own, without a turn of the event loop."""
        address = self._server.address
        caller = socket.create_connection((address.host, address.port))
        self._callers.append(caller)
        step = {"count": 1, "cpu": 1_000, "mem_mb": 10, "est_runtime_ms": RUN_MS}
        body = msgspec.json.encode({"spec": "", "steps": [step], "best_effort": True})
        head = f"POST /q/{number:016x} HTTP/1.1\r\nHost: host\r\n"
        caller.sendall(f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body)
        return caller


def leave(caller, is_reset):
    """Close a caller's connection."""
    if is_reset:
        caller.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    caller.close()


async def suspend_with_jobs(callers_leave, is_reset=False):
    """Suspend an entry with runs, which are stopped meanwhile.

    Return the numbers of starts before and after it, and of jobs that are left.
    """
    entry = EntryUnderTest()
    async with entry.running():
        callers = [entry.submit(number) for number in range(JOBS)]
        await entry.agent.wait_for_starts(JOBS)
        if callers_leave:
            for caller in callers:
                leave(caller, is_reset)
        entry.agent.report_stops()
        time.sleep(SUSPENDED_S)
        await asyncio.sleep(SETTLE_S)
        starts = len(entry.agent.starts)
        return JOBS, starts - JOBS, len(entry.scheduler.jobs)


async def hold_up_with_jobs(turns):
    """Hold up an entry twice, while its callers leave and its runs are stopped.

    Return the number of starts after it, once no job is left.
    """
    entry = EntryUnderTest()
    async with entry.running():
        callers = [entry.submit(number) for number in range(JOBS)]
        await entry.agent.wait_for_starts(JOBS)

        def leave_and_report():
            for caller in callers:
                caller.close()
            time.sleep(HELD_UP_S)
            entry.agent.report_stops()

        entry.hold_up_twice(turns, leave_and_report)
        async with asyncio.timeout(TIMEOUT_S):
            while entry.scheduler.jobs:
                await asyncio.sleep(0.005)
        await asyncio.sleep(SETTLE_S)
        return len(entry.agent.starts) - JOBS


async def deliver_late(is_reset):
    """Deliver requests together with the ends of their connections.

    Return the numbers of starts and of jobs that are left.
    """
    entry = EntryUnderTest()
    async with entry.running():
        for number in range(JOBS):
            leave(entry.submit(number), is_reset)
        await asyncio.sleep(SETTLE_S)
        return len(entry.agent.starts), len(entry.scheduler.jobs)


async def echo_of_report_before_stops():
    """Suspend an entry whose callers leave meanwhile.

    Return whether it echoes a report of that time before it stops their runs.
    """
    entry = EntryUnderTest()
    async with entry.running():
        callers = [entry.submit(number) for number in range(JOBS)]
        await entry.agent.wait_for_starts(JOBS)
        for caller in callers:
            caller.close()
        stamp_ms = entry.agent.report([])
        time.sleep(SUSPENDED_S)
        async with asyncio.timeout(TIMEOUT_S):
            while len(entry.agent.stops) < JOBS:
                await asyncio.sleep(0.005)
        return entry.agent.echo_at_stop_ms >= stamp_ms


async def echo_of_held_up_entry_before_stops(turns):
    """Hold up an entry twice, while its callers leave and an agent reports later.

    Return whether it echoes the report before it stops their runs.
    """
    entry = EntryUnderTest()
    async with entry.running():
        callers = [entry.submit(number) for number in range(JOBS)]
        await entry.agent.wait_for_starts(JOBS)
        stamps_ms = []

        def leave_and_report():
            for caller in callers:
                caller.close()
            time.sleep(HELD_UP_S)
            stamps_ms.append(entry.agent.report([]))

        entry.hold_up_twice(turns, leave_and_report)
        async with asyncio.timeout(TIMEOUT_S):
            while len(entry.agent.stops) < JOBS:
                await asyncio.sleep(0.005)
        return entry.agent.echo_at_stop_ms >= stamps_ms[0]


class ResumedEntryTests(unittest.TestCase):
    """What has arrived at the entry is read before tasks are started."""

    def check(self, expected, scenario, *arguments):
        """Check the result of a coroutine function under each event loop."""
        for run in (uvloop.run, asyncio.run):
            with self.subTest(run.__module__, arguments=arguments):
                self.assertEqual(expected, run(scenario(*arguments)))

    def test_jobs_of_callers_that_left_meanwhile_are_not_started_again(self):
        # Guards against a second run beside that of the entry to which a caller has
        # turned: the agent's report was handled before the closed connection.
        for is_reset in (False, True):
            self.check((JOBS, 0, 0), suspend_with_jobs, True, is_reset)

    def test_no_echo_renews_the_lease_of_jobs_whose_callers_left_meanwhile(self):
        # Guards against runs that go on for a lease after a suspension if their stop is
        # lost: the entry answered the agent first, and stopped them then.
        self.check(False, echo_of_report_before_stops)

    def test_no_echo_is_newer_than_the_close_of_a_caller_of_a_held_up_entry(self):
        # Guards against runs that go on beside the resubmitted ones if the entry is
        # starved: a hold-up within a round, or of less than 100 ms, was not noticed.
        for turns in HELD_UP_TURNS:
            self.check(False, echo_of_held_up_entry_before_stops, turns)

    def test_a_held_up_entry_starts_no_task_of_a_caller_that_left(self):
        # Guards against a second run: after a hold-up within a round the report of the
        # stopped runs was handled before the closed connection.
        for turns in HELD_UP_TURNS:
            self.check(0, hold_up_with_jobs, turns)

    def test_jobs_of_callers_that_wait_are_started_again(self):
        self.check((JOBS, JOBS, JOBS), suspend_with_jobs, False)

    def test_a_late_request_whose_caller_has_left_is_not_submitted(self):
        # Guards against a second run for a request that was held up, and whose caller
        # has turned to another entry.
        for is_reset in (False, True):
            self.check((0, 0), deliver_late, is_reset)


class SuspendedProcessTests(ProcessTestCase):
    """An entry process that is suspended for longer than its callers wait."""

    async def test_a_resumed_entry_places_no_run_of_a_caller_that_left(self):
        # Guards against the same as the test in process. Links that were silent for
        # 1.5 s are closed, so it resumes between that and the resubmissions at 1.3 s.
        async with World(random.Random(1), entries=2, agents=3) as world:
            first, second = world.entries
            jobs = [
                asyncio.create_task(
                    world.submit(first, count, RUN_MS, next_entry=second)
                )
                for count in (3, 2, 2)
            ]
            async with asyncio.timeout(TIMEOUT_S):
                while sum(map(active_run_count, world.endpoints)) < 7:
                    await asyncio.sleep(0.01)
            logged_bytes = len(first.log.read_bytes())
            first.process.pause()
            first.front.cut()
            await asyncio.sleep(1.4)
            first.process.resume()
            states = [(await job).state for job in jobs]
            self.assertEqual(["completed"] * 3, states)
            resumed_log = first.log.read_bytes()[logged_bytes:]
            self.assertEqual(0, resumed_log.count(b'"message":"run placed"'))
            self.assertEqual([], world.violations())


if __name__ == "__main__":
    unittest.main()
