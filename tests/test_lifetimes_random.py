"""Drawn restarts of one endpoint as other kinds, beside its agent and an entry.

Load pattern: four starts each 5 ms, of 40 ms and a fortieth of the room of the largest
kind. The endpoint begins a new lifetime under the same id every 2 s on average, as one
of three kinds, with a heartbeat up to 1.5 s later. The agent is suspended, and calls
and messages are under way for a drawn time. No network.
"""

import random
import unittest
from dataclasses import dataclass, field

from plantainhitch.clock import ManualClock
from plantainhitch.coordination.runs.run import StartOrder, StopOrder
from plantainhitch.coordination.runs.run_controller import RunController
from plantainhitch.protocol import messages as m
from plantainhitch.state.endpoints import (
    Accepted,
    ActiveRun,
    End,
    EndedRun,
    EndpointReport,
    Inventory,
    NoAnswer,
    Rejected,
    Rejection,
)
from plantainhitch.state.jobs import Room, RunKey

from .deployment import LEASE_TIMES

SEEDS = 6
DURATION_MS = 20_000
# Tasks that begin in a world, at the least.
MIN_BEGUN = 500
STEP_MS = 5
STARTS_PER_STEP = 4
RUN_MS = 40
LABEL = "a"
TASK_ROOM = Room(1_000, 1, 0)
KINDS = (
    (("a", "r1"), Room(40_000, 100, 0)),
    (("a", "r1"), Room(10_000, 100, 0)),
    (("b", "r1"), Room(40_000, 100, 0)),
)
OWNER = b"entry-1"
INVENTORY_INTERVAL_MS = 50
MAX_MESSAGE_DELAY_MS = 60
MAX_CALL_DELAY_MS = 10
MAX_HEARTBEAT_DELAY_MS = 1_500
RESTART_SHARE = 1 / 400
PAUSE_SHARE = 1 / 500
PAUSES_MS = (200, 1_600)


@dataclass
class Lifetime:
    """One lifetime of the endpoint, which guards neither its labels nor its room."""

    born_ms: int
    labels: tuple
    capacity: Room
    fence: int = 0
    running: dict = field(default_factory=dict)
    stopped: set = field(default_factory=set)
    ended: list = field(default_factory=list)

    def end_runs(self, now_ms):
        """End the runs that are done."""
        for key, end_ms in list(self.running.items()):
            if now_ms >= end_ms:
                self.end(key, End.DONE)

    def end(self, key, how):
        """End a run."""
        del self.running[key]
        self.ended.append(EndedRun(len(self.ended) + 1, key, how, ""))

    @property
    def used_millis(self):
        """The processor of all runs."""
        return len(self.running) * TASK_ROOM.cpu_millis


class World:
    """The endpoint, its agent and an entry, in steps of ``STEP_MS``.

    Without ``has_handshake`` a call reaches whatever lifetime is there, and the agent
    ignores inventories of another one. Without ``names_lifetime`` a start doesn't tell
    which one it was placed at.
    """

    def __init__(self, seed, *, has_handshake=True, names_lifetime=True):
        self.violations = []
        self.start_count = self.begun_count = 0
        self._has_handshake = has_handshake
        self._names_lifetime = names_lifetime
        self._rng = random.Random(seed)
        self._clock = ManualClock(10_000)
        self._controller = RunController(self._clock, LEASE_TIMES, first_fence=10_000)
        self._controller.owners.link_opened(OWNER)
        self._controller.owners.link_resynced(OWNER, self._clock.now_ms())
        self._events, self._event_count = [], 0
        self._paused_until_ms = self._inventory_due_ms = 0
        self._order_number = self._last_message_ms = 0
        # What the entry has read last, and what the agent has sent last.
        self._seen = self._sent = self._controller.status()
        self._begin_lifetime()

    def run(self, duration_ms):
        """Play the time; return the violations."""
        end_ms = self._clock.now_ms() + duration_ms
        while self._clock.now_ms() < end_ms:
            self._clock.advance(STEP_MS)
            now_ms = self._clock.now_ms()
            self._life.end_runs(now_ms)
            if self._rng.random() < RESTART_SHARE:
                self._begin_lifetime()
            if self._rng.random() < PAUSE_SHARE:
                self._paused_until_ms = now_ms + self._rng.choice(PAUSES_MS)
            if now_ms >= self._paused_until_ms:
                self._run_agent()
        return self.violations

    def _begin_lifetime(self):
        now_ms = self._clock.now_ms()
        self._life = life = Lifetime(now_ms, *self._rng.choice(KINDS))
        delay_ms = self._rng.choice((0, self._rng.uniform(0, MAX_HEARTBEAT_DELAY_MS)))
        self._at(delay_ms, lambda: self._deliver_heartbeat(life))

    def _deliver_heartbeat(self, life):
        """Deliver the first heartbeat; the agent asks the endpoint to confirm it."""
        if life is self._life:
            report = EndpointReport(
                "e-1",
                life.born_ms,
                1,
                "pool",
                False,
                life.capacity,
                labels=life.labels,
            )
            self._controller.handle_heartbeat(report, is_confirmed=True)

    def _run_agent(self):
        now_ms, controller = self._clock.now_ms(), self._controller
        due = sorted(event[:2] for event in self._events if event[0] <= now_ms)
        actions = {event[:2]: event[2] for event in self._events}
        self._events = [event for event in self._events if event[0] > now_ms]
        for event in due:
            actions[event]()
        controller.owners.record_frame(OWNER, now_ms, 1 << 30)
        controller.next_report(OWNER)
        if (status := controller.status()) != self._sent:
            self._sent = status
            self._send_message(lambda: setattr(self, "_seen", status))
        self._place_tasks()
        for order in controller.next_orders():
            self._send(order)
        if controller.endpoint is not None and now_ms >= self._inventory_due_ms:
            self._inventory_due_ms = now_ms + INVENTORY_INTERVAL_MS
            self._request_inventory()

    def _place_tasks(self):
        """Send starts to the agent, by the status that the entry knows."""
        if not self._seen.ready or LABEL not in self._seen.labels:
            return
        born_ms = self._seen.born_ms if self._names_lifetime else 0
        starts = []
        for _ in range(STARTS_PER_STEP):
            self.start_count += 1
            key = RunKey(f"job.0.0.{self.start_count}", 1)
            starts.append(
                m.RunStart(key, "", TASK_ROOM, RUN_MS, 20, "q", born_ms=born_ms)
            )
        self._order_number += 1
        orders = m.RunOrders(self._order_number, starts)
        self._send_message(
            lambda: self._controller.handle_orders(OWNER, orders, self._clock.now_ms())
        )

    def _send(self, order):
        controller, fence = self._controller, self._controller.fence
        match order:
            case StartOrder(start) if not controller.may_send_start(start.key):
                withdrawn = Rejected(Rejection.WITHDRAWN)
                controller.handle_start_result(start.key, withdrawn, fence)
            case StartOrder(start):
                key = start.key
                controller.record_start_sent(key, fence)
                self._call(
                    fence,
                    lambda life: self._start(life, key),
                    lambda result: controller.handle_start_result(key, result, fence),
                )
            case StopOrder(key):
                self._call(
                    fence,
                    lambda life: self._stop(life, key),
                    lambda result: controller.handle_stop_result(key, result, fence),
                )

    def _request_inventory(self):
        controller, fence = self._controller, self._controller.fence
        asked = controller.endpoint.lifetime
        controller.renew_lease()

        def handle(result):
            if controller.endpoint.lifetime != asked:
                return
            match result:
                case Inventory(born_ms=born_ms) if (
                    born_ms == asked[1] or self._has_handshake
                ):
                    controller.handle_inventory(result, fence)
                case Rejected(Rejection.OTHER_LIFETIME, born_ms=born_ms):
                    controller.answered_as_other_lifetime(born_ms, fence)
                case NoAnswer():
                    controller.inventory_not_answered(fence)

        self._call(fence, self._inventory, handle)

    def _call(self, fence, execute, handle):
        """Carry out a call after a delay, and deliver its answer after another one.

        The connection ends with the lifetime that it was made to: a call or an answer
        that is under way then is lost. Handshakes are answered by the lifetime that is
        there when the call is made.
        """
        controller, life = self._controller, self._life
        if self._has_handshake and controller.endpoint.born_ms != life.born_ms:
            result = Rejected(Rejection.OTHER_LIFETIME, born_ms=life.born_ms)
            self._after_delay(lambda: handle(result))
            return

        def carry_out():
            if self._life is not life:
                handle(NoAnswer())
                return
            if fence < life.fence:
                result = Rejected(Rejection.FENCE, self._clock.now_ms())
            else:
                life.fence = fence
                result = execute(life)
            self._after_delay(
                lambda: handle(result if self._life is life else NoAnswer())
            )

        self._after_delay(carry_out)

    def _start(self, life, key):
        now_ms = self._clock.now_ms()
        if key in life.stopped:
            return Rejected(Rejection.STALE_RUN, now_ms)
        life.running[key] = now_ms + RUN_MS
        self.begun_count += 1
        if LABEL not in life.labels:
            self.violations.append(f"{key.task} began without its label")
        if life.used_millis > life.capacity.cpu_millis:
            self.violations.append(f"{key.task} brought its endpoint over its room")
        return Accepted(now_ms)

    def _stop(self, life, key):
        life.stopped.add(key)
        if key in life.running:
            life.end(key, End.STOPPED)
        return Accepted(self._clock.now_ms())

    def _inventory(self, life):
        running = tuple(ActiveRun(key, "", 50) for key in life.running)
        last_seen = self._controller.lifetime.last_end_number
        ended = tuple(end for end in life.ended if end.number > last_seen)
        return Inventory(self._clock.now_ms(), life.born_ms, running, ended)

    def _send_message(self, action):
        """Deliver a message between agent and entry, in the order of sending."""
        due_ms = self._clock.now_ms() + self._rng.uniform(0, MAX_MESSAGE_DELAY_MS)
        self._last_message_ms = max(self._last_message_ms, due_ms)
        self._at(self._last_message_ms - self._clock.now_ms(), action)

    def _after_delay(self, action):
        """Deliver a call or an answer between agent and endpoint."""
        self._at(self._rng.uniform(0, MAX_CALL_DELAY_MS), action)

    def _at(self, delay_ms, action):
        event_ms = self._clock.now_ms() + delay_ms
        self._event_count += 1
        self._events.append((event_ms, self._event_count, action))


class RestartedEndpointTests(unittest.TestCase):
    """No task begins without its label, or over the room, in any lifetime."""

    def test_no_start_reaches_another_lifetime(self):
        # Review case 9: a minion that was of another kind got tasks of the old one.
        for seed in range(SEEDS):
            with self.subTest(seed=seed):
                world = World(seed)
                self.assertEqual([], world.run(DURATION_MS)[:5])
                self.assertGreater(world.begun_count, MIN_BEGUN)

    def test_the_old_faults_are_found(self):
        for planted in ({"has_handshake": False}, {"names_lifetime": False}):
            with self.subTest(planted):
                worlds = (World(seed, **planted) for seed in range(SEEDS))
                self.assertTrue(any(world.run(DURATION_MS) for world in worlds))


if __name__ == "__main__":
    unittest.main()
