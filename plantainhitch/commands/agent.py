"""``plantainhitch agent``: run the agent beside one endpoint."""

from .. import logs
from ..agent_metrics import metrics_text
from ..clock import Clock
from ..coordination.agent import AgentNode
from ..transport.agent_http import AgentApp
from ..transport.platform_http import PlatformClient
from . import lifecycle
from .exit_codes import ExitCode

log = logs.get_logger("agent")


def agent(settings):
    """Run an agent with the settings file ``settings`` until SIGTERM."""
    loaded = lifecycle.load_settings(settings)
    if loaded is None:
        return ExitCode.USAGE
    logs.configure(loaded.log_level)
    return lifecycle.run_process(run(loaded, Clock(), lifecycle.StopSignals.install))


async def run(settings, clock, install_signals, announce=lifecycle.print_ready):
    """Run an agent until the signals from ``install_signals()`` ask to stop.

    ``announce`` is called with the bound addresses once they are known. Returns the
    exit code.
    """
    signals = install_signals()
    platform = PlatformClient.from_settings(settings)
    proxy = AgentProxy()
    app = AgentApp(proxy, lambda: metrics_text(proxy.node))
    try:
        bound = await lifecycle.Listeners.start(settings, clock, proxy, app)
    except OSError as error:
        log.critical("can't listen", error=str(error))
        return ExitCode.FAILED
    node = AgentNode.from_settings(settings, clock, platform, bound.link, bound.http)
    proxy.node = node
    announce(http=bound.http, link=bound.link)
    await lifecycle.run_until_stopped(node, signals, settings.limits.drain_ms)
    bound.link_server.close()
    await node.aclose()
    await bound.http_server.aclose(grace_ms=0)
    await platform.aclose()
    return ExitCode.OK


class AgentProxy(lifecycle.NodeProxy):
    """Passes HTTP events on to an agent's node once it exists."""

    def post(self, event):
        """Post an event to the node.

        Events before the node exists are dropped: endpoints repeat them.
        """
        if self.node is not None:
            self.node.post(event)
