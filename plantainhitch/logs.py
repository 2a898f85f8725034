"""Structured logs: one JSON object a line, by logbook."""

import logging
import sys

import logbook
import logbook.compat
import msgspec

LEVELS = ("debug", "info", "notice", "warning", "error", "critical")


class JsonLineFormatter:
    """Formats a record as one JSON object; ``extra`` fields come after."""

    def __call__(self, record, handler):
        """Return the line for ``record``."""
        line = {
            "time": record.time.isoformat(timespec="milliseconds"),
            "level": record.level_name.lower(),
            "logger": record.channel,
            "message": record.message,
        }
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
