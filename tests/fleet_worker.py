"""A process of the fleet soak that is none of the programs.

``python -m tests.fleet_worker ROLE`` is the store, some of the endpoints, or some of
the callers. It reads JSON documents by lines: first its settings, then commands. It
prints one line when it is ready. When its input ends it writes its records to the file
of the settings. Times are seconds of CLOCK_MONOTONIC, the same for all processes.
"""

import asyncio
import random
import sys
import time
from dataclasses import asdict, dataclass, field
from pathlib import Path

import httpx
import msgspec

from plantainhitch.clock import Clock
from plantainhitch.platform.store import OPERATOR_TABLE
from plantainhitch.standins.store_rows import RowsStandIn
from plantainhitch.transport.addresses import Address
from plantainhitch.transport.http_client import HttpClient
from plantainhitch.transport.http_server import serve

from .deployed_world import (
    CALLER_TIMEOUT_S,
    HEARTBEAT_INTERVAL_S,
    HEARTBEAT_TIMEOUT_MS,
    MAX_ATTEMPTS,
    RESUBMIT_DELAY_S,
    SUBMIT_ATTEMPTS,
    LedgerEndpoint,
    Submission,
    TaskRun,
)
from .deployment import HOST, PREFIX, configuration
from .harness import Forwarder

LATENESS_INTERVAL_S = 0.01
# Timers that are later than this are recorded.
MIN_LATENESS_S = 0.02
POLL_INTERVAL_S = 0.01
# Tasks of a job and the time of each in ms.
SHORT_JOBS = ((8, 100), (2, 340))
LONG_JOB_TASKS = 4
LEAVE_AFTER_S = (0.05, 1.2)
ANSWERS_UNKNOWN = (0, 502, 504)


@dataclass(eq=False)
class ObservedRun(TaskRun):
    """A run, and when the endpoint's rules ended it; its process may be later.

    ``due_s`` is None for a run that was stopped or is at work.
    """

    due_s: float | None = None


@dataclass
class ObservedSubmission(Submission):
    """A job; ``calls`` has entry, start, end in s and the status of each submission."""

    calls: list[tuple[str, float, float, int]] = field(default_factory=list)


class ObservedEndpoint(LedgerEndpoint):
    """A ``LedgerEndpoint`` that records when runs were due to end."""

    def __init__(self, name, zone):
        super().__init__(name, zone)
        self.poll_interval_s = POLL_INTERVAL_S
        self.due_s = {}

    def _end(self, task, outcome):
        run = self._running.get(task)
        if run is not None and outcome == "lapsed":
            lease_s = (self._lease_until_ms + 1) / 1_000
            self.due_s[task, run] = self._lifetime_started_s + lease_s
        elif run is not None and outcome == "done":
            began_s, run_ms = self._run_times[task]
            self.due_s[task, run] = began_s + run_ms / 1_000
        super()._end(task, outcome)

    def records(self):
        """Return the runs as ``ObservedRun``."""
        return [
            ObservedRun(**vars(run), due_s=self.due_s.get((run.task, run.run)))
            for run in self.runs
        ]


class StoreWorker:
    """The store, with the operator's configuration."""

    def __init__(self, settings):
        self._store = RowsStandIn()
        document = configuration(1, [PREFIX], MAX_ATTEMPTS)
        self._store.put(OPERATOR_TABLE, "config", msgspec.json.encode(document))

    async def start(self):
        """Serve; return the ready document."""
        server = await serve(self._store, Address("127.0.0.1", 0))
        return {"store": str(server.address)}

    def handle(self, command):
        """Do nothing; the store has no commands."""

    def records(self):
        """Return the records."""
        return {}


class EndpointsWorker:
    """Endpoints, each behind a forwarder that can refuse connections.

    ``settings`` maps each one's name to its zone and the address for heartbeats.
    """

    def __init__(self, settings):
        self._endpoints = {
            name: ObservedEndpoint(name, zone)
            for name, (zone, _) in settings["endpoints"].items()
        }
        self._agents = {
            name: Address.from_text(address)
            for name, (_, address) in settings["endpoints"].items()
        }
        self._forwarders = {}
        self._tasks = []

    async def start(self):
        """Serve; return the ready document, the address of each endpoint."""
        for name, endpoint in self._endpoints.items():
            server = await serve(endpoint, Address("127.0.0.1", 0))
            forwarder = self._forwarders[name] = await Forwarder.start()
            forwarder.target = str(server.address)
            heartbeats = self._send_heartbeats(endpoint, self._agents[name])
            self._tasks.append(asyncio.create_task(heartbeats))
        return {name: f.address for name, f in self._forwarders.items()}

    def handle(self, command):
        """Apply a fault of forwarders by its name, such as ``refuse`` or ``heal``."""
        for name in command["endpoints"]:
            if name in self._forwarders:
                getattr(self._forwarders[name], command["fault"])()

    def records(self):
        """Return the records."""
        runs = [run for e in self._endpoints.values() for run in e.records()]
        return {"runs": [asdict(run) for run in runs]}

    async def _send_heartbeats(self, endpoint, address):
        client = HttpClient(address, Clock())
        while True:
            path, body = endpoint.heartbeat()
            await client.request(
                b"PUT", path.encode(), body, timeout_ms=HEARTBEAT_TIMEOUT_MS
            )
            await asyncio.sleep(HEARTBEAT_INTERVAL_S)


class CallersWorker:
    """Callers of all entries; some leave and submit their jobs again elsewhere.

    With ``resubmits`` unset in ``settings`` they submit each job once.
    """

    def __init__(self, settings):
        self._settings = settings
        self._rng = random.Random(settings["seed"])
        self._entries = settings["entries"]
        limits = httpx.Limits(max_connections=None, max_keepalive_connections=40)
        self._http = httpx.AsyncClient(
            headers={"Host": HOST.decode()}, timeout=CALLER_TIMEOUT_S, limits=limits
        )
        self._submissions = []
        self._jobs = set()
        self._sending = None

    async def start(self):
        """Return the ready document; jobs follow on the command ``start``."""
        return {}

    def handle(self, command):
        """Begin or end the traffic."""
        if command["traffic"]:
            self._sending = asyncio.create_task(self._send_jobs())
        else:
            self._sending.cancel()

    def records(self):
        """Return the records."""
        return {"submissions": [asdict(job) for job in self._submissions]}

    async def _send_jobs(self):
        while True:
            job = asyncio.create_task(self._submit())
            self._jobs.add(job)
            job.add_done_callback(self._jobs.discard)
            await asyncio.sleep(self._rng.expovariate(self._settings["jobs_per_s"]))

    async def _submit(self):
        is_long = self._rng.random() < self._settings["long_share"]
        tasks, run_ms = self._rng.choice(SHORT_JOBS)
        if is_long:
            tasks, run_ms = LONG_JOB_TASKS, self._settings["long_run_ms"]
        job_id = f"{self._rng.getrandbits(64):016x}"
        job = ObservedSubmission(job_id, str(run_ms), tasks)
        self._submissions.append(job)
        step = {"count": tasks, "cpu": 1_000, "mem_mb": 10, "est_runtime_ms": run_ms}
        body = {"spec": job.payload, "steps": [step], "best_effort": True}
        names = self._rng.sample(list(self._entries), len(self._entries))
        for attempt in range(SUBMIT_ATTEMPTS if self._settings["resubmits"] else 1):
            leaves = self._rng.random() < self._settings["leave_share"]
            limit_s = self._rng.uniform(*LEAVE_AFTER_S) if leaves else None
            status = await self._call(job, names[attempt % len(names)], body, limit_s)
            if status not in ANSWERS_UNKNOWN:
                break
            await asyncio.sleep(RESUBMIT_DELAY_S)

    async def _call(self, job, entry, body, limit_s):
        url = f"http://{self._entries[entry]}{PREFIX}{job.job_id}"
        headers = {"X-Deadline-Ms": str(int(CALLER_TIMEOUT_S * 1_000))}
        began_s, status = time.monotonic(), 0
        try:
            async with asyncio.timeout(limit_s):
                answer = await self._http.post(url, json=body, headers=headers)
                status = answer.status_code
                if status == 200:
                    job.state = answer.json()["state"]
        except (httpx.HTTPError, ValueError, TimeoutError):
            status = 0
        job.statuses.append(status)
        job.calls.append((entry, began_s, time.monotonic(), status))
        return status


ROLES = {"store": StoreWorker, "endpoints": EndpointsWorker, "callers": CallersWorker}


async def record_lateness(lateness):
    """Append (time in s, lateness in s) whenever the event loop is late."""
    while True:
        due_s = time.monotonic() + LATENESS_INTERVAL_S
        await asyncio.sleep(LATENESS_INTERVAL_S)
        late_s = time.monotonic() - due_s
        if late_s > MIN_LATENESS_S:
            lateness.append((due_s, late_s))


async def run_worker(role):
    """Run one worker until its input ends."""
    reader = asyncio.StreamReader()
    await asyncio.get_running_loop().connect_read_pipe(
        lambda: asyncio.StreamReaderProtocol(reader), sys.stdin
    )
    settings = msgspec.json.decode(await reader.readline())
    worker = ROLES[role](settings)
    lateness = []
    recording = asyncio.create_task(record_lateness(lateness))
    print(msgspec.json.encode(await worker.start()).decode(), flush=True)
    while line := await reader.readline():
        worker.handle(msgspec.json.decode(line))
    recording.cancel()
    records = worker.records() | {"lateness": lateness}
    records_path = Path(settings["records"])
    records_path.write_bytes(msgspec.json.encode(records))


if __name__ == "__main__":
    asyncio.run(run_worker(sys.argv[1]))
