"""Tests of the frames that a link writes."""

import asyncio
import unittest

from plantainhitch.clock import ManualClock
from plantainhitch.protocol import codec, messages as m
from plantainhitch.transport.links import LENGTH_PREFIX, Link, LinkTiming


class FakeTransport:
    """A transport that decodes and records the frames written to it."""

    def __init__(self):
        self.frames = []
        self.is_aborted = False

    def is_closing(self):
        return self.is_aborted

    def abort(self):
        self.is_aborted = True

    def close(self):
        self.is_aborted = True

    def get_write_buffer_size(self):
        return 0

    def writelines(self, parts):
        data = b"".join(parts)[LENGTH_PREFIX.size :]
        self.frames.append(codec.decode(data))


class LinkTests(unittest.TestCase):
    """Acknowledgements in heartbeats and in other frames."""

    def test_heartbeat_carries_each_acknowledgement_once(self):
        # ``Link.run`` passes heartbeats with an acknowledgement to the owner, so
        # repeating it in each one would have the owner handle every heartbeat.
        transport = FakeTransport()
        link = Link(ManualClock(5))
        link.connection_made(transport)
        link.send(m.Heartbeat())
        link.acknowledge(3)
        for message in (m.Heartbeat(), m.Heartbeat(), m.Drain(True), m.Heartbeat()):
            link.send(message)
        acks = [frame.ack for frame in transport.frames]
        self.assertEqual(acks, [0, 3, 0, 3, 0])


def frame(message, stamp_ms=0):
    """Return the bytes of a message's frame with its length."""
    data = codec.encode(m.Envelope(message, stamp_ms, 0, 0))
    return LENGTH_PREFIX.pack(len(data)) + data


class LinkCase(unittest.IsolatedAsyncioTestCase):
    """A link on a fake transport; ``received`` has the messages passed to its owner."""

    async def asyncSetUp(self):
        self.clock = ManualClock(5_000)
        self.transport = FakeTransport()
        timing = LinkTiming(heartbeat_ms=2_000, busy_reply_ms=150)
        self.link = Link(self.clock, timing)
        self.link.connection_made(self.transport)
        self.received = []

    def run_link(self, on_message=None):
        """Start the owner's task."""
        receive = on_message or (lambda item: self.received.append(item.message))
        return asyncio.create_task(self.link.run(receive))


class FrameTests(LinkCase):
    """Frames of a peer, whole, in parts and malformed."""

    async def test_frames_split_at_any_byte(self):
        task = self.run_link()
        await asyncio.sleep(0)
        data = frame(m.Drain(True)) + frame(m.Heartbeat()) + frame(m.Drain(False))
        for position in range(len(data)):
            self.link.data_received(data[position : position + 1])
        self.assertEqual([m.Drain(True), m.Drain(False)], self.received)
        self.link.close()
        await task

    async def test_frames_that_arrive_before_the_owner_runs(self):
        self.link.data_received(frame(m.Drain(True)) + frame(m.Drain(False)))
        first = await self.link.receive_one()
        self.assertEqual(m.Drain(True), first.message)
        self.link.connection_lost(None)
        self.assertEqual("closed by the peer", (await self.run_link()).detail)
        self.assertEqual([m.Drain(False)], self.received)

    async def test_a_malformed_frame_ends_the_link_and_no_later_one_counts(self):
        task = self.run_link()
        await asyncio.sleep(0)
        bad = LENGTH_PREFIX.pack(5) + b"xxxxx"
        self.link.data_received(bad + frame(m.Drain(True)))
        closed = await task
        self.assertTrue(closed.bad_frame)
        self.assertEqual([], self.received)
        self.assertTrue(self.transport.is_aborted)

    async def test_an_error_in_the_owner_ends_its_link_only(self):
        def fail(envelope):
            raise LookupError("a message that nobody expected")

        task = self.run_link(fail)
        await asyncio.sleep(0)
        self.link.data_received(frame(m.Drain(True)))
        closed = await task
        self.assertIn("could not be handled", closed.detail)


class BusyLinkTests(LinkCase):
    """Answers to the heartbeats of an agent, which renew the lease of an owner."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        # No heartbeat becomes due by itself.
        self.clock.sleep_ms = lambda duration_ms: asyncio.Event().wait()
        self.task = self.run_link()
        await asyncio.sleep(0)
        self.transport.frames.clear()

    async def asyncTearDown(self):
        self.link.close()
        await self.task

    def receive_heartbeat(self, stamp_ms):
        """Pass in a heartbeat of the peer 200 ms after the last frame."""
        self.clock.advance(200)
        self.link.data_received(frame(m.Heartbeat(), stamp_ms))

    async def test_a_busy_link_echoes_the_stamp_of_each_heartbeat(self):
        self.link.set_busy(True)
        for stamp_ms in (70, 270, 470):
            self.receive_heartbeat(stamp_ms)
        self.assertEqual([70, 270, 470], [f.echo_ms for f in self.transport.frames])

    async def test_an_idle_link_answers_no_heartbeat(self):
        # Answers on all links of a large fleet cost more than the work.
        for stamp_ms in (70, 270, 470):
            self.receive_heartbeat(stamp_ms)
        self.assertEqual([], self.transport.frames)

    async def test_a_run_placed_on_an_idle_link_echoes_the_newest_stamp(self):
        self.receive_heartbeat(70)
        self.link.send(m.Drain(True))
        self.assertEqual(70, self.transport.frames[-1].echo_ms)
