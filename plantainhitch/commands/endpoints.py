"""``plantainhitch endpoints``: show, drain and resume endpoints."""

from urllib.parse import quote

import msgspec
from fire.decorators import SetParseFns

from ..protocol.models import DrainModel, EndpointsModel
from . import operator
from .output import format_table

_HEADERS = ("name", "zone", "rack", "slots", "running", "spare", "state")


class Endpoints:
    """Show endpoints, and stop or resume the placement of tasks on them."""

    def show(self, entry="", json=False):
        """Show the endpoints that the entry knows, with their state."""

        async def action(client):
            return operator.print_reply(await client.get("/v1/endpoints"), json, _show)

        return operator.run(entry, action)

    @SetParseFns(name=str, entry=str)
    def drain(self, name, entry="", json=False):
        """Place no new tasks on an endpoint; running tasks finish."""
        return _call(name, "drain", entry, json)

    @SetParseFns(name=str, entry=str)
    def resume(self, name, entry="", json=False):
        """Place tasks on a drained endpoint again."""
        return _call(name, "resume", entry, json)


def _call(name, operation, entry, json):
    async def action(client):
        path = f"/v1/endpoints/{quote(name, safe='')}/{operation}"
        return operator.print_reply(await client.call("POST", path), json, _show_drain)

    return operator.run(entry, action)


def _show(body):
    endpoints = msgspec.json.decode(body, type=EndpointsModel).endpoints
    rows = [
        (
            item.name,
            item.zone,
            item.rack,
            item.slots,
            item.running,
            item.spare,
            _state(item),
        )
        for item in sorted(endpoints, key=_by_name)
    ]
    return format_table(_HEADERS, rows)


def _by_name(item):
    return item.name


def _state(item):
    flags = {
        "not linked": not item.linked,
        "draining": item.draining,
        "not ready": not item.ready,
        "held back": item.held_back,
    }
    return ", ".join(name for name, is_set in flags.items() if is_set) or "ready"


def _show_drain(body):
    reply = msgspec.json.decode(body, type=DrainModel)
    return f"{reply.name}: {'draining' if reply.draining else 'accepts tasks again'}"
