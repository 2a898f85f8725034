"""``plantainhitch deployed-entry``: run an entry on the users' platform."""

from .. import logs
from ..coordination.evacuation import EvacuationState
from ..coordination.jobs.entry_node import JobEntryNode
from ..coordination.jobs.peers import PEER_LINK_TIMING
from ..coordination.jobs.route_watch import RouteWatch
from ..coordination.jobs.scheduler import Scheduler
from ..coordination.membership import Membership
from ..coordination.runs.lease_times import LeaseTimes
from ..job_metrics import JobMetrics
from ..platform.configuration import OperatorSource, decode as decode_routes
from ..platform.job_app import JobApp, ReadinessApp
from ..platform.store import RowStore
from ..protocol import messages as m
from ..transport.asgi import MetricsApp
from .deployed import Resources, run, serve_until_stopped
from .exit_codes import ExitCode

log = logs.get_logger("deployed")


def deployed_entry(*, is_profiled=False):
    """Run an entry with the settings that the platform placed, until SIGTERM.

    With ``is_profiled`` it logs where it spends its processor time.
    """
    return run(run_entry, m.ROLE_ENTRY, is_profiled=is_profiled)


async def run_entry(deployment, member, clock, install_signals):
    """Run an entry until the signals ask to stop.

    ``install_signals()`` returns the ``StopSignals``.
    """
    signals = install_signals()
    store = RowStore.from_deployment(deployment, clock)
    routes = RouteWatch(
        clock,
        OperatorSource(store, lambda evacuated: node.apply_evacuations(evacuated)),
        lambda table: node.routes_changed(table),
    )
    membership = Membership(
        store, clock, region=deployment.region, on_change=lambda: node.members_changed()
    )
    metrics = JobMetrics(clock)
    bounds = deployment.bounds
    scheduler = Scheduler(
        clock,
        LeaseTimes.from_bounds(bounds),
        metrics.record_job,
        zone=deployment.zone,
        remote_factor=bounds.remote_factor,
        evacuations=EvacuationState(clock),
    )
    node = JobEntryNode(
        deployment, member, clock, scheduler, routes, membership, decode_routes
    )
    async with Resources() as resources:
        resources.push_async_callback(store.aclose)
        resources.push_async_callback(node.aclose)
        await resources.listen(
            deployment.link, clock, node.serve_link, PEER_LINK_TIMING
        )
        await resources.serve(
            JobApp(node), deployment.front, grace_ms=deployment.bounds.stop_ms
        )
        await resources.serve(ReadinessApp(node), deployment.readiness)
        await resources.serve(
            MetricsApp(lambda: metrics.render(node)), deployment.metrics
        )
        await serve_until_stopped(resources, deployment, node, signals)
    log.notice("stopped", name=deployment.name)
    return ExitCode.OK
