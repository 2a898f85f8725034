"""Starts that wait at an agent until a slot is free.

Each entry may have a few waiting for each class; the next one of a class is its
oldest. A start that waits for longer than it is valid is given back.
"""

import collections
from dataclasses import dataclass

from ..protocol.messages import Start, Waiting

# What an agent accepts; an entry aims at less, see ``coordination.placement``.
MAX_WAITING = 8


@dataclass(slots=True)
class WaitingStart:
    """A start and the link that it came on."""

    link: int
    start: Start
    valid_until_ms: int


class StartQueue:
    """Waiting starts by class, oldest first."""

    def __init__(self, clock):
        self._clock = clock
        self._by_class = {}
        self._counts = collections.Counter()
        self._size = 0

    def __len__(self):
        return self._size

    def classes(self):
        """Return the names of the classes that have starts waiting."""
        return list(self._by_class)

    def count(self, link, class_name):
        """Return how many starts of the class wait that came on the link."""
        return self._counts[link, class_name]

    def waiting_of(self, link):
        """Return the ``Waiting`` counts of a link."""
        counts = [(name, self._counts[link, name]) for name in self._by_class]
        return [Waiting(name, count) for name, count in counts if count]

    def push(self, link, start, valid_until_ms):
        """Add a start that came on a link."""
        name = start.class_name
        line = self._by_class.setdefault(name, collections.OrderedDict())
        line[start.key] = WaitingStart(link, start, valid_until_ms)
        self._counts[link, name] += 1
        self._size += 1

    def pop(self, class_name):
        """Remove and return the oldest ``WaitingStart`` of a class."""
        return self._remove(class_name, next(iter(self._by_class[class_name])))

    def take(self, key):
        """Remove and return the start with this key, or None."""
        for name, line in self._by_class.items():
            if key in line:
                return self._remove(name, key)
        return None

    def take_link(self, link):
        """Remove and return all starts of a link."""
        return self._take_where(lambda waiting: waiting.link == link)

    def take_all(self):
        """Remove and return all starts."""
        return self._take_where(lambda waiting: True)

    def take_expired(self):
        """Remove and return the starts that are no longer valid."""
        now_ms = self._clock.now_ms()
        return self._take_where(lambda waiting: waiting.valid_until_ms < now_ms)

    def _take_where(self, condition):
        found = [
            (name, key)
            for name, line in self._by_class.items()
            for key, waiting in line.items()
            if condition(waiting)
        ]
        return [self._remove(name, key) for name, key in found]

    def _remove(self, class_name, key):
        line = self._by_class[class_name]
        waiting = line.pop(key)
        if not line:
            del self._by_class[class_name]
        self._size -= 1
        counter = (waiting.link, class_name)
        self._counts[counter] -= 1
        if not self._counts[counter]:
            del self._counts[counter]
        return waiting
