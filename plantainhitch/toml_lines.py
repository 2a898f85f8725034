"""Line numbers of the keys in a TOML file, for error messages.

The TOML library returns values without their line numbers. This module is not a
parser: it matches table headers and keys at the start of lines, which finds the keys
of files in the usual layout; other keys get line 0.
"""

import re
from dataclasses import dataclass

_HEADER = re.compile(r"\s*\[\[?([^\]]+)\]\]?\s*(#.*)?$")
_KEY = re.compile(r"""\s*((?:[\w-]+|"[^"]*"|'[^']*')(?:\s*\.\s*[\w"'-]+)*)\s*=""")
_SEGMENT = re.compile(r"""[\w-]+|"[^"]*"|'[^']*'""")


@dataclass(frozen=True, slots=True)
class KeyLines:
    """Line numbers by dotted key."""

    lines: dict[str, int]

    @classmethod
    def from_text(cls, text):
        """Return the line numbers of the table headers and keys in ``text``."""
        lines = {}
        prefix = ""
        for number, line in enumerate(text.splitlines(), start=1):
            if header := _HEADER.match(line):
                prefix = _normalize(header[1])
                lines.setdefault(prefix, number)
            elif key := _KEY.match(line):
                path = (
                    f"{prefix}.{_normalize(key[1])}" if prefix else _normalize(key[1])
                )
                lines.setdefault(path, number)
        return cls(lines)

    def line_of(self, key):
        """Return the line of ``key``, else of its closest enclosing table, else 0."""
        while key:
            if key in self.lines:
                return self.lines[key]
            key = key.rpartition(".")[0]
        return 0


def _normalize(key):
    """Return a dotted key without its quotes and spaces."""
    return ".".join(segment.strip("\"'") for segment in _SEGMENT.findall(key))
