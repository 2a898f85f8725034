"""Queue of admitted starts that wait at an agent for a free slot.

Each entry may have a few starts of each class waiting. Within a class the oldest
start is next. A start that has waited for longer than it is valid is removed and
refused.
"""

import collections
from dataclasses import dataclass

from ..protocol.messages import Start, Waiting

# For each entry and class. This is the limit that the agent enforces; an entry aims
# at fewer, see ``coordination.placement``.
MAX_WAITING_PER_CLASS = 8


@dataclass(slots=True)
class WaitingStart:
    """A start and the number of the link on which it arrived."""

    link: int
    start: Start
    valid_until_ms: int


class StartQueue:
    """Waiting starts by class, in order of arrival."""

    def __init__(self, clock):
        self._clock = clock
        self._by_class = {}
        self._counts = collections.Counter()
        self._size = 0

    def __len__(self):
        return self._size

    def classes(self):
        """Return the names of the classes with waiting starts."""
        return list(self._by_class)

    def count(self, link, class_name):
        """Return the number of waiting starts of a class that arrived on a link."""
        return self._counts[link, class_name]

    def waiting_counts(self, link):
        """Return a list of ``Waiting``, one for each class with starts of the link."""
        counts = [(name, self._counts[link, name]) for name in self._by_class]
        return [Waiting(name, count) for name, count in counts if count]

    def push(self, link, start, valid_until_ms):
        """Add a start that arrived on a link."""
        name = start.class_name
        starts = self._by_class.setdefault(name, collections.OrderedDict())
        starts[start.key] = WaitingStart(link, start, valid_until_ms)
        self._counts[link, name] += 1
        self._size += 1

    def pop(self, class_name):
        """Remove and return the oldest ``WaitingStart`` of a class."""
        return self._remove(class_name, next(iter(self._by_class[class_name])))

    def remove(self, key):
        """Remove and return the ``WaitingStart`` with this key, or None."""
        for name, starts in self._by_class.items():
            if key in starts:
                return self._remove(name, key)
        return None

    def remove_link(self, link):
        """Remove and return all starts of a link."""
        return self._remove_where(lambda waiting: waiting.link == link)

    def remove_all(self):
        """Remove and return all starts."""
        return self._remove_where(lambda waiting: True)

    def remove_expired(self):
        """Remove and return the starts that are no longer valid."""
        now_ms = self._clock.now_ms()
        return self._remove_where(lambda waiting: waiting.valid_until_ms < now_ms)

    def _remove_where(self, condition):
        matching = [
            (name, key)
            for name, starts in self._by_class.items()
            for key, waiting in starts.items()
            if condition(waiting)
        ]
        return [self._remove(name, key) for name, key in matching]

    def _remove(self, class_name, key):
        starts = self._by_class[class_name]
        waiting = starts.pop(key)
        if not starts:
            del self._by_class[class_name]
        self._size -= 1
        count_key = (waiting.link, class_name)
        self._counts[count_key] -= 1
        if not self._counts[count_key]:
            del self._counts[count_key]
        return waiting
