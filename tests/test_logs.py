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

    def test_lines_beyond_the_rate_limit_are_counted_in_the_next_line(self):
        clock = ManualClock(5_000)
        with logbook.TestHandler().applicationbound() as handler:
            events = logs.EventLog(logs.get_logger("x"), clock, per_second=2)
            for number in range(5):
                events.write("flood", number=number)
            events.write("other")
            clock.advance(1_000)
            events.write("flood", number=9)
        seen = [(r.message, r.kwargs) for r in handler.records]
        self.assertEqual(["flood", "flood", "other", "flood"], [m for m, _ in seen])
        self.assertEqual({"number": 9, "left_out": 3}, seen[-1][1])

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
