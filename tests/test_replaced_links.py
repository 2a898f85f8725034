"""Frames that arrive on a link which its owner has replaced.

Guards against review case 1: an entry was cut off, gave up the starts that it had sent
and started their tasks elsewhere. After the cut the old connection delivered the
starts, and they were carried out since the new link had renewed the owner's lease.
"""

import asyncio
import contextlib
import unittest

from plantainhitch.clock import Clock
from plantainhitch.coordination.agent_links import exchange_hellos
from plantainhitch.coordination.runs import agent_node
from plantainhitch.coordination.runs.run_controller import RunController
from plantainhitch.protocol import messages as m
from plantainhitch.state.endpoints import End, EndpointReport, Inventory
from plantainhitch.state.jobs import Room, RunKey
from plantainhitch.transport import links
from plantainhitch.transport.addresses import Address

from .deployment import LEASE_TIMES
from .model_endpoint import ModelEndpoint

OWNER = b"entry"
REPORT = EndpointReport("e-1", 1_000, 7, "pool", False, Room(4_000, 1_000, 0))
KEY = RunKey("job.0.0.0", 1)
LATER_KEY = RunKey("job.0.0.0", 2)
POLL_S = 0.005
# Longer than an event takes to have an effect here.
SETTLE_S = 0.1
TIMEOUT_S = 2.0


def run_start(key=KEY):
    """Return an order to start a run."""
    return m.RunStart(key, "", Room(1_000, 10, 0), 5_000, 100)


class OwnerLink:
    """The owner's side of a link to the agent, opened with a number of its own.

    The owner does not close it when it opens the next one, so that what it sends later
    is what a connection delivers late.
    """

    def __init__(self, link):
        self._link = link
        self._order_number = 0
        self._task = None
        self.ends = {}

    @classmethod
    async def connect(cls, address, clock):
        """Connect without sending a hello."""
        return cls(await links.connect(address, clock, agent_node.ENTRY_LINK_TIMING))

    @property
    def is_open(self):
        """Whether neither side has closed the connection."""
        return self._link.is_open

    async def introduce(self, number):
        """Exchange hellos, and receive from then on."""
        hello = m.Hello(m.ROLE_ENTRY, OWNER, "entry", link_number=number)
        await exchange_hellos(self._link, hello)
        self._link.set_busy(True)
        self._task = asyncio.create_task(self._link.run(self._receive))

    def send_orders(self, *starts, stops=(), expected_runs=(), is_resync=False):
        """Send orders, numbered on this link."""
        self._order_number += 1
        self._link.send(
            m.RunOrders(
                self._order_number,
                list(starts),
                list(stops),
                list(expected_runs),
                is_resync,
            )
        )

    async def close(self):
        """Close the connection."""
        self._link.close()
        if self._task is not None:
            await self._task

    def _receive(self, envelope):
        match envelope.message:
            case m.RunReports(number=number, ends=ends):
                self._link.acknowledge(number)
                self.ends.update((end.key, end.end) for end in ends)


class ReplacedLinkTests(unittest.IsolatedAsyncioTestCase):
    """An agent with an endpoint, and an owner that opens one link after another."""

    async def asyncSetUp(self):
        self.clock = Clock()
        self.endpoint = ModelEndpoint()
        self.controller = RunController(self.clock, LEASE_TIMES, first_fence=1)
        hello = m.Hello(m.ROLE_AGENT, b"agent", "agent")
        self.node = agent_node.RunAgentNode(
            hello, self.clock, self.controller, self.endpoint.connect
        )
        self.server = await links.listen(
            Address("127.0.0.1", 0),
            self.clock,
            self.node.serve_link,
            agent_node.AGENT_LINK_TIMING,
        )
        port = self.server.sockets[0].getsockname()[1]
        self.address = Address("127.0.0.1", port)
        self.owner_links = []
        self.task = asyncio.create_task(self.node.run(asyncio.Event()))
        self.node.on_heartbeat(REPORT)
        await self.wait_until(lambda: self.controller.is_ready)

    async def asyncTearDown(self):
        for link in self.owner_links:
            await link.close()
        self.task.cancel()
        await asyncio.gather(self.task, return_exceptions=True)
        await self.node.aclose()
        self.server.close()

    async def wait_until(self, condition):
        async with asyncio.timeout(TIMEOUT_S):
            while not condition():
                await asyncio.sleep(POLL_S)

    async def connect(self):
        link = await OwnerLink.connect(self.address, self.clock)
        self.owner_links.append(link)
        return link

    async def open_link(self, number, expected_runs=()):
        """Open a link on which the owner expects these runs."""
        link = await self.connect()
        await link.introduce(number)
        link.send_orders(expected_runs=expected_runs, is_resync=True)
        return link

    async def check_runs_on(self, link):
        """Check that a start on this link is carried out."""
        link.send_orders(run_start(LATER_KEY))
        await self.wait_until(lambda: LATER_KEY in self.endpoint.running)

    async def test_a_start_delivered_after_the_agent_denied_its_run_does_not_begin(
        self,
    ):
        old = await self.open_link(1)
        new = await self.open_link(2, expected_runs=[KEY])
        await self.wait_until(lambda: new.ends.get(KEY) is End.LOST)
        old.send_orders(run_start())
        await asyncio.sleep(SETTLE_S)
        self.assertEqual([], self.endpoint.running)
        self.assertFalse(old.is_open)
        await self.check_runs_on(new)

    async def test_a_link_whose_hello_was_overtaken_is_refused(self):
        # The hello of the first link is held up until the second one is in use.
        old = await self.connect()
        new = await self.open_link(2)
        await self.check_runs_on(new)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(SETTLE_S):
                await old.introduce(1)
        old.send_orders(run_start(), is_resync=True)
        await asyncio.sleep(SETTLE_S)
        self.assertEqual([LATER_KEY], self.endpoint.running)
        self.assertFalse(old.is_open)
        self.assertTrue(new.is_open)

    async def test_a_link_is_refused_after_a_newer_one_has_ended(self):
        new = await self.open_link(2)
        await self.check_runs_on(new)
        await new.close()
        old = await self.open_link(1)
        old.send_orders(run_start())
        await asyncio.sleep(SETTLE_S)
        self.assertEqual([LATER_KEY], self.endpoint.running)
        self.assertFalse(old.is_open)

    async def test_the_links_of_an_owner_without_numbers_replace_each_other(self):
        old = await self.open_link(0)
        new = await self.open_link(0)
        await self.wait_until(lambda: not old.is_open)
        await self.check_runs_on(new)


class SilentLink:
    """The agent's side of a link, on which nothing arrives by itself."""

    def __init__(self):
        self.closed = ""
        self.echo_ms = 0

    def send(self, message):
        """Do nothing."""
        return True

    def close(self, detail):
        """Record the reason."""
        self.closed = detail


class HeldUpFrameTests(unittest.TestCase):
    """Frames of a replaced link that have been received and not yet handled."""

    def setUp(self):
        self.clock = Clock()
        self.controller = RunController(self.clock, LEASE_TIMES, first_fence=1)
        hello = m.Hello(m.ROLE_AGENT, b"agent", "agent")
        self.node = agent_node.RunAgentNode(hello, self.clock, self.controller, None)
        self.controller.handle_heartbeat(REPORT)
        self.controller.handle_inventory(Inventory(1, REPORT.born_ms, (), ()))
        self.old, self.new = SilentLink(), SilentLink()
        self.handle(agent_node.OwnerLinked(OWNER, self.old, 1))

    def handle(self, event):
        self.node._handle_event(event)

    def deliver(self, link, message, ack=0):
        now_ms = self.clock.now_ms()
        envelope = m.Envelope(message, now_ms, now_ms, ack)
        self.handle(agent_node.OwnerMessageReceived(OWNER, link, envelope))

    def replace_link(self):
        self.handle(agent_node.OwnerLinked(OWNER, self.new, 2))
        self.deliver(self.new, m.RunOrders(7, is_resync=True))

    def add_run(self):
        """Order a start on the new link; return the ``Run``, which waits."""
        self.deliver(self.new, m.RunOrders(8, [run_start()]))
        return self.controller.runs[KEY]

    def test_a_resync_does_not_stop_the_runs_of_newer_orders(self):
        self.replace_link()
        run = self.add_run()
        self.deliver(self.old, m.RunOrders(3, is_resync=True))
        self.assertIs(run, self.controller.runs[KEY])
        self.assertEqual("", run.stop_reason)

    def test_orders_do_not_reset_the_number_of_the_newest_seen(self):
        self.replace_link()
        self.deliver(self.old, m.RunOrders(3))
        self.assertEqual(7, self.controller.next_report(OWNER).orders_seen)

    def test_an_acknowledgement_does_not_drop_ends_sent_on_the_new_link(self):
        self.replace_link()
        self.deliver(self.new, m.RunOrders(8, expected_runs=[KEY]))
        number = self.controller.next_report(OWNER).number
        self.deliver(self.old, m.Heartbeat(), ack=number)
        self.controller.owners.link_opened(OWNER, 3)
        (end,) = self.controller.next_report(OWNER).ends
        self.assertEqual(KEY, end.key)

    def test_loads_and_stops_have_no_effect(self):
        self.replace_link()
        run = self.add_run()
        self.deliver(self.old, m.QueueLoads([m.QueueLoad("queue", 0.5, 10)]))
        self.deliver(self.old, m.RunOrders(4, stops=[KEY]))
        self.assertEqual([], self.controller.owners.total_loads())
        self.assertEqual("", run.stop_reason)

    def test_a_start_does_not_wait_for_room(self):
        self.replace_link()
        self.deliver(self.old, m.RunOrders(4, [run_start()]))
        self.assertEqual({}, self.controller.runs)


if __name__ == "__main__":
    unittest.main()
