"""The deployed programs as separate processes, for the soak under faults.

A ``World`` has stand-ins for the store and the endpoints, forwarders in front of links,
store and endpoints, and callers that submit jobs as those of the platform do.
``violations`` compares the answers to callers with the runs at the endpoints.
"""

import asyncio
import contextlib
import copy
import itertools
import os
import re
import signal
import sys
import tempfile
import time
from dataclasses import dataclass, field
from datetime import UTC, datetime
from pathlib import Path

import httpx
import msgspec

from plantainhitch.clock import Clock
from plantainhitch.platform.configuration import EVACUATION_PREFIX
from plantainhitch.platform.store import OPERATOR_TABLE
from plantainhitch.standins.run_endpoint import DEADLY_PAYLOAD, RunEndpointStandIn
from plantainhitch.standins.store_rows import RowsStandIn
from plantainhitch.transport.addresses import Address
from plantainhitch.transport.asgi import (
    MAX_SMALL_BODY_BYTES,
    read_body,
    wait_for_disconnect,
)
from plantainhitch.transport.http_client import HttpClient, HttpResponse
from plantainhitch.transport.http_server import serve

from .deployed_process import LINK_PORT_OFFSET
from .deployment import BOUNDS, HOST, POOL, configuration
from .harness import ROOT, Forwarder, Process
from .loopback import HOSTS
from .odd_values import odd_documents

CPU_MILLIS = 4_000
MAX_ATTEMPTS = 2
# A task may be given up after so many crashes of endpoints, and is to be started less
# than three times after three of them.
CRASHES_TO_GIVE_UP = 2
MAX_STARTS_AFTER_CRASHES = (3, 2)
# A capacity that has shrunk counts after this and one heartbeat.
CONTACT_S = 3.0
HEARTBEAT_INTERVAL_S = 0.2
HEARTBEAT_TIMEOUT_MS = 1_000
# Callers resubmit this long after a lost answer, up to this many submissions in all.
RESUBMIT_DELAY_S = BOUNDS.resubmit_ms / 1_000
SUBMIT_ATTEMPTS = 4
CALLER_TIMEOUT_S = 8.0
# Every entry has to serve jobs within this time after the last fault has ended.
RECOVERY_TIMEOUT_S = 12.0
CONFIGURATION_APPLY_S = BOUNDS.configuration_ms / 1_000
LINK_PORT = 7_700
# Nothing starts in a zone from this long after its row was stored.
EVACUATE_S = 5.0
START_CHECK_INTERVAL_S = 0.02
LOOP_CHECK_INTERVAL_S = 0.05
REPORTED_LOOP_DELAY_S = 0.3
# For many processes on a busy machine.
START_TIMEOUT_S = 60.0
# The programs load this long before their event loop runs.
EARLY_LIBRARY = "msgspec"
# Of SIGHUP in the masks of a process.
SIGNAL_BIT = 1 << signal.SIGHUP - 1


@dataclass(eq=False)
class TaskRun:
    """One run at an endpoint; ``ended_s`` is None while it is running.

    Times are seconds of the monotonic clock.
    """

    task: str
    run: int
    payload: str
    endpoint: str
    began_s: float
    ended_s: float | None = None
    outcome: str = ""
    # Of the endpoint's lifetime in which it began.
    labels: tuple = ()


@dataclass(eq=False)
class Evacuation:
    """The time for which a zone's row was in the store, in s of the monotonic clock."""

    zone: str
    began_s: float
    ended_s: float | None = None


@dataclass
class Submission:
    """One job, and the HTTP status of each submission, 0 where no answer was read."""

    job_id: str
    payload: str
    tasks: int
    statuses: list[int] = field(default_factory=list)
    state: str = ""
    # The label that its tasks need, if any.
    label: str = ""
    # The entry of the latest submission.
    entry: "Node | None" = None


class LedgerEndpoint(RunEndpointStandIn):
    """An endpoint that records when each run began and ended.

    ``unanswered_stops`` is the number of next stop orders that are applied after
    ``late_stop_s`` without an answer. No heartbeats are sent before ``silent_until_s``,
    in s of the monotonic clock.
    """

    def __init__(self, name, zone="z1"):
        super().__init__(name, POOL, CPU_MILLIS)
        self.zone = zone
        self.runs = []
        self.draining_since = None
        # Tasks started later than ``drain_ms`` after the agent had acknowledged a
        # heartbeat that said that the endpoint drains.
        self.late_starts = []
        # Starts that brought the endpoint over its capacity.
        self.excess_starts = []
        self.unanswered_stops = 0
        self.late_stop_s = 0.0
        self.silent_until_s = 0.0
        self._capacities = [(0.0, CPU_MILLIS)]

    async def __call__(self, scope, receive, send):
        """Serve one request."""
        if self.unanswered_stops and scope["path"] == "/run-stop":
            self.unanswered_stops -= 1
            order = msgspec.json.decode(await read_body(receive, MAX_SMALL_BODY_BYTES))
            await asyncio.sleep(self.late_stop_s)
            self._handle_order("/run-stop", order)
            await wait_for_disconnect(receive)
            return
        await super().__call__(scope, receive, send)

    def resize(self, cpu_millis):
        """Change the capacity, which the next heartbeat says."""
        self.cpu_millis = cpu_millis
        self._capacities.append((time.monotonic(), cpu_millis))

    def _counting_capacity(self, now):
        """Return the largest capacity that an agent may still take for valid."""
        since = now - CONTACT_S - HEARTBEAT_INTERVAL_S
        valid_until = [*(at for at, _ in self._capacities[1:]), now]
        return max(
            millis
            for (_, millis), until in zip(self._capacities, valid_until, strict=True)
            if until >= since
        )

    def _start(self, task, run, payload):
        now, since = time.monotonic(), self.draining_since
        if since is not None and now > since + BOUNDS.drain_ms / 1_000:
            self.late_starts.append(task)
        task_run = TaskRun(task, run, payload, self.name, now, labels=self.labels)
        self.runs.append(task_run)
        super()._start(task, run, payload)
        if 1_000 * len(self._running) > self._counting_capacity(now):
            self.excess_starts.append(task)

    def _end(self, task, outcome):
        for run in self.runs:
            if run.task == task and run.ended_s is None:
                run.ended_s, run.outcome = time.monotonic(), outcome
        super()._end(task, outcome)

    def crash(self, labels=None, cpu_millis=None):
        """End all runs at once and begin a new lifetime, see the base class."""
        for task in list(self._running):
            self._end(task, "crash")
        self.draining, self.draining_since = False, None
        if cpu_millis:
            self._capacities = [(0.0, cpu_millis)]
        super().crash(labels, cpu_millis)


class Node:
    """One entry or agent process with the forwarders of its connections.

    ``link`` forwards to its link address, ``front`` to the address for callers,
    ``store`` and ``endpoint`` from it to those.
    """

    module = "tests.deployed_process"

    def __init__(self, role, name, folder, zone):
        self.role, self.name, self.zone = role, name, zone
        self.host = HOSTS.next_host()
        self.link = self.front = self.store = self.endpoint = None
        self.process = None
        self._following = None
        # Where the latest process begins in the log.
        self._log_start = 0
        self._start_lock = asyncio.Lock()
        self._settings = folder / f"{name}.toml"
        self.log = folder / f"{name}.log"

    def address(self, offset):
        """Return the node's address at an offset from its first port."""
        return f"{self.host}:{LINK_PORT + offset}"

    async def prepare(self, store, seeds, endpoint=None):
        """Start the forwarders and write the settings file.

        With the address of an endpoint, the settings are those of an agent.
        """
        self.link = await Forwarder.start(self.host, LINK_PORT)
        self.link.target = self.address(LINK_PORT_OFFSET)
        self.store = await Forwarder.start()
        self.store.target = str(store)
        if endpoint is None:
            self.front = await Forwarder.start()
            self.front.target = self.address(2)
        else:
            self.endpoint = await Forwarder.start()
            self.endpoint.target = str(endpoint)
        self._write_settings(seeds)

    def _write_settings(self, seeds):
        lines = [
            f'node = "{self.name}"',
            f'zone = "{self.zone}"\nregion = "r1"',
            f'ip = "{self.host}"',
            f"port_range = [{LINK_PORT}, {LINK_PORT + 15}]",
            f"seeds = {msgspec.json.encode(seeds).decode()}",
            "heartbeat_ms = 200",
        ]
        listen = [f'control = "{self.address(4)}"']
        if self.endpoint is None:
            listen.append(f'front = "{self.front.target}"')
            listen.append(f'readiness = "{self.address(3)}"')
        else:
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
    def _forwarders(self):
        forwarders = (self.link, self.front, self.store, self.endpoint)
        return [forwarder for forwarder in forwarders if forwarder is not None]

    @property
    def handles_signals(self):
        """Whether the latest process has got beyond the interpreter's own start."""
        with contextlib.suppress(OSError):
            status = Path(f"/proc/{self.process.pid}/status").read_text("ascii")
            masks = re.findall(r"^Sig(?:Blk|Cgt):\s*(\w+)", status, re.MULTILINE)
            return any(int(mask, 16) & SIGNAL_BIT for mask in masks)
        return False

    @property
    def is_loading(self):
        """Whether the latest process has begun to load its libraries."""
        with contextlib.suppress(OSError):
            maps = Path(f"/proc/{self.process.pid}/maps").read_text("utf-8")
            return EARLY_LIBRARY in maps
        return False

    @property
    def has_started(self):
        """Whether the latest process has logged that it started."""
        with self.log.open("rb") as log:
            log.seek(self._log_start)
            return b'"message":"started"' in log.read()

    async def start(self):
        """Start a process of the program, unless another fault has started one."""
        async with self._start_lock:
            if self.process is None or not self.process.is_running:
                await self._start_process()

    async def _start_process(self):
        self._set_down(True)
        with self.log.open("ab") as log:
            self._log_start = log.tell()
            process = await asyncio.create_subprocess_exec(
                *(sys.executable, "-m", self.module, self.role),
                cwd=ROOT,
                env=os.environ | {"PLANTAINHITCH_CONFIG": str(self._settings)},
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self.process = Process(self.name, process, {}, self.log)
        if self._following is not None:
            self._following.cancel()
        self._following = asyncio.create_task(self._follow(self.process))

    async def _follow(self, process):
        """Refuse connections while the process is down, as its host does."""
        ended = asyncio.create_task(process.wait(timeout_s=None))
        while not (self.has_started or ended.done()):
            await asyncio.sleep(START_CHECK_INTERVAL_S)
        self._set_down(ended.done())
        await ended
        self._set_down(True)

    def _set_down(self, is_down):
        for forwarder in (self.link, self.front):
            if forwarder is not None:
                forwarder.is_target_down = is_down

    def heal(self):
        """End all connection faults and resume the process."""
        for forwarder in self._forwarders:
            forwarder.heal()
        self.process.send_signal(signal.SIGCONT)

    async def aclose(self):
        """Kill the process and close the forwarders."""
        if self.process is not None:
            await self.process.kill()
            await self._following
        for forwarder in self._forwarders:
            await forwarder.aclose()


class World:
    """Entries, agents, endpoints, the store and callers; use it in ``async with``.

    Entries and agents are distributed over ``zones`` in turn.
    """

    def __init__(self, rng, entries=2, agents=4, zones=("z1",)):
        self.rng = rng
        # For faults whose draws must not depend on the traffic's.
        self.fault_rng = copy.copy(rng)
        self.zones = zones
        self.evacuations = []
        self.store = RowsStandIn()
        self.endpoints = [
            LedgerEndpoint(f"i-{n}", zones[n % len(zones)]) for n in range(agents)
        ]
        self.submissions = []
        self.problems = []
        # Faults as (time in s of the monotonic clock, text).
        self.events = []
        # The longest delay of the stand-ins' and callers' own event loop.
        self.max_loop_delay_s = 0.0
        self.version = 1
        self._folder = tempfile.TemporaryDirectory(prefix="plantainhitch-soak-")
        folder = Path(self._folder.name)
        self.entries = [
            Node("deployed-entry", f"entry-{n}", folder, zones[n % len(zones)])
            for n in range(entries)
        ]
        self.agents = [
            Node("deployed-agent", f"agent-{n}", folder, zones[n % len(zones)])
            for n in range(agents)
        ]
        self._servers = []
        self._tasks = []
        self._prefixes = ["/queue/"]
        self._http = httpx.AsyncClient(
            headers={"Host": HOST.decode()}, timeout=CALLER_TIMEOUT_S + 2
        )

    @property
    def nodes(self):
        """All entries and agents."""
        return [*self.entries, *self.agents]

    def owners_at_work(self):
        """Return the pairs of an entry and an agent with a long run of its jobs.

        The run has more time left than callers wait before they submit again.
        """
        owners = {job.job_id: job.entry for job in self.submissions}
        least_s = time.monotonic() + RESUBMIT_DELAY_S
        return [
            (owners[run.task.split(".")[0]], agent)
            for agent, endpoint in zip(self.agents, self.endpoints, strict=True)
            for run in endpoint.runs
            if run.task.split(".")[0] in owners
            and run.ended_s is None
            and run.payload.isdigit()
            and run.began_s + int(run.payload) / 1_000 > least_s
        ]

    def add_event(self, text):
        """Record a fault that begins now."""
        self.events.append((time.monotonic(), text))

    def history(self):
        """Return the faults and runs by UTC time, one a line."""
        events = list(self.events)
        for endpoint in self.endpoints:
            for run in endpoint.runs:
                text = f"{run.task} run {run.run} at {endpoint.name}"
                events.append((run.began_s, f"{text} begins, {run.payload} ms"))
                if run.ended_s is not None:
                    events.append((run.ended_s, f"{text} ends {run.outcome}"))
        offset_s = time.time() - time.monotonic()
        return "".join(
            f"{datetime.fromtimestamp(at_s + offset_s, UTC).isoformat()} {text}\n"
            for at_s, text in sorted(events)
        )

    async def _watch_loop(self):
        while True:
            due_s = time.monotonic() + LOOP_CHECK_INTERVAL_S
            await asyncio.sleep(LOOP_CHECK_INTERVAL_S)
            delay_s = time.monotonic() - due_s
            self.max_loop_delay_s = max(self.max_loop_delay_s, delay_s)
            if delay_s > REPORTED_LOOP_DELAY_S:
                self.add_event(f"the world's own event loop was {delay_s:.2f} s late")

    async def __aenter__(self):
        self._tasks.append(asyncio.create_task(self._watch_loop()))
        self.configure()
        store = await self._serve(self.store)
        seeds = [entry.address(4) for entry in self.entries]
        for entry in self.entries:
            await entry.prepare(store, seeds)
        for agent, endpoint in zip(self.agents, self.endpoints, strict=True):
            await agent.prepare(store, seeds, await self._serve(endpoint))
            endpoint.reset_connections = self._servers[-1].reset_connections
            heartbeats = self._send_heartbeats(
                endpoint, Address.from_text(agent.address(4))
            )
            self._tasks.append(asyncio.create_task(heartbeats))
        for node in self.nodes:
            await node.start()
        async with asyncio.timeout(START_TIMEOUT_S):
            while not all(node.has_started for node in self.nodes):
                await asyncio.sleep(START_CHECK_INTERVAL_S)
        await self.check_recovery("the start")
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
        """Write a newer configuration, with an additional route for ``prefix``."""
        self.version += self.rng.randint(1, 5)
        if prefix:
            self._prefixes.append(prefix)
        document = configuration(self.version, self._prefixes, MAX_ATTEMPTS)
        self.store.put(OPERATOR_TABLE, "config", msgspec.json.encode(document))

    @property
    def is_evacuating(self):
        """Whether a zone is evacuated."""
        return any(evacuation.ended_s is None for evacuation in self.evacuations)

    def evacuate(self, zone, value=b"{}"):
        """Write the row that evacuates a zone."""
        self.store.put(OPERATOR_TABLE, EVACUATION_PREFIX + zone, value)
        self.evacuations.append(Evacuation(zone, time.monotonic()))

    def end_evacuation(self, zone):
        """Remove the row of a zone."""
        for evacuation in self.evacuations:
            if evacuation.zone == zone and evacuation.ended_s is None:
                evacuation.ended_s = time.monotonic()
        self.store.remove(OPERATOR_TABLE, EVACUATION_PREFIX + zone)

    async def submit(
        self,
        entry=None,
        tasks=None,
        run_ms=None,
        prefix="/queue/",
        is_deadly=False,
        next_entry=None,
        label="",
    ):
        """Submit a job as a caller does, with resubmissions; return its record.

        Resubmissions go to ``next_entry`` if given, else to ``entry`` or, without that,
        to any. Each task of a deadly job crashes the endpoints that start it. Its tasks
        need an endpoint with ``label``, if given.
        """
        tasks = tasks or self.rng.choice((1, 1, 2, 4))
        run_ms = run_ms or self.rng.choice((30, 80, 200, 700))
        payload = DEADLY_PAYLOAD if is_deadly else str(run_ms)
        job_id = f"{self.rng.getrandbits(64):016x}"
        job = Submission(job_id, payload, tasks, label=label)
        self.submissions.append(job)
        step = {"count": tasks, "cpu": 1_000, "mem_mb": 10, "est_runtime_ms": run_ms}
        if label:
            step["constraints"] = label
        body = {"spec": job.payload, "steps": [step], "best_effort": True}
        for _ in range(SUBMIT_ATTEMPTS):
            target = job.entry = entry or self.rng.choice(self.entries)
            status, answer = await self._post(target, prefix + job.job_id, body)
            job.statuses.append(status)
            if status == 200:
                job.state = answer["state"]
            if status not in (0, 502, 504):
                break
            await asyncio.sleep(RESUBMIT_DELAY_S)
            entry = next_entry or entry
        return job

    async def send_odd_heartbeats(self, number, rng):
        """Send the agent of this number heartbeats that its endpoint has not sent."""
        path, body = self.endpoints[number].heartbeat()
        document = msgspec.json.decode(body)
        other_birth = document["born"] + rng.randint(-1_000, 1_000_000)
        newer = document | {"born": other_birth, "seq": document["seq"] + 1}
        bodies = [data for _, data in odd_documents(newer)]
        bodies = [*rng.sample(bodies, 3), msgspec.json.encode(newer)]
        address = Address.from_text(self.agents[number].address(4))
        client = HttpClient(address, Clock())
        for data in bodies:
            target = rng.choice((path, "/instances/i-unknown"))
            await client.request(
                b"PUT", target.encode(), data, timeout_ms=HEARTBEAT_TIMEOUT_MS
            )
        await client.aclose()

    async def check_recovery(self, after):
        """Wait until every entry completes a job; record a problem if one doesn't."""
        deadline_s = time.monotonic() + RECOVERY_TIMEOUT_S
        for entry in self.entries:
            is_serving = False
            while not is_serving and time.monotonic() < deadline_s:
                job = await self.submit(entry, tasks=1, run_ms=30)
                is_serving = job.state == "completed"
                if not is_serving:
                    await asyncio.sleep(0.2)
            if not is_serving:
                self.problems.append(f"{entry.name} does not serve after {after}")

    async def check_configuration(self):
        """Add a route; record a problem for each entry that lacks it in time."""
        prefix = f"/queue-{self.version}/"
        self.configure(prefix)
        await asyncio.sleep(CONFIGURATION_APPLY_S)
        for entry in self.entries:
            job = await self.submit(entry, tasks=1, run_ms=30, prefix=prefix)
            if 404 in job.statuses:
                self.problems.append(f"{entry.name} does not know {prefix}")

    def violations(self):
        """Return a text for each violation so far."""
        runs = [run for endpoint in self.endpoints for run in endpoint.runs]
        found_violations = [*self.problems, *overlapping_runs(runs)]
        by_job = {}
        for run in runs:
            by_job.setdefault(run.task.split(".")[0], []).append(run)
        for job in self.submissions:
            found_violations.extend(contradictions(job, by_job.pop(job.job_id, [])))
        found_violations.extend(
            f"no caller submitted job {job_id}" for job_id in by_job
        )
        found_violations.extend(excessive_starts(runs))
        found_violations.extend(evacuated_starts(self.evacuations, self.endpoints))
        for endpoint in self.endpoints:
            if endpoint.peak_cpu_millis > CPU_MILLIS:
                found_violations.append(
                    f"{endpoint.name} exceeded its CPU: {endpoint.peak_cpu_millis}"
                )
            for task in endpoint.excess_starts:
                found_violations.append(
                    f"{endpoint.name} was brought over its capacity by {task}"
                )
            for task in endpoint.late_starts:
                found_violations.append(
                    f"{endpoint.name} started {task} while it drained"
                )
        return found_violations

    async def _post(self, entry, path, body):
        url = f"http://{entry.front.address}{path}"
        headers = {"X-Deadline-Ms": str(int(CALLER_TIMEOUT_S * 1_000))}
        try:
            answer = await self._http.post(url, json=body, headers=headers)
            return answer.status_code, answer.json()
        except (httpx.HTTPError, ValueError):
            return 0, {}

    async def _serve(self, app):
        server = await serve(app, Address("127.0.0.1", 0))
        self._servers.append(server)
        return server.address

    async def _send_heartbeats(self, endpoint, address):
        client = HttpClient(address, Clock())
        while True:
            while (silent_s := endpoint.silent_until_s - time.monotonic()) > 0:
                await asyncio.sleep(silent_s)
            path, body = endpoint.heartbeat()
            is_draining = endpoint.draining
            answer = await client.request(
                b"PUT", path.encode(), body, timeout_ms=HEARTBEAT_TIMEOUT_MS
            )
            is_known = isinstance(answer, HttpResponse) and answer.status == 200
            if is_known and is_draining and endpoint.draining_since is None:
                endpoint.draining_since = time.monotonic()
            endpoint.expire_lease()
            await asyncio.sleep(HEARTBEAT_INTERVAL_S)


def active_run_count(endpoint):
    """Return the number of runs that are at work at a ``LedgerEndpoint``."""
    return sum(run.ended_s is None for run in endpoint.runs)


def overlapping_pairs(runs):
    """Yield each pair of consecutive runs of a task that overlap, earlier one first."""
    by_task = {}
    for run in runs:
        by_task.setdefault(run.task, []).append(run)
    for task_runs in by_task.values():
        task_runs.sort(key=lambda run: run.began_s)
        for first, second in itertools.pairwise(task_runs):
            if first.ended_s is None or first.ended_s > second.began_s:
                yield first, second


def overlapping_runs(runs):
    """Yield a text for each pair of consecutive runs of a task that overlap."""
    for first, second in overlapping_pairs(runs):
        yield (
            f"{first.task} ran twice at the same time: run {first.run} at "
            f"{first.endpoint}, run {second.run} at {second.endpoint}"
        )


def evacuated_starts(evacuations, endpoints):
    """Yield a text for each start in an evacuated zone after the bound."""
    for evacuation in evacuations:
        forbidden_from_s = evacuation.began_s + EVACUATE_S
        until_s = evacuation.ended_s or float("inf")
        for endpoint in endpoints:
            for run in endpoint.runs if endpoint.zone == evacuation.zone else ():
                if forbidden_from_s < run.began_s < until_s:
                    yield (
                        f"{endpoint.name} started {run.task}, run {run.run}, "
                        f"{run.began_s - evacuation.began_s:.2f} s after the "
                        f"evacuation of its zone {evacuation.zone}"
                    )


def excessive_starts(runs):
    """Yield a text for each task that is started on after it crashed endpoints."""
    crashes, max_starts = MAX_STARTS_AFTER_CRASHES
    by_task = {}
    for run in runs:
        if run.payload == DEADLY_PAYLOAD:
            by_task.setdefault(run.task, []).append(run)
    for task, task_runs in by_task.items():
        crashed_s = sorted(r.ended_s for r in task_runs if r.outcome == "crash")
        if len(crashed_s) < crashes:
            continue
        later = [r for r in task_runs if r.began_s > crashed_s[crashes - 1]]
        if len(later) > max_starts:
            yield f"{task} was started {len(later)} times after {crashes} crashes"


def contradictions(job, runs):
    """Yield a text for each run that a job doesn't allow, or its answers contradict."""
    for run in runs:
        if job.label and job.label not in run.labels:
            yield (
                f"{run.task}, run {run.run}, needs {job.label!r} and was started at "
                f"{run.endpoint}, {run.labels}"
            )
    if any(run.payload != job.payload for run in runs):
        yield f"{job.job_id} ran with another payload"
    if runs and job.statuses and all(status == 503 for status in job.statuses):
        yield f"{job.job_id} was refused as not run, and ran"
    done = {run.task for run in runs if run.outcome == "done"}
    if job.state == "completed" and len(done) < job.tasks:
        yield f"{job.job_id} completed with {len(done)} of {job.tasks} tasks done"
    # Crashes count against deadly jobs only: a sound one must not be failed for them.
    is_deadly = job.payload == DEADLY_PAYLOAD
    outcome = "crash" if is_deadly else "failed"
    needed = CRASHES_TO_GIVE_UP if is_deadly else MAX_ATTEMPTS
    counts = {}
    for run in runs:
        counts[run.task] = counts.get(run.task, 0) + (run.outcome == outcome)
    if job.state == "failed" and max(counts.values(), default=0) < needed:
        yield f"{job.job_id} failed after {counts} times {outcome}"
