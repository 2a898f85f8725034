"""``plantainhitch entry``: run an entry process."""

import uvloop

from .. import logs
from ..clock import Clock
from ..coordination.entry import BoundAddresses, EntryNode
from ..transport import links
from ..transport.addresses import Address
from ..transport.entry_http import create_app
from ..transport.http_server import serve
from ..transport.platform_http import PlatformClient
from . import lifecycle

log = logs.get_logger("entry")


def entry(settings):
    """Run an entry with the settings file ``settings`` until SIGTERM."""
    loaded = lifecycle.load_settings(settings)
    if loaded is None:
        return lifecycle.EXIT_USAGE
    logs.configure(loaded.log_level)
    return uvloop.run(run(loaded, Clock(), lifecycle.StopSignals.install))


async def run(settings, clock, install_signals, announce=lifecycle.print_ready):
    """Serve until the signals from ``install_signals()`` ask to stop.

    ``announce`` is called with the bound addresses once they are known.
    """
    signals = install_signals()
    platform = PlatformClient.from_settings(settings)
    holder = NodeHolder()
    link_server = await links.listen(settings.link, clock, holder.serve_link)
    app = create_app(holder, settings.limits)
    http_server = await serve(app, settings.http)
    bound = BoundAddresses(_bound_address(link_server), http_server.address)
    node = EntryNode.from_settings(settings, clock, platform, bound)
    holder.node = node
    announce(name=settings.name, http=bound.http, link=bound.link)
    cut = await lifecycle.run_until_stopped(node, signals, settings.limits.drain_ms)
    await http_server.aclose(within_ms=settings.limits.drain_ms if not cut else 0)
    link_server.close()
    await node.aclose()
    await platform.aclose()
    return lifecycle.EXIT_OK


class NodeHolder:
    """Stands for the node while its addresses are not bound yet."""

    def __init__(self):
        self.node = None

    def __getattr__(self, name):
        return getattr(self.node, name)

    async def serve_link(self, link):
        """Serve a link, or close one that comes too early."""
        if self.node is None:
            link.close("starting")
            return
        await self.node.serve_link(link)


def _bound_address(server):
    host, port = server.sockets[0].getsockname()[:2]
    return Address(host, port)
