"""A fleet without a network: real schedulers and run controllers on a manual clock.

Entries, agents and endpoints exchange their messages by calls that take one step.
Endpoints run tasks for their true time at their own slowness. For tests and trials
of who waits, who is refused and where work goes.
"""

import heapq
import random
from dataclasses import dataclass, field

from plantainhitch.clock import ManualClock
from plantainhitch.coordination.jobs.outcomes import Ended, JobState
from plantainhitch.coordination.jobs.scheduler import Scheduler
from plantainhitch.coordination.runs.report_pacer import ReportPacer
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
)
from plantainhitch.state.jobs import JobSpec, Room, StepSpec
from plantainhitch.state.routes import Route

STEP_MS = 2
TICK_MS = 24
RENEWAL_MS = 250
AGENT_TICK_MS = 20
LEASE_MS = 1_000
POOL = "pool"
ZONES = 4
CALLER_TIMEOUT_MS = 60_000


@dataclass(frozen=True)
class Kind:
    """One kind of job: tasks, their work, and how many jobs come each second."""

    route: Route
    per_s: float
    tasks: int
    work_ms: float
    cpu_millis: int = 1_600
    worth: float = 1.0


@dataclass(frozen=True)
class Burst:
    """``factor`` times the usual jobs of a kind (all where None) for a while."""

    at_ms: int
    for_ms: int
    factor: float
    kind: str | None = None

    def applies(self, now_ms, name):
        """Return whether the burst raises the rate of a kind now."""
        is_kind = self.kind is None or self.kind == name
        return is_kind and self.at_ms <= now_ms < self.at_ms + self.for_ms


@dataclass
class Answer:
    """What became of one job; ``aim_ms`` is the true objective."""

    kind: Kind
    sent_ms: int
    aim_ms: float
    work: float
    outcome: object = None
    ended_ms: int = 0

    @property
    def took_ms(self):
        """From submission to answer."""
        return self.ended_ms - self.sent_ms

    @property
    def credit(self):
        """1 in the objective, 0.2 up to three times as late, else nothing."""
        if not isinstance(self.outcome, Ended):
            return 0.0
        if self.outcome.state is not JobState.COMPLETED:
            return 0.0
        if self.took_ms <= self.aim_ms:
            return 1.0
        return 0.2 if self.took_ms <= 3 * self.aim_ms else 0.0


class SimLink:
    """One direction of a link: what is sent arrives at the next step."""

    def __init__(self, sim, receive):
        self._sim = sim
        self._receive = receive
        self.is_open = True

    @property
    def last_heard_ms(self):
        """Links of the simulation are never silent while they are open."""
        return self._sim.clock.now_ms() if self.is_open else 0

    def send(self, message):
        """Deliver a message at the next step."""
        if self.is_open:
            self._sim.later(STEP_MS, lambda: self._receive(message))
        return self.is_open

    def close(self, detail=""):
        """Deliver nothing more."""
        self.is_open = False


class SimAgent:
    """An agent with its endpoint; ``slowness`` multiplies the work of tasks."""

    def __init__(self, sim, number, slowness, cpu_millis):
        self.sim = sim
        self.name = f"agent-{number}"
        self.zone = f"z{number % ZONES}"
        self.slowness = slowness
        self.controller = RunController(sim.clock, LEASE_MS, first_fence=1)
        self.report_pacer = ReportPacer(sim.clock)
        self.links = {}
        self.running = {}
        self.ended = []
        self.count = 0
        self.peak_millis = 0
        self.capacity = Room(cpu_millis, 65_536, 0)
        self.controller.handle_heartbeat(
            EndpointReport(f"e-{number}", 1, 1, POOL, False, self.capacity, kind="a")
        )
        self.list_runs()
        self._renew()
        self._tick()

    def _tick(self):
        self.sim.later(AGENT_TICK_MS, self._tick)
        self.act()

    def _renew(self):
        self.sim.later(RENEWAL_MS, self._renew)
        self.controller.lease.record_renewal()
        self._listed()

    def list_runs(self):
        """Pass an inventory to the controller, as a lease renewal does."""
        now_ms = self.sim.clock.now_ms()
        running = tuple(
            ActiveRun(key, "", int(100 * (now_ms - began_ms) / whole_ms))
            for key, (_, began_ms, whole_ms) in self.running.items()
        )
        ended = tuple(
            e for e in self.ended if e.number > self.controller.last_end_number
        )
        self.controller.handle_inventory(Inventory(now_ms + 1, 1, running, ended))
        self.ended = [
            e for e in self.ended if e.number > self.controller.last_end_number
        ]

    def act(self):
        """Carry out the controller's orders and send its reports."""
        for incarnation in self.links:
            self.controller.owners.record_frame(
                incarnation, self.sim.clock.now_ms(), 1 << 60
            )
        for order in self.controller.next_orders():
            match order:
                case StartOrder(start):
                    self._start(start)
                case StopOrder(key):
                    self.end(key, End.STOPPED)
                    self.controller.handle_stop_result(
                        key, Accepted(self.sim.clock.now_ms())
                    )
        self._report()

    def _start(self, start):
        work_ms = self.sim.true_work(start) * self.slowness
        self.running[start.key] = (start, self.sim.clock.now_ms(), work_ms)
        used = sum(s.room.cpu_millis for s, _, _ in self.running.values())
        self.peak_millis = max(self.peak_millis, used)
        self.controller.handle_start_result(
            start.key, Accepted(self.sim.clock.now_ms())
        )
        self.sim.later(work_ms, lambda: self.end(start.key, End.DONE))

    def end(self, key, how):
        """End a run at the endpoint."""
        if self.running.pop(key, None) is None:
            return
        self.count += 1
        self.ended.append(EndedRun(self.count, key, how, ""))
        self.sim.later(1, self._listed)

    def _listed(self):
        self.list_runs()
        self.act()

    def _report(self):
        controller = self.controller
        in_turn = self.report_pacer.next_owner(
            controller.free_room, self.capacity.cpu_millis
        )
        for incarnation, link in self.links.items():
            if (
                incarnation == in_turn
                or controller.owners.get_or_create(incarnation).unsent_ends
            ):
                self.report_pacer.record_sent(incarnation, controller.free_room)
                link.send(controller.next_report(incarnation))


@dataclass
class FleetSim:
    """Entries, agents and callers; ``play`` returns the answers of all jobs."""

    kinds: list
    endpoints: list  # pairs of slowness and thousandths of a core
    entries: int = 4
    seed: int = 1
    spread: float = 0.4
    answers: list = field(default_factory=list)

    def __post_init__(self):
        self.clock = ManualClock(1_000)
        self.rng = random.Random(self.seed)
        self._events = []
        self._touched = set()
        self._order = 0
        self._works = {}
        self._job_number = 0
        self.agents = [
            SimAgent(self, number, slowness, cpu)
            for number, (slowness, cpu) in enumerate(self.endpoints)
        ]
        self.schedulers = [
            Scheduler(
                self.clock,
                LEASE_MS,
                zone=f"z{number % ZONES}",
                rng=random.Random(number),
            )
            for number in range(self.entries)
        ]
        for number, scheduler in enumerate(self.schedulers):
            for agent in self.agents:
                self._link(number, scheduler, agent)

    def later(self, delay_ms, call):
        """Call ``call()`` after ``delay_ms``."""
        self._order += 1
        due_ms = self.clock.now_ms() + delay_ms
        heapq.heappush(self._events, (due_ms, self._order, call))

    def true_work(self, start):
        """Return the true work of a task in ms at slowness 1."""
        job_id, _, _, index = start.key.task.split(".")
        return self._works[job_id][int(index)]

    def play(self, length_ms, bursts=(), settle_ms=15_000):
        """Submit jobs for ``length_ms`` and run until all have been answered."""
        begin_ms = self.clock.now_ms()
        end_ms = begin_ms + length_ms
        while self.clock.now_ms() < end_ms + settle_ms:
            now_ms = self.clock.now_ms()
            if now_ms < end_ms:
                self._arrive(now_ms - begin_ms, bursts)
            while self._events and self._events[0][0] <= now_ms:
                heapq.heappop(self._events)[2]()
            is_tick = now_ms % TICK_MS == 0
            for number, scheduler in enumerate(self.schedulers):
                if is_tick or number in self._touched:
                    self._round(number, scheduler)
            self._touched.clear()
            self.clock.advance(STEP_MS)
            if now_ms >= end_ms and all(a.ended_ms for a in self.answers):
                break
        return self.answers

    def submit(self, kind, entry=None):
        """Submit one job of a kind and return its ``Answer``."""
        self._job_number += 1
        job_id = f"{self._job_number:016x}"
        count = max(1, round(self.rng.gauss(kind.tasks, kind.tasks * self.spread)))
        mean_ms = self._draw(kind.work_ms, self.spread)
        works = [self._draw(mean_ms, 0.15) for _ in range(count)]
        self._works[job_id] = works
        estimate_ms = round(mean_ms * self.rng.uniform(0.6, 1.4))
        room = Room(kind.cpu_millis, 64, 0)
        spec = JobSpec(job_id, "", (StepSpec(count, room, estimate_ms),))
        aim_ms = kind.route.stretch * max(works) + kind.route.target_ms
        work = sum(works) * kind.cpu_millis / 1_000
        answer = Answer(kind, self.clock.now_ms(), aim_ms, work)
        self.answers.append(answer)

        def end(outcome):
            answer.outcome = outcome
            answer.ended_ms = self.clock.now_ms() + STEP_MS

        number = self.rng.randrange(self.entries)
        scheduler = entry or self.schedulers[number]
        self._touched.add(number)
        scheduler.submit(spec, kind.route, CALLER_TIMEOUT_MS, end)
        return answer

    def attainment(self, name=None, since_ms=0, until_ms=1 << 60):
        """Return the mean credit of the jobs of a kind that came in a time."""
        chosen = [
            answer
            for answer in self.answers
            if (name is None or answer.kind.route.name == name)
            and since_ms <= answer.sent_ms - 1_000 < until_ms
        ]
        owed = sum(answer.kind.worth for answer in chosen)
        return sum(a.credit * a.kind.worth for a in chosen) / owed if owed else 1.0

    def _draw(self, mean, spread):
        return min(max(self.rng.gauss(mean, mean * spread), mean * 0.2), mean * 4)

    def _arrive(self, now_ms, bursts):
        for kind in self.kinds:
            rate = kind.per_s
            for burst in bursts:
                if burst.applies(now_ms, kind.route.name):
                    rate *= burst.factor
            if self.rng.random() < rate * STEP_MS / 1_000:
                self.submit(kind)

    def _link(self, number, scheduler, agent):
        incarnation = b"entry-%d" % number
        name = agent.name.encode()
        to_agent = SimLink(
            self, lambda message: self._tell_agent(agent, incarnation, message)
        )
        to_entry = SimLink(
            self, lambda message: self._tell_entry(number, name, message)
        )
        scheduler.agent_linked(
            m.Hello(m.ROLE_AGENT, name, agent.name, agent.zone), to_agent
        )
        agent.controller.owners.link_opened(incarnation)
        agent.controller.owners.record_frame(incarnation, self.clock.now_ms(), 0)
        agent.links[incarnation] = to_entry
        scheduler.handle_agent_message(name, agent.controller.status())
        agent.report_pacer.record_sent(incarnation, agent.controller.free_room)
        scheduler.handle_agent_message(name, agent.controller.next_report(incarnation))

    def _tell_agent(self, agent, incarnation, message):
        if isinstance(message, m.QueueLoads):
            agent.links[incarnation].send(
                agent.controller.handle_queue_loads(incarnation, message.loads)
            )
            return
        agent.controller.handle_orders(incarnation, message, self.clock.now_ms())
        agent.act()

    def _tell_entry(self, number, name, message):
        self.schedulers[number].handle_agent_message(name, message)
        self._touched.add(number)

    def _round(self, number, scheduler):
        for agent, message in scheduler.run_round():
            agent.link.send(message)


def route(name, priority, attempts=3):
    """Return a route as the sites have them."""
    return Route(name, "", "/", POOL, priority, attempts, stretch=1.6, target_ms=60)


RENDER = Kind(route("render", 0), 17.2, 8, 120, worth=0.0291)
SYNC = Kind(route("sync", 2), 3.13, 4, 1_800, worth=0.16)
PING = Kind(route("ping", 1), 50.0, 2, 400, worth=0.01)
# Eleven endpoints of three speeds, as at the sites.
FLEET = [
    (0.6, 16_000),
    (1.0, 16_000),
    (1.6, 16_000),
    (0.6, 24_000),
    (1.0, 16_000),
    (1.6, 16_000),
    (0.6, 16_000),
    (1.0, 24_000),
    (1.6, 24_000),
    (0.6, 16_000),
    (1.0, 16_000),
]
