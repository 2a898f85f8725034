"""A small deployment on loopback, for the cases of the review.

It starts the deployed programs as separate processes with the commands of
``deploy/system.toml``, and has a store, endpoints, a process supervisor and clients as
the users' pages describe them. Each event that a client, an endpoint or the supervisor
sees is written to ``record.txt``, with seconds since the start.
"""

import asyncio
import contextlib
import json
import logging
import os
import secrets
import signal
import socket
import sys
import tempfile
import time
import tomllib
from pathlib import Path

import msgspec

ROOT = Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT))

from plantainhitch.standins.store_rows import RowsStandIn  # noqa: E402
from plantainhitch.transport.addresses import Address  # noqa: E402
from plantainhitch.transport.asgi import Reply, read_body, send_reply  # noqa: E402
from plantainhitch.transport.http_server import serve  # noqa: E402

SERVICE = "widget-api"
HOST = "nony24.example"
PREFIX = "/lohu930/"
# The bounds of the small installation tickmark-bkk.
BOUNDS = {
    "contact_ms": 3000,
    "drain_ms": 2000,
    "grace_s": 6,
    "config_apply_ms": 2000,
    "hold_max_ms": 1000,
    "stop_timeout_ms": 50,
    "cancel_ms": 3000,
    "retransmit_ms": 1300,
    "remote_factor": 1.5,
}
HEARTBEAT_S = 1.5
RESTART_S = 0.5
START_TIMEOUT_S = 25.0
FRONT, READINESS, CONTROL, APP = 8161, 8167, 8166, 8165
LINK_PORTS = [7720, 7735]


class Record:
    """The file with what was sent, answered and run."""

    def __init__(self, folder):
        self._started_s = time.monotonic()
        self._file = (Path(folder) / "record.txt").open("w", encoding="utf-8")

    def now(self):
        """Return the seconds since the start."""
        return time.monotonic() - self._started_s

    def write(self, who, what, **fields):
        """Write one line."""
        text = " ".join(f"{key}={value}" for key, value in fields.items())
        self._file.write(f"{self.now():8.3f} {who:10} {what} {text}".rstrip() + "\n")
        self._file.flush()


class Minion:
    """An endpoint: it runs tasks for the time in ms that ``spec`` says.

    ``unanswered(path, call)`` may return a number of seconds: the order then gets no
    answer, and is carried out that much later. It returns None for a sound endpoint.
    """

    def __init__(self, name, record, cpu=16_000):
        self.name = name
        self.cpu = cpu
        self.record = record
        self.unanswered = lambda path, call: None
        self.silent = False
        # Rows of [task, run, spec, began, ended or None, how].
        self.runs = []
        self._sequence = 0
        self._tasks = set()
        self._begin_lifetime()

    def _begin_lifetime(self):
        self.born = int(time.time() * 1_000)
        self._started_s = time.monotonic()
        self._fence = 0
        self._lease_ms = 0
        self._running = {}
        self._highest = {}
        self._ends = []
        self._end_count = 0

    def _clock_ms(self):
        return int((time.monotonic() - self._started_s) * 1_000) + 1

    def heartbeat(self):
        """Return the path and the body of the next heartbeat."""
        self._sequence += 1
        return f"/instances/{self.name}", {
            "service": SERVICE,
            "addr": "",
            "zone": "z1",
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "cold_left_ms": 0,
            "capacity": {"cpu": self.cpu, "mem_mb": 65_536, "gpu": 0},
            "labels": ["a", "r1-1"],
            "clock_ms": self._clock_ms(),
            "seq": self._sequence,
            "born": self.born,
        }

    async def __call__(self, scope, receive, send):
        """Serve one call of the agent beside this endpoint."""
        body = await read_body(receive, 1 << 20)
        headers = dict(scope["headers"])
        if body is None:
            return
        if headers.get(b"x-target-instance", b"").decode() != self.name:
            await send_reply(send, Reply(421, b"{}"))
            return
        path, call = scope["path"], msgspec.json.decode(body)
        late_s = self.unanswered(path, call)
        if late_s is not None:
            self.record.write(
                self.name, f"leaves {path} unanswered", task=call.get("task", "")
            )
            later = asyncio.create_task(self._carry_out_late(path, call, late_s))
            self._tasks.add(later)
        if late_s is not None or self.silent:
            await asyncio.sleep(30)
            return
        if path == "/hold":
            status, answer = await self._hold(call)
        else:
            status, answer = self._order(path, call)
        answer |= {"clock_ms": self._clock_ms(), "born": self.born}
        await send_reply(send, Reply(status, msgspec.json.encode(answer)))

    async def _carry_out_late(self, path, call, late_s):
        await asyncio.sleep(late_s)
        status, answer = self._order(path, call)
        self.record.write(
            self.name,
            f"carries out {path} late: {status}",
            task=call["task"],
            run=call["run"],
            reason=answer.get("reason", ""),
        )

    def _order(self, path, call):
        if call.get("fence", 0) < self._fence:
            return 409, {"reason": "fence"}
        self._fence = call["fence"]
        task, run = call["task"], call["run"]
        if path == "/run-stop":
            self.record.write(self.name, "stop", task=task, run=run)
            if self._running.get(task, [0])[0] == run:
                self._end(task, "stopped")
            self._highest[task] = max(run, self._highest.get(task, 0))
            return 200, {}
        if path != "/run-start":
            return 400, {}
        self._renew(call["deadline_ms"])
        if self._lease_ms <= self._clock_ms():
            return 409, {"reason": "late"}
        if self._running.get(task, [0])[0] == run:
            return 200, {}
        if run <= self._highest.get(task, 0):
            return 409, {"reason": "old"}
        self._start(task, run, call["spec"])
        return 200, {}

    def _start(self, task, run, spec):
        row = [task, run, spec, self.record.now(), None, ""]
        self.runs.append(row)
        self.record.write(self.name, "start", task=task, run=run)
        work_s = int(spec.partition(" ")[0]) / 1_000
        timer = asyncio.get_running_loop().call_later(work_s, self._end, task, "done")
        self._running[task] = run, row, timer, time.monotonic(), work_s
        self._highest[task] = run

    def _end(self, task, how):
        run, row, timer, _, _ = self._running.pop(task)
        timer.cancel()
        row[4], row[5] = self.record.now(), how
        self._end_count += 1
        self._ends.append([self._end_count, task, run, how, ""])
        self.record.write(self.name, "end", task=task, run=run, how=how)

    def _renew(self, until_ms):
        limit_ms = self._clock_ms() + BOUNDS["hold_max_ms"]
        self._lease_ms = max(self._lease_ms, min(until_ms, limit_ms))

    def expire(self):
        """End everything once the lease has expired."""
        if self._running and self._clock_ms() > self._lease_ms:
            for task in list(self._running):
                self._end(task, "lapsed")

    async def _hold(self, call):
        if call.get("fence", 0) < self._fence:
            return 409, {"reason": "fence"}
        self._fence = call["fence"]
        if "deadline_ms" in call:
            self._renew(call["deadline_ms"])
        self._ends = [row for row in self._ends if row[0] > call["last_seen"]]
        until_s = time.monotonic() + min(call.get("wait_ms", 0), 2_000) / 1_000
        while not self._ends and time.monotonic() < until_s:
            await asyncio.sleep(0.005)
        now_s = time.monotonic()
        running = [
            [task, run, "", min(99, int(100 * (now_s - began_s) / work_s))]
            for task, (run, _, _, began_s, work_s) in self._running.items()
        ]
        return 200, {"running": running, "finished": self._ends[:500]}

    async def watch_lease(self):
        """Let the lease expire on time; never returns."""
        while True:
            self.expire()
            await asyncio.sleep(0.01)


class Machine:
    """One process of the project, started again after it has ended by itself."""

    def __init__(self, role, name, ip, folder, lab, app=""):
        self.role, self.name, self.ip = role, name, ip
        self.ended_by_itself = 0
        self._lab = lab
        self._settings = Path(folder) / f"{name}.toml"
        self.log = Path(folder) / f"{name}.log"
        self._process = None
        self._keeper = None
        self._is_wanted = True
        self._settings.write_text(self._settings_text(app), encoding="utf-8")

    def address(self, port):
        """Return one of the machine's addresses."""
        return Address(self.ip, port)

    def _settings_text(self, app):
        is_front = self.role == "entry"
        lines = [
            f'node = "{self.name}"',
            f'role = "{self.role}"',
            f'ip = "{self.ip}"',
            'zone = "z1"\nregion = "r1"',
            f"port_range = {LINK_PORTS}",
            f"seeds = {json.dumps(self._lab.seeds)}",
            f"heartbeat_ms = {int(HEARTBEAT_S * 1_000)}",
            'control_mode = "invoke"',
        ]
        if not is_front:
            lines += [f'app = "{app}"', f'service = "{SERVICE}"']
        lines += ["[listen]", f'control = "{self.ip}:{CONTROL}"']
        if is_front:
            lines += [
                f'front = "{self.ip}:{FRONT}"',
                f'readiness = "{self.ip}:{READINESS}"',
            ]
        lines += ["[bounds]", *(f"{key} = {value}" for key, value in BOUNDS.items())]
        lines += ["[platform]", f'addr = "{self._lab.store_address}"']
        return "\n".join(lines) + "\n"

    async def start(self):
        """Start the process, and keep it running."""
        await self._spawn()
        self._keeper = asyncio.create_task(self._keep())

    async def _spawn(self):
        words = self._lab.commands[self.role].split()
        kept = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        environment = kept | {
            "PLANTAINHITCH_CONFIG": str(self._settings),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
        }
        with self.log.open("ab") as log:
            self._process = await asyncio.create_subprocess_exec(
                *words,
                cwd=ROOT,
                env=environment,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self._lab.record.write(self.name, "started", pid=self._process.pid)

    async def _keep(self):
        while self._is_wanted:
            code = await self._process.wait()
            if not self._is_wanted:
                return
            if code != -signal.SIGKILL:
                self.ended_by_itself += 1
            self._lab.record.write(self.name, "has ended", exit_code=code)
            await asyncio.sleep(RESTART_S)
            if self._is_wanted:
                await self._spawn()

    def send_signal(self, number):
        """Send a signal to the process."""
        self._lab.record.write(self.name, f"gets {signal.Signals(number).name}")
        self._process.send_signal(number)

    async def stop(self):
        """End the process for good, also one that is being started again."""
        self._is_wanted = False
        while True:
            if self._process is not None and self._process.returncode is None:
                with contextlib.suppress(ProcessLookupError):
                    self._process.kill()
            if self._keeper is None or self._keeper.done():
                break
            await asyncio.wait({self._keeper}, timeout=0.05)
        if self._process is not None:
            await self._process.wait()


class Lab:
    """The deployment; use it in ``async with``."""

    def __init__(self, folder, entries=2, minions=3, cpu=16_000, routes=None):
        self.record = Record(folder)
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text("utf-8"))
        self.commands = {name: role["run"] for name, role in deploy["roles"].items()}
        self._temporary = tempfile.TemporaryDirectory(prefix="review-")
        self.folder = Path(self._temporary.name)
        self._counts = entries, minions, cpu
        self._routes = routes or [{}]
        self._network = _free_network(entries + minions)
        self.store = RowsStandIn()
        self.store_address = None
        self.seeds = [f"{self._network}.{n + 1}:{CONTROL}" for n in range(entries)][:3]
        self.entries, self.agents, self.minions = [], [], []
        self._servers, self._tasks = [], []

    async def __aenter__(self):
        try:
            await self._start()
        except BaseException:
            await self.__aexit__()
            raise
        return self

    async def _start(self):
        self.store_address = await self.serve(self.store, Address("127.0.0.1", 0))
        self.store.put("op", "config", msgspec.json.encode(self._configuration()))
        entries, minions, cpu = self._counts
        for number in range(minions):
            ip = f"{self._network}.{entries + number + 1}"
            minion = Minion(f"i-{secrets.token_hex(4)}", self.record, cpu)
            address = await self.serve(minion, Address(ip, APP))
            agent = Machine("agent", f"agent-{number}", ip, self.folder, self, address)
            self.minions.append(minion)
            self.agents.append(agent)
            self._tasks.append(asyncio.create_task(minion.watch_lease()))
            beats = self._send_heartbeats(minion, agent.address(CONTROL))
            self._tasks.append(asyncio.create_task(beats))
        for number in range(entries):
            ip = f"{self._network}.{number + 1}"
            self.entries.append(
                Machine("entry", f"entry-{number}", ip, self.folder, self)
            )
        await asyncio.gather(*(m.start() for m in (*self.entries, *self.agents)))
        await self._wait_until_serving()

    async def __aexit__(self, *error):
        for task in self._tasks:
            task.cancel()
        machines = (*self.entries, *self.agents)
        await asyncio.gather(*(machine.stop() for machine in machines))
        for server in self._servers:
            await server.aclose(grace_ms=0)
        self._temporary.cleanup()

    async def serve(self, app, address):
        """Serve an ASGI application and return its address."""
        server = await serve(app, address)
        self._servers.append(server)
        return server.address

    def runs(self, job_id=""):
        """Return the runs at all endpoints, as (endpoint, row), oldest first."""
        found = [
            (minion.name, row)
            for minion in self.minions
            for row in minion.runs
            if row[0].startswith(job_id)
        ]
        return sorted(found, key=lambda item: item[1][3])

    def _configuration(self):
        route = {
            "name": "r0",
            "host": HOST,
            "path_prefix": PREFIX,
            "kind": "non_idempotent",
            "timeout_ms": 1_500,
            "target_latency_ms": 60,
            "priority": 0,
            "service": SERVICE,
            "max_attempts": 3,
            "stretch": 1.6,
        }
        return {
            "version": 7,
            "routes": [route | changes for changes in self._routes],
            "services": [{"name": SERVICE, "admission_check": False}],
            "limits": {"max_body_bytes": 262_144},
        }

    async def _wait_until_serving(self):
        """Wait until each entry has served a job on every endpoint's worth of room."""
        until_s = time.monotonic() + START_TIMEOUT_S
        width = self._counts[1]
        for entry in self.entries:
            while True:
                if time.monotonic() > until_s:
                    raise TimeoutError("the deployment does not serve")
                job_id = secrets.token_hex(8)
                body = job("50 warm-up", width, 50, anti_affinity=1)
                status, _ = await request(
                    self.record, entry, "POST", job_id, body, quiet=True
                )
                places = {name for name, _ in self.runs(job_id)}
                if status == 200 and len(places) == width:
                    break
                await asyncio.sleep(0.2)
        self.record.write("lab", "the deployment serves")

    async def _send_heartbeats(self, minion, address):
        while True:
            path, body = minion.heartbeat()
            await http_call(address, "PUT", path, body, timeout_s=1.0)
            await asyncio.sleep(HEARTBEAT_S if minion.runs else 0.3)


def job(spec, count, est_ms, cpu=1_000, **fields):
    """Return the body that submits a job of one step."""
    step = {"count": count, "cpu": cpu, "mem_mb": 64, "est_runtime_ms": est_ms}
    return {"spec": spec, "steps": [step | fields], "best_effort": True}


async def request(record, entry, method, job_id, body=None, wait_ms=1_500, quiet=False):
    """Send a client's request; return (status, answer), the status 0 for none.

    The client waits for as long as it says in ``X-Deadline-Ms``, and then closes its
    channel.
    """
    if not quiet:
        record.write("client", f"{method} at {entry.name}", job=job_id)
    status, answer = await http_call(
        entry.address(FRONT),
        method,
        PREFIX + job_id,
        body,
        timeout_s=wait_ms / 1_000,
        headers={"Host": HOST, "X-Deadline-Ms": str(wait_ms)},
    )
    if not quiet:
        record.write(
            "client", f"answer of {entry.name}: {status}", job=job_id, body=answer
        )
    return status, answer


async def http_call(address, method, path, body, timeout_s, headers=None):
    """Make one HTTP call on a channel of its own; return (status, body)."""
    data = b"" if body is None else msgspec.json.encode(body)
    lines = [f"{method} {path} HTTP/1.1"]
    fields = {"Host": str(address)} | (headers or {})
    lines += [f"{name}: {value}" for name, value in fields.items()]
    lines += ["Content-Type: application/json", f"Content-Length: {len(data)}"]
    message = "\r\n".join(lines).encode() + b"\r\n\r\n" + data
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(address.host, address.port)
            writer.write(message)
            head = await reader.readuntil(b"\r\n\r\n")
            status = int(head.split()[1])
            length = 0
            for line in head.lower().split(b"\r\n"):
                if line.startswith(b"content-length:"):
                    length = int(line.split(b":")[1])
            return status, (await reader.readexactly(length)).decode()
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return 0, ""
    finally:
        if writer is not None:
            writer.close()


def overlaps(runs):
    """Return pairs of runs of one task that were at work at the same time."""
    found = []
    for index, (name, row) in enumerate(runs):
        for other_name, other in runs[index + 1 :]:
            if other[0] == row[0] and (row[4] is None or other[3] < row[4]):
                found.append((name, row, other_name, other))
    return found


def main(folder, case):
    """Run ``case(record folder, is_troubled)`` and exit with its result.

    The result is 1 for a broken rule and 0 for a kept one; an error exits with 2.
    """
    is_troubled = os.environ.get("TROUBLE", "1") != "0"
    logging.disable(logging.CRITICAL)  # calls that are open when the lab closes
    try:
        result = asyncio.run(case(folder, is_troubled))
    except Exception as error:
        print(f"the case could not run: {error!r}")
        sys.exit(2)
    sys.exit(result)


def _free_network(hosts):
    """Return the first three parts of loopback addresses with free ports."""
    while True:
        network = f"127.{secrets.randbelow(200) + 20}.{secrets.randbelow(250) + 1}"
        try:
            for host in range(1, hosts + 1):
                for port in (FRONT, READINESS, CONTROL, APP, *LINK_PORTS):
                    with socket.socket() as probe:
                        probe.bind((f"{network}.{host}", port))
        except OSError:
            continue
        return network
