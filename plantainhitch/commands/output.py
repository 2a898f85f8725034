"""Output of the commands: tables for people, JSON for programs."""

import sys
from pathlib import Path

import msgspec


def print_error(message):
    """Print a message on standard error."""
    print(message, file=sys.stderr)


def print_json(data):
    """Print JSON bytes, or a value as JSON, as one line."""
    encoded = data if isinstance(data, bytes) else msgspec.json.encode(data)
    print(encoded.decode())


def format_table(headers, rows):
    """Return a table as text, with the cells of each column under its header.

    Numbers are aligned to the right, other cells to the left.
    """
    texts = [[_format_cell(cell) for cell in row] for row in rows]
    widths = [
        max(len(header), *(len(row[column]) for row in texts)) if texts else len(header)
        for column, header in enumerate(headers)
    ]
    lines = ["  ".join(map(str.ljust, headers, widths)).rstrip()]
    for row, cells in zip(texts, rows, strict=True):
        aligned = [
            text.rjust(width) if _is_number(cell) else text.ljust(width)
            for text, cell, width in zip(row, cells, widths, strict=True)
        ]
        lines.append("  ".join(aligned).rstrip())
    return "\n".join(lines)


def write_atomically(path, data):
    """Replace the file at ``path`` by ``data``; readers see all of it or none."""
    target = Path(path)
    temporary = target.with_name(f".{target.name}.part")
    temporary.write_bytes(data)
    temporary.replace(target)


def _is_number(cell):
    return isinstance(cell, int | float) and not isinstance(cell, bool)


def _format_cell(cell):
    match cell:
        case bool():
            return "yes" if cell else "no"
        case float():
            return f"{cell:.1f}"
    return str(cell)
