"""A small deployment on loopback for the cases of the second review.

The project's programs run as separate processes, started with the commands of the
deploy file. Minions, clients and the store are stand-ins in the process of the case.
Times are seconds since the start of the case, by the steady clock.
"""

import asyncio
import itertools
import json
import os
import random
import shlex
import signal
import tempfile
import time
import tomllib
from dataclasses import dataclass, field
from pathlib import Path

from plantainhitch.standins.store_rows import RowsStandIn
from plantainhitch.transport.addresses import Address
from plantainhitch.transport.http_server import serve

ROOT = Path(__file__).resolve().parent.parent
HOST_HEADER = "jobs.example"
PREFIX = "/queue/"
POOL = "pool-1"
LINK_PORT = 7_700
# The bounds of the small sites.
BOUNDS = {
    "contact_ms": 3_000,
    "ack_ms": 4_000,
    "drain_ms": 2_000,
    "grace_s": 6,
    "config_apply_ms": 2_000,
    "hold_max_ms": 1_000,
    "stop_timeout_ms": 50,
    "cancel_ms": 3_000,
    "remote_factor": 1.5,
    "retransmit_ms": 1_300,
}
HEARTBEAT_MS = 1_500
MAX_WAIT_MS = 2_000
POLL_S = 0.002
START_TIMEOUT_S = 40.0


class Record:
    """The file ``record.txt`` beside a case: what was sent, answered and run."""

    def __init__(self, path):
        self._file = path.open("w", encoding="utf-8")
        self._began_s = time.monotonic()

    def now_s(self):
        """Return the seconds since the case began."""
        return time.monotonic() - self._began_s

    def write(self, text):
        """Write a line with the time."""
        self._file.write(f"{self.now_s():8.3f} {text}\n")
        self._file.flush()


class HttpServer:
    """Serves HTTP/1.1 requests on keep-alive connections, one at a time on each."""

    def __init__(self, handler):
        self._handler = handler
        self._server = None
        self._writers = set()
        self.address = None

    async def start(self, host, port=0):
        """Listen; ``address`` is the bound address from then on."""
        self._server = await asyncio.start_server(self._serve, host, port)
        bound = self._server.sockets[0].getsockname()
        self.address = f"{bound[0]}:{bound[1]}"

    def drop_connections(self):
        """Reset all open connections."""
        for writer in list(self._writers):
            writer.transport.abort()

    async def aclose(self):
        """Stop listening and reset all connections."""
        self._server.close()
        self.drop_connections()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while (request := await read_message(reader)) is not None:
                first, headers, body = request
                method, path, _ = first.split(" ", 2)
                answer = await self._handler(method, path, headers, body)
                if answer is None:  # never answered; the caller gives up
                    await reader.read()
                    return
                status, document = answer
                data = json.dumps(document).encode()
                head = (
                    f"HTTP/1.1 {status} -\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(data)}\r\n\r\n"
                )
                writer.write(head.encode() + data)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()


async def read_message(reader):
    """Return the first line, the headers and the body of a message, or None."""
    first = (await reader.readline()).decode("latin-1").strip()
    if not first:
        return None
    headers = {}
    while line := (await reader.readline()).decode("latin-1").strip():
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return first, headers, body


async def call(address, method, path, document=None, headers=(), timeout_s=30.0):
    """Send one request on a connection of its own.

    Return the status and the answer's document, or (0, None) without an answer.
    """
    host, _, port = address.rpartition(":")
    data = b"" if document is None else json.dumps(document).encode()
    lines = [f"{method} {path} HTTP/1.1", *headers]
    if document is not None:
        lines.append("Content-Type: application/json")
    if method != "GET":
        lines.append(f"Content-Length: {len(data)}")
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write("\r\n".join([*lines, "", ""]).encode() + data)
            message = await read_message(reader)
            if message is None:
                return 0, None
            first, _, body = message
            return int(first.split(" ")[1]), json.loads(body) if body else None
    except (OSError, TimeoutError, ValueError, asyncio.IncompleteReadError):
        return 0, None
    finally:
        if writer is not None:
            writer.close()


@dataclass(eq=False)
class Run:
    """One run at a minion; ``ended_s`` is None while it is there."""

    minion: str
    life: int
    task: str
    number: int
    spec: str
    began_s: float
    work_s: float
    checkpoint: str = ""
    labels: tuple = ()
    ended_s: float | None = None
    how: str = ""
    stopping: bool = False
    timer: object = field(default=None, repr=False)


class Minion:
    """A minion of the pages: leases, fence, runs, ends and heartbeats.

    It does not guard its capacity. ``work_s(task, spec)`` is the work of a task. With
    ``late_share`` that part of the orders gets no answer and is carried out
    ``late_s`` later. A run is stopped within ``stop_s``.
    """

    def __init__(self, stage, name, labels, cpu=8_000, work_s=None):
        self.stage, self.name, self.labels, self.cpu = stage, name, labels, cpu
        self._work_s = work_s or (lambda task, spec: int(spec) / 1_000)
        self.late_share, self.late_s = 0.0, (2.0, 12.0)
        self.stop_s = 0.02
        self.clock_rate = 1.0
        self.heartbeat_s = HEARTBEAT_MS / 1_000
        self.lives = 0
        self.used_cpu = {}
        self.server = HttpServer(self._handle)
        self.agent_address = None
        self.is_draining = False
        self._begin_life()

    def _begin_life(self):
        self.lives += 1
        self.born = int(time.time() * 1_000)
        self._began_s = time.monotonic()
        self._fence, self._lease_ms, self._seq = 0, 0, 0
        self._running, self._finished, self._count = {}, [], 0
        self._highest = {}

    def clock_ms(self):
        """Return the minion's steady clock in ms."""
        return int((time.monotonic() - self._began_s) * 1_000 * self.clock_rate) + 1

    def crash(self, labels=None):
        """End everything, reset all connections and begin a new life at once.

        Without ``labels`` it is of the same kind as before.
        """
        self.stage.record.write(f"{self.name} crashes, life {self.lives} is over")
        for run in self._running.values():
            run.timer.cancel()
            run.ended_s, run.how = self.stage.record.now_s(), "crash"
        self.labels = labels or self.labels
        self._begin_life()
        self.server.drop_connections()
        self.stage.record.write(
            f"{self.name} starts again as life {self.lives}, labels {self.labels}"
        )

    async def send_heartbeats(self):
        """Send a heartbeat each ``heartbeat_s``; never returns."""
        while True:
            await self.send_heartbeat()
            await asyncio.sleep(self.heartbeat_s)

    async def send_heartbeat(self):
        """Send one heartbeat to the agent on this machine."""
        self._seq += 1
        life = self.lives
        document = {
            "service": POOL,
            "addr": self.server.address,
            "zone": "z1",
            "version": "v1",
            "slots": 8,
            "state": "draining" if self.is_draining else "ready",
            "cold_left_ms": 0,
            "capacity": {"cpu": self.cpu, "mem_mb": 65_536, "gpu": 0},
            "labels": list(self.labels),
            "clock_ms": self.clock_ms(),
            "seq": self._seq,
            "born": self.born,
        }
        path = f"/instances/{self.name}"
        status, _ = await call(
            self.agent_address, "PUT", path, document, ("Host: a",), timeout_s=1.0
        )
        self.stage.record.write(
            f"{self.name} heartbeat of life {life} {document['labels']} -> {status}"
        )

    async def _handle(self, method, path, headers, body):
        if headers.get("x-target-instance") != self.name:
            return 421, {"clock_ms": self.clock_ms(), "born": self.born}
        order = json.loads(body)
        if self.late_share and random.random() < self.late_share:
            asyncio.get_running_loop().call_later(
                random.uniform(*self.late_s), self._carry_out_late, path, order
            )
            return None
        if path == "/hold":
            return await self._hold(order)
        status, document = self._order(path, order)
        return status, document | {"clock_ms": self.clock_ms(), "born": self.born}

    def _carry_out_late(self, path, order):
        if path != "/hold":
            self._order(path, order)
        elif order["fence"] >= self._fence:
            self._accept_hold(order)

    def _order(self, path, order):
        if order.get("fence", 0) < self._fence:
            return 409, {"reason": "fence"}
        self._fence = order.get("fence", 0)
        task, number = order["task"], order["run"]
        if path == "/run-stop":
            if (run := self._running.get(task)) and run.number == number:
                self._stop(run)
            self._highest[task] = max(number, self._highest.get(task, 0))
            return 200, {}
        self._extend(order["deadline_ms"])
        if self._lease_ms <= self.clock_ms():
            return 409, {"reason": "late"}
        run = self._running.get(task)
        if run is not None and run.number == number:
            return 200, {}
        if number <= self._highest.get(task, 0):
            return 409, {"reason": "old"}
        self._start(task, number, order)
        return 200, {}

    def _start(self, task, number, order):
        now_s, spec = self.stage.record.now_s(), order["spec"]
        run = Run(
            *(self.name, self.lives, task, number, spec, now_s),
            self._work_s(task, spec),
            order.get("checkpoint", ""),
            tuple(self.labels),
        )
        loop = asyncio.get_running_loop()
        run.timer = loop.call_later(run.work_s, self._end, run, "done")
        self._running[task] = run
        self._highest[task] = number
        self.stage.runs.append(run)
        self.stage.record.write(
            f"{self.name} life {self.lives} {list(self.labels)} starts {task} "
            f"run {number}"
        )

    def _stop(self, run):
        if run.stopping:
            return
        run.stopping = True
        run.timer.cancel()
        run.timer = asyncio.get_running_loop().call_later(
            self.stop_s, self._end, run, "stopped"
        )

    def _end(self, run, how):
        if self._running.get(run.task) is not run:
            return
        run.timer.cancel()
        del self._running[run.task]
        run.ended_s, run.how = self.stage.record.now_s(), how
        self._count += 1
        self._finished.append([self._count, run.task, run.number, how, ""])
        self.stage.record.write(
            f"{self.name} life {run.life} ends {run.task} run {run.number} {how}"
        )

    def _extend(self, until_ms):
        latest_ms = self.clock_ms() + BOUNDS["hold_max_ms"]
        self._lease_ms = max(self._lease_ms, min(until_ms, latest_ms))
        left_s = (self._lease_ms - self.clock_ms() + 1) / 1_000 / self.clock_rate
        asyncio.get_running_loop().call_later(max(left_s, 0), self._lapse)

    def _lapse(self):
        if self.clock_ms() > self._lease_ms:
            for run in list(self._running.values()):
                self._end(run, "lapsed")

    def _accept_hold(self, order):
        self._fence = order.get("fence", 0)
        if "deadline_ms" in order:
            self._extend(order["deadline_ms"])
        seen = order["last_seen"]
        self._finished = [row for row in self._finished if row[0] > seen]

    async def _hold(self, order):
        if order.get("fence", 0) < self._fence:
            reason = {"reason": "fence"}
            return 409, reason | {"clock_ms": self.clock_ms(), "born": self.born}
        self._accept_hold(order)
        life = self.lives
        wait_s = min(order.get("wait_ms", 0), MAX_WAIT_MS) / 1_000
        until_s = time.monotonic() + wait_s
        while not self._finished and time.monotonic() < until_s and life == self.lives:
            await asyncio.sleep(POLL_S)
        self._lapse()
        now_s = self.stage.record.now_s()
        running = [
            [r.task, r.number, "", _percent(r, now_s), 1]
            for r in self._running.values()
        ]
        return 200, {
            "clock_ms": self.clock_ms(),
            "born": self.born,
            "running": running,
            "finished": self._finished[:500],
        }


def _percent(run, now_s):
    return min(int(100 * (now_s - run.began_s) / max(run.work_s, 0.001)), 99)


class Node:
    """One process of the project, with the settings of a small deployment."""

    def __init__(self, stage, role, name, host, minion=None):
        self.stage, self.name, self.host, self.minion = stage, name, host, minion
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        self._command = shlex.split(deploy["roles"][role]["run"])
        self.front = f"{host}:{LINK_PORT + 100}"
        self.control = f"{host}:{LINK_PORT + 101}"
        self.readiness = f"{host}:{LINK_PORT + 102}"
        self.process = None
        self.log = stage.folder / f"{name}.log"

    def write_settings(self, store, seeds):
        """Write the settings file and return its path."""
        zone, region = "z1", "r1"
        lines = [
            f'node = "{self.name}"',
            f'zone = "{zone}"\nregion = "{region}"\nip = "{self.host}"',
            f"port_range = [{LINK_PORT}, {LINK_PORT + 15}]",
            f"seeds = {json.dumps(seeds)}",
            f'heartbeat_ms = {HEARTBEAT_MS}\ncontrol_mode = "invoke"',
        ]
        listen = [f'control = "{self.control}"']
        if self.minion is None:
            listen += [f'front = "{self.front}"', f'readiness = "{self.readiness}"']
        else:
            lines += [f'app = "{self.minion.server.address}"', f'service = "{POOL}"']
        lines += ["[listen]", *listen, "[platform]", f'addr = "{store}"', "[bounds]"]
        lines += [f"{name} = {value}" for name, value in BOUNDS.items()]
        path = self.stage.folder / f"{self.name}.toml"
        path.write_text("\n".join(lines), encoding="utf-8")
        return path

    async def start(self):
        """Start the process with the command of the deploy file."""
        settings = self.stage.folder / f"{self.name}.toml"
        paths = (str(ROOT / "target" / "deps"), str(ROOT))
        with self.log.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *self._command,
                cwd=ROOT,
                env=os.environ
                | {
                    "PLANTAINHITCH_CONFIG": str(settings),
                    "PYTHONPATH": os.pathsep.join(paths),
                    "PYTHONDONTWRITEBYTECODE": "1",
                },
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self.stage.record.write(f"{self.name} started")

    def send_signal(self, number):
        """Send a signal to the process."""
        self.stage.record.write(f"{signal.Signals(number).name} to {self.name}")
        self.process.send_signal(number)

    async def stop(self):
        """Kill the process if it runs."""
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()


class Stage:
    """Entries, agents, minions and the store; use it in ``async with``."""

    def __init__(
        self, record_path, entries=2, labels=(("a", "r1"),) * 3, kind=Minion, **options
    ):
        self.record = Record(record_path)
        self.runs = []
        self._temporary = tempfile.TemporaryDirectory(prefix="stage-")
        self.folder = Path(self._temporary.name)
        block = f"127.{random.randint(1, 99)}.{random.randint(0, 255)}"
        hosts = (f"{block}.{number}" for number in itertools.count(1))
        self.store = RowsStandIn()
        self.minions = [
            kind(self, f"i-{number}", list(names), **options)
            for number, names in enumerate(labels)
        ]
        self.entries = [
            Node(self, "entry", f"entry-{number}", next(hosts))
            for number in range(entries)
        ]
        self.agents = [
            Node(self, "agent", f"agent-{number}", next(hosts), minion)
            for number, minion in enumerate(self.minions)
        ]
        self._tasks, self._store_server = [], None

    async def __aenter__(self):
        self.store.put("op", "config", json.dumps(configuration()).encode())
        self._store_server = await serve(self.store, Address("127.0.0.1", 0))
        seeds = [entry.control for entry in self.entries]
        for minion in self.minions:
            await minion.server.start("127.0.0.1")
        for node in (*self.entries, *self.agents):
            node.write_settings(str(self._store_server.address), seeds)
            await node.start()
        for node in self.agents:
            node.minion.agent_address = node.control
            self.spawn(node.minion.send_heartbeats())
        await self._wait_until_served()
        return self

    async def __aexit__(self, *error):
        for task in self._tasks:
            task.cancel()
        for node in (*self.entries, *self.agents):
            await node.stop()
        for minion in self.minions:
            await minion.server.aclose()
        await self._store_server.aclose(grace_ms=0)
        self._temporary.cleanup()

    def spawn(self, coroutine):
        """Run a task until the stage ends; return it."""
        task = asyncio.create_task(coroutine)
        self._tasks.append(task)
        return task

    async def _wait_until_served(self):
        """Wait until each entry is ready and has completed a job on each agent."""
        step = {"count": 2 * len(self.minions), "cpu": 4_000, "est_runtime_ms": 50}
        async with asyncio.timeout(START_TIMEOUT_S):
            for entry in self.entries:
                while (await call(entry.readiness, "GET", "/ready"))[0] != 200:
                    await asyncio.sleep(0.1)
                status = 0
                while status != 200:
                    status, _ = await self.submit(entry, new_id(), "50", [step])
                    await asyncio.sleep(0.1)
        # All machines are in touch after ``contact_ms``.
        await asyncio.sleep(BOUNDS["contact_ms"] / 1_000)
        self.record.write("all entries serve, and all machines are in touch")

    async def submit(self, entry, job_id, spec, steps, wait_ms=20_000):
        """Submit a job that need not be kept; return the status and the document."""
        document = {"spec": spec, "steps": steps, "best_effort": True}
        headers = (f"Host: {HOST_HEADER}", f"X-Deadline-Ms: {wait_ms}")
        self.record.write(f"POST {job_id} to {entry.name}")
        status, answer = await call(
            entry.front, "POST", PREFIX + job_id, document, headers, wait_ms / 1_000
        )
        self.record.write(f"POST {job_id} at {entry.name} -> {status} {answer}")
        return status, answer


def new_id():
    """Return the id of a new job."""
    return f"{random.getrandbits(64):016x}"


def configuration(version=1):
    """Return the operator's config with one queue."""
    route = {
        "name": "q0",
        "host": HOST_HEADER,
        "path_prefix": PREFIX,
        "kind": "non_idempotent",
        "timeout_ms": 1_500,
        "target_latency_ms": 60,
        "priority": 0,
        "service": POOL,
        "max_attempts": 3,
        "stretch": 1.6,
    }
    return {
        "version": version,
        "routes": [route],
        "services": [{"name": POOL, "admission_check": False}],
        "limits": {"max_body_bytes": 262_144},
    }


def overlaps(runs):
    """Return a text for each pair of consecutive runs of a task that overlap."""
    found, last = [], {}
    for run in runs:
        before = last.get(run.task)
        if before is not None and (
            before.ended_s is None or before.ended_s > run.began_s
        ):
            found.append(
                f"{run.task}: run {before.number} at {before.minion} from "
                f"{before.began_s:.3f}, run {run.number} at {run.minion} from "
                f"{run.began_s:.3f} to {run.ended_s}"
            )
        last[run.task] = run
    return found


def run_case(main):
    """Run ``main()`` and exit with 0 if the rule held, 1 if not, and 2 without it.

    ``main`` returns a list of texts, one for each breach.
    """
    try:
        breaches = asyncio.run(main())
    except Exception as error:
        print(f"the case could not run: {error!r}")
        raise SystemExit(2) from error
    for breach in breaches:
        print(breach)
    print("the rule was broken" if breaches else "the rule held")
    raise SystemExit(1 if breaches else 0)
