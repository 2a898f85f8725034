"""``plantainhitch deployed-agent``: run an agent on the users' platform."""

from .. import logs
from ..coordination.introductions import INTRODUCE_INTERVAL_MS, introduce
from ..coordination.membership import Membership
from ..coordination.runs.agent_node import AGENT_LINK_TIMING, RunAgentNode
from ..coordination.runs.endpoint_record import EndpointRecord
from ..coordination.runs.lease_times import LeaseTimes
from ..coordination.runs.run_controller import RunController
from ..coordination.runs.warm_up import WarmUpLimits
from ..platform.endpoint import EndpointClient
from ..platform.heartbeats import HeartbeatApp
from ..platform.store import RowStore
from ..protocol import messages as m
from ..run_metrics import run_metrics_text
from ..transport.asgi import MetricsApp
from .deployed import Resources, run, serve_until_stopped
from .exit_codes import ExitCode

log = logs.get_logger("deployed")


def deployed_agent(*, is_profiled=False):
    """Run an agent with the settings that the platform placed, until SIGTERM.

    With ``is_profiled`` it logs where it spends its processor time.
    """
    return run(run_agent, m.ROLE_AGENT, is_profiled=is_profiled)


async def run_agent(deployment, member, clock, install_signals):
    """Run an agent until the signals ask to stop.

    ``install_signals()`` returns the ``StopSignals``.
    """
    signals = install_signals()
    store = RowStore.from_deployment(deployment, clock)
    hello = m.Hello(m.ROLE_AGENT, member.incarnation, deployment.name, deployment.zone)
    controller = RunController(
        clock,
        LeaseTimes.from_bounds(deployment.bounds),
        first_fence=clock.wall_ms(),
        zone=deployment.zone,
        warm_up_limits=WarmUpLimits.from_bounds(deployment.bounds),
    )
    endpoint_record = EndpointRecord(store, clock, deployment.name)
    node = RunAgentNode(
        hello,
        clock,
        controller,
        lambda lifetime: EndpointClient(deployment.endpoint, clock, lifetime),
        endpoint_record.update,
    )
    heartbeats = HeartbeatApp(deployment.pool, node.on_heartbeat, node.on_leave)
    async with Resources() as resources:
        resources.push_async_callback(store.aclose)
        resources.push_async_callback(node.aclose)
        await resources.serve(heartbeats, deployment.heartbeats)
        await resources.serve(
            MetricsApp(lambda: run_metrics_text(node)), deployment.metrics
        )
        await resources.listen(
            deployment.link, clock, node.serve_link, AGENT_LINK_TIMING
        )
        resources.spawn(Membership(store, clock).register(member))
        resources.spawn(endpoint_record.run())
        resources.spawn(_restore_endpoint(endpoint_record, deployment.pool, node))
        resources.spawn(_introduce_to_seeds(deployment, member, hello, clock, node))
        await serve_until_stopped(resources, deployment, node, signals)
    log.notice("stopped", name=deployment.name)
    return ExitCode.OK


async def _introduce_to_seeds(deployment, member, hello, clock, node):
    """Introduce the agent to the seed entries while no entry has a link to it."""
    while True:
        if not node.has_links:
            await introduce(member, hello, clock, deployment.seed_link_addresses)
        await clock.sleep_ms(INTRODUCE_INTERVAL_MS)


async def _restore_endpoint(endpoint_record, pool, node):
    """Register the endpoint that an earlier agent of this machine had stored.

    The agent can then use it before the next heartbeat of the endpoint.
    """
    report = await endpoint_record.load()
    if report is not None and report.pool == pool:
        log.info("endpoint recalled", endpoint=report.endpoint_id, born=report.born_ms)
        node.on_heartbeat(report)
