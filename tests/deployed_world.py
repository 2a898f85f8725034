"""Deployed programs as separate processes, for the soak of their promises.

A ``World`` keeps stand-ins for the store and the endpoints, forwarders on the way to
links, store and endpoints, and callers that submit jobs as the platform's do.
``violations`` compares what callers were told with what endpoints have begun.
"""

import asyncio
import itertools
import os
import signal
import sys
import tempfile
import time
from dataclasses import dataclass, field
from pathlib import Path

import httpx
import msgspec

from plantainhitch.clock import Clock
from plantainhitch.platform.store import OPERATOR_TABLE
from plantainhitch.standins.run_endpoint import RunEndpointStandIn
from plantainhitch.standins.store_rows import RowsStandIn
from plantainhitch.transport.addresses import Address
from plantainhitch.transport.http_client import HttpClient, HttpResponse
from plantainhitch.transport.http_server import serve

from .deployed_process import LINK_OFFSET
from .deployment import BOUNDS, HOST, POOL, configuration
from .harness import ROOT, Forwarder, Process

CPU_MILLIS = 4_000
ATTEMPTS = 2
BEAT_S = 0.2
BEAT_LIMIT_MS = 1_000
# Callers submit again this long after a lost answer, as often as this.
RESUBMIT_S = BOUNDS.resubmit_ms / 1_000
TRIES = 4
PATIENCE_S = 8.0
# Within this time after all faults are over, every entry has to serve.
RECOVERY_S = 12.0
CONFIGURATION_S = BOUNDS.configuration_ms / 1_000
LINK_PORT = 7_700
_hosts = itertools.count(1)


@dataclass(eq=False)
class TaskRun:
    """One run as the endpoint saw it; ``ended`` is None while it is at work."""

    task: str
    run: int
    payload: str
    endpoint: str
    began: float
    ended: float | None = None
    how: str = ""


@dataclass
class Submission:
    """One job, and the status of each try: 0 where no whole answer came."""

    job_id: str
    payload: str
    tasks: int
    statuses: list[int] = field(default_factory=list)
    state: str = ""


class LedgerEndpoint(RunEndpointStandIn):
    """An endpoint that keeps when each run began and ended."""

    def __init__(self, name):
        super().__init__(name, POOL, CPU_MILLIS)
        self.runs = []
        self.draining_since = None
        # Starts that came later than the bound after a known heartbeat of draining.
        self.late_starts = []

    def _start(self, task, run, payload):
        now, since = time.monotonic(), self.draining_since
        if since is not None and now > since + BOUNDS.drain_ms / 1_000:
            self.late_starts.append(task)
        self.runs.append(TaskRun(task, run, payload, self.name, now))
        super()._start(task, run, payload)

    def _end(self, task, how):
        for run in self.runs:
            if run.task == task and run.ended is None:
                run.ended, run.how = time.monotonic(), how
        super()._end(task, how)

    def crash(self):
        """End everything at once and begin a new lifetime."""
        for task in list(self._running):
            self._end(task, "crash")
        self.draining, self.draining_since = False, None
        super().crash()


class Node:
    """One program of ours with the forwarders before it and behind it."""

    def __init__(self, role, name, folder):
        self.role, self.name = role, name
        number = next(_hosts)
        self.host = f"127.{os.getpid() % 100 + 100}.{number // 250}.{number % 250 + 1}"
        self.link = self.store = self.endpoint = None
        self.process = None
        self._starts = 0
        self._settings = folder / f"{name}.toml"
        self.log = folder / f"{name}.log"

    def address(self, offset):
        """Return an address of the node."""
        return f"{self.host}:{LINK_PORT + offset}"

    async def prepare(self, store, seeds, endpoint=None):
        """Open the forwarders and write the settings file."""
        self.link = await Forwarder.start(self.host, LINK_PORT)
        self.link.target = self.address(LINK_OFFSET)
        self.store = await Forwarder.start()
        self.store.target = str(store)
        lines = [
            f'node = "{self.name}"',
            'zone = "z1"\nregion = "r1"',
            f'ip = "{self.host}"',
            f"port_range = [{LINK_PORT}, {LINK_PORT + 15}]",
            f"seeds = {msgspec.json.encode(seeds).decode()}",
            "heartbeat_ms = 200",
        ]
        listen = [f'control = "{self.address(4)}"']
        if endpoint is None:
            listen.append(f'front = "{self.address(2)}"')
            listen.append(f'readiness = "{self.address(3)}"')
        else:
            self.endpoint = await Forwarder.start()
            self.endpoint.target = str(endpoint)
            lines.append(f'app = "{self.endpoint.address}"\nservice = "{POOL}"')
        lines += ["[listen]", *listen, "[platform]", f'addr = "{self.store.address}"']
        lines += [
            "[bounds]",
            f"drain_ms = {BOUNDS.drain_ms}",
            f"hold_max_ms = {BOUNDS.lease_ms}",
            f"stop_timeout_ms = {BOUNDS.stop_ms}",
            f"retransmit_ms = {BOUNDS.resubmit_ms}",
            f"grace_s = {BOUNDS.shutdown_ms / 1_000}",
            f"config_apply_ms = {BOUNDS.configuration_ms}",
        ]
        self._settings.write_text("\n".join(lines), encoding="utf-8")

    @property
    def has_started(self):
        """Whether the process has said that it started."""
        return self.log.read_bytes().count(b'"message":"started"') == self._starts

    async def start(self):
        """Start the program."""
        self._starts += 1
        with self.log.open("ab") as log:
            child = await asyncio.create_subprocess_exec(
                *(sys.executable, "-m", "tests.deployed_process", self.role),
                cwd=ROOT,
                env=os.environ | {"PLANTAINHITCH_CONFIG": str(self._settings)},
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self.process = Process(self.name, child, {}, self.log)

    def heal(self):
        """End all faults of connections, and let the process go on."""
        for forwarder in (self.link, self.store, self.endpoint):
            if forwarder is not None:
                forwarder.heal()
        self.process.send_signal(signal.SIGCONT)

    async def aclose(self):
        """End the process and the forwarders."""
        if self.process is not None:
            await self.process.kill()
        for forwarder in (self.link, self.store, self.endpoint):
            if forwarder is not None:
                await forwarder.aclose()


class World:
    """Entries, agents, endpoints, the store and callers."""

    def __init__(self, rng, entries=2, agents=4):
        self.rng = rng
        self.store = RowsStandIn()
        self.endpoints = [LedgerEndpoint(f"i-{n}") for n in range(agents)]
        self.submissions = []
        self.problems = []
        self.version = 1
        self._folder = tempfile.TemporaryDirectory(prefix="plantainhitch-soak-")
        folder = Path(self._folder.name)
        self.entries = [
            Node("deployed-entry", f"entry-{n}", folder) for n in range(entries)
        ]
        self.agents = [
            Node("deployed-agent", f"agent-{n}", folder) for n in range(agents)
        ]
        self._servers = []
        self._tasks = []
        self._prefixes = ["/queue/"]
        self._http = httpx.AsyncClient(
            headers={"Host": HOST.decode()}, timeout=PATIENCE_S + 2
        )

    @property
    def nodes(self):
        """All programs of ours."""
        return [*self.entries, *self.agents]

    async def __aenter__(self):
        self.configure()
        store = await self._serve(self.store)
        seeds = [entry.address(4) for entry in self.entries]
        for entry in self.entries:
            await entry.prepare(store, seeds)
        for agent, endpoint in zip(self.agents, self.endpoints, strict=True):
            await agent.prepare(store, seeds, await self._serve(endpoint))
            beat = self._beat(endpoint, Address.from_text(agent.address(4)))
            self._tasks.append(asyncio.create_task(beat))
        for node in self.nodes:
            await node.start()
        await self.recover("the start")
        return self

    async def __aexit__(self, *error):
        for task in self._tasks:
            task.cancel()
        for node in self.nodes:
            await node.aclose()
        for server in self._servers:
            await server.aclose(grace_ms=0)
        await self._http.aclose()
        self._folder.cleanup()

    def configure(self, prefix=None):
        """Write a newer configuration, with one more route where a prefix is given."""
        self.version += self.rng.randint(1, 5)
        if prefix:
            self._prefixes.append(prefix)
        document = configuration(self.version, self._prefixes, ATTEMPTS)
        self.store.put(OPERATOR_TABLE, "config", msgspec.json.encode(document))

    async def submit(self, entry=None, tasks=None, run_ms=None, prefix="/queue/"):
        """Submit a job as a caller does, again after a lost answer; return it."""
        tasks = tasks or self.rng.choice((1, 1, 2, 4))
        run_ms = run_ms or self.rng.choice((30, 80, 200, 700))
        job = Submission(f"{self.rng.getrandbits(64):016x}", str(run_ms), tasks)
        self.submissions.append(job)
        step = {"count": tasks, "cpu": 1_000, "mem_mb": 10, "est_runtime_ms": run_ms}
        body = {"spec": job.payload, "steps": [step], "best_effort": True}
        for _ in range(TRIES):
            target = entry or self.rng.choice(self.entries)
            status, answer = await self._post(target, prefix + job.job_id, body)
            job.statuses.append(status)
            if status == 200:
                job.state = answer["state"]
            if status not in (0, 502, 504):
                break
            await asyncio.sleep(RESUBMIT_S)
        return job

    async def recover(self, after):
        """Wait until every entry serves a job again; note it where one does not."""
        limit = time.monotonic() + RECOVERY_S
        for entry in self.entries:
            served = False
            while not served and time.monotonic() < limit:
                job = await self.submit(entry, tasks=1, run_ms=30)
                served = job.state == "completed"
                if not served:
                    await asyncio.sleep(0.2)
            if not served:
                self.problems.append(f"{entry.name} does not serve after {after}")

    async def check_configuration(self):
        """Add a route and note the entries that don't know it in time."""
        prefix = f"/queue-{self.version}/"
        self.configure(prefix)
        await asyncio.sleep(CONFIGURATION_S)
        for entry in self.entries:
            job = await self.submit(entry, tasks=1, run_ms=30, prefix=prefix)
            if 404 in job.statuses:
                self.problems.append(f"{entry.name} does not know {prefix}")

    def violations(self):
        """Return what was broken so far, as lines of text."""
        runs = [run for endpoint in self.endpoints for run in endpoint.runs]
        found = [*self.problems, *overlaps(runs)]
        by_job = {}
        for run in runs:
            by_job.setdefault(run.task.split(".")[0], []).append(run)
        for job in self.submissions:
            found.extend(broken_promises(job, by_job.pop(job.job_id, [])))
        found.extend(f"nobody submitted {job_id}" for job_id in by_job)
        for endpoint in self.endpoints:
            if endpoint.peak_cpu_millis > CPU_MILLIS:
                found.append(
                    f"{endpoint.name} over its room: {endpoint.peak_cpu_millis}"
                )
            for task in endpoint.late_starts:
                found.append(f"{endpoint.name} began {task} while it drained")
        return found

    async def _post(self, entry, path, body):
        url = f"http://{entry.address(2)}{path}"
        headers = {"X-Deadline-Ms": str(int(PATIENCE_S * 1_000))}
        try:
            answer = await self._http.post(url, json=body, headers=headers)
            return answer.status_code, answer.json()
        except (httpx.HTTPError, ValueError):
            return 0, {}

    async def _serve(self, app):
        server = await serve(app, Address("127.0.0.1", 0))
        self._servers.append(server)
        return server.address

    async def _beat(self, endpoint, address):
        client = HttpClient(address, Clock())
        while True:
            path, body = endpoint.heartbeat()
            is_draining = endpoint.draining
            answer = await client.request(
                b"PUT", path.encode(), body, timeout_ms=BEAT_LIMIT_MS
            )
            is_known = isinstance(answer, HttpResponse) and answer.status == 200
            if is_known and is_draining and endpoint.draining_since is None:
                endpoint.draining_since = time.monotonic()
            endpoint.expire_lease()
            await asyncio.sleep(BEAT_S)


def overlaps(runs):
    """Yield the tasks that were at work twice at the same time."""
    by_task = {}
    for run in runs:
        by_task.setdefault(run.task, []).append(run)
    for task, known in by_task.items():
        known.sort(key=lambda run: run.began)
        for first, second in itertools.pairwise(known):
            if first.ended is None or first.ended > second.began:
                yield (
                    f"{task} ran twice at once: run {first.run} at {first.endpoint}, "
                    f"run {second.run} at {second.endpoint}"
                )


def broken_promises(job, runs):
    """Yield what an answer said that the endpoints don't bear out."""
    if any(run.payload != job.payload for run in runs):
        yield f"{job.job_id} ran with another payload"
    if runs and job.statuses and all(status == 503 for status in job.statuses):
        yield f"{job.job_id} was refused as not run, and ran"
    done = {run.task for run in runs if run.how == "done"}
    if job.state == "completed" and len(done) < job.tasks:
        yield f"{job.job_id} completed with {len(done)} of {job.tasks} tasks done"
    failures = {}
    for run in runs:
        failures[run.task] = failures.get(run.task, 0) + (run.how == "failed")
    if job.state == "failed" and max(failures.values(), default=0) < ATTEMPTS:
        yield f"{job.job_id} failed after {failures} failures"
