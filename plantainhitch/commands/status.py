"""``plantainhitch status``: what an entry is doing."""

import msgspec

from . import operator
from .output import format_table


def status(entry="", json=False):
    """Show what the entry is doing.

    Args:
        entry: IP:PORT of an entry.
        json: print the JSON document.
    """

    async def action(client):
        return operator.print_reply(await client.get("/v1/status"), json, _show)

    return operator.run(entry, action)


def _show(body):
    rows = [
        (name, value if isinstance(value, int | float) else _text(value))
        for name, value in msgspec.json.decode(body).items()
    ]
    return format_table(("what", "value"), rows)


def _text(value):
    return value if isinstance(value, str) else msgspec.json.encode(value).decode()
