"""Event queue of a task that owns state: other tasks post, the owner consumes."""

import asyncio


class Inbox:
    """An unbounded event queue whose consumer takes all queued events at once.

    With all events at hand, the owner needs a single round of decisions and one
    frame for each peer, however many events there are.
    """

    def __init__(self):
        self._events = []
        self._wake_event = asyncio.Event()

    def post(self, event):
        """Add an event and wake the consumer; never blocks."""
        self._events.append(event)
        self._wake_event.set()

    def post_without_waking(self, event):
        """Add an event without waking the consumer.

        It is consumed together with the next event that is posted with ``post``.
        """
        self._events.append(event)

    async def take_all(self):
        """Wait until the consumer is woken; return all events, oldest first."""
        await self._wake_event.wait()
        return self.take_present()

    def take_present(self):
        """Return all events so far, oldest first."""
        self._wake_event.clear()
        events, self._events = self._events, []
        return events
