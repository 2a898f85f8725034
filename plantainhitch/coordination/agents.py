"""The agents as one entry sees them: links, credits, tasks in flight."""

from dataclasses import dataclass, field

from ..protocol.messages import ANY_CLASS, AgentStatus


@dataclass(slots=True, eq=False)
class AgentView:
    """One agent incarnation.

    ``credits`` are unused slots by class name (``ANY_CLASS`` for any);
    ``wanted`` is the demand that the agent believes this entry to have;
    ``in_flight`` maps the key of each attempt sent there to its ``Work``.
    """

    incarnation: bytes
    name: str
    zone: str = ""
    rack: str = ""
    status: AgentStatus | None = None
    linked: bool = False
    drained: bool = False
    lost_at_ms: int | None = None
    credits: dict[str, int] = field(default_factory=dict)
    wanted: dict[str, int] = field(default_factory=dict)
    in_flight: dict = field(default_factory=dict)

    @property
    def endpoint(self):
        """The endpoint's name, the agent's own until it is known."""
        return self.status.endpoint if self.status else self.name

    @property
    def slots(self):
        """How many tasks the endpoint takes at once."""
        return self.status.slots if self.status else 0

    @property
    def credit_count(self):
        """Unused credits of all classes."""
        return sum(self.credits.values())

    @property
    def accepts(self):
        """Whether new starts may be sent."""
        status = self.status
        if not self.linked or status is None or self.drained:
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

    def has_credit(self, class_name):
        """Return whether a task of the class may be started."""
        credits = self.credits
        return credits.get(class_name, 0) > 0 or credits.get(ANY_CLASS, 0) > 0

    def use_credit(self, class_name):
        """Use one credit: of the class where there is one, else for any class."""
        name = class_name if self.credits.get(class_name, 0) > 0 else ANY_CLASS
        self.credits[name] -= 1

    def add_credits(self, credits):
        """Take granted credits; each one meets one wanted credit."""
        for credit in credits:
            name = credit.class_name
            self.credits[name] = self.credits.get(name, 0) + credit.count
            self._count_down(name, credit.count)

    def give_back(self, credits):
        """Remove up to the recalled credits and return those removed."""
        removed = []
        for credit in credits:
            held = self.credits.get(credit.class_name, 0)
            count = min(held, credit.count)
            if count:
                self.credits[credit.class_name] = held - count
                removed.append(type(credit)(credit.class_name, count))
        return removed

    def lose_link(self, now_ms):
        """Note that the link ended: its credits and demand are void."""
        self.linked = False
        self.lost_at_ms = now_ms
        self.credits.clear()
        self.wanted.clear()

    def _count_down(self, name, count):
        names = [name] if name != ANY_CLASS else list(self.wanted)
        for wanted in names:
            met = min(self.wanted.get(wanted, 0), count)
            if met:
                self.wanted[wanted] -= met
                count -= met
