"""Admission limit on the total size of the request bodies that an entry holds.

Each body has its own size limit, but many large bodies at once could still exhaust
the process's memory. A request counts with its Content-Length, or with the largest
allowed size if it is chunked, from before its body is read until its reply is sent.
"""

from litestar import Request

from ..protocol.errors import ErrorCode, Refusal
from . import replies

RETRY_AFTER_MS = 1_000


class BodyBudget:
    """Counts the bytes held; ``wrap`` returns an application with the limit applied."""

    def __init__(self, max_held_bytes, max_body_bytes):
        self._max_held_bytes = max_held_bytes
        self._max_body_bytes = max_body_bytes
        self._held_bytes = 0

    @property
    def held_bytes(self):
        """Bytes counted for the requests in progress."""
        return self._held_bytes

    def wrap(self, app):
        """Return ``app`` with the limit; all wrapped applications share one count."""

        async def bounded(scope, receive, send):
            size = self._counted_bytes(scope)
            if self._held_bytes + size > self._max_held_bytes:
                await _refuse(scope, receive, send)
                return
            self._held_bytes += size
            try:
                await app(scope, receive, send)
            finally:
                self._held_bytes -= size

        return bounded

    def _counted_bytes(self, scope):
        """Return the bytes that a request counts for.

        A request whose Content-Length exceeds the body limit counts 0, because its
        body is never read.
        """
        for name, value in scope.get("headers", ()):
            if name == b"content-length":
                size = int(value)
                return size if size <= self._max_body_bytes else 0
            if name == b"transfer-encoding":
                return self._max_body_bytes
        return 0


async def _refuse(scope, receive, send):
    message = "too many bytes of requests are being answered"
    refusal = Refusal(ErrorCode.OVERLOADED, message, True, RETRY_AFTER_MS)
    reply = replies.refuse(Request(scope), refusal)
    await reply(scope, receive, send)
