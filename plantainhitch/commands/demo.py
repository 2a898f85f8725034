"""``plantainhitch demo``: the whole system in one process, on loopback.

The platform stand-in, two entries, and agents with endpoint stand-ins of unequal
speed run as tasks of one event loop; one job of each class is submitted to them.
"""

import asyncio
import random
import uuid
from dataclasses import dataclass

import msgspec

from .. import logs
from ..clock import Clock
from ..loadgen.ideal import EndpointModel, Fleet, ideal_ms
from ..settings import Settings
from ..standins.endpoint import EndpointOptions, EndpointStandIn
from ..standins.platform import PlatformStandIn
from ..state import class_files
from ..transport.addresses import Address
from ..transport.http_server import serve
from . import agent, entry
from .class_changes import class_tables
from .client import Answered, EntryClient
from .exit_codes import ExitCode
from .jobs import JobRunner, encode_job
from .lifecycle import StopSignals
from .output import format_table, print_error

LOOPBACK = Address("127.0.0.1", 0)
ENTRY_COUNT = 2
SPEEDS = (2.0, 1.0, 1.0, 0.5)
SLOTS = 4
TASKS_PER_JOB = 16
RUN_MS = (50, 400)
SEED = 1
START_TIMEOUT_S = 30
JOB_TIMEOUT_MS = 30_000
POLL_INTERVAL_S = 0.05
MS_PER_S = 1_000

CLASSES = """
[classes.render]
answers_within_ms = 1_000
claims_at_least = 0.3
repeatable = true

[classes.sync]
answers_within_ms = 800
claims_at_least = 0.2
repeatable = true

[classes.ping]
answers_within_ms = 1_500
claims_at_least = 0.1

[classes.quote]
answers_within_ms = 1_200
claims_at_least = 0.2
repeatable = true

[classes.stock]
answers_within_ms = 800
claims_at_least = 0.1
repeatable = true

[classes.booking]
answers_within_ms = 3_000
claims_at_least = 0.1
"""


@dataclass(frozen=True, slots=True)
class JobLine:
    """One row of the printed table, for one job; times in ms."""

    class_name: str
    tasks: int
    response_ms: int
    ideal_ms: int
    state: str

    @property
    def cells(self):
        """The texts and numbers of the row."""
        ratio = self.response_ms / self.ideal_ms
        return (
            self.class_name,
            self.tasks,
            self.response_ms,
            self.ideal_ms,
            f"{ratio:.2f}",
            self.state,
        )


class DemoError(Exception):
    """The fleet of the demonstration couldn't be started."""


class DemoFleet:
    """The platform, the entries, the agents and their endpoints as tasks."""

    def __init__(self, clock):
        self._clock = clock
        self._signals = StopSignals()
        self._platform = None
        self._endpoints = []
        self._tasks = []
        self._entries = []

    @property
    def entries(self):
        """The HTTP addresses of the entries."""
        return self._entries

    async def start(self):
        """Start all processes as tasks and wait until each of them listens."""
        self._platform = await serve(PlatformStandIn().application(), LOOPBACK)
        for number in range(1, ENTRY_COUNT + 1):
            bound = await self._start_process(entry.run, f"entry-{number}")
            self._entries.append(bound["http"])
        for number, speed in enumerate(SPEEDS, start=1):
            bound = await self._start_process(agent.run, f"agent-{number}")
            options = EndpointOptions(f"endpoint-{number}", SLOTS, speed)
            endpoint = EndpointStandIn(options, self._clock)
            await endpoint.start(LOOPBACK, bound["http"])
            self._endpoints.append(endpoint)

    async def aclose(self):
        """Drain the entries and agents and stop everything."""
        self._signals.drain.set()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for endpoint in self._endpoints:
            await endpoint.aclose()
        if self._platform is not None:
            await self._platform.aclose(grace_ms=0)

    async def _start_process(self, run, name):
        """Start an entry or agent and return its bound addresses, by name."""
        settings = Settings(
            name=name,
            zone="zone-a",
            http=LOOPBACK,
            link=LOOPBACK,
            platform=self._platform.address,
        )
        bound = asyncio.get_running_loop().create_future()

        def announce(**addresses):
            bound.set_result(addresses)

        task = asyncio.create_task(
            run(settings, self._clock, lambda: self._signals, announce)
        )
        self._tasks.append(task)
        await asyncio.wait((task, bound), return_when=asyncio.FIRST_COMPLETED)
        if task.done():
            task.result()
            raise DemoError(f"{name} ended at once")
        return bound.result()


def demo(json=False):
    """Run a job of each class through a small fleet in this process.

    Exit codes: 0 all jobs complete, 1 otherwise.

    Args:
        json: print the table as JSON.
    """
    handler = logs.configure("error")
    try:
        lines = asyncio.run(_demo())
    finally:
        handler.pop_application()
    if json:
        print(msgspec.json.encode(lines).decode())
    else:
        headers = ("class", "tasks", "response ms", "ideal ms", "ratio", "state")
        print(format_table(headers, [line.cells for line in lines]))
    is_complete = lines and all(line.state == "complete" for line in lines)
    return ExitCode.OK if is_complete else ExitCode.FAILED


async def _demo():
    clock = Clock()
    fleet = DemoFleet(clock)
    try:
        await fleet.start()
        content = class_files.from_text(CLASSES).unwrap()
        async with EntryClient(fleet.entries) as client:
            await _apply(client, content)
        for address in fleet.entries:
            async with EntryClient([address]) as client:
                await asyncio.wait_for(_wait_until_linked(client), START_TIMEOUT_S)
        return await _run_jobs(fleet.entries, clock, content.classes)
    except (DemoError, TimeoutError) as error:
        print_error(f"the demonstration did not start: {error!r}")
        return []
    finally:
        await fleet.aclose()


async def _apply(client, content):
    classes, teams = class_tables(content)
    change = {
        "base_version": 0,
        "change_id": uuid.uuid4().hex,
        "author": "demo",
        "classes": classes,
        "teams": teams,
    }
    reply = await client.call("PUT", "/v1/classes", msgspec.json.encode(change))
    if not isinstance(reply, Answered):
        raise DemoError(str(reply))


async def _wait_until_linked(client):
    """Wait until the entry is ready and linked to every endpoint."""
    while not await _is_linked(client):
        await asyncio.sleep(POLL_INTERVAL_S)


async def _is_linked(client):
    if not isinstance(await client.get("/health/ready"), Answered):
        return False
    reply = await client.get("/v1/endpoints")
    if not isinstance(reply, Answered):
        return False
    endpoints = msgspec.json.decode(reply.body)["endpoints"]
    available = [item for item in endpoints if item["linked"] and item["ready"]]
    return len(available) == len(SPEEDS)


async def _run_jobs(addresses, clock, class_names):
    """Run one job of each class, one after another, with the entries in turn."""
    random_source = random.Random(SEED)
    model = Fleet(tuple(EndpointModel(SLOTS, speed) for speed in SPEEDS))
    lines = []
    for number, class_name in enumerate(class_names):
        run_times_ms = [random_source.randint(*RUN_MS) for _ in range(TASKS_PER_JOB)]
        first = number % len(addresses)
        async with EntryClient([*addresses[first:], *addresses[:first]]) as client:
            line = await _run_job(client, clock, class_name, run_times_ms, model)
        lines.append(line)
    return lines


async def _run_job(client, clock, class_name, run_times_ms, model):
    bodies = [b'{"sleep_ms":%d}' % run_ms for run_ms in run_times_ms]
    runner = JobRunner(client, clock, JOB_TIMEOUT_MS)
    started_ms = clock.now_ms()
    result = await runner.run(encode_job(class_name, bodies))
    response_ms = clock.now_ms() - started_ms
    state = result.answer.state if result.answer else result.detail
    ideal = round(ideal_ms(run_times_ms, model))
    return JobLine(class_name, len(bodies), response_ms, ideal, state)
