"""A model of an endpoint and its clients, without a network."""

import asyncio

from plantainhitch.state.endpoints import (
    Accepted,
    ActiveRun,
    Inventory,
    NoAnswer,
    Rejected,
    Rejection,
)

# The time that an answer of the endpoint takes.
ANSWER_S = 0.005


class ModelEndpoint:
    """The endpoint of a machine; ``connect`` returns clients that call it."""

    def __init__(self):
        self.endpoint_id, self.born_ms = "e-1", 1_000
        self.fence = 0
        self.running = []
        self.is_silent = False
        self.asked_ids = []
        self.open_clients = 0

    def connect(self, lifetime):
        """Return a client whose calls are for this lifetime, (endpoint id, born_ms)."""
        self.open_clients += 1
        return ModelClient(self, *lifetime)

    def restart(self, endpoint_id, born_ms):
        """Begin a new lifetime."""
        self.endpoint_id, self.born_ms = endpoint_id, born_ms
        self.fence, self.running = 0, []


class ModelClient:
    """The client of one lifetime of an endpoint."""

    def __init__(self, endpoint, endpoint_id, born_ms):
        self._endpoint = endpoint
        self._endpoint_id = endpoint_id
        self._born_ms = born_ms
        self._is_open = True

    async def inventory(self, fence, last_end_number, lease_expiry_ms, wait_ms):
        """Answer as the endpoint at this time."""
        endpoint = self._endpoint
        endpoint.asked_ids.append(self._endpoint_id)
        await asyncio.sleep(ANSWER_S)
        if endpoint.is_silent:
            return NoAnswer()
        if self._endpoint_id != endpoint.endpoint_id:
            return Rejected(Rejection.OTHER_LIFETIME)
        if fence < endpoint.fence:
            return Rejected(Rejection.FENCE)
        endpoint.fence = fence
        if self._born_ms != endpoint.born_ms:
            # Its connection isn't one to the lifetime that it is for.
            return Rejected(Rejection.OTHER_LIFETIME, born_ms=endpoint.born_ms)
        running = tuple(ActiveRun(key, "", 50) for key in endpoint.running)
        return Inventory(5, endpoint.born_ms, running, ())

    async def start(
        self, key, payload, lease_expiry_ms, fence, checkpoint="", may_send=None
    ):
        """Start a run."""
        self._endpoint.running.append(key)
        return Accepted(5)

    async def stop(self, key, fence):
        """Leave the order unanswered."""
        return NoAnswer()

    def close(self):
        """Count the client as closed."""
        self._endpoint.open_clients -= self._is_open
        self._is_open = False
