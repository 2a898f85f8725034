"""A bound on the bytes of request bodies that an entry holds at a time.

Each body has its own limit, but many large ones at once could still fill the
process's memory. A request counts with its announced length, one without a length
with the largest allowed, from before its body is read until it is answered.
"""

from litestar import Request

from ..protocol.errors import ErrorCode, Refusal
from . import replies

RETRY_AFTER_MS = 1_000


class BodyBudget:
    """Counts held bytes; ``wrap`` puts the bound around an application."""

    def __init__(self, most_bytes, largest_body_bytes):
        self._most_bytes = most_bytes
        self._largest_body_bytes = largest_body_bytes
        self._held_bytes = 0

    @property
    def held_bytes(self):
        """Bytes of bodies of requests that are being answered."""
        return self._held_bytes

    def wrap(self, app):
        """Return ``app`` with the bound; all that are wrapped share it."""

        async def bounded(scope, receive, send):
            size = self._size(scope)
            if self._held_bytes + size > self._most_bytes:
                await _refuse(scope, receive, send)
                return
            self._held_bytes += size
            try:
                await app(scope, receive, send)
            finally:
                self._held_bytes -= size

        return bounded

    def _size(self, scope):
        """Return what a request counts; one over its own limit isn't read at all."""
        for name, value in scope.get("headers", ()):
            if name == b"content-length":
                size = int(value)
                return size if size <= self._largest_body_bytes else 0
            if name == b"transfer-encoding":
                return self._largest_body_bytes
        return 0


async def _refuse(scope, receive, send):
    message = "too many bytes of requests are being answered"
    refusal = Refusal(ErrorCode.OVERLOADED, message, True, RETRY_AFTER_MS)
    reply = replies.refuse(Request(scope), refusal)
    await reply(scope, receive, send)
