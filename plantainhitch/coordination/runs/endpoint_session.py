"""The calls of an agent to its endpoint: orders, lease renewals and inventories."""

import asyncio
import contextlib
import functools
from dataclasses import dataclass

from ...state.endpoints import (
    Accepted,
    Inventory,
    OrderResult,
    Rejected,
    Rejection,
)
from ...state.jobs import RunKey
from ..background import spawn
from .run import StartOrder, StopOrder

# The time for which an inventory waits for an end while there are runs: no end is known
# before the next inventory if the answer of this one is lost.
INVENTORY_WAIT_MS = 100
# The time without runs. It is a third of the endpoint's lease, so that one lost answer
# does not let the lease expire.
IDLE_INVENTORY_WAIT_MS = 250
# The delay between inventories while the endpoint does not answer.
INVENTORY_RETRY_DELAY_MS = 50


@dataclass(frozen=True, slots=True)
class StartResultReceived:
    """The call that orders a start returned; ``result`` may be ``NoAnswer``."""

    key: RunKey
    result: OrderResult
    fence: int


@dataclass(frozen=True, slots=True)
class StopResultReceived:
    """The call that orders a stop returned; ``result`` may be ``NoAnswer``."""

    key: RunKey
    result: OrderResult
    fence: int


@dataclass(frozen=True, slots=True)
class InventoryResultReceived:
    """The call for an inventory of a lifetime, (endpoint id, born_ms), returned."""

    endpoint: tuple[str, int]
    result: Inventory | OrderResult
    fence: int


class EndpointSession:
    """Sends what the ``RunController`` decides to the present lifetime of the endpoint.

    Each call runs in a task of its own, and its result is posted to ``inbox``.
    """

    def __init__(self, clock, controller, inbox):
        self._clock = clock
        self._controller = controller
        self._inbox = inbox
        self._client = None
        self._lease_task = None
        self._tasks = set()

    @property
    def tasks(self):
        """The tasks of the calls in progress."""
        return self._tasks

    def begin(self, report, client):
        """Renew the lease of a new lifetime from now on; orders go to it as well.

        ``report`` is its ``EndpointReport``, ``client`` its ``EndpointClient``.
        """
        if self._lease_task is not None:
            self._lease_task.cancel()
        self._client = client
        self._lease_task = spawn(self._renew_lease(report, client), self._tasks)

    def send(self, order):
        """Send a ``StartOrder`` or a ``StopOrder``."""
        spawn(self._send(order), self._tasks)

    def request_inventory(self):
        """Request an inventory besides the one that waits for an end."""
        if self._client is not None:
            spawn(self._request_inventory(), self._tasks)

    def close(self):
        """Close the connections to the endpoint."""
        if self._client is not None:
            self._client.close()

    async def _renew_lease(self, report, client):
        """Renew the endpoint's lease and post its inventories, until cancelled."""
        lifetime = report.lifetime
        wait_ms = 0
        with contextlib.closing(client):
            while True:
                controller = self._controller
                fence = controller.fence
                result = await client.inventory(
                    fence,
                    controller.lifetime.last_end_number,
                    controller.renew_lease(),
                    wait_ms,
                )
                self._inbox.post(InventoryResultReceived(lifetime, result, fence))
                if isinstance(result, Inventory):
                    await asyncio.sleep(0)  # let the controller handle it first
                    wait_ms = (
                        INVENTORY_WAIT_MS if controller.runs else IDLE_INVENTORY_WAIT_MS
                    )
                else:
                    wait_ms = 0
                    await self._clock.sleep_ms(INVENTORY_RETRY_DELAY_MS)

    async def _request_inventory(self):
        controller = self._controller
        endpoint = controller.endpoint
        fence = controller.fence
        result = await self._client.inventory(
            fence, controller.lifetime.last_end_number, None, 0
        )
        self._inbox.post(InventoryResultReceived(endpoint.lifetime, result, fence))

    async def _send(self, order):
        controller = self._controller
        fence = controller.fence
        match order:
            case StartOrder(start) if not controller.may_send_start(start.key):
                result = Rejected(Rejection.WITHDRAWN)
                self._inbox.post(StartResultReceived(start.key, result, fence))
            case StartOrder(start):
                may_send = functools.partial(controller.may_send_start, start.key)
                controller.record_start_sent(start.key, fence)
                result = await self._client.start(
                    start.key,
                    start.payload,
                    controller.renew_lease() or 0,
                    fence,
                    start.checkpoint,
                    may_send,
                )
                received = StartResultReceived(start.key, result, fence)
                if isinstance(result, Accepted):
                    # Nothing is to be decided until the next event.
                    self._inbox.post_without_waking(received)
                else:
                    self._inbox.post(received)
            case StopOrder(key):
                result = await self._client.stop(key, fence)
                self._inbox.post(StopResultReceived(key, result, fence))
