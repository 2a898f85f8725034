"""What the long-running commands share: settings, listeners, signals, ready line."""

import asyncio
import json
import signal
import sys

from .. import logs
from ..settings import Settings
from ..transport import links
from ..transport.addresses import Address
from ..transport.http_server import serve

log = logs.get_logger("lifecycle")


def load_settings(path):
    """Return the settings, or None after printing what is wrong with them."""
    try:
        return Settings.from_file(path)
    except (OSError, ValueError) as error:
        print(error, file=sys.stderr)
        return None


def print_ready(**fields):
    """Print one JSON line that says where the process listens."""
    line = {"ready": True} | {name: str(value) for name, value in fields.items()}
    print(json.dumps(line), flush=True)


def spawn(coroutine):
    """Start a task; keep what is returned for as long as it should run."""
    return asyncio.create_task(coroutine)


class NodeProxy:
    """Stands for the node while its addresses are not bound yet."""

    def __init__(self):
        self.node = None

    @property
    def ready(self):
        """Whether the node is ready."""
        return self.node is not None and self.node.ready

    async def serve_link(self, link):
        """Serve a link, or close one that comes too early."""
        if self.node is None:
            link.close("starting")
            return
        await self.node.serve_link(link)


class Listeners:
    """The process's two servers, for links and for HTTP."""

    def __init__(self, link_server, http_server):
        self.link_server = link_server
        self.http_server = http_server

    @classmethod
    async def start(cls, settings, clock, proxy, app):
        """Listen at the addresses in ``settings``.

        Raises OSError, with the address, where one can't be had.
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
    """SIGTERM and SIGINT: the first asks to drain, the second to end at once.

    SIGHUP sets ``reload``, which says that the settings file has changed.
    """

    def __init__(self):
        self.drain = asyncio.Event()
        self.abort = asyncio.Event()
        self.reload = asyncio.Event()

    @classmethod
    def install(cls):
        """Return the events, set by signals to this process from now on."""
        signals = cls()
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, signals.on_stop_signal)
        loop.add_signal_handler(signal.SIGHUP, signals.reload.set)
        return signals

    def on_stop_signal(self):
        """Take in one signal."""
        if self.drain.is_set():
            self.abort.set()
        self.drain.set()


async def run_until_stopped(node, signals, drain_ms):
    """Run ``node`` until it has drained; return whether work was cut off.

    After the first signal, a second one or ``drain_ms`` ends the drain.
    """
    running = asyncio.create_task(node.run(signals.drain))
    ended = asyncio.create_task(signals.abort.wait())
    draining = asyncio.create_task(signals.drain.wait())
    try:
        await asyncio.wait(
            (running, ended, draining), return_when=asyncio.FIRST_COMPLETED
        )
        await asyncio.wait(
            (running, ended),
            timeout=drain_ms / 1000,
            return_when=asyncio.FIRST_COMPLETED,
        )
        if running.done():
            running.result()
            return False
    finally:
        for task in (running, ended, draining):
            task.cancel()
    log.warning("drain was cut short", status=node.status())
    return True
