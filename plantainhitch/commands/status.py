"""``plantainhitch status``: show the status of an entry."""

import msgspec

from . import operator
from .output import format_table


def status(entry="", json=False):
    """Show the status of an entry.

    Args:
        entry: IP:PORT of an entry.
        json: print the JSON document.
    """

    async def action(client):
        return operator.print_reply(await client.get("/v1/status"), json, _show)

    return operator.run(entry, action)


def _show(body):
    rows = [
        (name, value if isinstance(value, int | float) else _format_value(value))
        for name, value in msgspec.json.decode(body).items()
    ]
    return format_table(("field", "value"), rows)


def _format_value(value):
    return value if isinstance(value, str) else msgspec.json.encode(value).decode()
