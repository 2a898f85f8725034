"""The endpoint beside an agent, as the agent sees it.

The protocol is plain HTTP/1.1 and is described in ``docs/endpoint-protocol.md``.
"""

from ..outcomes import Outcome


class EndpointClient:
    """Runs tasks at one endpoint; every result is a value."""

    async def run(self, start) -> Outcome:
        """Run one ``messages.Start`` at the endpoint and return its outcome.

        NotRun only where the endpoint can't have begun: the connection was
        refused, or the endpoint refused with ``Plantainhitch-Not-Run: 1``.
        """
        raise NotImplementedError

    async def cancel(self, key):
        """Ask the endpoint to stop an attempt; the answer still decides."""
        raise NotImplementedError

    async def busy_slots(self):
        """Return how many slots the endpoint has in use, or None if unreachable."""
        raise NotImplementedError

    async def aclose(self):
        """Release the connections."""
