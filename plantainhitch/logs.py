"""Structured logs: one JSON object per line, written with logbook.

``EventLog`` limits the rate of lines of each event; ``DroppingStream`` drops lines
instead of blocking while their reader is slow.
"""

import logging
import os
import sys

import logbook
import logbook.compat
import msgspec

LEVELS = ("debug", "info", "notice", "warning", "error", "critical")


# Limit for the lines of one event from one process. At the sites' load a process stays
# below it; in a flood of events it bounds the cost to a few percent of a core.
MAX_LINES_PER_S = 40


class JsonLineFormatter:
    """Formats a record as one JSON object; the fields of the event come last.

    ``process`` and ``incarnation`` identify the writer; both are omitted if
    ``process`` is empty.
    """

    def __init__(self, process="", incarnation=""):
        self._identity = {"process": process, "incarnation": incarnation}
        if not process:
            self._identity = {}

    def __call__(self, record, handler):
        """Return the text of ``record``, without a newline."""
        line = {
            "time": record.time.isoformat(timespec="milliseconds"),
            "level": record.level_name.lower(),
            "logger": record.channel,
            "message": record.message,
        }
        line.update(self._identity)
        line.update(record.kwargs)
        if record.exc_info:
            line["exception"] = record.formatted_exception
        return msgspec.json.encode(line, enc_hook=str).decode()


def configure(level="info", stream=None):
    """Send all records of ``level`` and above to ``stream`` (default: standard error).

    Warnings of libraries that use the standard library's logging go there too.
    Returns the handler. Raises ValueError if ``level`` is not in ``LEVELS``.
    """
    if level not in LEVELS:
        raise ValueError(f"unknown log level {level!r}; one of {', '.join(LEVELS)}")
    handler = logbook.StreamHandler(stream or sys.stderr, level=level.upper())
    handler.formatter = JsonLineFormatter()
    handler.push_application()
    logging.basicConfig(
        handlers=[logbook.compat.RedirectLoggingHandler()], level=logging.WARNING
    )
    return handler


def get_logger(name):
    """Return the logger called ``name``."""
    return logbook.Logger(name)


class EventLog:
    """Writes events to a logger, at most ``per_second`` lines of each event.

    Lines beyond that are counted; the next line of the event has their count in its
    field ``left_out``.
    """

    def __init__(self, logger, clock, per_second=MAX_LINES_PER_S):
        self._logger = logger
        self._clock = clock
        self._per_second = per_second
        self._second = 0
        self._written_counts = {}
        self._left_out_counts = {}

    def write(self, event, **fields):
        """Write one line for ``event``, or count it as left out."""
        second = self._clock.now_ms() // 1_000
        if second != self._second:
            self._second = second
            self._written_counts.clear()
        written = self._written_counts.get(event, 0)
        if written >= self._per_second:
            self._left_out_counts[event] = self._left_out_counts.get(event, 0) + 1
            return
        self._written_counts[event] = written + 1
        left_out = self._left_out_counts.pop(event, 0)
        if left_out:
            fields["left_out"] = left_out
        self._logger.info(event, **fields)


class DroppingStream:
    """A text stream on a file descriptor whose writes never block.

    A line that doesn't fit into the pipe's buffer is dropped and counted; the next
    line that can be written is preceded by a line with the count.
    """

    def __init__(self, descriptor):
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._unwritten = b""
        self._dropped = 0

    @property
    def dropped(self):
        """The number of dropped lines that no line has reported yet."""
        return self._dropped

    def write(self, text):
        """Write a line, or drop it if the reader is behind."""
        if not self._write_bytes(self._unwritten):
            self._dropped += text.count("\n")
            return
        if self._dropped:
            text = f'{{"message":"lines dropped","count":{self._dropped}}}\n{text}'
            self._dropped = 0
        if not self._write_bytes(text.encode()) and not self._unwritten:
            self._dropped += text.count("\n")

    def flush(self):
        """Do nothing: there is no buffer."""

    def _write_bytes(self, data):
        """Write bytes; return whether all were written.

        What is left of a partly written line is kept in ``_unwritten``.
        """
        try:
            count = os.write(self._descriptor, data) if data else 0
        except BlockingIOError:
            return False
        self._unwritten = data[count:] if count < len(data) else b""
        return not self._unwritten
