"""Tests of the frames that a link writes."""

import asyncio
import unittest

from plantainhitch.clock import ManualClock
from plantainhitch.protocol import codec, messages as m
from plantainhitch.transport.links import LENGTH_PREFIX, Link, LinkTiming


class FakeWriter:
    """A stream writer that decodes and records the frames written to it."""

    def __init__(self):
        self.frames = []
        self.transport = self

    def is_closing(self):
        return False

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
        writer = FakeWriter()
        link = Link(None, writer, ManualClock(5))
        link.send(m.Heartbeat())
        link.acknowledge(3)
        for message in (m.Heartbeat(), m.Heartbeat(), m.Drain(True), m.Heartbeat()):
            link.send(message)
        acks = [frame.ack for frame in writer.frames]
        self.assertEqual(acks, [0, 3, 0, 3, 0])


class BusyLinkTests(unittest.IsolatedAsyncioTestCase):
    """Answers to the heartbeats of an agent, which renew the lease of an owner."""

    async def asyncSetUp(self):
        self.clock = ManualClock(5_000)
        self.reader, self.writer = asyncio.StreamReader(), FakeWriter()
        timing = LinkTiming(heartbeat_ms=2_000, busy_reply_ms=150)
        self.link = Link(self.reader, self.writer, self.clock, timing)
        self.receiving = asyncio.create_task(self.link._receive(lambda envelope: None))

    async def asyncTearDown(self):
        self.receiving.cancel()

    async def receive_heartbeat(self, stamp_ms):
        """Pass in a heartbeat of the peer 200 ms after the last frame."""
        self.clock.advance(200)
        data = codec.encode(m.Envelope(m.Heartbeat(), stamp_ms, 0, 0))
        self.reader.feed_data(LENGTH_PREFIX.pack(len(data)) + data)
        await asyncio.sleep(0)
        await asyncio.sleep(0)

    async def test_a_busy_link_echoes_the_stamp_of_each_heartbeat(self):
        self.link.set_busy(True)
        for stamp_ms in (70, 270, 470):
            await self.receive_heartbeat(stamp_ms)
        self.assertEqual([70, 270, 470], [f.echo_ms for f in self.writer.frames])

    async def test_an_idle_link_answers_no_heartbeat(self):
        # Answers on all links of a large fleet cost more than the work.
        for stamp_ms in (70, 270, 470):
            await self.receive_heartbeat(stamp_ms)
        self.assertEqual([], self.writer.frames)

    async def test_a_run_placed_on_an_idle_link_echoes_the_newest_stamp(self):
        await self.receive_heartbeat(70)
        self.link.send(m.Drain(True))
        self.assertEqual(70, self.writer.frames[-1].echo_ms)
