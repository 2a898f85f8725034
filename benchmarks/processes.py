"""Starts the processes of a benchmark on loopback.

They are the platform's stand-in, entries, agents and endpoint stand-ins. The system
chooses all ports; each process prints its own in the JSON line that says it is ready.
"""

import asyncio
import json
import os
import signal
import sys
import tempfile
import time
from dataclasses import asdict, dataclass
from pathlib import Path

from plantainhitch.clock import Clock
from plantainhitch.transport.addresses import Address
from plantainhitch.transport.http_client import HttpClient, HttpResponse

from .product_policy import build_class_document

ROOT = Path(__file__).resolve().parent.parent
READY_TIMEOUT_S = 30
STOP_TIMEOUT_S = 20
CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
JSON_CONTENT_TYPE = (b"Content-Type", b"application/json")
ENDPOINTS_PER_RACK = 3
ZONES = 4


class Process:
    """A child process; it is signalled by its process id only.

    ``ready`` is the decoded line that the process prints when it is ready.
    """

    def __init__(self, name, process, ready):
        self.name = name
        self.ready = ready
        self._process = process
        self._client = None

    @classmethod
    async def start(cls, name, folder, *arguments, module="plantainhitch"):
        """Run ``module`` with ``arguments`` and wait for its ready line.

        Its log goes to ``folder``. Raises ``RuntimeError`` if the process ends first
        and ``TimeoutError`` after ``READY_TIMEOUT_S``.
        """
        with (Path(folder) / f"{name}.log").open("ab") as log:
            process = await asyncio.create_subprocess_exec(
                *(sys.executable, "-m", module, *arguments),
                cwd=ROOT,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=asyncio.subprocess.PIPE,
                stderr=log,
            )
        ready_line = await asyncio.wait_for(process.stdout.readline(), READY_TIMEOUT_S)
        if not ready_line:
            raise RuntimeError(
                f"{name} ended before it was ready; see {folder}/{name}.log"
            )
        return cls(name, process, json.loads(ready_line))

    @property
    def address(self):
        """The HTTP address of the process."""
        return Address.from_text(self.ready.get("http") or self.ready["address"])

    @property
    def is_running(self):
        """Whether the process has not ended."""
        return self._process.returncode is None

    @property
    def pid(self):
        """The process id."""
        return self._process.pid

    def cpu_s(self):
        """Return the CPU time in s that the process has used."""
        fields = Path(f"/proc/{self._process.pid}/stat").read_text().rsplit(")", 1)[1]
        user, system = fields.split()[11:13]
        return (int(user) + int(system)) / CLOCK_TICKS_PER_S

    def resident_mb(self):
        """Return the resident memory in MB."""
        pages = int(Path(f"/proc/{self._process.pid}/statm").read_text().split()[1])
        return pages * os.sysconf("SC_PAGESIZE") / 1e6

    async def call(self, method, path, body=None):
        """Return (status, decoded JSON or text) of one HTTP call.

        Raises ``RuntimeError`` if there is no response.
        """
        if self._client is None:
            self._client = HttpClient(self.address, Clock())
        data = b"" if body is None else json.dumps(body).encode()
        result = await self._client.request(
            method.encode(), path.encode(), data, (JSON_CONTENT_TYPE,) if data else ()
        )
        if not isinstance(result, HttpResponse):
            raise RuntimeError(f"{self.name} {path}: {result}")
        try:
            return result.status, json.loads(result.body) if result.body else None
        except ValueError:
            return result.status, result.body.decode()

    def kill(self):
        """Send SIGKILL to the process if it runs."""
        if self.is_running:
            os.kill(self._process.pid, signal.SIGKILL)

    async def stop(self):
        """Kill the process if it runs, and wait until it has ended."""
        if self._client is not None:
            await self._client.aclose()
        if self.is_running:
            os.kill(self._process.pid, signal.SIGKILL)
        await asyncio.wait_for(self._process.wait(), STOP_TIMEOUT_S)


async def start_node(folder, platform, role, number):
    """Start an entry or an agent with a settings file of its own."""
    name = f"{role}-{number}"
    path = Path(folder) / f"{name}.toml"
    path.write_text(
        f'[process]\nname = "{name}"\nzone = "zone-{number % ZONES}"\n'
        f'rack = "rack-{number // ENDPOINTS_PER_RACK}"\n'
        '[listen]\nhttp = "127.0.0.1:0"\nlink = "127.0.0.1:0"\n'
        f'[platform]\naddress = "{platform.address}"\n'
        '[log]\nlevel = "warning"\n'
    )
    return await Process.start(name, folder, role, "--settings", str(path))


@dataclass(frozen=True, slots=True)
class DeploymentSpec:
    """The fleet, one agent for each of its endpoints, and the number of entries.

    The fleet gives the endpoints' slots and speeds.
    """

    fleet: object
    entries: int = 3


class Deployment:
    """All processes of one run, as an asynchronous context manager."""

    def __init__(self, spec, mix):
        self.spec = spec
        self.mix = mix
        self.platform = None
        self.entries = []
        self.agents = []
        self.endpoints = []
        self._folder = tempfile.TemporaryDirectory(prefix="plantainhitch-bench-")

    @property
    def addresses(self):
        """The HTTP addresses of the entries."""
        return [entry.address for entry in self.entries]

    async def __aenter__(self):
        try:
            await self._start()
        except BaseException:
            await self.aclose()
            raise
        return self

    async def __aexit__(self, *_):
        await self.aclose()

    async def aclose(self):
        """Stop every process that was started and delete the settings and logs."""
        platform = [self.platform] if self.platform else []
        for process in self.entries + self.agents + self.endpoints + platform:
            await process.stop()
        self._folder.cleanup()

    async def starts(self):
        """Return a list of the starts in each endpoint's ledger, in fleet order."""
        pages = await asyncio.gather(
            *(each.call("GET", "/ledger?since=0") for each in self.endpoints)
        )
        return [page["starts"] for _, page in pages]

    async def statuses(self):
        """Return the status documents of the entries that are running."""
        running = [entry for entry in self.entries if entry.is_running]
        return [(await entry.call("GET", "/v1/status"))[1] for entry in running]

    async def _start(self):
        folder = self._folder.name
        self.platform = await Process.start("platform", folder, "standin", "platform")
        numbers = range(len(self.spec.fleet.endpoints))
        self.agents = await asyncio.gather(
            *(self._start_node("agent", number) for number in numbers)
        )
        self.endpoints = await asyncio.gather(
            *(self._start_endpoint(number) for number in numbers)
        )
        self.entries = await asyncio.gather(
            *(self._start_node("entry", number) for number in range(self.spec.entries))
        )
        await self._apply_classes()
        await self._wait_linked()

    async def _start_node(self, role, number):
        return await start_node(self._folder.name, self.platform, role, number)

    async def _start_endpoint(self, number):
        model = self.spec.fleet.endpoints[number]
        return await Process.start(
            f"endpoint-{number}",
            self._folder.name,
            *("standin", "endpoint", "--name", f"endpoint-{number}"),
            *("--slots", str(model.slots), "--speed", str(model.speed)),
            *("--agent", str(self.agents[number].address)),
        )

    async def _apply_classes(self):
        classes = {}
        for name, definition in build_class_document(self.mix).classes.items():
            classes[name] = asdict(definition)
            del classes[name]["name"]
        change = {
            "base_version": 0,
            "change_id": "bench",
            "author": "bench",
            "classes": classes,
        }
        await self._wait_until(
            lambda: self._call_succeeds(self.entries[0], "PUT", "/v1/classes", change)
        )

    async def _wait_linked(self):
        expected_count = len(self.agents)

        async def all_linked():
            for entry in self.entries:
                _, page = await entry.call("GET", "/v1/endpoints")
                ready = [e for e in page["endpoints"] if e["linked"] and e["ready"]]
                _, status = await entry.call("GET", "/v1/status")
                if len(ready) < expected_count or not status["configuration_version"]:
                    return False
            return True

        await self._wait_until(all_linked)

    async def _call_succeeds(self, process, *call):
        status, body = await process.call(*call)
        if 400 <= status < 500:
            raise RuntimeError(f"{process.name} refused {call[:2]}: {body}")
        return status == 200

    async def _wait_until(self, condition):
        until_s = time.monotonic() + READY_TIMEOUT_S
        while not await condition():
            if time.monotonic() > until_s:
                raise RuntimeError(
                    f"timed out after {READY_TIMEOUT_S} s waiting for {condition}"
                )
            await asyncio.sleep(0.1)
