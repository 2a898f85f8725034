"""The messages to agents that the dispatcher has produced and not yet sent."""

from ..protocol import messages as m


class Outbox:
    """Collects messages; all starts for one agent are sent as one batch."""

    def __init__(self):
        self._starts = {}
        self._others = []

    def add(self, incarnation, message):
        """Add a message for an agent."""
        self._others.append((incarnation, message))

    def add_start(self, incarnation, start):
        """Add a start to the agent's batch."""
        self._starts.setdefault(incarnation, []).append(start)

    def drop_starts(self, incarnation):
        """Drop the starts for an agent whose link has ended."""
        self._starts.pop(incarnation, None)

    def take(self):
        """Return and remove all (incarnation, message) pairs, the batches last."""
        pairs = self._others
        pairs += [
            (incarnation, m.StartBatch(starts))
            for incarnation, starts in self._starts.items()
        ]
        self._starts, self._others = {}, []
        return pairs
