"""Stand-in for an endpoint of the users' platform: runs, leases, inventories.

It executes nothing: a run takes the time in ms given by its job's payload, and crashes
the endpoint after ``CRASH_DELAY_S`` if the payload is ``DEADLY_PAYLOAD``. Faults:
``fail_all`` ends each run as failed, ``unanswered_starts`` is the number of next
start orders that are applied after ``late_order_s`` without an answer, and ``crash``
discards all state and begins a new lifetime, which may be of another kind. As the
connections of an endpoint end with its process, ``reset_connections`` is called
then; whoever serves the endpoint sets it to ``HttpServer.reset_connections``. A stop
and a lapse take ``stop_ms``, in which the run is at work and listed as running;
``clock_rate`` is the speed of the endpoint's steady clock.
"""

import asyncio
import time

import msgspec

from ..transport.asgi import (
    MAX_SMALL_BODY_BYTES,
    Reply,
    read_body,
    send_reply,
    wait_for_disconnect,
)

MAX_LEASE_MS = 1_000
DEFAULT_RUN_MS = 50
LATE_ORDER_S = 0.3
# The kind of machine and its rack.
DEFAULT_LABELS = ("a", "r1-1")
DEADLY_PAYLOAD = "deadly"
CRASH_DELAY_S = 0.05
_POLL_INTERVAL_S = 0.002


class RunEndpointStandIn:
    """One endpoint, as an ASGI application."""

    def __init__(self, name, pool, cpu_millis=4_000):
        self.name = name
        self.pool = pool
        self.cpu_millis = cpu_millis
        self.labels = DEFAULT_LABELS
        self.reset_connections = lambda: None
        self.fail_all = False
        self.poll_interval_s = _POLL_INTERVAL_S
        self.unanswered_starts = 0
        self.late_order_s = LATE_ORDER_S
        self.stop_ms = 0
        self.clock_rate = 1.0
        self.draining = False
        # All runs started so far, as (task, run), oldest first.
        self.ledger = []
        # The largest CPU in use at any time, in thousandths of a core.
        self.peak_cpu_millis = 0
        self._cpu_of_task = lambda task: 1_000
        self._sequence = 0
        self._begin_lifetime()

    def crash(self, labels=None, cpu_millis=None):
        """Discard all runs, fence and lease, and begin a new lifetime.

        It has the labels and the processor of the last one where these are None.
        """
        for handle in self._timers.values():
            handle.cancel()
        self.labels = labels or self.labels
        self.cpu_millis = cpu_millis or self.cpu_millis
        self._begin_lifetime()
        self.reset_connections()

    def set_task_cpu(self, cpu_of_task):
        """Set the function that returns a task's CPU in millis by the task's name."""
        self._cpu_of_task = cpu_of_task

    def expire_lease(self):
        """End all runs as lapsed if the lease has expired."""
        if self._running and self._clock_ms() > self._lease_until_ms:
            for task in list(self._running):
                self._stop(task, "lapsed")

    def raise_fence(self, fence):
        """Reject orders below ``fence`` from now on.

        The effect is that of orders of an agent whose clock is ahead.
        """
        self._fence = max(self._fence, fence)

    def heartbeat(self):
        """Return the path and the body of the next heartbeat."""
        self._sequence += 1
        body = {
            "service": self.pool,
            "addr": "",
            "zone": "",
            "version": "v1",
            "slots": 8,
            "state": "draining" if self.draining else "ready",
            "cold_left_ms": 0,
            "capacity": {"cpu": self.cpu_millis, "mem_mb": 4_096, "gpu": 0},
            "labels": self.labels,
            "clock_ms": self._clock_ms(),
            "seq": self._sequence,
            "born": self._born,
        }
        return f"/instances/{self.name}", msgspec.json.encode(body)

    async def __call__(self, scope, receive, send):
        """Serve one request."""
        body = await read_body(receive, MAX_SMALL_BODY_BYTES)
        headers = dict(scope["headers"])
        if headers.get(b"x-target-instance", b"").decode() != self.name:
            await send_reply(send, Reply(421, b"{}"))
            return
        call = msgspec.json.decode(body)
        if self.unanswered_starts and scope["path"] == "/run-start":
            self.unanswered_starts -= 1
            await asyncio.sleep(self.late_order_s)
            self._handle_order(scope["path"], call)
            await wait_for_disconnect(receive)
            return
        if scope["path"] == "/hold":
            status, result = await self._handle_hold(call)
        else:
            status, result = self._handle_order(scope["path"], call)
        result |= {"clock_ms": self._clock_ms(), "born": self._born}
        await send_reply(send, Reply(status, msgspec.json.encode(result)))

    def _begin_lifetime(self):
        self._born = int(time.time() * 1_000)
        self._lifetime_started_s = time.monotonic()
        self._fence = 0
        self._lease_until_ms = 0
        self._running = {}
        # The runs that are being stopped, by task.
        self._stopping = {}
        self._run_times = {}
        self._timers = {}
        self._unacknowledged_ends = []
        self._end_count = 0
        self._highest_runs = {}

    def _clock_ms(self):
        elapsed_s = time.monotonic() - self._lifetime_started_s
        return int(elapsed_s * 1_000 * self.clock_rate) + 1

    def _handle_order(self, path, call):
        if call["fence"] < self._fence:
            return 409, {"reason": "fence"}
        self._fence = call["fence"]
        if path == "/run-stop":
            return self._handle_stop(call)
        self._renew(call["deadline_ms"])
        if self._lease_until_ms <= self._clock_ms():
            return 409, {"reason": "late"}
        task, run = call["task"], call["run"]
        if self._running.get(task) == run:
            return 200, {}
        if run <= self._highest_runs.get(task, 0):
            return 409, {"reason": "old"}
        self._start(task, run, call["spec"])
        return 200, {}

    def _start(self, task, run, payload):
        self.ledger.append((task, run))
        self._running[task] = run
        self._highest_runs[task] = run
        used = sum(self._cpu_of_task(name) for name in self._running)
        self.peak_cpu_millis = max(self.peak_cpu_millis, used)
        run_ms = int(payload) if payload.isdigit() else DEFAULT_RUN_MS
        self._run_times[task] = time.monotonic(), run_ms
        loop = asyncio.get_running_loop()
        if payload == DEADLY_PAYLOAD:
            self._timers[task] = loop.call_later(CRASH_DELAY_S, self.crash)
            return
        end = "failed" if self.fail_all else "done"
        self._timers[task] = loop.call_later(run_ms / 1_000, self._end, task, end)

    def _percent(self, task):
        started_s, run_ms = self._run_times[task]
        return min(99, int(100_000 * (time.monotonic() - started_s) / run_ms))

    def _handle_stop(self, call):
        task, run = call["task"], call["run"]
        if self._running.get(task) == run:
            self._stop(task, "stopped")
        self._highest_runs[task] = max(run, self._highest_runs.get(task, 0))
        return 200, {}

    def _stop(self, task, end):
        """End a run after ``stop_ms``, unless it is being stopped already."""
        run = self._running[task]
        if self._stopping.get(task) == run:
            return
        if not self.stop_ms:
            self._end(task, end)
            return
        self._stopping[task] = run
        self._timers[task].cancel()
        loop = asyncio.get_running_loop()
        self._timers[task] = loop.call_later(self.stop_ms / 1_000, self._end, task, end)

    def _end(self, task, end):
        self._stopping.pop(task, None)
        run = self._running.pop(task, None)
        if run is None:
            return
        self._timers.pop(task).cancel()
        self._end_count += 1
        self._unacknowledged_ends.append([self._end_count, task, run, end, ""])

    def _renew(self, until_ms):
        latest_ms = self._clock_ms() + MAX_LEASE_MS
        self._lease_until_ms = max(self._lease_until_ms, min(until_ms, latest_ms))
        remaining_ms = self._lease_until_ms - self._clock_ms() + 1
        remaining_s = remaining_ms / self.clock_rate / 1_000
        asyncio.get_running_loop().call_later(max(remaining_s, 0), self.expire_lease)

    async def _handle_hold(self, call):
        if call["fence"] < self._fence:
            return 409, {"reason": "fence"}
        self._fence = call["fence"]
        if "deadline_ms" in call:
            self._renew(call["deadline_ms"])
        self._unacknowledged_ends = [
            row for row in self._unacknowledged_ends if row[0] > call["last_seen"]
        ]
        until = time.monotonic() + call.get("wait_ms", 0) / 1_000
        while not self._unacknowledged_ends and time.monotonic() < until:
            await asyncio.sleep(self.poll_interval_s)
            self.expire_lease()
        self.expire_lease()
        running = [
            [task, run, "", self._percent(task)] for task, run in self._running.items()
        ]
        return 200, {"running": running, "finished": list(self._unacknowledged_ends)}
