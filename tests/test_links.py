"""What a link writes, seen at its writer."""

import unittest

from plantainhitch.clock import ManualClock
from plantainhitch.protocol import codec, messages as m
from plantainhitch.transport.links import LENGTH_PREFIX, Link


class FakeWriter:
    """Keeps the frames written to it."""

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
    """Acknowledgements on heartbeats and on other frames."""

    def test_a_heartbeat_carries_an_acknowledgement_once(self):
        writer = FakeWriter()
        link = Link(None, writer, ManualClock(5))
        link.send(m.Heartbeat())
        link.acknowledge(3)
        for message in (m.Heartbeat(), m.Heartbeat(), m.Drain(True), m.Heartbeat()):
            link.send(message)
        acks = [frame.ack for frame in writer.frames]
        self.assertEqual(acks, [0, 3, 0, 3, 0])
