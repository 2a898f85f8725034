"""Simulated fleet: real schedulers and run controllers on a manual clock, no network.

A message between an entry and an agent arrives after one step of the simulation.
Endpoints run tasks for their true run time at their own slowness. For tests and trials
of queueing, rejection and placement.
"""

import heapq
import random
from collections import Counter
from dataclasses import dataclass, field

from plantainhitch.clock import ManualClock
from plantainhitch.coordination.jobs.agent_subset import AgentSubset
from plantainhitch.coordination.jobs.outcomes import Ended, JobState
from plantainhitch.coordination.jobs.scheduler import Scheduler
from plantainhitch.coordination.runs.endpoint_session import INVENTORY_WAIT_MS
from plantainhitch.coordination.runs.report_pacer import ReportPacer
from plantainhitch.coordination.runs.run import StartOrder, StopOrder
from plantainhitch.coordination.runs.run_controller import RunController
from plantainhitch.platform.endpoint import INVENTORY_MARGIN_MS, ORDER_TIMEOUT_MS
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
from plantainhitch.state.jobs import JobSpec, Room, StepSpec
from plantainhitch.state.members import Member
from plantainhitch.state.routes import Route

from .deployment import LEASE_TIMES

STEP_MS = 2
TICK_MS = 24
RENEWAL_MS = INVENTORY_WAIT_MS + INVENTORY_MARGIN_MS
AGENT_TICK_MS = 20
POOL = "pool"
ZONES = 4
# A deadly task crashes its endpoint this long after its start. The agent finds out
# CRASH_NOTICED_MS later, and the endpoint is back after ENDPOINT_DOWN_MS.
CRASH_DELAY_MS = 60
CRASH_NOTICED_MS = 20
ENDPOINT_DOWN_MS = 3_200
# A run at an endpoint that fails its runs fails this long after its start.
FAILURE_DELAY_MS = 30
CALLER_TIMEOUT_MS = 60_000


@dataclass(frozen=True)
class JobKind:
    """One kind of job: its arrival rate, and the number and work of its tasks.

    ``weight`` is the weight of each job's score.
    """

    route: Route
    jobs_per_s: float
    mean_tasks: int
    mean_work_ms: float
    cpu_millis: int = 1_600
    weight: float = 1.0


@dataclass(frozen=True)
class Burst:
    """A period with ``factor`` times the usual arrivals of a kind, None for all.

    ``starts_at_ms`` counts from the start of the simulation. ``entries`` has the
    numbers of the entries whose callers send more, None for all.
    """

    starts_at_ms: int
    duration_ms: int
    factor: float
    kind: str | None = None
    entries: frozenset[int] | None = None

    def is_active(self, now_ms, name):
        """Return whether the burst raises the arrival rate of a kind now."""
        is_kind = self.kind is None or self.kind == name
        return (
            is_kind
            and self.starts_at_ms <= now_ms < self.starts_at_ms + self.duration_ms
        )

    def factor_at(self, entry):
        """Return the factor on the arrivals at an entry while the burst is active."""
        is_at_entry = self.entries is None or entry in self.entries
        return self.factor if is_at_entry else 1.0


@dataclass(frozen=True)
class DeadlyJobs:
    """A period in which a share of the jobs of a kind have one deadly task.

    A deadly task crashes each endpoint that starts it. ``starts_at_ms`` counts from
    the start of the simulation.
    """

    kind: str
    share: float
    starts_at_ms: int
    duration_ms: int

    def may_include(self, now_ms, name):
        """Return whether jobs of a kind that are submitted now may be deadly."""
        return (
            name == self.kind
            and self.starts_at_ms <= now_ms < self.starts_at_ms + self.duration_ms
        )


@dataclass
class Answer:
    """The outcome of one job.

    ``objective_ms`` is the objective by the tasks' true run times, ``work_core_ms`` the
    work of the tasks in core-milliseconds.
    """

    kind: JobKind
    submitted_ms: int
    objective_ms: float
    work_core_ms: float
    job_id: str = ""
    entry: int = 0
    is_deadly: bool = False
    outcome: object = None
    ended_ms: int = 0

    @property
    def took_ms(self):
        """The time from submission to answer."""
        return self.ended_ms - self.submitted_ms

    @property
    def score(self):
        """1 within the objective, 0.2 within three times the objective, else 0."""
        if not isinstance(self.outcome, Ended):
            return 0.0
        if self.outcome.state is not JobState.COMPLETED:
            return 0.0
        if self.took_ms <= self.objective_ms:
            return 1.0
        return 0.2 if self.took_ms <= 3 * self.objective_ms else 0.0


class SimLink:
    """One direction of a link; a message arrives at the next step."""

    def __init__(self, sim, receive):
        self._sim = sim
        self._receive = receive
        self.is_open = True

    @property
    def last_received_ms(self):
        """Now while the link is open: an open link is never silent."""
        return self._sim.clock.now_ms() if self.is_open else 0

    def send(self, message):
        """Deliver a message at the next step."""
        if self.is_open:
            self._sim.call_later(STEP_MS, lambda: self._receive(message))
        return self.is_open

    def set_busy(self, is_busy):
        """Do nothing: an open link is never silent."""

    def close(self, detail=""):
        """Drop all further messages."""
        self.is_open = False


@dataclass(eq=False)
class SimRun:
    """A run at an endpoint; ``done_ms`` of ``work_ms`` were done at ``updated_ms``."""

    start: m.RunStart
    work_ms: float
    updated_ms: int
    done_ms: float = 0.0

    def advance(self, now_ms, slowness):
        """Add the work done since the last update, at one slowness."""
        self.done_ms += (now_ms - self.updated_ms) / slowness
        self.updated_ms = now_ms

    @property
    def percent(self):
        """The progress in whole percent at the last update."""
        return min(int(100 * self.done_ms / self.work_ms), 100)


class SimAgent:
    """An agent with its endpoint; ``slowness`` multiplies the work of tasks.

    ``peak_millis`` is the most processor that was in use at once, and
    ``lost_answer_share`` the share of the endpoint's answers that are lost. While
    ``fails_runs``, each run fails ``FAILURE_DELAY_MS`` after its start.
    """

    def __init__(self, sim, number, slowness, cpu_millis):
        self.sim = sim
        self.name = f"agent-{number}"
        self.zone = f"z{number % sim.zones}"
        self.slowness = slowness
        self.controller = RunController(sim.clock, LEASE_TIMES, first_fence=1)
        self.report_pacer = ReportPacer(sim.clock)
        self.links = {}
        self.running = {}
        self.unacknowledged_ends = []
        self.end_count = 0
        self.born_ms = 1
        self.is_down = False
        self.peak_millis = 0
        self.lost_answer_share = 0.0
        self.fails_runs = False
        self._no_inventory_until_ms = 0
        self._last_status = None
        self.capacity = Room(cpu_millis, 65_536, 0)
        self._number = number
        self._begin_lifetime()
        self._renew_lease()
        self._tick()

    def set_slowness(self, slowness):
        """Change the speed of the endpoint, also for the runs in progress."""
        now_ms = self.sim.clock.now_ms()
        for run in self.running.values():
            run.advance(now_ms, self.slowness)
        self.slowness = slowness
        for run in self.running.values():
            self._end_when_done(run)

    def crash(self, down_ms=ENDPOINT_DOWN_MS):
        """End the endpoint with all its runs; it is back after ``down_ms``."""
        if self.is_down:
            return
        self.is_down = True
        for run in self.running.values():
            self.sim.crashes_by_task[run.start.key.task] += 1
        self.running.clear()
        self.unacknowledged_ends.clear()
        self.end_count = 0
        self.sim.call_later(CRASH_NOTICED_MS, self._notice_crash)
        self.sim.call_later(down_ms, self._begin_lifetime)

    def _notice_crash(self):
        self.controller.connection_refused()
        self.execute_orders()

    def _begin_lifetime(self):
        self.is_down = False
        self.born_ms += 1
        endpoint_id = f"e-{self._number}-{self.born_ms}"
        self.controller.handle_heartbeat(
            EndpointReport(
                endpoint_id, self.born_ms, 1, POOL, False, self.capacity, kind="a"
            )
        )
        self.send_inventory()

    def _tick(self):
        self.sim.call_later(AGENT_TICK_MS, self._tick)
        self.execute_orders()

    def _renew_lease(self):
        self.sim.call_later(RENEWAL_MS, self._renew_lease)
        self.controller.renew_lease()
        self._report_inventory()

    def send_inventory(self):
        """Pass an inventory to the controller, as a lease renewal does."""
        now_ms = self.sim.clock.now_ms()
        for run in self.running.values():
            run.advance(now_ms, self.slowness)
        active = tuple(
            ActiveRun(key, "", run.percent) for key, run in self.running.items()
        )
        ended = tuple(
            e
            for e in self.unacknowledged_ends
            if e.number > self.controller.lifetime.last_end_number
        )
        self.controller.handle_inventory(
            Inventory(now_ms + 1, self.born_ms, active, ended)
        )
        self.unacknowledged_ends = [
            e
            for e in self.unacknowledged_ends
            if e.number > self.controller.lifetime.last_end_number
        ]

    def execute_orders(self):
        """Execute the controller's orders and send its reports."""
        for incarnation in self.links:
            self.controller.owners.record_frame(
                incarnation, self.sim.clock.now_ms(), 1 << 60
            )
        for order in self.controller.next_orders():
            match order:
                case StartOrder(start) if self.is_down:
                    refused = Rejected(Rejection.NOT_LISTENING)
                    self.controller.handle_start_result(start.key, refused)
                case StopOrder() if self.is_down:
                    self.controller.connection_refused()
                case StartOrder(start):
                    self._start_run(start)
                case StopOrder(key):
                    self.end_run(key, End.STOPPED)
                    self.controller.handle_stop_result(
                        key, Accepted(self.sim.clock.now_ms())
                    )
        self._send_reports()

    def _start_run(self, start):
        work_ms = self.sim.true_work_ms(start)
        run = SimRun(start, work_ms, self.sim.clock.now_ms())
        self.running[start.key] = run
        self.sim.record_start(start)
        if self.sim.is_deadly(start):
            born_ms = self.born_ms
            self.sim.call_later(
                CRASH_DELAY_MS, lambda: self.born_ms == born_ms and self.crash()
            )
            run.work_ms = CALLER_TIMEOUT_MS
        used = sum(run.start.room.cpu_millis for run in self.running.values())
        self.peak_millis = max(self.peak_millis, used)
        if self.is_answer_lost():
            no_answer = NoAnswer("the answer was lost")
            self.sim.call_later(
                ORDER_TIMEOUT_MS,
                lambda: self.controller.handle_start_result(start.key, no_answer),
            )
        else:
            accepted = Accepted(self.sim.clock.now_ms())
            self.controller.handle_start_result(start.key, accepted)
        if self.fails_runs:
            self.sim.call_later(
                FAILURE_DELAY_MS, lambda: self.end_run(start.key, End.FAILED)
            )
        else:
            self._end_when_done(run)

    def _end_when_done(self, run):
        """End a run when its work is done, if the speed does not fall meanwhile."""

        def end():
            if self.running.get(run.start.key) is not run:
                return
            run.advance(self.sim.clock.now_ms(), self.slowness)
            if run.done_ms >= run.work_ms:
                self.end_run(run.start.key, End.DONE)

        self.sim.call_later((run.work_ms - run.done_ms) * self.slowness, end)

    def end_run(self, key, how):
        """End a run at the endpoint."""
        if self.running.pop(key, None) is None:
            return
        self.sim.failed_runs += how is End.FAILED
        self.end_count += 1
        self.unacknowledged_ends.append(EndedRun(self.end_count, key, how, ""))
        self.sim.call_later(1, self._report_inventory)

    def is_answer_lost(self):
        """Return whether the endpoint's next answer is lost."""
        share = self.lost_answer_share
        return share > 0 and self.sim.rng.random() < share

    def _report_inventory(self):
        now_ms = self.sim.clock.now_ms()
        if now_ms < self._no_inventory_until_ms or self.is_down:
            return
        if self.is_answer_lost():
            # The agent waits for it that long before it asks again.
            self._no_inventory_until_ms = now_ms + RENEWAL_MS
            self.sim.call_later(RENEWAL_MS, self._report_inventory)
            return
        self.send_inventory()
        self.execute_orders()

    def _send_reports(self):
        controller = self.controller
        status = controller.status()
        if status != self._last_status:
            self._last_status = status
            for link in self.links.values():
                link.send(status)
        owner_in_turn = self.report_pacer.next_owner(
            controller.free_room, self.capacity.cpu_millis
        )
        is_finding_due = self.report_pacer.is_finding_due(
            controller.performance.revision
        )
        for incarnation, link in self.links.items():
            if (
                is_finding_due
                or incarnation == owner_in_turn
                or incarnation in controller.owners.incarnations_with_unsent_events()
            ):
                self.report_pacer.record_sent(incarnation, controller.free_room)
                link.send(controller.next_report(incarnation))


@dataclass
class FleetSim:
    """Entries, agents and callers; ``simulate`` returns the answers of all jobs.

    ``entry_weights`` has the entries' shares of the jobs, by default equal ones.
    ``spread`` is the standard deviation of task counts and mean run times between
    jobs of a kind, as a fraction of the mean.
    """

    kinds: list
    endpoints: list  # pairs of slowness and thousandths of a core
    entries: int = 4
    zones: int = ZONES
    seed: int = 1
    spread: float = 0.4
    entry_weights: list | None = None
    deadly: DeadlyJobs | None = None
    answers: list = field(default_factory=list)
    failed_runs: int = 0

    def __post_init__(self):
        self.clock = ManualClock(1_000)
        self.rng = random.Random(self.seed)
        self._events = []
        self._due_entries = set()
        self._event_count = 0
        self._true_work_by_job = {}
        # By task: how many endpoints crashed while it ran there, and how often it was
        # started after three of them.
        self.crashes_by_task = Counter()
        self.starts_after_three_crashes = Counter()
        self._deadly_tasks = set()
        self.begin_ms = self.clock.now_ms()
        self._job_number = 0
        self.agents = [
            SimAgent(self, number, slowness, cpu)
            for number, (slowness, cpu) in enumerate(self.endpoints)
        ]
        self.schedulers = [
            Scheduler(
                self.clock,
                LEASE_TIMES,
                zone=f"z{number % self.zones}",
                rng=random.Random(number),
            )
            for number in range(self.entries)
        ]
        for number in range(self.entries):
            self._connect_subset(number)

    def call_later(self, delay_ms, call):
        """Call ``call()`` after ``delay_ms``."""
        self._event_count += 1
        due_ms = self.clock.now_ms() + delay_ms
        heapq.heappush(self._events, (due_ms, self._event_count, call))

    def true_work_ms(self, start):
        """Return a task's true run time in ms at slowness 1."""
        job_id, _, _, index = start.key.task.split(".")
        return self._true_work_by_job[job_id][int(index)]

    def is_deadly(self, start):
        """Return whether a task crashes its endpoint."""
        return start.key.task in self._deadly_tasks

    def record_start(self, start):
        """Count a start of a task under which three endpoints have crashed."""
        if self.crashes_by_task[start.key.task] >= 3:
            self.starts_after_three_crashes[start.key.task] += 1

    def simulate(self, length_ms, bursts=(), settle_ms=15_000):
        """Submit jobs for ``length_ms``, then run until all have been answered.

        It ends at the latest ``settle_ms`` after the last submission.
        """
        begin_ms = self.clock.now_ms()
        end_ms = begin_ms + length_ms
        while self.clock.now_ms() < end_ms + settle_ms:
            now_ms = self.clock.now_ms()
            if now_ms < end_ms:
                self._submit_arrivals(now_ms - begin_ms, bursts)
            while self._events and self._events[0][0] <= now_ms:
                heapq.heappop(self._events)[2]()
            is_tick = now_ms % TICK_MS == 0
            for number, scheduler in enumerate(self.schedulers):
                if is_tick or number in self._due_entries:
                    self._run_round(number, scheduler)
            self._due_entries.clear()
            self.clock.advance(STEP_MS)
            if now_ms >= end_ms and all(a.ended_ms for a in self.answers):
                break
        return self.answers

    def submit(self, kind, entry=None, weights=None):
        """Submit one job of a kind and return its ``Answer``.

        It goes to the scheduler ``entry``, or to an entry drawn by ``weights``, by
        default ``entry_weights``.
        """
        self._job_number += 1
        job_id = f"{self._job_number:016x}"
        count = max(
            1, round(self.rng.gauss(kind.mean_tasks, kind.mean_tasks * self.spread))
        )
        mean_ms = self._draw(kind.mean_work_ms, self.spread)
        task_work_ms = [self._draw(mean_ms, 0.15) for _ in range(count)]
        self._true_work_by_job[job_id] = task_work_ms
        estimate_ms = round(mean_ms * self.rng.uniform(0.6, 1.4))
        room = Room(kind.cpu_millis, 64, 0)
        spec = JobSpec(job_id, "", (StepSpec(count, room, estimate_ms),))
        objective_ms = kind.route.stretch * max(task_work_ms) + kind.route.target_ms
        work_core_ms = sum(task_work_ms) * kind.cpu_millis / 1_000
        answer = Answer(kind, self.clock.now_ms(), objective_ms, work_core_ms, job_id)
        self.answers.append(answer)
        elapsed_ms = self.clock.now_ms() - self.begin_ms
        if self.deadly and self.deadly.may_include(elapsed_ms, kind.route.name):
            answer.is_deadly = self.rng.random() < self.deadly.share
            if answer.is_deadly:
                self._deadly_tasks.add(spec.task_name(0, self.rng.randrange(count)))

        def record_outcome(outcome):
            answer.outcome = outcome
            answer.ended_ms = self.clock.now_ms() + STEP_MS

        weights = weights or self.entry_weights
        if weights:
            (number,) = self.rng.choices(range(self.entries), weights)
        else:
            number = self.rng.randrange(self.entries)
        answer.entry = number
        scheduler = entry or self.schedulers[number]
        self._due_entries.add(number)
        scheduler.submit(spec, kind.route, CALLER_TIMEOUT_MS, record_outcome)
        return answer

    def attainment(self, name=None, since_ms=0, until_ms=1 << 60, zone=None):
        """Return the weighted mean score of the jobs of a kind, None for all.

        Only jobs that can be done and were submitted from ``since_ms`` until
        ``until_ms`` count. The times count
        from 1 s on the simulation's clock, where it starts. ``zone`` is the number of
        a zone, if only the jobs at its entries count.
        """
        selected = [
            answer
            for answer in self.answers
            if (name is None or answer.kind.route.name == name)
            and not answer.is_deadly
            and (zone is None or answer.entry % self.zones == zone)
            and since_ms <= answer.submitted_ms - 1_000 < until_ms
        ]
        total_weight = sum(answer.kind.weight for answer in selected)
        return (
            sum(a.score * a.kind.weight for a in selected) / total_weight
            if total_weight
            else 1.0
        )

    def _draw(self, mean, spread):
        return min(max(self.rng.gauss(mean, mean * spread), mean * 0.2), mean * 4)

    def _submit_arrivals(self, now_ms, bursts):
        for kind in self.kinds:
            rate, weights = kind.jobs_per_s, None
            for burst in bursts:
                if not burst.is_active(now_ms, kind.route.name):
                    continue
                if burst.entries is None:
                    rate *= burst.factor
                    continue
                usual = weights or self.entry_weights or [1.0] * self.entries
                weights = [w * burst.factor_at(n) for n, w in enumerate(usual)]
                rate *= sum(weights) / sum(usual)
            expected_count = rate * STEP_MS / 1_000
            while expected_count > 0 and self.rng.random() < expected_count:
                self.submit(kind, weights=weights)
                expected_count -= 1

    def add_entry(self):
        """Start one more entry, which knows nothing of the fleet; return its number."""
        number = len(self.schedulers)
        zone = f"z{number % ZONES}"
        self.schedulers.append(
            Scheduler(self.clock, LEASE_TIMES, zone=zone, rng=random.Random(number))
        )
        self.entries += 1
        self._connect_subset(number)
        return number

    def _connect_subset(self, number):
        """Link an entry to the agents that it selects, knowing all members."""
        entries = [
            _member(m.ROLE_ENTRY, f"entry-{other}", other, self.zones)
            for other in range(self.entries)
        ]
        agents = {
            _member(m.ROLE_AGENT, agent.name, index, self.zones): agent
            for index, agent in enumerate(self.agents)
        }
        subset = AgentSubset(entries[number].link)
        for member in subset.select(entries, agents):
            self._connect(number, self.schedulers[number], agents[member])

    def _connect(self, number, scheduler, agent):
        incarnation = b"entry-%d" % number
        name = agent.name.encode()
        to_agent = SimLink(
            self, lambda message: self._deliver_to_agent(agent, incarnation, message)
        )
        to_entry = SimLink(
            self, lambda message: self._deliver_to_entry(number, name, message)
        )
        scheduler.agent_linked(
            m.Hello(m.ROLE_AGENT, name, agent.name, agent.zone), to_agent
        )
        agent.controller.owners.link_opened(incarnation)
        agent.links[incarnation] = to_entry
        scheduler.handle_agent_message(name, agent.controller.status())
        agent.report_pacer.record_sent(incarnation, agent.controller.free_room)
        scheduler.handle_agent_message(name, agent.controller.next_report(incarnation))

    def _deliver_to_agent(self, agent, incarnation, message):
        if isinstance(message, m.QueueLoads):
            agent.links[incarnation].send(
                agent.controller.handle_queue_loads(incarnation, message.loads)
            )
            return
        agent.controller.handle_orders(incarnation, message, self.clock.now_ms())
        agent.execute_orders()

    def _deliver_to_entry(self, number, name, message):
        self.schedulers[number].handle_agent_message(name, message)
        self._due_entries.add(number)

    def _run_round(self, number, scheduler):
        for agent, message in scheduler.run_round():
            agent.link.send(message)


def _member(role, name, number, zones):
    """Return a member; members are spread evenly over the zones."""
    zone = f"z{number % zones}"
    return Member(role, name.encode(), name, zone, "region", "", f"{name}:1", "")


def route(name, priority, attempts=3):
    """Return a route with the stretch and target that the sites use."""
    return Route(name, "", "/", POOL, priority, attempts, stretch=1.6, target_ms=60)


RENDER = JobKind(route("render", 0), 17.2, 8, 120, weight=0.0291)
SYNC = JobKind(route("sync", 2), 3.13, 4, 1_800, weight=0.16)
PING = JobKind(route("ping", 1), 50.0, 2, 400, weight=0.01)
# Eleven endpoints of three speeds, like the fleet of a site.
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
