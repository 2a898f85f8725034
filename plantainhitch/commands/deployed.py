"""``plantainhitch deployed-entry`` and ``deployed-agent``: run on the users' platform.

Settings come from the file that the platform places, see ``platform.settings``.
"""

import contextlib
import gc
import sys
from dataclasses import fields

import uvloop

from .. import logs
from ..clock import Clock
from ..coordination.jobs.entry_node import JobEntryNode, new_member
from ..coordination.jobs.peers import INTRODUCE_MS, introduce
from ..coordination.jobs.route_watch import RouteWatch
from ..coordination.jobs.scheduler import Scheduler
from ..coordination.membership import Membership
from ..coordination.runs.agent_node import LINK_TIMING, RunAgentNode
from ..coordination.runs.run_book import RunBook
from ..job_metrics import JobMetrics, agent_metrics_text
from ..platform import settings as platform_settings
from ..platform.configuration import RouteSource, decode as decode_routes
from ..platform.endpoint import EndpointOrders
from ..platform.front import FrontApp, ReadinessApp
from ..platform.heartbeats import HeartbeatApp
from ..platform.store import RowStore
from ..protocol import messages as m
from ..settings import SettingsError
from ..transport import links
from ..transport.asgi import MetricsApp
from ..transport.http_server import serve
from . import lifecycle
from .exit_codes import ExitCode

log = logs.get_logger("deployed")


def deployed_entry():
    """Run an entry with the settings that the platform placed, until SIGTERM."""
    return _run(run_entry)


def deployed_agent():
    """Run an agent with the settings that the platform placed, until SIGTERM."""
    return _run(run_agent)


def _run(role):
    logs.configure("info", logs.DroppingStream(sys.stdout.fileno()))
    deployment = platform_settings.load()
    gc.freeze()
    return uvloop.run(role(deployment, Clock(), lifecycle.StopSignals.install))


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


class _Resources(contextlib.AsyncExitStack):
    """What a process has open, closed in reverse order however it ends."""

    async def serve(self, app, address, *, within_ms=0):
        """Serve an ASGI application; at the end, give it ``within_ms`` to finish."""
        server = await serve(app, address)
        self.push_async_callback(server.aclose, within_ms)

    async def listen(self, address, clock, on_link, timing):
        """Take links."""
        server = await links.listen(address, clock, on_link, timing)
        self.callback(server.close)

    def spawn(self, coroutine):
        """Run a task until the end."""
        self.callback(lifecycle.spawn(coroutine).cancel)


async def run_entry(deployment, clock, install_signals):
    """Serve as an entry until the signals ask to stop."""
    signals = install_signals()
    store = RowStore.from_deployment(deployment, clock)
    member = new_member(m.ROLE_ENTRY, deployment)
    routes = RouteWatch(
        clock, RouteSource(store), lambda table: node.routes_changed(table)
    )
    membership = Membership(
        store, clock, region=deployment.region, on_change=lambda: node.members_changed()
    )
    metrics = JobMetrics(clock)
    scheduler = Scheduler(clock, deployment.bounds.lease_ms, metrics.ended)
    node = JobEntryNode(
        deployment, member, clock, scheduler, routes, membership, decode_routes
    )
    async with _Resources() as resources:
        resources.push_async_callback(store.aclose)
        resources.push_async_callback(node.aclose)
        await resources.listen(
            deployment.link, clock, node.serve_link, links.LinkTiming()
        )
        await resources.serve(
            FrontApp(node), deployment.front, within_ms=deployment.bounds.stop_ms
        )
        await resources.serve(ReadinessApp(node), deployment.readiness)
        await resources.serve(
            MetricsApp(lambda: metrics.render(node)), deployment.metrics
        )
        await _serve_until_stopped(resources, deployment, member, node, signals)
    log.notice("stopped", name=deployment.name)
    return ExitCode.OK


async def run_agent(deployment, clock, install_signals):
    """Serve as an agent until the signals ask to stop."""
    signals = install_signals()
    store = RowStore.from_deployment(deployment, clock)
    member = new_member(m.ROLE_AGENT, deployment)
    hello = m.Hello(m.ROLE_AGENT, member.incarnation, deployment.name, deployment.zone)
    book = RunBook(clock, deployment.bounds.lease_ms, first_fence=clock.wall_ms())
    node = RunAgentNode(
        hello,
        clock,
        book,
        lambda endpoint_id: EndpointOrders(deployment.endpoint, clock, endpoint_id),
    )
    heartbeats = HeartbeatApp(deployment.pool, node.on_report, node.on_leave)
    async with _Resources() as resources:
        resources.push_async_callback(store.aclose)
        resources.push_async_callback(node.aclose)
        await resources.serve(heartbeats, deployment.heartbeats)
        await resources.serve(
            MetricsApp(lambda: agent_metrics_text(node)), deployment.metrics
        )
        await resources.listen(deployment.link, clock, node.serve_link, LINK_TIMING)
        resources.spawn(Membership(store, clock).register(member))
        resources.spawn(_introduce(deployment, member, hello, clock, node))
        await _serve_until_stopped(resources, deployment, member, node, signals)
    log.notice("stopped", name=deployment.name)
    return ExitCode.OK


async def _serve_until_stopped(resources, deployment, member, node, signals):
    resources.spawn(_reload(signals, deployment))
    log.notice("started", name=deployment.name, incarnation=member.incarnation.hex())
    await lifecycle.run_until_stopped(node, signals, deployment.bounds.shutdown_ms)


async def _introduce(deployment, member, hello, clock, node):
    """Introduce an agent to the seeds whenever no entry has a link to it."""
    while True:
        if not node.has_links:
            await introduce(member, hello, clock, deployment.seed_links)
        await clock.sleep_ms(INTRODUCE_MS)
