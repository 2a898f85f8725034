"""Credits and demand of one link, counted as the entry counts them.

Both sides count by the rules of ``docs/design/link-protocol.md``. Their totals
always agree; the split between classes may differ for a moment where a grant and
a start have crossed, so a start is served from any credit there is.
"""

from ..protocol.messages import ANY_CLASS, Credit


class CreditAccount:
    """The unused credits and the unmet demand of one entry on one link."""

    def __init__(self, entry):
        self._entry = entry
        self._credits = {}
        self._demand = {}
        self._total = 0
        self._granted_at_ms = 0
        self._recalled = 0
        self._is_recalling = False
        self._is_exhausted = False

    @property
    def entry(self):
        """The entry's incarnation."""
        return self._entry

    @property
    def total(self):
        """All unused credits."""
        return self._total

    @property
    def demand(self):
        """Wanted credits by class name."""
        return self._demand

    @property
    def granted_at_ms(self):
        """When a credit was last granted."""
        return self._granted_at_ms

    @property
    def recallable(self):
        """How many credits a recall may bring back now.

        An entry that waits itself is asked only for those of other classes.
        """
        if self._is_recalling or self._is_exhausted:
            return 0
        if not self.wants_any:
            return self._total
        return sum(n for tag, n in self.tags().items() if self._is_idle_tag(tag))

    @property
    def recalled(self):
        """How many credits are being recalled."""
        return self._recalled if self._is_recalling else 0

    @property
    def wants_any(self):
        """Whether any demand is unmet."""
        return any(self._demand.values())

    def unused(self, class_name):
        """Return the unused credits with the tag ``class_name``."""
        return self._credits.get(class_name, 0)

    def tags(self):
        """Return the unused credits by tag."""
        return {name: count for name, count in self._credits.items() if count}

    def set_demand(self, credits):
        """Replace the demand."""
        self._demand = {c.class_name: c.count for c in credits if c.count}

    def grant(self, tag, now_ms):
        """Add one credit; it meets one wanted credit, as at the entry."""
        self._credits[tag] = self._credits.get(tag, 0) + 1
        self._total += 1
        self._granted_at_ms = now_ms
        self._is_exhausted = False
        self._count_down(tag)

    def use(self, class_name):
        """Take one credit for a start; return its tag, or None without one."""
        if not self._total:
            return None
        for tag in (class_name, ANY_CLASS, *self._credits):
            if self._credits.get(tag, 0):
                self._take(tag, 1)
                return tag
        return None

    def recall(self, count):
        """Return the credits to ask back, at most ``count`` of them."""
        wanted = []
        for tag, held in self.tags().items():
            part = min(held, count - sum(credit.count for credit in wanted))
            if part > 0 and (not self.wants_any or self._is_idle_tag(tag)):
                wanted.append(Credit(tag, part))
        self._recalled = sum(credit.count for credit in wanted)
        self._is_recalling = True
        return wanted

    def returned(self, credits):
        """Take back what the entry returned; return how many credits it was."""
        count = 0
        for credit in credits:
            for _ in range(min(credit.count, self._total)):
                self.use(credit.class_name)
                count += 1
        # The entry is about to use the others, or counts them under another tag.
        self._is_exhausted = count < self._recalled
        self._is_recalling = False
        return count

    def clear(self):
        """Void all credits and the demand."""
        self._credits.clear()
        self._demand = {}
        self._total = 0
        self._is_recalling = False

    def _is_idle_tag(self, tag):
        return tag != ANY_CLASS and not self._demand.get(tag)

    def _take(self, tag, count):
        self._credits[tag] -= count
        self._total -= count

    def _count_down(self, tag):
        names = [tag] if tag != ANY_CLASS else list(self._demand)
        for name in names:
            if self._demand.get(name, 0):
                self._demand[name] -= 1
                return
