"""Structured logs: one JSON object per line, written with logbook.

``EventLog`` limits the rate of lines of each event, and writes what is beyond it in
batches; ``DroppingStream`` drops lines instead of blocking while their reader is slow.
See docs/design/logs.md.
"""

import logging
import os
import sys
import weakref

import logbook
import logbook.compat
import msgspec

# All event logs of the process that are in use.
_event_logs = weakref.WeakSet()

LEVELS = ("debug", "info", "notice", "warning", "error", "critical")


# Limit for the ordinary lines of one event from one process, and for all of them: the
# rest is reserved for what is out of the ordinary.
MAX_LINES_PER_S = 10
MAX_LINES_WITH_RESERVE_PER_S = 50
# Events beyond the limit are written in batches. What a process has not written is lost
# if it is killed.
BATCH_INTERVAL_MS = 100
# The same limits for the rows of a batch.
MAX_BATCH_ROWS = 100
MAX_BATCH_ROWS_WITH_RESERVE = 200


class JsonLineFormatter:
    """Formats a record as one JSON object.

    ``process`` and ``incarnation`` identify the writer; both are omitted if
    ``process`` is empty. They come last, so that a line that is cut short still has the
    first fields of its event.
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
        line.update(record.kwargs)
        line.update(self._identity)
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


def flush_events():
    """Write the batches of all event logs; to be called at the end of the process."""
    for event_log in list(_event_logs):
        event_log.flush()


class EventLog:
    """Writes events to a logger, in a limited number of lines a second.

    At most ``per_second`` lines of each event are written singly, and of those that are
    out of the ordinary ``with_reserve``. Events beyond that are written in batches: one
    line with the names of their fields in ``columns`` and the values of each in
    ``rows``, whose first value is how many ms before the line the event was. A batch
    that is full leaves events out; the next line of the event has their count in its
    field ``left_out``. ``flush_if_due`` is to be called regularly.
    """

    def __init__(
        self,
        logger,
        clock,
        per_second=MAX_LINES_PER_S,
        with_reserve=MAX_LINES_WITH_RESERVE_PER_S,
    ):
        self._logger = logger
        self._clock = clock
        self._per_second = per_second
        self._with_reserve = with_reserve
        self._second = 0
        self._written_counts = {}
        self._left_out_counts = {}
        # By level, event and field names: the time in ms and the values of each event.
        self._batches = {}
        self._batches_due_ms = 0
        _event_logs.add(self)

    def write(self, event, **fields):
        """Write ``event``, at once or in a batch, or count it as left out."""
        self._write(logbook.INFO, event, fields, self._per_second, MAX_BATCH_ROWS)

    def write_unusual(self, event, **fields):
        """Do the same for an event out of the ordinary, with the reserved share."""
        self._write_with_reserve(logbook.INFO, event, fields)

    def warn(self, event, **fields):
        """Do the same at the level ``warning``."""
        self._write_with_reserve(logbook.WARNING, event, fields)

    def flush_if_due(self):
        """Write the batches once the oldest event has waited for the interval."""
        if self._batches and self._clock.now_ms() >= self._batches_due_ms:
            self.flush()

    def flush(self):
        """Write the batches."""
        now_ms = self._clock.now_ms()
        batches, self._batches = self._batches, {}
        for (level, event, *names), rows in batches.items():
            for row in rows:
                row[0] = now_ms - row[0]
            fields = {"columns": ["ms_ago", *names], "rows": rows}
            self._write_line(level, event, fields)

    def _write_with_reserve(self, level, event, fields):
        max_rows = MAX_BATCH_ROWS_WITH_RESERVE
        self._write(level, event, fields, self._with_reserve, max_rows)

    def _write(self, level, event, fields, max_lines, max_rows):
        now_ms = self._clock.now_ms()
        second = now_ms // 1_000
        if second != self._second:
            self._second = second
            self._written_counts.clear()
        written = self._written_counts.get(event, 0)
        if written < max_lines:
            self._written_counts[event] = written + 1
            self._write_line(level, event, fields)
            return
        if not self._batches:
            self._batches_due_ms = now_ms + BATCH_INTERVAL_MS
        elif now_ms >= self._batches_due_ms:
            self.flush()
            self._batches_due_ms = now_ms + BATCH_INTERVAL_MS
        rows = self._batches.setdefault((level, event, *fields), [])
        if len(rows) < max_rows:
            rows.append([now_ms, *fields.values()])
        else:
            self._left_out_counts[event] = self._left_out_counts.get(event, 0) + 1

    def _write_line(self, level, event, fields):
        left_out = self._left_out_counts.pop(event, 0)
        if left_out:
            fields["left_out"] = left_out
        write = self._logger.info if level == logbook.INFO else self._logger.warning
        write(event, **fields)


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
