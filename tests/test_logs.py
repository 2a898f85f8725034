"""The format of log lines, the rate limit of events, and the non-blocking stream."""

import io
import json
import logging
import os
import unittest

import logbook

from plantainhitch import logs
from plantainhitch.clock import ManualClock


class LogsTests(unittest.TestCase):
    """Records of the project's loggers and of the standard library's."""

    def setUp(self):
        root = logging.getLogger()
        kept = root.handlers[:], root.level
        root.handlers.clear()
        self.stream = io.StringIO()
        handler = logs.configure("notice", self.stream)
        self.addCleanup(handler.pop_application)
        self.addCleanup(root.setLevel, kept[1])
        self.addCleanup(root.handlers.__setitem__, slice(None), kept[0])

    def lines(self):
        return [json.loads(line) for line in self.stream.getvalue().splitlines()]

    def test_levels_and_fields(self):
        logger = logs.get_logger("entry")
        logger.info("left out")
        logger.notice("taken", submission=b"\x01", count=3)
        (line,) = self.lines()
        self.assertEqual(
            (line["logger"], line["level"], line["message"], line["count"]),
            ("entry", "notice", "taken", 3),
        )

    def test_the_fields_of_the_event_precede_those_of_the_writer(self):
        """A line that is cut short must still name the agent and the runs lost."""
        formatter = logs.JsonLineFormatter(
            "entry-1", "cb739d1eac2dd9a57cfac97fa2eefc28"
        )
        record = logbook.LogRecord("jobs", logbook.WARNING, "agent unlinked")
        record.kwargs = {"agent": "agent-7", "runs": 2}
        record.heavy_init()
        text = formatter(record, None)
        self.assertLess(text.index("agent-7"), text.index("entry-1"))

    def test_exception_is_written_on_one_line(self):
        try:
            raise ValueError("two\nlines")
        except ValueError:
            logs.get_logger("entry").exception("failed")
        (line,) = self.lines()
        self.assertIn("ValueError: two\nlines", line["exception"])

    def test_warnings_of_libraries_are_json_lines(self):
        library = logging.getLogger("uvicorn.error")
        library.info("left out")
        library.warning("Invalid HTTP request received.")
        (line,) = self.lines()
        self.assertEqual(line["logger"], "uvicorn.error")

    def test_unknown_level_is_an_error(self):
        with self.assertRaises(ValueError):
            logs.configure("loud")


class LimitTests(unittest.TestCase):
    """A flood of events, and a reader that stops reading."""

    def record(self, write_events, duration_ms=1_000, **limits):
        """Return the lines of an ``EventLog`` as pairs of message and fields."""
        clock = ManualClock(5_000)
        with logbook.TestHandler().applicationbound() as handler:
            events = logs.EventLog(logs.get_logger("x"), clock, **limits)
            write_events(events, clock)
            clock.advance(duration_ms)
            events.flush_if_due()
            return [(record.message, dict(record.kwargs)) for record in handler.records]

    def test_events_beyond_the_rate_limit_are_written_in_a_batch(self):
        """No line of a run may be missing because other jobs were placed before it."""

        def write_events(events, clock):
            for number in range(5):
                events.write("flood", number=number, name=f"n{number}")
                clock.advance(10)
            events.write("other")

        lines = self.record(write_events, 80, per_second=2)
        self.assertEqual(["flood", "flood", "other", "flood"], [m for m, _ in lines])
        batch = lines[-1][1]
        self.assertEqual(["ms_ago", "number", "name"], batch["columns"])
        rows = [[110, 2, "n2"], [100, 3, "n3"], [90, 4, "n4"]]
        self.assertEqual(rows, batch["rows"])

    def test_a_batch_waits_for_its_interval_only(self):
        def write_events(events, clock):
            events.write("flood")
            clock.advance(logs.BATCH_INTERVAL_MS - 1)
            events.flush_if_due()

        self.assertEqual([], self.record(write_events, 0, per_second=0))
        self.assertEqual(1, len(self.record(write_events, 1, per_second=0)))

    def test_what_is_out_of_the_ordinary_has_a_share_of_its_own(self):
        """A flood of ordinary events must not leave out what went wrong."""

        def write_events(events, clock):
            for number in range(logs.MAX_BATCH_ROWS + 9):
                events.write("run", number=number)
            for number in range(4):
                events.write_unusual("run", number=-number)

        lines = self.record(write_events, per_second=2, with_reserve=5)
        numbers = [fields["number"] for _, fields in lines[:-1]]
        self.assertEqual([0, 1, 0, -1, -2], numbers)
        batch = lines[-1][1]
        self.assertEqual(-3, batch["rows"][-1][1])
        self.assertEqual(logs.MAX_BATCH_ROWS + 1, len(batch["rows"]))

    def test_the_end_of_the_process_writes_what_waits_in_batches(self):
        """Its last decisions must not be missing after an ordinary stop."""
        with logbook.TestHandler().applicationbound() as handler:
            # Other tests in this process may have left batches of other loggers.
            logger = logs.get_logger("last-words")
            events = logs.EventLog(logger, ManualClock(), per_second=0)
            events.write("last")
            self.assertEqual([], handler.records)
            logs.flush_events()
            written = [r.message for r in handler.records if r.channel == logger.name]
            self.assertEqual(["last"], written)

    def test_the_volume_of_a_flood_is_bounded(self):
        """Neither lines nor memory may grow with the number of events."""

        def write_events(events, clock):
            for number in range(20_000):
                events.write_unusual("flood", number=number)
                clock.advance(number % 20 == 0)
            for _ in range(10):
                clock.advance(logs.BATCH_INTERVAL_MS)
                events.flush_if_due()

        lines = self.record(write_events)
        batches = [fields for _, fields in lines if "rows" in fields]
        self.assertLessEqual(
            len(lines) - len(batches), 2 * logs.MAX_LINES_WITH_RESERVE_PER_S
        )
        self.assertLessEqual(len(batches), 11)
        sizes = {len(batch["rows"]) for batch in batches}
        self.assertLessEqual(max(sizes), logs.MAX_BATCH_ROWS_WITH_RESERVE)
        # What the last second left out is said by the next line.
        left_out = sum(fields.get("left_out", 0) for _, fields in lines)
        written = len(lines) - len(batches) + sum(len(b["rows"]) for b in batches)
        self.assertEqual(20_000, written + left_out)

    def test_writes_do_not_block_while_the_reader_has_stopped(self):
        reader, writer = os.pipe()
        self.addCleanup(os.close, reader)
        self.addCleanup(os.close, writer)
        stream = logs.DroppingStream(writer)
        line = "x" * 999 + "\n"
        for _ in range(200):
            stream.write(line)
        self.assertGreater(stream.dropped, 0)
        first = os.read(reader, 1 << 20)
        stream.write("last\n")
        rest = os.read(reader, 1 << 20)
        text = (first + rest).decode()
        self.assertIn("lines dropped", text)
        self.assertTrue(text.endswith("last\n"))
        lines = text.splitlines()
        self.assertEqual({999}, {len(text) for text in lines[:-2]})
