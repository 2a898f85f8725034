"""``plantainhitch entry``: run an entry process."""

from .. import logs
from ..clock import Clock
from ..coordination.entry import BoundAddresses, EntryNode
from ..protocol.calls import OpenIds, SingleRequest
from ..protocol.errors import ErrorCode, Refusal
from ..transport.entry_http import create_app
from ..transport.platform_http import PlatformClient
from . import lifecycle
from .exit_codes import ExitCode

log = logs.get_logger("entry")


def entry(settings):
    """Run an entry with the settings file ``settings`` until SIGTERM."""
    loaded = lifecycle.load_settings(settings)
    if loaded is None:
        return ExitCode.USAGE
    logs.configure(loaded.log_level)
    return lifecycle.run_process(run(loaded, Clock(), lifecycle.StopSignals.install))


async def run(settings, clock, install_signals, announce=lifecycle.print_ready):
    """Run an entry until the signals from ``install_signals()`` ask to stop.

    ``announce`` is called with the bound addresses once they are known. Returns the
    exit code.
    """
    signals = install_signals()
    platform = PlatformClient.from_settings(settings)
    proxy = EntryProxy()
    app = create_app(proxy, settings.limits)
    try:
        listeners = await lifecycle.Listeners.start(settings, clock, proxy, app)
    except OSError as error:
        log.critical("can't listen", error=str(error))
        return ExitCode.FAILED
    bound = BoundAddresses(listeners.link, listeners.http)
    node = EntryNode.from_settings(settings, clock, platform, bound)
    proxy.node = node
    announce(name=settings.name, http=bound.http, link=bound.link)
    was_cut_short = await lifecycle.run_until_stopped(
        node, signals, settings.limits.drain_ms
    )
    grace_ms = 0 if was_cut_short else settings.limits.drain_ms
    await listeners.http_server.aclose(grace_ms)
    listeners.link_server.close()
    await node.aclose()
    await platform.aclose()
    return ExitCode.OK


class EntryProxy(lifecycle.NodeProxy):
    """Passes HTTP calls on to an entry's node once it exists."""

    def __getattr__(self, name):
        return getattr(self.node, name)

    async def handle_call(self, call):
        """Pass a call to the node; refuse one that comes before the node exists."""
        if self.node is None:
            # A call with an id or a key may already have runs at another entry.
            is_new = isinstance(call, OpenIds | SingleRequest)
            message = "this entry is starting"
            return Refusal(ErrorCode.NOT_READY, message, not_run=is_new)
        return await self.node.handle_call(call)
