"""An entry's view of the agents: free room, speed, and when each was last heard."""

from dataclasses import dataclass, field

from ... import logs
from ...protocol import messages as m
from ...state.jobs import Room
from ...state.queue_ranks import ranks_at_or_before
from ..evacuation import no_evacuations
from ..runs.endpoint_performance import decay_factor
from .sections import Division, Section, divide
from .speeds import SpeedEstimates, blend

# An agent that has been silent for this long, two heartbeats and a delay, gets no new
# runs.
SUSPECT_AFTER_MS = 450
# Below this pace the endpoint counts as slower than its past run times say. Above it
# a deviation says nothing, because run-time estimates are rough.
SLOW_PACE_THRESHOLD = 0.6
MIN_PACE = 0.05
# After this many consecutive failures an endpoint is held back: it gets single probe
# runs only. Not after one, because sound endpoints fail one run in some hundreds.
HOLD_AFTER_FAILURES = 2
HOLD_MS = 1_000
MAX_HOLD_DOUBLINGS = 3
# Added to the time by which a run has ended before its task is placed again.
LEASE_MARGIN_MS = 50
# A reported slowness outside of this range is ignored.
MIN_SLOWNESS = 0.01
MAX_SLOWNESS = 1_000.0
# How long a pool view is reused: well below the age of what agents report.
POOL_VIEW_MAX_AGE_MS = 20

log = logs.get_logger("fleet")


@dataclass(slots=True, eq=False)
class AgentView:
    """What is known of one agent incarnation and its endpoint.

    ``free_room`` is the room beside the runs there, as last reported.
    ``unreported_orders`` are pairs of an order number and the room of a start in that
    order, for starts that ``free_room`` does not account for yet.
    ``expected_free_millis`` is the processor expected to be free at each of
    ``FORECAST_HORIZONS_MS``. ``waiting_by_rank`` has pairs of a rank and the processor
    that starts of the rank wait for at the agent. ``pace`` is how fast runs progress
    there, as a fraction of what was expected. Processor is in thousandths of a core.
    """

    incarnation: bytes
    name: str
    zone: str
    # Rises with each incarnation that becomes known.
    number: int = 0
    # Whether traffic to the agent leaves the entry's availability zone.
    is_cross_zone: bool = False
    # Whether the agent can read ``Evacuations``.
    reads_evacuations: bool = False
    link: object = None
    status: m.EndpointStatus | None = None
    free_room: Room = Room()
    expected_free_millis: tuple[int, ...] = ()
    waiting_by_rank: tuple[tuple[float, int], ...] = ()
    last_order_number: int = 0
    unreported_orders: list[tuple[int, Room]] = field(default_factory=list)
    pace: float = 1.0
    consecutive_failures: int = 0
    # By the agent's last report, from the runs of all entries; 0 for unknown.
    reported_slowness: float = 0.0
    reported_samples: int = 0
    reported_ms: int = 0
    # Whether the agent has ever reported it; those of an earlier build don't.
    reports_performance: bool = False
    held_until_ms: int = 0
    last_contact_ms: int = 0
    # Run time as a multiple of the task's size, see ``Fleet.current_slowness``.
    slowness: float = 1.0
    # Factor on the run time of a task outside the rack of its data.
    remote_factor: float = 1.0
    # Whether its address has refused a connection, or another incarnation is there.
    is_presumed_dead: bool = False
    # The tasks that have a run here, by name.
    tasks: dict = field(default_factory=dict)

    @property
    def is_ready(self):
        """Whether the agent is linked and last reported that it accepts starts."""
        return self.link is not None and self.status is not None and self.status.ready

    @property
    def is_held_back(self):
        """Whether the endpoint gets single probe runs only, after repeated failures."""
        return self.held_until_ms > 0

    def has_suspect_beside(self, job):
        """Return whether a run here is of another job that was running in a crash."""
        return any(
            task.job.is_suspect and task.job is not job for task in self.tasks.values()
        )

    def fits(self, step):
        """Return whether the endpoint's labels and capacity allow a task of a step."""
        status = self.status
        if step.required_label and step.required_label not in status.labels:
            return False
        return status.capacity.can_fit(step.room)

    def locality_factor(self, step):
        """Return the factor on a task's run time for the distance to its data."""
        is_near = not step.data_rack or step.data_rack == self.status.rack
        return 1.0 if is_near else self.remote_factor

    def begin_lifetime(self):
        """Forget what was reported of an earlier lifetime of the endpoint.

        The one in ``status`` begins without runs, and the agent refuses the starts that
        were sent for the other.
        """
        self.free_room = self.status.capacity
        self.expected_free_millis = (self.free_room.cpu_millis,) * len(
            m.FORECAST_HORIZONS_MS
        )
        self.waiting_by_rank = ()
        self.unreported_orders.clear()
        self.pace = 1.0
        self.reported_slowness, self.reported_samples = 0.0, 0
        self.consecutive_failures = self.held_until_ms = 0

    def attach_link(self, link):
        """Record the link that is open from now on."""
        self.link = link
        self._update_link()

    def add_task(self, task):
        """Record that a run of a task is ordered here."""
        self.tasks[task.name] = task
        self._update_link()

    def remove_task(self, task):
        """Record that a task has no run here any more; it may have had none."""
        self.tasks.pop(task.name, None)
        self._update_link()

    def _update_link(self):
        """Tell the link whether the agent needs echoes to renew this owner's lease."""
        if self.link is not None:
            self.link.set_busy(bool(self.tasks))

    def is_below_step_limit(self, task, assigned_count):
        """Return whether the step's ``max_per_endpoint`` allows one more task here.

        ``assigned_count`` is the number of the step's tasks that this round has
        assigned to the agent and not ordered yet.
        """
        limit = task.step_spec.max_per_endpoint
        if not limit:
            return True
        siblings = (
            other.job is task.job and other.step_index == task.step_index
            for other in self.tasks.values()
        )
        return sum(siblings) + assigned_count < limit

    def expected_wait_ms(self, room, rank, ahead_millis=0):
        """Return how long a start of a rank would wait here for ``room``, or None.

        None means longer than the last of ``FORECAST_HORIZONS_MS``, or that memory or
        GPUs are short. ``ahead_millis`` is processor assigned since the last order, or
        reserved.
        """
        free = self.free_room
        required_millis = ahead_millis + room.cpu_millis
        for other_rank, cpu_millis in self.waiting_by_rank:
            if ranks_at_or_before(other_rank, rank):
                required_millis += cpu_millis
        memory_mb, gpus = free.memory_mb, free.gpus
        for _, order_room in self.unreported_orders:
            required_millis += order_room.cpu_millis
            memory_mb -= order_room.memory_mb
            gpus -= order_room.gpus
        if memory_mb < room.memory_mb or gpus < room.gpus:
            return None
        if free.cpu_millis >= required_millis:
            return 0
        for horizon_ms, cpu_millis in zip(
            m.FORECAST_HORIZONS_MS, self.expected_free_millis, strict=False
        ):
            if cpu_millis >= required_millis:
                return horizon_ms
        return None


@dataclass(frozen=True, slots=True)
class PoolView:
    """The agents of a section that accept starts, and their total processor.

    ``effective_cpu_millis`` divides each endpoint's processor by its slowness.
    """

    created_ms: int
    agents: list[AgentView]
    effective_cpu_millis: float


class Fleet:
    """All agents that an entry knows.

    ``lease_times`` are the ``LeaseTimes``, ``zone`` is the entry's availability zone,
    and ``remote_factor`` the factor on the run time of tasks outside the rack of their
    data. ``rng`` shuffles the agents of a pool. Agents in zones that ``evacuations``,
    an ``EvacuationState``, covers are in no pool view; no zone is ever evacuated if it
    is left out.
    """

    def __init__(
        self, clock, lease_times, *, zone, remote_factor, rng, evacuations=None
    ):
        self._clock = clock
        self._evacuations = evacuations or no_evacuations(clock)
        self._zone = zone
        self._remote_factor = remote_factor
        self._rng = rng
        self._max_silence_ms = lease_times.run_end_ms + LEASE_MARGIN_MS
        self._agents = {}
        self._known_count = 0
        self._pool_views = {}
        self._division = Division()
        self.speeds = SpeedEstimates()

    @property
    def agents(self):
        """The ``AgentView`` objects by incarnation, for reading only."""
        return self._agents

    def get(self, incarnation):
        """Return the view of an agent, or None."""
        return self._agents.get(incarnation)

    def add_link(self, hello, link):
        """Record a new link to an agent; return the agent's view."""
        agent = self._agents.get(hello.incarnation)
        if agent is None:
            self._known_count += 1
            agent = AgentView(
                hello.incarnation, hello.name, hello.zone, self._known_count
            )
            agent.remote_factor = self._remote_factor
            agent.is_cross_zone = hello.zone != self._zone
            self._agents[hello.incarnation] = agent
        agent.reads_evacuations = hello.protocol_version >= m.EVACUATIONS_VERSION
        agent.attach_link(link)
        agent.last_contact_ms = self._clock.now_ms()
        agent.is_presumed_dead = False
        agent.unreported_orders.clear()
        self._pool_views.clear()
        return agent

    def remove_link(self, agent):
        """Record that the link to an agent has ended."""
        agent.last_contact_ms = self._update_last_contact_ms(agent)
        agent.link = None
        self._pool_views.clear()

    def apply_message(self, agent, message):
        """Update an agent's view from its status or report."""
        agent.last_contact_ms = self._clock.now_ms()
        match message:
            case m.EndpointStatus():
                previous, agent.status = agent.status, message
                if previous is not None and previous.lifetime != message.lifetime:
                    agent.begin_lifetime()
                self.speeds.register_endpoint(message)
                self._pool_views.clear()
            case m.RunReports(orders_seen=orders_seen):
                agent.free_room = message.free
                agent.expected_free_millis = message.expected_free_millis
                agent.waiting_by_rank = message.waiting_by_rank
                agent.pace = message.pace
                self._apply_performance(agent, message)
                agent.unreported_orders = [
                    item for item in agent.unreported_orders if item[0] > orders_seen
                ]

    def _apply_performance(self, agent, report):
        """Take over what the agent has learnt from the runs of all entries."""
        slowness, samples = report.slowness, report.slowness_samples
        is_valid = MIN_SLOWNESS <= slowness <= MAX_SLOWNESS  # False for NaN
        agent.reported_slowness = slowness if is_valid else 0.0
        agent.reported_samples = samples if is_valid else 0
        agent.reported_ms = self._clock.now_ms()
        agent.reports_performance |= bool(samples or report.failures)
        if not agent.reports_performance:
            return
        previous, agent.consecutive_failures = (
            agent.consecutive_failures,
            report.failures,
        )
        if report.failures > previous:
            self._hold_if_failing(agent)
        elif not report.failures and previous:
            self._release(agent, previous)

    def set_division(self, division):
        """Set the ``Division`` of all pools into sections."""
        if division != self._division:
            self._division = division
            self._pool_views.clear()

    def evacuations_changed(self):
        """Discard the pool views that were built for other evacuated zones."""
        self._pool_views.clear()

    def is_evacuated(self, pool):
        """Return whether all known agents of a pool, one at least, are evacuated."""
        if not self._evacuations.zones:
            return False
        zones = {
            agent.zone
            for agent in self._agents.values()
            if agent.status is not None and agent.status.pool == pool
        }
        return bool(zones) and all(map(self._evacuations.covers, zones))

    def pool_view(self, pool, section=Section.WHOLE):
        """Return the ``PoolView`` of a section, at most ``POOL_VIEW_MAX_AGE_MS`` old.

        If no agent of the open section accepts starts, it is the whole pool.
        """
        now_ms = self._clock.now_ms()
        view = self._pool_views.get((pool, section))
        if view is None or now_ms - view.created_ms >= POOL_VIEW_MAX_AGE_MS:
            view = self._build_pool_view(pool, section, now_ms)
            if section is Section.OPEN and not view.agents:
                view = self._build_pool_view(pool, Section.WHOLE, now_ms)
            self._pool_views[pool, section] = view
        return view

    def usable_agents(self, pool, section=Section.WHOLE):
        """Return the agents of a section that accept starts and aren't suspect."""
        return self.pool_view(pool, section).agents

    def current_slowness(self, agent):
        """Return the slowness of an agent's endpoint at its present pace."""
        slowness = self.speeds.slowness(agent.status.endpoint_id)
        if agent.reported_samples:
            # No report comes from an endpoint that gets no runs, so it ages here.
            age_ms = self._clock.now_ms() - agent.reported_ms
            samples = agent.reported_samples * decay_factor(age_ms)
            return blend(slowness, agent.reported_slowness, samples)
        if agent.pace < SLOW_PACE_THRESHOLD:
            return slowness / max(agent.pace, MIN_PACE)
        return slowness

    def record_failure(self, agent):
        """Count a failed run at an agent, and hold the agent back after several.

        The hold doubles with each further failure, up to a bound.
        """
        if agent.reports_performance:
            return  # the report that told of the failure counts it
        agent.consecutive_failures += 1
        self._hold_if_failing(agent)

    def _hold_if_failing(self, agent):
        if agent.consecutive_failures >= HOLD_AFTER_FAILURES:
            doublings = min(
                agent.consecutive_failures - HOLD_AFTER_FAILURES, MAX_HOLD_DOUBLINGS
            )
            agent.held_until_ms = self._clock.now_ms() + HOLD_MS * 2**doublings
            self._pool_views.clear()
            log.warning(
                "agent held back", agent=agent.name, failures=agent.consecutive_failures
            )

    def record_success(self, agent):
        """Clear the failure count and the hold of an agent whose run was done."""
        if agent.reports_performance:
            return
        previous, agent.consecutive_failures = agent.consecutive_failures, 0
        self._release(agent, previous)

    def _release(self, agent, failures):
        if failures >= HOLD_AFTER_FAILURES:
            log.info("agent trusted again", agent=agent.name)
            self._pool_views.clear()
        agent.held_until_ms = 0

    def is_expired(self, agent):
        """Return whether the leases exclude that a run of this owner still runs there.

        The agent stops the owner's runs when it has not heard from the owner for the
        owner's lease. If the agent can't, the endpoint's lease lapses in time, and the
        endpoint stops them. A refused connection proves nothing sooner: a network that
        is cut may refuse it for an agent that is alive.
        """
        silent_ms = self._clock.now_ms() - self._update_last_contact_ms(agent)
        return silent_ms > self._max_silence_ms

    def _is_eligible(self, agent):
        """Return whether an agent isn't held back, or is due for a probe run."""
        if not agent.held_until_ms:
            return True
        return not agent.tasks and self._clock.now_ms() >= agent.held_until_ms

    def remove(self, agent):
        """Remove an agent that has no runs of this entry."""
        self._agents.pop(agent.incarnation, None)
        self._pool_views.clear()

    def _section_agents(self, pool, section):
        """Return the agents of a section, ready or not, that aren't evacuated."""
        agents = [
            agent
            for agent in self._agents.values()
            if agent.status is not None
            and agent.status.pool == pool
            and not self._evacuations.covers(agent.zone)
        ]
        if section is Section.WHOLE:
            return agents
        names = divide(agents, self._division)[section]
        return [agent for agent in agents if agent.name in names]

    def _build_pool_view(self, pool, section, now_ms):
        oldest_contact_ms = now_ms - SUSPECT_AFTER_MS
        agents, effective_cpu_millis = [], 0.0
        for agent in self._section_agents(pool, section):
            if not agent.is_ready:
                continue
            if (
                not self._is_eligible(agent)
                or self._update_last_contact_ms(agent) < oldest_contact_ms
            ):
                continue
            agent.slowness = self.current_slowness(agent)
            agents.append(agent)
            effective_cpu_millis += agent.status.capacity.cpu_millis / agent.slowness
        # Shuffled, so that entries with the same view of the fleet do not all choose
        # the same endpoints.
        self._rng.shuffle(agents)
        return PoolView(now_ms, agents, effective_cpu_millis)

    def _update_last_contact_ms(self, agent):
        """Update and return the time of the last frame from an agent."""
        if agent.link is not None:
            agent.last_contact_ms = max(
                agent.last_contact_ms, agent.link.last_received_ms
            )
        return agent.last_contact_ms
