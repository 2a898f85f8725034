"""The agents as one entry sees them: links, load, tasks in flight."""

from collections import Counter
from dataclasses import dataclass, field

from ..protocol.messages import AgentStatus

# How many of an entry's starts of one class may wait at one agent.
MAX_WAITING_STARTS_PER_CLASS = 1


@dataclass(slots=True, eq=False)
class AgentView:
    """One agent incarnation.

    ``spare`` is how many slots are believed free, less the starts that wait for
    one; ``waiting`` are our own waiting starts by class, both as last reported and
    counted on with each start. ``in_flight`` maps the key of each attempt sent
    there to its ``Work``, ``in_flight_by_class`` counts them.
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
        """The endpoint's name, the agent's own until it is known."""
        return self.status.endpoint if self.status else self.name

    @property
    def slots(self):
        """How many tasks the endpoint takes at once."""
        return self.status.slots if self.status else 0

    @property
    def accepts_starts(self):
        """Whether new starts may be sent."""
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
        """Return whether a task of the class may be sent now."""
        if self.free_slots > 0 or not self.in_flight_by_class[class_name]:
            return True
        return self.waiting_starts.get(class_name, 0) < MAX_WAITING_STARTS_PER_CLASS

    def expected_wait_ms(self, run_ms):
        """Return how long a start would wait, where tasks run for ``run_ms``."""
        if self.free_slots > 0:
            return 0.0
        return (1 - self.free_slots) * run_ms / max(self.slots, 1)

    def update_status(self, status):
        """Take in what the agent says of its endpoint."""
        self.status = status
        if not self.accepts_starts:
            self.has_load_report = False
        elif not self.has_load_report:
            self.free_slots = status.slots - len(self.in_flight)

    def update_load(self, free_slots, waiting):
        """Take in the load that came with reports."""
        self.has_load_report = True
        self.free_slots = free_slots
        self.waiting_starts = {item.class_name: item.count for item in waiting}

    def add_in_flight(self, task):
        """Count a start that is being sent."""
        name = task.class_name
        self.in_flight[task.key] = task
        self.in_flight_by_class[name] += 1
        if self.free_slots <= 0:
            self.waiting_starts[name] = self.waiting_starts.get(name, 0) + 1
        self.free_slots -= 1

    def remove_in_flight(self, key):
        """Return the ``Work`` that was sent under the key, or None."""
        task = self.in_flight.pop(key, None)
        if task is not None:
            self.in_flight_by_class[task.class_name] -= 1
        return task

    def mark_unlinked(self, now_ms):
        """Note that the link ended; what was known of the load is void."""
        self.is_linked = False
        self.unlinked_at_ms = now_ms
        self.has_load_report = False
        self.waiting_starts.clear()
