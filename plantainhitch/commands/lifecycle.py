"""Start and stop of the long-running commands: settings, listeners, signals."""

import asyncio
import json
import signal
import sys

import uvloop

from .. import logs, signal_mask
from ..settings import Settings
from ..transport import links
from ..transport.addresses import Address
from ..transport.http_server import serve

log = logs.get_logger("lifecycle")


def load_settings(path):
    """Return the settings in ``path``, or None after printing their errors."""
    try:
        return Settings.from_file(path)
    except (OSError, ValueError) as error:
        print(error, file=sys.stderr)
        return None


def print_ready(**fields):
    """Print one JSON line with the addresses that the process listens at."""
    line = {"ready": True} | {name: str(value) for name, value in fields.items()}
    print(json.dumps(line), flush=True)


def spawn(coroutine):
    """Start and return a task; keep a reference to it for as long as it should run."""
    return asyncio.create_task(coroutine)


def run_process(coroutine):
    """Run the coroutine of a long-running command in a new loop; return its result.

    Signals that were held back before are so again once it has ended: the handlers go
    with the loop, and the default action would change the exit code.
    """
    return uvloop.run(_restore_mask_after(coroutine, signal_mask.current()))


async def _restore_mask_after(coroutine, mask):
    try:
        return await coroutine
    finally:
        signal_mask.restore(mask)


class NodeProxy:
    """Passes links and calls on to a node that is created after its listeners.

    A node needs the bound addresses, so the servers start first, with a proxy whose
    ``node`` is set later.
    """

    def __init__(self):
        self.node = None

    @property
    def ready(self):
        """Whether the node exists and is ready."""
        return self.node is not None and self.node.ready

    async def serve_link(self, link):
        """Serve a link; close one that comes before the node exists."""
        if self.node is None:
            link.close("starting")
            return
        await self.node.serve_link(link)


class Listeners:
    """The two servers of a process, for links and for HTTP."""

    def __init__(self, link_server, http_server):
        self.link_server = link_server
        self.http_server = http_server

    @classmethod
    async def start(cls, settings, clock, proxy, app):
        """Listen at the addresses in ``settings``.

        Raises OSError, with the address, if one can't be bound.
        """
        link_server = await links.listen(settings.link, clock, proxy.serve_link)
        try:
            return cls(link_server, await serve(app, settings.http))
        except OSError:
            link_server.close()
            raise

    @property
    def link(self):
        """The address bound for links."""
        host, port = self.link_server.sockets[0].getsockname()[:2]
        return Address(host, port)

    @property
    def http(self):
        """The address bound for HTTP."""
        return self.http_server.address


class StopSignals:
    """Events set by signals.

    The first SIGTERM or SIGINT sets ``drain``, the second ``abort``, which ends the
    drain. SIGHUP sets ``reload``: the settings file has changed.
    """

    def __init__(self):
        self.drain = asyncio.Event()
        self.abort = asyncio.Event()
        self.reload = asyncio.Event()

    @classmethod
    def install(cls):
        """Install the signal handlers in the running loop; return their events.

        Signals are held back until ``run_until_stopped`` where the process has blocked
        them.
        """
        signals = cls()
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, signals.on_stop_signal)
        loop.add_signal_handler(signal.SIGHUP, signals.reload.set)
        return signals

    def on_stop_signal(self):
        """Handle one SIGTERM or SIGINT."""
        if self.drain.is_set():
            self.abort.set()
        self.drain.set()


async def run_until_stopped(node, signals, drain_ms):
    """Run ``node`` until it has drained; return whether the drain was cut short.

    The first stop signal starts the drain. A second signal ends it, and so does the
    end of ``drain_ms``. Signals that were held back are delivered from now on.
    """
    # Threads inherit the mask: those of the event loop, which its first look-up of an
    # address has started, get no signals, so that blocking them here is enough.
    signal_mask.unblock()
    running = asyncio.create_task(node.run(signals.drain))
    aborted = asyncio.create_task(signals.abort.wait())
    draining = asyncio.create_task(signals.drain.wait())
    try:
        await asyncio.wait(
            (running, aborted, draining), return_when=asyncio.FIRST_COMPLETED
        )
        await asyncio.wait(
            (running, aborted),
            timeout=drain_ms / 1000,
            return_when=asyncio.FIRST_COMPLETED,
        )
        if running.done():
            running.result()
            return False
    finally:
        for task in (running, aborted, draining):
            task.cancel()
    log.warning("drain ended before all work was finished", status=node.status())
    return True
