"""What an entry believes of the agents: room, speed, and when it last heard."""

from dataclasses import dataclass, field

from ... import logs
from ...protocol import messages as m
from ...state.jobs import Room
from ...state.queue_ranks import SAME_RANK_FACTOR
from ..runs.endpoint_lease import CLOCK_DRIFT_FACTOR
from ..runs.owners import OWNER_LEASE_MS
from .speeds import Speeds

# An agent that has been silent for this long gets no new runs: three heartbeats.
SUSPECT_AFTER_MS = 450
# An endpoint whose runs get on less well than this is slower than is known of it;
# above it, the estimates are too rough to tell.
SLOW_PACE = 0.6
LEAST_PACE = 0.05
# After this many failures without a success an endpoint is held back and tried with
# single runs. Two, because sound endpoints fail one run in some hundreds.
HELD_AFTER_FAILURES = 2
HOLD_MS = 1_000
MAX_DOUBLINGS = 3
# Added to the leases of owner and endpoint before a run is taken for ended.
LOST_MARGIN_MS = 150
# How long a view of a pool is kept: well below the age of what agents report.
VIEW_MS = 20

log = logs.get_logger("fleet")


@dataclass(slots=True, eq=False)
class AgentView:
    """One agent incarnation; ``unseen`` are orders that ``free`` doesn't show yet."""

    incarnation: bytes
    name: str
    zone: str
    # Whether bytes to the agent leave the entry's availability zone.
    is_far: bool = False
    link: object = None
    status: m.EndpointStatus | None = None
    free: Room = Room()
    soon: tuple[int, ...] = ()
    waiting: tuple[tuple[float, int], ...] = ()
    order_number: int = 0
    unseen: list[tuple[int, Room]] = field(default_factory=list)
    pace: float = 1.0
    failures: int = 0
    held_until_ms: int = 0
    heard_ms: int = 0
    # The multiple of a task's size that a run takes now, see ``Fleet.slowness``.
    slowness: float = 1.0
    # How many times as long a task takes away from the rack of its data.
    remote_factor: float = 1.0
    # When the agent's process was proved to have ended, None while it wasn't.
    gone_ms: int | None = None
    # The tasks with a run here, by name.
    tasks: dict = field(default_factory=dict)

    @property
    def is_ready(self):
        """Whether the agent takes starts as far as known."""
        return self.link is not None and self.status is not None and self.status.ready

    @property
    def is_held_back(self):
        """Whether only single runs may show that the endpoint is sound again."""
        return self.held_until_ms > 0

    def fits(self, step):
        """Return whether a task of the step may run at the endpoint at all."""
        status = self.status
        if step.required_label and step.required_label not in status.labels:
            return False
        return status.capacity.can_fit(step.room)

    def distance_factor(self, step):
        """Return how many times as long a task takes here as near its data."""
        is_near = not step.data_rack or step.data_rack == self.status.rack
        return 1.0 if is_near else self.remote_factor

    def has_place_for(self, task, given):
        """Return whether one more task of a job's step may run here beside others.

        ``given`` are those given out in this round and not ordered yet.
        """
        limit = task.step_spec.max_per_endpoint
        if not limit:
            return True
        beside = (
            other.job is task.job and other.step_index == task.step_index
            for other in self.tasks.values()
        )
        return sum(beside) + given < limit

    def wait_ms(self, room, rank, ahead_millis=0):
        """Return how long a start of a rank would wait for room there, or None.

        None means longer than the agent foretells. ``ahead_millis`` is processor
        that has been promised since, or is kept free.
        """
        free = self.free
        need = ahead_millis + room.cpu_millis
        for other, cpu_millis in self.waiting:
            if other <= rank * SAME_RANK_FACTOR:
                need += cpu_millis
        memory_mb, gpus = free.memory_mb, free.gpus
        for _, ordered in self.unseen:
            need += ordered.cpu_millis
            memory_mb -= ordered.memory_mb
            gpus -= ordered.gpus
        if memory_mb < room.memory_mb or gpus < room.gpus:
            return None
        if free.cpu_millis >= need:
            return 0
        for horizon_ms, cpu_millis in zip(m.HORIZONS_MS, self.soon, strict=False):
            if cpu_millis >= need:
                return horizon_ms
        return None


@dataclass(frozen=True, slots=True)
class PoolView:
    """The agents of a pool that take starts, and their processor in all.

    ``processor_millis`` counts slow endpoints for less.
    """

    made_ms: int
    agents: list[AgentView]
    processor_millis: float


class Fleet:
    """All agents that an entry knows."""

    def __init__(self, clock, lease_ms, *, zone, remote_factor, rng):
        self._clock = clock
        self._zone = zone
        self._remote_factor = remote_factor
        self._rng = rng
        self._lapse_ms = lease_ms * CLOCK_DRIFT_FACTOR + LOST_MARGIN_MS
        self._silence_ms = OWNER_LEASE_MS + self._lapse_ms
        self._agents = {}
        self._views = {}
        self.speeds = Speeds()

    @property
    def agents(self):
        """The views by incarnation, for reading only."""
        return self._agents

    def of(self, incarnation):
        """Return the view of an agent, or None."""
        return self._agents.get(incarnation)

    def linked(self, hello, link):
        """Note a new link to an agent; return its view."""
        agent = self._agents.get(hello.incarnation)
        if agent is None:
            agent = AgentView(hello.incarnation, hello.name, hello.zone)
            agent.remote_factor = self._remote_factor
            agent.is_far = hello.zone != self._zone
            self._agents[hello.incarnation] = agent
        agent.link = link
        agent.heard_ms = self._clock.now_ms()
        agent.gone_ms = None
        agent.unseen.clear()
        self._views.clear()
        return agent

    def unlinked(self, agent):
        """Note that the link to an agent has ended."""
        agent.heard_ms = self._last_heard_ms(agent)
        agent.link = None
        self._views.clear()

    def heard(self, agent, message):
        """Take in a message of an agent."""
        agent.heard_ms = self._clock.now_ms()
        match message:
            case m.EndpointStatus():
                agent.status = message
                self.speeds.introduce(message)
                self._views.clear()
            case m.RunReports(orders_seen=orders_seen):
                agent.free = message.free
                agent.soon = message.soon
                agent.waiting = message.waiting
                agent.pace = message.pace
                agent.unseen = [item for item in agent.unseen if item[0] > orders_seen]

    def view(self, pool):
        """Return the ``PoolView`` of a pool, at most ``VIEW_MS`` old."""
        now_ms = self._clock.now_ms()
        view = self._views.get(pool)
        if view is None or now_ms - view.made_ms >= VIEW_MS:
            view = self._views[pool] = self._make_view(pool, now_ms)
        return view

    def usable(self, pool):
        """Return the agents of a pool that take starts and were heard lately."""
        return self.view(pool).agents

    def slowness(self, agent):
        """Return the slowness of an agent's endpoint, as it gets on now."""
        slowness = self.speeds.slowness(agent.status.endpoint_id)
        if agent.pace < SLOW_PACE:
            return slowness / max(agent.pace, LEAST_PACE)
        return slowness

    def note_failure(self, agent):
        """Note that a run failed there; hold the agent back after several."""
        agent.failures += 1
        if agent.failures >= HELD_AFTER_FAILURES:
            doublings = min(agent.failures - HELD_AFTER_FAILURES, MAX_DOUBLINGS)
            agent.held_until_ms = self._clock.now_ms() + HOLD_MS * 2**doublings
            self._views.clear()
            log.warning("agent held back", agent=agent.name, failures=agent.failures)

    def note_success(self, agent):
        """Note that a run was done there."""
        if agent.failures >= HELD_AFTER_FAILURES:
            log.info("agent trusted again", agent=agent.name)
            self._views.clear()
        agent.failures = 0
        agent.held_until_ms = 0

    def is_lost(self, agent):
        """Return whether no run that we own can be at work there any more.

        The agent stops our runs when it has not heard of us for the owner's lease;
        if it can't, the endpoint's lease lapses.
        """
        now_ms = self._clock.now_ms()
        if agent.gone_ms is not None and now_ms - agent.gone_ms > self._lapse_ms:
            return True
        return now_ms - self._last_heard_ms(agent) > self._silence_ms

    def _may_try(self, agent):
        """Return whether an agent is trusted, or due for a single run as a trial."""
        if not agent.held_until_ms:
            return True
        return not agent.tasks and self._clock.now_ms() >= agent.held_until_ms

    def forget(self, agent):
        """Drop an agent that has no runs of ours."""
        self._agents.pop(agent.incarnation, None)
        self._views.clear()

    def _make_view(self, pool, now_ms):
        newest_ms = now_ms - SUSPECT_AFTER_MS
        agents, processor_millis = [], 0.0
        for agent in self._agents.values():
            if not agent.is_ready or agent.status.pool != pool:
                continue
            if not self._may_try(agent) or self._last_heard_ms(agent) < newest_ms:
                continue
            agent.slowness = self.slowness(agent)
            agents.append(agent)
            processor_millis += agent.status.capacity.cpu_millis / agent.slowness
        # Entries that see the same fleet are not to choose the same endpoints.
        self._rng.shuffle(agents)
        return PoolView(now_ms, agents, processor_millis)

    def _last_heard_ms(self, agent):
        if agent.link is not None:
            agent.heard_ms = max(agent.heard_ms, agent.link.last_heard_ms)
        return agent.heard_ms
