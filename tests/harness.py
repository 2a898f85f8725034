"""Separate processes on loopback for the tests of failures.

A ``Fleet`` starts a platform stand-in, entries, and agents with their endpoint
stand-ins, on ports that the system chooses. The links to each agent, and the
connections to the platform, go through a ``Forwarder`` that injects connection faults.
"""

import asyncio
import contextlib
import itertools
import json
import os
import signal
import socket
import struct
import sys
import tempfile
import time
import unittest
from contextlib import asynccontextmanager
from dataclasses import dataclass
from pathlib import Path

import httpx

from plantainhitch.verify.ledger import CallHistory, Start

ROOT = Path(__file__).resolve().parent.parent
READY_TIMEOUT_S = 30
CONDITION_TIMEOUT_S = 30
STOP_TIMEOUT_S = 60
CALL_TIMEOUT_S = 60
CLIENT_COUNT = 16
LOG_TAIL_LINES = 15
BACKLOG = 100
# The socket option SO_LINGER of a connection that is reset when it is closed.
RESET = struct.pack("ii", 1, 0)
CLASSES = {
    "render": {"answers_within_ms": 1_000, "timeout_ms": 30_000},
    "ping": {"answers_within_ms": 1_000, "timeout_ms": 30_000},
    "sync": {
        "answers_within_ms": 500,
        "claims_at_least": 0.3,
        "repeatable": True,
        "timeout_ms": 6_000,
    },
}


class ProcessTestCase(unittest.IsolatedAsyncioTestCase):
    """A test with many concurrent callers; turns off the loop's slow debug mode."""

    async def asyncSetUp(self):
        asyncio.get_running_loop().set_debug(False)


def wall_ms():
    """Return the wall-clock time in ms, the unit of the ledgers' start times."""
    return time.time_ns() // 1_000_000


class Process:
    """A child process that is signalled by its process id only."""

    def __init__(self, name, process, ready, log_path):
        self.name = name
        self.ready = ready
        self.log_path = log_path
        self._process = process

    @classmethod
    async def start(cls, name, folder, *arguments):
        """Run ``plantainhitch`` with ``arguments`` and wait for its ready line.

        Raises ``AssertionError`` with the end of the log where the process ends or
        ``READY_TIMEOUT_S`` passes first.
        """
        log_path = Path(folder) / f"{name}-{time.monotonic_ns()}.log"
        with log_path.open("wb") as log:
            process = await asyncio.create_subprocess_exec(
                *(sys.executable, "-m", "plantainhitch", *arguments),
                cwd=ROOT,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=asyncio.subprocess.PIPE,
                stderr=log,
            )
        try:
            line = await asyncio.wait_for(process.stdout.readline(), READY_TIMEOUT_S)
        except TimeoutError:
            line = b""
        if not line:
            if process.returncode is None:
                process.kill()
            raise AssertionError(
                f"{name} printed no ready line: {log_path.read_text()[-2000:]}"
            )
        return cls(name, process, json.loads(line), log_path)

    @property
    def pid(self):
        """The process id."""
        return self._process.pid

    @property
    def is_running(self):
        return self._process.returncode is None

    def send_signal(self, signal_number):
        """Send a signal, unless the process has ended."""
        # The event loop may learn of the end later than the system.
        if self.is_running:
            with contextlib.suppress(ProcessLookupError):
                os.kill(self._process.pid, signal_number)

    def pause(self):
        self.send_signal(signal.SIGSTOP)

    def resume(self):
        self.send_signal(signal.SIGCONT)

    def terminate(self):
        self.send_signal(signal.SIGTERM)

    async def kill(self):
        self.send_signal(signal.SIGKILL)
        return await self.wait()

    async def wait(self, timeout_s=STOP_TIMEOUT_S):
        """Wait for the process to end; return its exit code.

        Raises ``TimeoutError`` after ``timeout_s``.
        """
        return await asyncio.wait_for(self._process.wait(), timeout_s)


class Forwarder:
    """A TCP proxy to a target that injects connection faults, until ``heal``.

    ``cut`` accepts a connection before it resets it; ``refuse`` accepts none, like an
    address at which nothing listens.

    ``delay_s`` delays each chunk of bytes, in both directions.
    """

    def __init__(self):
        self.target = None
        self.delay_s = 0.0
        self.address = ""
        # Bound to the address, also while it refuses connections.
        self._socket = None
        self._is_listening = False
        self._is_refusing = False
        self._is_target_down = False
        self._is_target_held = False
        self._is_cutting = False
        self._is_cutting_answers = False
        self._released = asyncio.Event()
        self._released.set()
        self._writers = set()
        self._target_writers = set()
        # Those of the connections that ``hold_present`` holds.
        self._held_writers = set()
        # Those of the connections of which one side isn't told that they have ended.
        self._half_open_writers = set()
        self._tasks = set()

    @classmethod
    async def start(cls, host="127.0.0.1", port=0):
        forwarder = cls()
        forwarder._bind((host, port))
        host, port = forwarder._socket.getsockname()
        forwarder.address = f"{host}:{port}"
        forwarder._update_listener()
        return forwarder

    @property
    def is_target_down(self):
        """Whether nothing listens at the target, so that connections are refused."""
        return self._is_target_down

    @is_target_down.setter
    def is_target_down(self, is_target_down):
        self._is_target_down = is_target_down
        self._update_listener()

    def hold(self):
        """Stop forwarding in both directions until ``heal``, losing no bytes."""
        self._released.clear()

    def hold_present(self):
        """Hold the connections that are open now until ``heal``; new ones work."""
        self._held_writers = set(self._writers)

    def hold_from_target(self):
        """Stop forwarding from the target until ``heal``, losing no bytes."""
        self._is_target_held = True

    def cut(self):
        """Reset all connections, losing bytes in flight, and refuse new ones."""
        self._is_cutting = True
        self._reset_all(self._writers)

    def cut_answers(self):
        """Reset each connection in the middle of the target's next bytes."""
        self._is_cutting_answers = True

    def refuse(self):
        """Stop listening until ``heal``, and reset all connections."""
        self.refuse_new()
        self._reset_all(self._writers)

    def refuse_new(self):
        """Stop listening until ``heal``; the open connections work."""
        self._is_refusing = True
        self._update_listener()

    def accept_late(self):
        """Accept no connection until ``heal``; the backlog is full with the first."""
        if self._is_listening:
            asyncio.get_running_loop().remove_reader(self._socket)
            self._socket.listen(0)

    def lose_callers(self):
        """Reset all connections on the callers' side; the target isn't told."""
        self._half_open_writers |= self._writers
        self._reset_all(self._writers - self._target_writers)

    def lose_target(self):
        """Reset all connections on the target's side; the callers aren't told."""
        self._half_open_writers |= self._writers
        self._reset_all(self._target_writers)

    def heal(self):
        """End all faults."""
        self._is_refusing = False
        self._is_cutting = False
        self._is_cutting_answers = False
        self._is_target_held = False
        self.delay_s = 0.0
        self._held_writers = set()
        self._half_open_writers = set()
        self._released.set()
        self._update_listener()

    async def aclose(self):
        self.refuse()
        self._socket.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def _bind(self, address):
        self._socket = socket.socket()
        self._socket.setblocking(False)
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._socket.bind(address)

    def _update_listener(self):
        loop = asyncio.get_running_loop()
        if not (self._is_refusing or self._is_target_down):
            self._socket.listen(BACKLOG)
            loop.add_reader(self._socket, self._accept)
            self._is_listening = True
        elif self._is_listening:
            loop.remove_reader(self._socket)
            address = self._socket.getsockname()
            self._socket.close()
            self._bind(address)
            self._is_listening = False

    @staticmethod
    def _reset_all(writers):
        for writer in list(writers):
            connection = writer.get_extra_info("socket")
            if connection is not None and connection.fileno() >= 0:
                connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
            writer.transport.abort()

    def _accept(self):
        try:
            connection, _ = self._socket.accept()
        except (BlockingIOError, ConnectionAbortedError):
            return
        task = asyncio.create_task(self._serve(connection))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _serve(self, connection):
        try:
            reader, writer = await asyncio.open_connection(sock=connection)
        except OSError:
            connection.close()
            return
        self._writers.add(writer)
        try:
            await self._forward(reader, writer)
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            writer.transport.abort()
            self._writers.discard(writer)

    async def _forward(self, reader, writer):
        if self._is_cutting or self.target is None:
            return
        host, _, port = self.target.rpartition(":")
        target_reader, target_writer = await asyncio.open_connection(host, int(port))
        self._writers.add(target_writer)
        self._target_writers.add(target_writer)
        relays = [
            asyncio.create_task(self._relay(reader, target_writer)),
            asyncio.create_task(
                self._relay(target_reader, writer, is_from_target=True)
            ),
        ]
        try:
            await asyncio.wait(relays, return_when=asyncio.FIRST_COMPLETED)
            await asyncio.sleep(0)
            while writer in self._half_open_writers:
                await asyncio.sleep(0.01)
        finally:
            for relay in relays:
                relay.cancel()
            target_writer.transport.abort()
            self._writers.discard(target_writer)
            self._target_writers.discard(target_writer)

    async def _relay(self, reader, writer, is_from_target=False):
        while data := await reader.read(65_536):
            await self._released.wait()
            while writer in self._held_writers:
                await asyncio.sleep(0.01)
            await asyncio.sleep(self.delay_s)
            while is_from_target and self._is_target_held:
                await asyncio.sleep(0.01)
            if is_from_target and self._is_cutting_answers:
                writer.write(data[: len(data) // 2])
                self._reset_all([writer])
                return
            writer.write(data)
            await writer.drain()
        if writer not in self._half_open_writers:
            writer.write_eof()


@dataclass
class Agent:
    """An agent, its endpoint, and the forwarder of the links to the agent."""

    process: Process
    endpoint: Process
    link: Forwarder

    @property
    def name(self):
        return self.endpoint.name


class Fleet:
    """Entries, agents with their endpoints, and a platform; use it in ``async with``.

    ``slots`` is the number of slots of each endpoint, ``classes`` the class document
    that is applied first.
    """

    def __init__(self, *, entries=2, agents=2, slots=4, classes=None):
        self._entry_count = entries
        self._agent_count = agents
        self._slots = slots
        self._classes = classes or CLASSES
        self._folder = tempfile.TemporaryDirectory(prefix="plantainhitch-")
        self._numbers = iter(range(1, 10_000))
        self._processes = []
        self._forwarders = []
        self.history = CallHistory()
        # Several clients: the pool of a single one slows down with many connections.
        limits = httpx.Limits(max_connections=None, max_keepalive_connections=None)
        self._clients = [
            httpx.AsyncClient(timeout=CALL_TIMEOUT_S, limits=limits)
            for _ in range(CLIENT_COUNT)
        ]
        self._next_client = itertools.cycle(self._clients)
        self.entries = []
        self.agents = []
        self.platform = None
        self.platform_link = None
        self._being_replaced = set()
        # Errors of calls that got no valid response.
        self.call_errors = []

    @property
    def http(self):
        """An HTTP client; successive calls take the clients in rotation."""
        return next(self._next_client)

    async def __aenter__(self):
        try:
            await self._start()
        except BaseException:
            await self.__aexit__(*sys.exc_info())
            raise
        return self

    async def __aexit__(self, *error):
        for process in self._processes:
            if process.is_running:
                await process.kill()
        for forwarder in self._forwarders:
            await forwarder.aclose()
        for client in self._clients:
            await client.aclose()
        if error[0] is not None:
            self._print_logs()
        self._folder.cleanup()

    async def _start(self):
        arguments = ("standin", "platform")
        self.platform = await self._process("platform", *arguments)
        self.platform_link = await self._forwarder(self.platform.ready["http"])
        starts = [self.start_entry() for _ in range(self._entry_count)]
        starts += [self.start_agent() for _ in range(self._agent_count)]
        await asyncio.gather(*starts)
        await self.apply_initial_classes()
        await self.wait_until_linked()

    def _print_logs(self):
        """Print the last lines of each process's log, after a failed test."""
        for process in self._processes:
            lines = process.log_path.read_text().splitlines()[-LOG_TAIL_LINES:]
            print(f"--- {process.name}", *lines, sep="\n", file=sys.stderr)

    # Processes

    async def start_entry(self, http="127.0.0.1:0", link="127.0.0.1:0"):
        """Start another entry, at the given addresses where there are any."""
        name = f"entry-{next(self._numbers)}"
        settings = self._settings(name, http, link)
        entry = await self._process(name, "entry", "--settings", settings)
        self.entries.append(entry)
        return entry

    async def start_agent(self, **options):
        """Start another agent and its endpoint, with ``options`` as endpoint flags."""
        number = next(self._numbers)
        link = await self._forwarder()
        process = await self._agent_process(number, link)
        options = {"name": f"endpoint-{number}", "slots": self._slots, **options}
        arguments = [f"--{key}={value}" for key, value in options.items()]
        arguments.append(f"--agent={process.ready['http']}")
        endpoint = await self._process(
            options["name"], "standin", "endpoint", *arguments
        )
        agent = Agent(process, endpoint, link)
        self.agents.append(agent)
        return agent

    async def restart_agent(self, agent):
        """Start a new process for an agent that has ended, at the same addresses."""
        number = next(self._numbers)
        ready = agent.process.ready
        agent.process = await self._agent_process(
            number, agent.link, ready["http"], ready["link"]
        )

    async def restart_entry(self, entry):
        """Start a new process at the addresses of an entry that has ended."""
        return await self.start_entry(entry.ready["http"], entry.ready["link"])

    @asynccontextmanager
    async def replacing(self, rng, candidates):
        """Reserve a random candidate that no other fault is replacing at the moment.

        Waits until there is one. It is free again when the context ends.
        """
        free = [
            candidate
            for candidate in candidates
            if id(candidate) not in self._being_replaced
        ]
        while not free:
            await asyncio.sleep(0.05)
            free = [
                candidate
                for candidate in candidates
                if id(candidate) not in self._being_replaced
            ]
        candidate = rng.choice(free)
        self._being_replaced.add(id(candidate))
        try:
            yield candidate
        finally:
            self._being_replaced.discard(id(candidate))

    async def _agent_process(
        self, number, link, http="127.0.0.1:0", address="127.0.0.1:0"
    ):
        name = f"agent-{number}"
        settings = self._settings(name, http, address, link.address)
        process = await self._process(name, "agent", "--settings", settings)
        link.target = process.ready["link"]
        return process

    async def _process(self, name, *arguments):
        process = await Process.start(name, self._folder.name, *arguments)
        self._processes.append(process)
        return process

    async def _forwarder(self, target=None):
        forwarder = await Forwarder.start()
        forwarder.target = target
        self._forwarders.append(forwarder)
        return forwarder

    def _settings(self, name, http, link, advertised_link=""):
        lines = [
            "[process]",
            f'name = "{name}"',
            'zone = "zone-a"',
            "[listen]",
            f'http = "{http}"',
            f'link = "{link}"',
            f'advertise_link = "{advertised_link}"' if advertised_link else "",
            "[platform]",
            f'address = "{self.platform_link.address}"',
        ]
        path = Path(self._folder.name) / f"{name}.toml"
        path.write_text("\n".join(lines) + "\n")
        return str(path)

    # Operators

    async def apply(self, entry, base_version, classes, author="operator"):
        """Apply a class document over ``base_version``; return the HTTP response."""
        change = {
            "base_version": base_version,
            "change_id": f"change-{next(self._numbers)}",
            "author": author,
            "classes": classes,
        }
        return await self.http.put(self.url(entry, "/v1/classes"), json=change)

    async def apply_initial_classes(self):
        """Apply the fleet's classes as the first version."""
        response = await self.apply(self.entries[0], 0, self._classes)
        if response.status_code != 200:
            raise AssertionError(f"initial classes not applied: {response.text}")

    async def wait_until_linked(self, agents=None, entries=None):
        """Wait until the entries are ready and linked to the ready endpoints."""
        wanted = {agent.name for agent in agents or self.agents}

        async def is_linked(entry):
            ready = await self.http.get(self.url(entry, "/health/ready"))
            endpoints = await self.http.get(self.url(entry, "/v1/endpoints"))
            names = {
                item["name"]
                for item in endpoints.json()["endpoints"]
                if item["linked"] and item["ready"] and item["slots"]
            }
            return ready.status_code == 200 and wanted <= names

        for entry in entries or self.entries:
            await self.wait_until(
                lambda entry=entry: is_linked(entry), "endpoints linked"
            )

    async def wait_until(self, condition, description, timeout_s=CONDITION_TIMEOUT_S):
        """Poll until the coroutine function ``condition`` returns True.

        Raises ``AssertionError`` with ``description`` after ``timeout_s``.
        """
        deadline_s = time.monotonic() + timeout_s
        while not await condition():
            if time.monotonic() > deadline_s:
                raise AssertionError(
                    f"condition not met within {timeout_s} s: {description}"
                )
            await asyncio.sleep(0.05)

    async def drain(self, entry, agent):
        """Drain an agent's endpoint; return when it was ordered, in wall-clock ms."""
        requested_ms = wall_ms()
        url = self.url(entry, f"/v1/endpoints/{agent.name}/drain")
        (await self.http.post(url)).raise_for_status()
        return requested_ms

    async def announce_leave(self, agent):
        """Tell an agent that its endpoint is leaving; return when, in wall-clock ms."""
        await self.set_endpoint_faults(agent, silent=True)
        requested_ms = wall_ms()
        url = self.url(agent.process, "/v1/endpoint/leave")
        (await self.http.post(url)).raise_for_status()
        return requested_ms

    async def set_platform_faults(self, **faults):
        """Replace the faults of the platform stand-in; no arguments clear them."""
        url = f"http://{self.platform.ready['http']}/faults"
        (await self.http.post(url, json=faults)).raise_for_status()

    async def set_endpoint_faults(self, agent, **faults):
        """Replace the faults of an endpoint stand-in; no arguments clear them."""
        url = f"http://{agent.endpoint.ready['http']}/faults"
        (await self.http.post(url, json=faults)).raise_for_status()

    # Callers

    def url(self, process, path):
        """Return the URL of a path at a process's HTTP address."""
        return f"http://{process.ready['http']}{path}"

    async def open_connections(self, entry, count):
        """Open ``count`` keep-alive connections to an entry for later calls."""
        url = self.url(entry, "/health/live")
        await asyncio.gather(*(self.http.get(url) for _ in range(count)))

    async def status(self, entry):
        """Return the decoded status of an entry."""
        return (await self.http.get(self.url(entry, "/v1/status"))).json()

    async def open_ids(self, entry, count=1):
        """Return ``count`` new submission ids issued by an entry."""
        response = await self.http.post(
            self.url(entry, "/v1/ids"), json={"count": count}
        )
        response.raise_for_status()
        return response.json()["ids"]

    def new_job(self, tasks=4, **body):
        """Return the record of a new job; each task's body has its index as ``tag``."""
        bodies = {
            index: {"sleep_ms": 20, "tag": index, **body} for index in range(tasks)
        }
        return self.history.new_job(bodies)

    async def submit(
        self, entry, submission_id, job, class_name="render", wait_ms=30_000, key=None
    ):
        """Submit the job under an id, or under a key; return the HTTP response.

        Records the answer or refusal in the job. Returns None where there was no valid
        response.
        """
        content = {
            "class": class_name,
            "tasks": [{"index": i, "body": body} for i, body in job.bodies.items()],
        }
        headers = {"traceparent": job.traceparent}
        path, method = f"/v1/submissions/{submission_id}", "PUT"
        if key is not None:
            path, method = "/v1/submissions", "POST"
            headers["idempotency-key"] = key
        return await self._call(
            job, method, entry, f"{path}?wait_ms={wait_ms}", headers, content
        )

    async def fetch(self, entry, submission_id, job, wait_ms=30_000):
        """Fetch a submission's answer; records and returns as ``submit`` does."""
        path = f"/v1/submissions/{submission_id}?wait_ms={wait_ms}"
        return await self._call(job, "GET", entry, path, {}, None)

    async def _call(self, job, method, entry, path, headers, content):
        try:
            response = await self.http.request(
                method, self.url(entry, path), headers=headers, json=content
            )
            reply = response.json()
        except (httpx.HTTPError, ValueError) as error:
            self.call_errors.append(repr(error))
            return None
        if response.status_code == 200:
            job.answers.append(reply)
        elif response.status_code != 202:
            job.refusals.append(reply["error"]["not_run"])
        return response

    async def request(self, entry, class_name="ping", repeatable=False, **body):
        """Send a single request; return its record with the answer or refusal."""
        record = self.history.new_request({"sleep_ms": 20, **body}, repeatable)
        content = {"class": class_name, "body": record.body, "repeatable": repeatable}
        try:
            response = await self.http.post(
                self.url(entry, "/v1/requests"),
                headers={"traceparent": record.traceparent},
                json=content,
            )
            reply = response.json()
        except (httpx.HTTPError, ValueError) as error:
            self.call_errors.append(repr(error))
            return record
        if response.status_code == 200:
            record.answer = reply
        else:
            record.refused_as_not_run = reply["error"]["not_run"]
        return record

    # Checks

    async def starts(self):
        """Return the starts in the ledgers of all endpoints."""
        all_starts = []
        for agent in self.agents:
            response = await self.http.get(
                f"http://{agent.endpoint.ready['http']}/ledger"
            )
            all_starts += [
                Start.from_ledger_entry(agent.name, line)
                for line in response.json()["starts"]
            ]
        return all_starts

    async def violations(self):
        """Return a text for each double start and each answer that is wrong."""
        return self.history.violations(await self.starts())
