"""Structured logs: one JSON object a line, by logbook.

``EventLog`` bounds how many lines of a kind are written in a second, and
``DroppingStream`` drops lines rather than wait for a reader.
"""

import logging
import os
import sys

import logbook
import logbook.compat
import msgspec

LEVELS = ("debug", "info", "notice", "warning", "error", "critical")


# Lines of one event that are written in a second, by process. At the sites' load a
# process stays below it; in a flood it bounds the cost to a few percent of a core.
LINES_PER_S = 40


class JsonLineFormatter:
    """Formats a record as one JSON object; ``extra`` fields come after.

    ``process`` and ``incarnation`` are left out while they are not known.
    """

    def __init__(self, process="", incarnation=""):
        self._identity = {"process": process, "incarnation": incarnation}
        if not process:
            self._identity = {}

    def __call__(self, record, handler):
        """Return the line for ``record``."""
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
    """Send all records of ``level`` and above to ``stream`` (standard error).

    Warnings of libraries that use the standard library's logging go there too.
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
    """Writes events to a logger, at most ``per_second`` lines of each kind.

    What is left out is counted and said with the next line of that kind.
    """

    def __init__(self, logger, clock, per_second=LINES_PER_S):
        self._logger = logger
        self._clock = clock
        self._per_second = per_second
        self._second = 0
        self._written = {}
        self._left_out = {}

    def write(self, event, **fields):
        """Write one line for ``event``, or count it as left out."""
        second = self._clock.now_ms() // 1_000
        if second != self._second:
            self._second = second
            self._written.clear()
        written = self._written.get(event, 0)
        if written >= self._per_second:
            self._left_out[event] = self._left_out.get(event, 0) + 1
            return
        self._written[event] = written + 1
        left_out = self._left_out.pop(event, 0)
        if left_out:
            fields["left_out"] = left_out
        self._logger.info(event, **fields)


class DroppingStream:
    """A text stream on a file descriptor that never waits for its reader.

    Whole lines that find no room are dropped, counted, and said with the next line.
    """

    def __init__(self, descriptor):
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._rest = b""
        self._dropped = 0

    @property
    def dropped(self):
        """How many lines were dropped and not said yet."""
        return self._dropped

    def write(self, text):
        """Write a line, or drop it where the reader is behind."""
        if not self._put(self._rest):
            self._dropped += text.count("\n")
            return
        if self._dropped:
            text = f'{{"message":"lines dropped","count":{self._dropped}}}\n{text}'
            self._dropped = 0
        if not self._put(text.encode()) and not self._rest:
            self._dropped += text.count("\n")

    def flush(self):
        """Do nothing: there is no buffer."""

    def _put(self, data):
        """Write bytes; return whether all went out. A cut line is kept as rest."""
        try:
            count = os.write(self._descriptor, data) if data else 0
        except BlockingIOError:
            return False
        self._rest = data[count:] if count < len(data) else b""
        return not self._rest
