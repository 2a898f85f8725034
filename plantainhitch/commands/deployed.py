"""What the deployed programs share: settings, signals, and what they have open.

Settings come from the file that the platform places, see ``platform.settings``.
"""

import contextlib
import gc
import sys
from dataclasses import fields

import uvloop

from .. import logs
from ..clock import Clock
from ..platform import settings as platform_settings
from ..settings import SettingsError
from ..transport import links
from ..transport.http_server import serve
from . import lifecycle

log = logs.get_logger("deployed")


def run(role, kind):
    """Run a role with the settings that the platform placed, until SIGTERM.

    ``kind`` is the kind of member that the process is.
    """
    handler = logs.configure("info", logs.DroppingStream(sys.stdout.fileno()))
    deployment = platform_settings.load()
    member = deployment.new_member(kind)
    incarnation = member.incarnation.hex()
    handler.formatter = logs.JsonLineFormatter(member.name, incarnation)
    gc.freeze()
    return uvloop.run(role(deployment, member, Clock(), lifecycle.StopSignals.install))


class Resources(contextlib.AsyncExitStack):
    """What a process has open, closed in reverse order however it ends."""

    async def serve(self, app, address, *, grace_ms=0):
        """Serve an ASGI application; at the end, give it ``grace_ms`` to finish."""
        server = await serve(app, address)
        self.push_async_callback(server.aclose, grace_ms)

    async def listen(self, address, clock, on_link, timing):
        """Take links."""
        server = await links.listen(address, clock, on_link, timing)
        self.callback(server.close)

    def spawn(self, coroutine):
        """Run a task until the end."""
        self.callback(lifecycle.spawn(coroutine).cancel)


async def serve_until_stopped(resources, deployment, node, signals):
    """Run a node until the signals ask to stop; follow changes of the settings."""
    resources.spawn(_reload(signals, deployment))
    log.notice("started", name=deployment.name)
    await lifecycle.run_until_stopped(node, signals, deployment.bounds.shutdown_ms)


async def _reload(signals, deployment):
    """Say what has changed each time the settings file is replaced.

    Addresses and bounds are fixed while a process lives: callers and other processes
    hold connections to them, and leases were agreed under them.
    """
    known = deployment
    while True:
        await signals.reload.wait()
        signals.reload.clear()
        try:
            found = platform_settings.load()
        except SettingsError as error:
            log.error("settings not reloaded", why=str(error))
            continue
        changed = [
            field.name
            for field in fields(found)
            if getattr(found, field.name) != getattr(known, field.name)
        ]
        log.notice("settings reloaded", changed=changed, in_force="at the next start")
        known = found
