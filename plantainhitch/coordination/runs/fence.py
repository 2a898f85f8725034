"""The fence of an agent's orders, and which of the orders sent so far still count."""

from ... import logs

# The fence is raised by this when the endpoint has rejected it as too low.
FENCE_STEP = 60_000

log = logs.get_logger("runs")


class Fence:
    """A number in each order, which rises; ``first`` is that of the first order.

    The endpoint rejects orders with a lower one than it has accepted. None in place of
    the fence of an order stands for the present one.
    """

    def __init__(self, first):
        self._value = first
        # The fence since the endpoint was last lost.
        self._first_valid = first

    @property
    def value(self):
        """The fence of the next order."""
        return self._value

    def endpoint_lost(self):
        """Raise the fence: no order that was sent so far counts any more."""
        self._value += 1
        self._first_valid = self._value

    def raise_above(self, fence):
        """Make the endpoint refuse an order with ``fence`` once it accepts another."""
        self._value = max(self._value, fence + 1)

    def rejected(self, fence):
        """Raise the fence if the endpoint has rejected the present one as too low.

        An order that was sent before the fence was last raised has a lower one.
        """
        if fence is None or fence >= self._value:
            self._value += FENCE_STEP
            log.warning("fence raised", fence=self._value)

    def is_valid(self, fence):
        """Return whether an order with ``fence`` was sent after the last loss."""
        return fence is None or fence >= self._first_valid
