"""Messages that a round of decisions has for the agents."""

from ..protocol import messages as m


class Outbox:
    """Collects messages by agent incarnation; starts for one agent go together."""

    def __init__(self):
        self._starts = {}
        self._others = []

    def add(self, incarnation, message):
        """Add a message for an agent."""
        self._others.append((incarnation, message))

    def add_start(self, incarnation, start):
        """Add a start, which goes into the agent's one batch of this round."""
        self._starts.setdefault(incarnation, []).append(start)

    def drop_starts(self, incarnation):
        """Drop the starts for an agent whose link has ended."""
        self._starts.pop(incarnation, None)

    def take(self):
        """Return the (incarnation, message) pairs in order, and empty the outbox."""
        pairs = self._others
        pairs += [(key, m.StartBatch(starts)) for key, starts in self._starts.items()]
        self._starts, self._others = {}, []
        return pairs
