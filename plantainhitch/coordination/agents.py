"""The agents from one entry's point of view: links, load, tasks in flight."""

from collections import Counter
from dataclasses import dataclass, field

from ..protocol.messages import AgentStatus

# How many starts of one class an entry lets wait at one agent.
MAX_WAITING_STARTS_PER_CLASS = 1


@dataclass(slots=True, eq=False)
class AgentView:
    """One agent incarnation.

    ``free_slots`` is the estimated number of free slots less the starts that wait
    for one, so it may be negative. ``waiting_starts`` counts this entry's waiting
    starts by class. Both are as last reported, adjusted for each start sent since.
    ``in_flight`` maps the key of each attempt sent there to its ``PendingTask``;
    ``in_flight_by_class`` counts them.
    """

    incarnation: bytes
    name: str
    zone: str = ""
    rack: str = ""
    status: AgentStatus | None = None
    is_linked: bool = False
    is_drained: bool = False
    unlinked_at_ms: int | None = None
    has_load_report: bool = False
    free_slots: int = 0
    waiting_starts: dict[str, int] = field(default_factory=dict)
    in_flight: dict = field(default_factory=dict)
    in_flight_by_class: Counter = field(default_factory=Counter)

    @property
    def endpoint(self):
        """The endpoint's name; the agent's name until a status has arrived."""
        return self.status.endpoint if self.status else self.name

    @property
    def slots(self):
        """How many tasks the endpoint runs at once; 0 until a status has arrived."""
        return self.status.slots if self.status else 0

    @property
    def accepts_starts(self):
        """Whether new starts may be sent to the agent."""
        status = self.status
        if not self.is_linked or status is None or self.is_drained:
            return False
        return status.ready and not status.draining

    def fits(self, definition):
        """Return whether the endpoint is large enough for tasks of the class."""
        status = self.status
        return (
            status is not None
            and status.cores >= definition.cores
            and status.memory_mb >= definition.memory_mb
            and status.accelerators >= definition.accelerators
        )

    def has_room(self, class_name):
        """Return whether a start of the class may be sent now."""
        if self.free_slots > 0 or not self.in_flight_by_class[class_name]:
            return True
        return self.waiting_starts.get(class_name, 0) < MAX_WAITING_STARTS_PER_CLASS

    def expected_wait_ms(self, run_ms):
        """Return the expected wait in ms for a slot, given the run time of tasks."""
        if self.free_slots > 0:
            return 0.0
        return (1 - self.free_slots) * run_ms / max(self.slots, 1)

    def update_status(self, status):
        """Store the agent's latest ``AgentStatus``.

        Once the agent accepts starts, and until it has reported its load, the free
        slots are estimated from the tasks in flight.
        """
        self.status = status
        if not self.accepts_starts:
            self.has_load_report = False
        elif not self.has_load_report:
            self.free_slots = status.slots - len(self.in_flight)

    def update_load(self, free_slots, waiting):
        """Store the load from a report batch: free slots and ``Waiting`` counts."""
        self.has_load_report = True
        self.free_slots = free_slots
        self.waiting_starts = {item.class_name: item.count for item in waiting}

    def add_in_flight(self, task):
        """Record a ``PendingTask`` whose start is being sent."""
        name = task.class_name
        self.in_flight[task.key] = task
        self.in_flight_by_class[name] += 1
        if self.free_slots <= 0:
            self.waiting_starts[name] = self.waiting_starts.get(name, 0) + 1
        self.free_slots -= 1

    def remove_in_flight(self, key):
        """Remove and return the ``PendingTask`` of an attempt, or None."""
        task = self.in_flight.pop(key, None)
        if task is not None:
            self.in_flight_by_class[task.class_name] -= 1
        return task

    def mark_unlinked(self, now_ms):
        """Record that the link has ended; the load is unknown from now on."""
        self.is_linked = False
        self.unlinked_at_ms = now_ms
        self.has_load_report = False
        self.waiting_starts.clear()
