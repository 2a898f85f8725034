"""The interface through which an agent uses the endpoint on its instance.

The protocol is plain HTTP/1.1 and is described in ``docs/endpoint-protocol.md``.
"""

from ..outcomes import Outcome


class EndpointClient:
    """Runs tasks at one endpoint; failures are returned as values."""

    async def run(self, start) -> Outcome:
        """Run one ``messages.Start`` at the endpoint and return its outcome.

        The outcome is ``NotRun`` only if the endpoint can't have started the task:
        no connection was made, or it replied with ``Plantainhitch-Not-Run: 1``.
        """
        raise NotImplementedError

    async def cancel(self, key):
        """Ask the endpoint to stop an attempt.

        The attempt's outcome is still the one that ``run`` returns.
        """
        raise NotImplementedError

    async def busy_slots(self):
        """Return the number of slots in use.

        Returns None if the endpoint can't be reached or its reply is unusable.
        """
        raise NotImplementedError

    async def aclose(self):
        """Close the connections."""
