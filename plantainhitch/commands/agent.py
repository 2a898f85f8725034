"""``plantainhitch agent``: run the agent beside one endpoint."""

import uvloop

from .. import logs
from ..agent_metrics import metrics_text
from ..clock import Clock
from ..coordination.agent import AgentNode
from ..transport import links
from ..transport.addresses import Address
from ..transport.agent_http import AgentApp
from ..transport.http_server import serve
from ..transport.platform_http import PlatformClient
from . import lifecycle

log = logs.get_logger("agent")


def agent(settings):
    """Run an agent with the settings file ``settings`` until SIGTERM."""
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
    app = AgentApp(holder, lambda: metrics_text(holder.node))
    http_server = await serve(app, settings.http)
    link = _bound_address(link_server)
    node = AgentNode.from_settings(settings, clock, platform, link, http_server.address)
    holder.node = node
    announce(http=http_server.address, link=link)
    await lifecycle.run_until_stopped(node, signals, settings.limits.drain_ms)
    link_server.close()
    await node.aclose()
    await http_server.aclose(within_ms=0)
    await platform.aclose()
    return lifecycle.EXIT_OK


class NodeHolder:
    """Stands for the node while its addresses are not bound yet."""

    def __init__(self):
        self.node = None

    @property
    def ready(self):
        """Whether the node is ready."""
        return self.node is not None and self.node.ready

    def post(self, event):
        """Hand an event to the node; an endpoint repeats what comes too early."""
        if self.node is not None:
            self.node.post(event)

    async def serve_link(self, link):
        """Serve a link, or close one that comes too early."""
        if self.node is None:
            link.close("starting")
            return
        await self.node.serve_link(link)


def _bound_address(server):
    host, port = server.sockets[0].getsockname()[:2]
    return Address(host, port)
