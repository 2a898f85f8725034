"""Encoding of messages as frames, and decoding of good and of bad frames."""

import unittest

from plantainhitch.outcomes import Failed, NotRun, Reason, Succeeded, Unknown
from plantainhitch.protocol import codec, messages as m
from plantainhitch.state.crashes import CrashedRun, EndpointCrash
from plantainhitch.state.endpoints import End
from plantainhitch.state.jobs import Room, RunKey

KEY = m.TaskKey(b"i" * 40, 3, 1)
RUN = RunKey("00000000000000aa.0.0.1", 2)
CRASH = EndpointCrash(
    "e-1",
    1_790_000_000_000,
    (CrashedRun(RUN.task, "queue", 60), CrashedRun("b.0.0.0", "queue", 5, False)),
    7,
)
WAITING = [m.Waiting("render", 2), m.Waiting("sync", 1)]

SAMPLES = [
    m.Hello("entry", b"x" * 16, "entry-1", "zone-a", 1, 7),
    m.AgentStatus("endpoint-1", 8, 16, 65536, 1, True, False, "rack-1"),
    m.StartBatch([m.Start(KEY, "render", b'{"a":1}', 800, "00-ab-cd-01")]),
    m.ReportBatch(
        4,
        [
            m.Report(KEY, Succeeded(b"[1]"), 55),
            m.Report(KEY, NotRun(Reason.DRAINING, 20)),
            m.Report(KEY, Failed(Reason.TASK_FAILED, "no such widget"), 9),
            m.Report(KEY, Unknown(Reason.ENDPOINT_LOST)),
        ],
        -3,
        WAITING,
    ),
    m.CancelBatch([KEY]),
    m.Resolve([KEY, KEY]),
    m.Configuration(3, b"{}"),
    m.Drain(True),
    m.Heartbeat(),
    m.Call(9, "submit", b"i" * 40, 100, b"{}"),
    m.Reply(9, 200, b"{}"),
    m.RunOrders(
        3,
        [
            m.RunStart(RUN, "payload", Room(1_600, 64, 0), 120, 30, "queue", "cp", -7),
            m.RunStart(RUN, "", Room(), is_late=True, is_isolated=True, size_ms=90),
        ],
        [RUN],
        [RUN],
        True,
    ),
    m.RunReports(
        5,
        3,
        [m.RunEnd(RUN, End.LOST, "no answer", "cp", 40)],
        Room(8_000, 1_024, 1),
        (1, 2, 3),
        ((0.25, 1_600),),
        0.5,
        [CRASH],
        1.5,
        12,
        3,
    ),
    m.EndpointStatus(
        "e-1", 7, "pool", True, False, Room(16_000, 64, 0), "a", "r1-3", ("a",), 250
    ),
    m.QueueLoads([m.QueueLoad("queue", 0.25, 300, 9, 2, 0.5, 0.125)]),
    m.Evacuations(2**33, ("zone-a", "zone-b")),
    m.Evacuations(8),
]


class CodecTests(unittest.TestCase):
    """Round trips of all messages, and bytes that are no frame."""

    def test_round_trip(self):
        for message in SAMPLES:
            with self.subTest(kind=type(message).__name__):
                envelope = m.Envelope(message, 12, 11, 5)
                self.assertEqual(codec.decode(codec.encode(envelope)), envelope)

    def test_heartbeat_without_acknowledgement_is_short(self):
        envelope = m.Envelope(m.Heartbeat(), 2**40, 2**33)
        data = codec.encode(envelope)
        self.assertEqual(len(data), 16)
        self.assertEqual(codec.decode(data), envelope)

    def test_durations_beyond_their_field_are_sent_as_the_largest(self):
        # A caller's estimate of 1e12 ms ended the entry that placed the task.
        huge = 10**300
        start = m.RunStart(RUN, "", Room(), huge, slack_ms=-huge, size_ms=huge)
        messages = m.RunOrders(1, [start]), m.QueueLoads([m.QueueLoad("q", 0.5, huge)])
        orders, loads = (
            codec.decode(codec.encode(m.Envelope(message))).message
            for message in messages
        )
        received = orders.starts[0]
        self.assertEqual((2**32 - 1,) * 2, (received.estimate_ms, received.size_ms))
        self.assertEqual(-(2**31), received.slack_ms)
        self.assertEqual(2**32 - 1, loads.loads[0].slack_ms)

    def test_bad_bytes_give_bad_frame(self):
        whole = codec.encode(m.Envelope(SAMPLES[2]))
        for data in (b"", b"\xff" * 64, whole[:24], b"GET / HTTP/1.1\r\n\r\n"):
            with self.subTest(data=data[:8]):
                self.assertIsInstance(codec.decode(data), codec.BadFrame)
