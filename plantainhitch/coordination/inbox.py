"""The inbox of a task that owns state: others post events, the owner takes all."""

import asyncio


class Inbox:
    """An unbounded queue that is emptied in one go.

    Taking everything at once lets the owner answer many events with one round
    of decisions and one frame for each peer.
    """

    def __init__(self):
        self._events = []
        self._wake = asyncio.Event()

    def post(self, event):
        """Add an event; never blocks."""
        self._events.append(event)
        self._wake.set()

    def post_without_waking(self, event):
        """Add an event that is taken with the next one, or with the next tick."""
        self._events.append(event)

    async def take_all(self):
        """Wait for at least one event and return all of them, oldest first."""
        await self._wake.wait()
        self._wake.clear()
        events, self._events = self._events, []
        return events
