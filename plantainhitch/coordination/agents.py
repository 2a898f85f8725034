"""The agents as one entry sees them: links, load, tasks in flight."""

from collections import Counter
from dataclasses import dataclass, field

from ..protocol.messages import AgentStatus

# How many of an entry's starts of one class may wait at one agent.
MAX_WAITING = 1


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
    lost_at_ms: int | None = None
    knows_load: bool = False
    spare: int = 0
    waiting: dict[str, int] = field(default_factory=dict)
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
    def accepts(self):
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
        if self.spare > 0 or not self.in_flight_by_class[class_name]:
            return True
        return self.waiting.get(class_name, 0) < MAX_WAITING

    def wait_ms(self, run_ms):
        """Return how long a start would wait, where tasks run for ``run_ms``."""
        if self.spare > 0:
            return 0.0
        return (1 - self.spare) * run_ms / max(self.slots, 1)

    def take_status(self, status):
        """Take in what the agent says of its endpoint."""
        self.status = status
        if not self.accepts:
            self.knows_load = False
        elif not self.knows_load:
            self.spare = status.slots - len(self.in_flight)

    def take_load(self, spare, waiting):
        """Take in the load that came with reports."""
        self.knows_load = True
        self.spare = spare
        self.waiting = {item.class_name: item.count for item in waiting}

    def sent(self, work):
        """Count a start that is being sent."""
        name = work.class_name
        self.in_flight[work.key] = work
        self.in_flight_by_class[name] += 1
        if self.spare <= 0:
            self.waiting[name] = self.waiting.get(name, 0) + 1
        self.spare -= 1

    def ended(self, key):
        """Return the ``Work`` that was sent under the key, or None."""
        work = self.in_flight.pop(key, None)
        if work is not None:
            self.in_flight_by_class[work.class_name] -= 1
        return work

    def lose_link(self, now_ms):
        """Note that the link ended; what was known of the load is void."""
        self.is_linked = False
        self.lost_at_ms = now_ms
        self.knows_load = False
        self.waiting.clear()
