"""Stand-in for an endpoint: tasks sleep instead of working; starts go to a ledger.

``POST /tasks`` takes ``{"sleep_ms": 120, ...}`` and answers ``{"submission",
"index", "attempt", "body"}``, so that a test can tell which task an answer belongs
to. Tasks beyond the slots wait in order of arrival. ``GET /ledger?since=N`` lists
the starts from number N on, ``POST /faults`` replaces the faults in force.
"""

import asyncio
import signal
import time
from dataclasses import dataclass

import msgspec

from ..clock import Clock
from ..transport.addresses import Address
from ..transport.http_client import HttpClient, HttpResponse
from .endpoint_server import HttpReply, HttpRequest, serve

ANNOUNCE_INTERVAL_MS = 5_000
ANNOUNCE_RETRY_MS = 250
HANG_S = 3_600
JSON_TYPE = (b"Content-Type", b"application/json")
_NOT_RUN = (b"Plantainhitch-Not-Run", b"1")


class TaskBody(msgspec.Struct):
    """The part of a task's body that the stand-in reads.

    ``fail`` makes the task end with status 500 once ``sleep_ms`` has passed.
    """

    sleep_ms: float = 0.0
    fail: bool = False


class CancelBody(msgspec.Struct):
    """The attempt to cancel."""

    submission: str
    index: int
    attempt: int


class Faults(msgspec.Struct, forbid_unknown_fields=True):
    """Faults in force; ``POST /faults`` replaces them all.

    ``next_tasks`` limits them to the next so many tasks, 0 for no limit.
    ``refuse`` answers 503 and not run; ``reset`` resets the connection once the
    task has started; ``hang`` never answers; ``half_answer`` sends half of the
    answer's body and closes the connection; ``late_ms`` delays the answer;
    ``fail_all`` fails each task at once; ``delay_ms`` delays the start;
    ``slowness`` multiplies run times; ``silent`` stops the announcements.
    """

    refuse: bool = False
    reset: bool = False
    hang: bool = False
    half_answer: bool = False
    late_ms: float = 0.0
    fail_all: bool = False
    delay_ms: float = 0.0
    slowness: float = 1.0
    silent: bool = False
    next_tasks: int = 0


class LedgerEntry(msgspec.Struct):
    """One start; times are wall-clock ms, ``end_ms`` is 0 while the task runs."""

    submission: str
    index: int
    attempt: int
    class_name: str
    start_ms: int = 0
    end_ms: int = 0
    cancelled: bool = False
    traceparent: str = ""


class LedgerPage(msgspec.Struct):
    """The starts from a given number on; ``count`` is the number of all starts."""

    count: int
    starts: list[LedgerEntry]


class StatusBody(msgspec.Struct):
    """Slots in use, tasks waiting for a slot, all slots, and starts so far."""

    busy: int
    waiting: int
    slots: int
    started: int


class Announcement(msgspec.Struct):
    """The body of the endpoint's announcement to its agent."""

    name: str
    address: str
    slots: int
    cores: int
    memory_mb: int
    accelerators: int


@dataclass(frozen=True, slots=True)
class EndpointOptions:
    """Properties of the stand-in; with ``speed`` 2 tasks take half their time."""

    name: str = "endpoint"
    slots: int = 8
    speed: float = 1.0
    cores: int = 16
    memory_mb: int = 65_536
    accelerators: int = 0


class EndpointStandIn:
    """One endpoint; ``start`` makes it listen, ``aclose`` stops it."""

    def __init__(self, options, clock=None):
        self._options = options
        self._clock = clock or Clock()
        self._slots = asyncio.Semaphore(options.slots)
        self._tasks_by_attempt = {}
        self._running = 0
        self._waiting = 0
        self._ledger = []
        self._faults = Faults()
        self._server = None
        self._announcer = None
        self._address = None

    @property
    def address(self):
        """The bound address."""
        return self._address

    @property
    def ledger(self):
        """All starts so far, oldest first."""
        return self._ledger

    @property
    def faults(self):
        """The faults in force."""
        return self._faults

    @faults.setter
    def faults(self, faults):
        self._faults = faults

    async def start(self, address, agent=None):
        """Serve at ``address``; announce the endpoint at the agent's HTTP address."""
        self._server = await serve(address, self._handle)
        host, port = self._server.sockets[0].getsockname()[:2]
        self._address = Address(host, port)
        if agent is not None:
            client = HttpClient(agent, self._clock, max_connections=2)
            self._announcer = asyncio.create_task(self._announce(client))

    async def leave(self, agent):
        """Tell the agent that this endpoint is leaving."""
        client = HttpClient(agent, self._clock, max_connections=1)
        await client.request(b"POST", b"/v1/endpoint/leave")
        await client.aclose()

    async def aclose(self):
        """Stop listening and drop the connections."""
        if self._announcer is not None:
            self._announcer.cancel()
        if self._server is not None:
            self._server.close()

    async def _announce(self, client):
        options = self._options
        body = msgspec.json.encode(
            Announcement(
                options.name,
                str(self._address),
                options.slots,
                options.cores,
                options.memory_mb,
                options.accelerators,
            )
        )
        while True:
            interval_ms = ANNOUNCE_INTERVAL_MS
            if not self._faults.silent:
                result = await client.request(
                    b"POST", b"/v1/endpoint", body, (JSON_TYPE,)
                )
                if not isinstance(result, HttpResponse):
                    interval_ms = ANNOUNCE_RETRY_MS
            await self._clock.sleep_ms(interval_ms)

    async def _handle(self, request: HttpRequest):
        match request.method, request.path:
            case b"POST", b"/tasks":
                return await self._run(request)
            case b"POST", b"/tasks/cancel":
                return self._cancel(msgspec.json.decode(request.body, type=CancelBody))
            case b"GET", b"/status":
                return _json_reply(self._status())
            case b"GET", b"/ledger":
                return _json_reply(self._ledger_page(request.query))
            case b"POST", b"/faults":
                self._faults = msgspec.json.decode(request.body, type=Faults)
                return HttpReply(204)
            case b"GET", b"/faults":
                return _json_reply(self._faults)
        return HttpReply(404)

    def _status(self):
        slots = self._options.slots
        return StatusBody(self._running, self._waiting, slots, len(self._ledger))

    def _ledger_page(self, query):
        since = int(query.removeprefix(b"since=") or 0)
        return LedgerPage(len(self._ledger), self._ledger[since:])

    def _cancel(self, body):
        task = self._tasks_by_attempt.get((body.submission, body.index, body.attempt))
        if task is not None:
            task.cancel()
        return HttpReply(204)

    def _faults_for_next_task(self):
        faults = self._faults
        if faults.next_tasks == 1:
            self._faults = Faults()
        elif faults.next_tasks:
            self._faults = msgspec.structs.replace(
                faults, next_tasks=faults.next_tasks - 1
            )
        return faults

    async def _run(self, request):
        faults = self._faults_for_next_task()
        if faults.refuse:
            return HttpReply(503, (_NOT_RUN,))
        entry = _ledger_entry(request.headers)
        key = (entry.submission, entry.index, entry.attempt)
        task = self._tasks_by_attempt[key] = asyncio.current_task()
        try:
            return await self._run_in_slot(request, entry, faults)
        except asyncio.CancelledError:
            task.uncancel()
            if entry.start_ms == 0:
                return HttpReply(503, (_NOT_RUN,))
            entry.cancelled = True
            return HttpReply(500, body=b'{"error": "cancelled"}')
        finally:
            self._tasks_by_attempt.pop(key, None)

    async def _run_in_slot(self, request, entry, faults):
        if faults.delay_ms:
            await self._clock.sleep_ms(faults.delay_ms)
        self._waiting += 1
        try:
            await self._slots.acquire()
        finally:
            self._waiting -= 1
        self._running += 1
        entry.start_ms = _wall_clock_ms()
        self._ledger.append(entry)
        try:
            return await self._execute(request, entry, faults)
        finally:
            self._running -= 1
            self._slots.release()
            entry.end_ms = _wall_clock_ms()

    async def _execute(self, request, entry, faults):
        if faults.fail_all:
            return HttpReply(500, body=b'{"error": "this endpoint fails everything"}')
        if faults.reset:
            return HttpReply(reset=True)
        if faults.hang:
            await asyncio.sleep(HANG_S)
        body = msgspec.json.decode(request.body, type=TaskBody)
        run_ms = body.sleep_ms * faults.slowness / self._options.speed
        await self._clock.sleep_ms(run_ms + faults.late_ms)
        if body.fail:
            return HttpReply(500, body=b'{"error": "asked to fail"}')
        answer = b'{"submission":"%b","index":%d,"attempt":%d,"body":%b}' % (
            entry.submission.encode(),
            entry.index,
            entry.attempt,
            request.body,
        )
        return HttpReply(200, (JSON_TYPE,), answer, is_truncated=faults.half_answer)


async def serve_until_stopped(options, listen, agent):
    """Serve one stand-in until SIGTERM or SIGINT, then tell the agent it leaves."""
    stand_in = EndpointStandIn(options)
    await stand_in.start(listen, agent)
    line = {"ready": True, "name": options.name, "http": str(stand_in.address)}
    print(msgspec.json.encode(line).decode(), flush=True)
    stop_requested = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop_requested.set)
    await stop_requested.wait()
    if agent is not None:
        await stand_in.leave(agent)
    await stand_in.aclose()


def main(listen="127.0.0.1:0", agent="", **options):
    """Run a stand-in; ``options`` are the fields of ``EndpointOptions``."""
    asyncio.run(
        serve_until_stopped(
            EndpointOptions(**options),
            Address.from_text(listen),
            Address.from_text(agent) if agent else None,
        )
    )
    return 0


def _ledger_entry(headers):
    return LedgerEntry(
        headers[b"plantainhitch-submission"].decode(),
        int(headers[b"plantainhitch-index"]),
        int(headers[b"plantainhitch-attempt"]),
        headers.get(b"plantainhitch-class", b"").decode(),
        traceparent=headers.get(b"traceparent", b"").decode(),
    )


def _json_reply(body):
    return HttpReply(200, (JSON_TYPE,), msgspec.json.encode(body))


def _wall_clock_ms():
    return time.time_ns() // 1_000_000
