"""A deployment in one process on loopback, as a fixture for tests.

Entries and agents run as tasks with the code of the deployed commands; the store and
the endpoints are stand-ins.
"""

import asyncio
import contextlib

import msgspec

from plantainhitch.clock import Clock
from plantainhitch.commands.deployed_agent import run_agent
from plantainhitch.commands.deployed_entry import run_entry
from plantainhitch.commands.lifecycle import StopSignals
from plantainhitch.coordination.runs.lease_times import LeaseTimes
from plantainhitch.deployment import Bounds, Deployment
from plantainhitch.platform.store import OPERATOR_TABLE
from plantainhitch.protocol.messages import ROLE_AGENT, ROLE_ENTRY
from plantainhitch.standins.run_endpoint import RunEndpointStandIn
from plantainhitch.standins.store_rows import RowsStandIn
from plantainhitch.transport.addresses import Address
from plantainhitch.transport.http_client import HttpClient
from plantainhitch.transport.http_server import serve

from .loopback import HOSTS

POOL = "pool-1"
HOST = b"jobs.example"
PREFIX = "/queue/"
HEARTBEAT_INTERVAL_S = 0.2
READY_TIMEOUT_S = 10.0
LINK_PORT = 7_700
BOUNDS = Bounds(2_000, 1_000, 50, 1_300, 6_000, 2_000)
LEASE_TIMES = LeaseTimes.from_bounds(BOUNDS)


def configuration(version=1, prefixes=(PREFIX,), attempts=2):
    """Return the operator's configuration with a route for each prefix."""
    return {
        "version": version,
        "routes": [
            {
                "name": f"r{number}",
                "host": HOST.decode(),
                "path_prefix": prefix,
                "kind": "non_idempotent",
                "timeout_ms": 1_500,
                "target_latency_ms": 60,
                "priority": number,
                "service": POOL,
                "max_attempts": attempts,
                "stretch": 1.6,
            }
            for number, prefix in enumerate(prefixes)
        ],
        "services": [{"name": POOL, "admission_check": False}],
        "limits": {"max_body_bytes": 10_000},
    }


ROLES = {run_entry: ROLE_ENTRY, run_agent: ROLE_AGENT}


class Process:
    """An entry or an agent as a task, with its own stop signals."""

    def __init__(self, role, settings):
        self.settings = settings
        self.signals = StopSignals()
        member = settings.new_member(ROLES[role])
        running = role(settings, member, Clock(), lambda: self.signals)
        self.task = asyncio.create_task(running)

    async def kill(self):
        """Cancel the task, without the drain of an orderly stop."""
        self.task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await self.task


class LoopbackDeployment:
    """A store, endpoints with agents, and entries, each with its own addresses."""

    def __init__(self, entries=2, agents=2):
        self.store = RowsStandIn()
        self.endpoints = [
            RunEndpointStandIn(f"i-{number}", POOL) for number in range(agents)
        ]
        self.entries = []
        self.agents = []
        self._entry_count = entries
        self._servers = []
        self._heartbeat_tasks = []
        self._clock = Clock()
        self._store_address = None

    async def start(self):
        """Start everything and wait until each entry can use all agents."""
        self.configure(configuration())
        store = self._store_address = await self._serve(self.store)
        for number in range(self._entry_count):
            settings = self._settings(f"entry-{number}", store, front=True)
            self.entries.append(Process(run_entry, settings))
        for number, endpoint in enumerate(self.endpoints):
            address = await self._serve(endpoint)
            endpoint.reset_connections = self._servers[-1].reset_connections
            settings = self._settings(f"agent-{number}", store, endpoint=address)
            self.agents.append(Process(run_agent, settings))
            self._heartbeat_tasks.append(None)
            self.begin_heartbeats(number)
        async with asyncio.timeout(READY_TIMEOUT_S):
            for entry in self.entries:
                while await self.count_ready_agents(entry) < len(self.agents):
                    await asyncio.sleep(0.05)

    async def aclose(self):
        """Stop everything."""
        for task in self._heartbeat_tasks:
            task.cancel()
        for process in (*self.entries, *self.agents):
            await process.kill()
        for server in self._servers:
            await server.aclose(grace_ms=0)

    def configure(self, document):
        """Write the operator's configuration."""
        self.store.put(OPERATOR_TABLE, "config", msgspec.json.encode(document))

    async def count_ready_agents(self, entry):
        """Return the number of agents that an entry's metrics show as ready."""
        for line in (await self.metrics(entry)).splitlines():
            if line.startswith("plantainhitch_agents_ready "):
                return int(line.split()[1])
        return 0

    async def metrics(self, process):
        """Return the metrics page of a process, empty if it doesn't answer."""
        client = HttpClient(process.settings.metrics, self._clock)
        answer = await client.request(b"GET", b"/metrics")
        client.close()
        return answer.body.decode() if hasattr(answer, "body") else ""

    async def call(self, method, path, body=b"", entry=0, headers=()):
        """Send one request to an entry's front address; return the response."""
        client = HttpClient(self.entries[entry].settings.front, self._clock)
        client._host = HOST
        answer = await client.request(
            method.encode(), path.encode(), body, headers, timeout_ms=10_000
        )
        client.close()
        return answer

    async def submit(self, job_id, run_ms=50, tasks=1, entry=0, **fields):
        """Submit a job and return the response, which comes when the job has ended."""
        step = {"count": tasks, "cpu": 1_000, "mem_mb": 10, "est_runtime_ms": run_ms}
        job = {"spec": str(run_ms), "steps": [step | fields], "best_effort": True}
        return await self.call("POST", PREFIX + job_id, msgspec.json.encode(job), entry)

    def _settings(self, name, store, front=False, endpoint=None):
        host = HOSTS.next_host()
        return Deployment(
            name=name,
            zone="z1",
            region="r1",
            pool=POOL if endpoint else "",
            link=Address(host, LINK_PORT),
            metrics=Address(host, LINK_PORT + 1),
            front=Address(host, LINK_PORT + 2) if front else None,
            readiness=Address(host, LINK_PORT + 3) if front else None,
            heartbeats=Address(host, LINK_PORT + 4) if endpoint else None,
            endpoint=endpoint,
            store=store,
            seeds=tuple(entry.settings.link.host for entry in self.entries),
            bounds=BOUNDS,
        )

    def stop_heartbeats(self, number):
        """Let the endpoint with that number send no more heartbeats."""
        self._heartbeat_tasks[number].cancel()

    def begin_heartbeats(self, number):
        """Let the endpoint with that number send heartbeats again."""
        address = self.agents[number].settings.heartbeats
        heartbeats = self._send_heartbeats(self.endpoints[number], address)
        self._heartbeat_tasks[number] = asyncio.create_task(heartbeats)

    async def restart_agent(self, number, with_heartbeats=True):
        """Kill an agent and start it again with the same name and addresses."""
        if not with_heartbeats:
            self.stop_heartbeats(number)
        old = self.agents[number]
        await old.kill()
        self.agents[number] = Process(run_agent, old.settings)

    async def add_entry(self):
        """Start another entry, with the existing ones as its seeds."""
        settings = self._settings("entry-new", self._store_address, front=True)
        self.entries.append(Process(run_entry, settings))
        async with asyncio.timeout(READY_TIMEOUT_S):
            while await self.count_ready_agents(self.entries[-1]) < len(self.agents):
                await asyncio.sleep(0.05)

    async def _serve(self, app):
        server = await serve(app, Address("127.0.0.1", 0))
        self._servers.append(server)
        return server.address

    async def _send_heartbeats(self, endpoint, address):
        client = HttpClient(address, self._clock)
        while True:
            path, body = endpoint.heartbeat()
            await client.request(b"PUT", path.encode(), body)
            await asyncio.sleep(HEARTBEAT_INTERVAL_S)
