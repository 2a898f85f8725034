"""Start and stop of the deployed commands: settings, signals, open resources.

Settings come from the file that the platform places, see ``platform.settings``.
"""

import contextlib
import gc
import sys
from dataclasses import fields

from .. import logs
from ..clock import Clock
from ..platform import settings as platform_settings
from ..settings import SettingsError
from ..transport import links
from ..transport.http_server import serve
from . import lifecycle

log = logs.get_logger("deployed")


def run(role, kind, *, is_profiled=False):
    """Run a role with the settings that the platform placed, until SIGTERM.

    ``role`` is ``run_agent`` or ``run_entry``; ``kind`` is the role that the process
    has as a member, ``messages.ROLE_AGENT`` or ``messages.ROLE_ENTRY``. With
    ``is_profiled`` the process logs where it spends its processor time.
    """
    handler = logs.configure("info", logs.DroppingStream(sys.stdout.fileno()))
    deployment = platform_settings.load()
    member = deployment.new_member(kind)
    incarnation = member.incarnation.hex()
    handler.formatter = logs.JsonLineFormatter(member.name, incarnation)
    gc.freeze()
    gc.enable()
    clock = Clock()
    process = role(deployment, member, clock, lifecycle.StopSignals.install)
    try:
        return lifecycle.run_process(
            _profile(process, clock) if is_profiled else process
        )
    finally:
        logs.flush_events()


async def _profile(process, clock):
    from ..profiling import Profiler  # imported here to save its memory otherwise

    profiler = Profiler(clock)
    accounts = lifecycle.spawn(profiler.run())
    profiler.start()
    try:
        return await process
    finally:
        accounts.cancel()


class Resources(contextlib.AsyncExitStack):
    """The servers, clients and tasks of a process, closed in reverse order."""

    async def serve(self, app, address, *, grace_ms=0):
        """Serve an ASGI application; its requests get ``grace_ms`` at the close."""
        server = await serve(app, address)
        self.push_async_callback(server.aclose, grace_ms)

    async def listen(self, address, clock, on_link, timing):
        """Accept links at ``address``; ``on_link`` serves each of them."""
        server = await links.listen(address, clock, on_link, timing)
        self.callback(server.close)

    def spawn(self, coroutine):
        """Run a task that is cancelled at the close."""
        self.callback(lifecycle.spawn(coroutine).cancel)


async def serve_until_stopped(resources, deployment, node, signals):
    """Run a node until the signals ask to stop; log changes of the settings file."""
    resources.spawn(_log_settings_changes(signals, deployment))
    log.notice("started", name=deployment.name)
    await lifecycle.run_until_stopped(node, signals, deployment.bounds.shutdown_ms)


async def _log_settings_changes(signals, deployment):
    """Log the changed settings each time that the settings file is replaced.

    The changes apply at the next start. Addresses and bounds are fixed for the
    lifetime of a process: callers and other processes hold connections to the
    addresses, and leases were agreed under the bounds.
    """
    previous = deployment
    while True:
        await signals.reload.wait()
        signals.reload.clear()
        try:
            loaded = platform_settings.load()
        except SettingsError as error:
            log.error("settings not reloaded", why=str(error))
            continue
        changed = [
            field.name
            for field in fields(loaded)
            if getattr(loaded, field.name) != getattr(previous, field.name)
        ]
        log.notice("settings reloaded", changed=changed, in_force="at the next start")
        previous = loaded
