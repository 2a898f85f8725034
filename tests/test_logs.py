"""Logs are JSON lines, those of libraries included."""

import io
import json
import logging
import unittest

from plantainhitch import logs


class LogsTests(unittest.TestCase):
    """Records of our loggers and of the standard library's."""

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

    def test_exception_is_one_line(self):
        try:
            raise ValueError("two\nlines")
        except ValueError:
            logs.get_logger("entry").exception("failed")
        (line,) = self.lines()
        self.assertIn("ValueError: two\nlines", line["exception"])

    def test_libraries(self):
        library = logging.getLogger("uvicorn.error")
        library.info("left out")
        library.warning("Invalid HTTP request received.")
        (line,) = self.lines()
        self.assertEqual(line["logger"], "uvicorn.error")

    def test_unknown_level(self):
        with self.assertRaises(ValueError):
            logs.configure("loud")
