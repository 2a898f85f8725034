"""Tests of the frames that a link writes."""

import unittest

from plantainhitch.clock import ManualClock
from plantainhitch.protocol import codec, messages as m
from plantainhitch.transport.links import LENGTH_PREFIX, Link


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
