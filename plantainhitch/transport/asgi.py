"""Helpers shared by the ASGI applications that use no web framework."""

from dataclasses import dataclass

JSON_TYPE = b"application/json"
METRICS_TYPE = b"text/plain; version=0.0.4; charset=utf-8"
MAX_SMALL_BODY_BYTES = 1024 * 1024


@dataclass(frozen=True, slots=True)
class Reply:
    """An HTTP reply.

    ``retry_after_s`` 0 omits the ``Retry-After`` header; ``close_connection``
    tells the client that the connection will be closed.
    """

    status: int
    body: bytes = b""
    content_type: bytes = JSON_TYPE
    retry_after_s: int = 0
    close_connection: bool = False


async def read_body(receive, max_bytes):
    """Return a request's body.

    Returns None if it is larger than ``max_bytes`` or the client disconnects first.
    """
    chunks, size = [], 0
    while True:
        message = await receive()
        if message["type"] == "http.disconnect":
            return None
        chunk = message.get("body", b"")
        size += len(chunk)
        if size > max_bytes:
            return None
        chunks.append(chunk)
        if not message.get("more_body"):
            return b"".join(chunks)


async def wait_for_disconnect(receive):
    """Return once the client has disconnected; its request has been read."""
    while (await receive())["type"] != "http.disconnect":
        pass


class MetricsApp:
    """An ASGI application that serves the text from ``render()`` at ``/metrics``."""

    def __init__(self, render):
        self._render = render

    async def __call__(self, scope, receive, send):
        """Handle one HTTP request."""
        if scope["path"] != "/metrics":
            await send_reply(send, Reply(404, b'{"error":"no such page"}'))
            return
        body = self._render().encode()
        await send_reply(send, Reply(200, body, content_type=METRICS_TYPE))


async def send_reply(send, reply):
    """Send a ``Reply`` through the ASGI callable ``send``."""
    headers = []
    if reply.body:
        headers.append((b"content-type", reply.content_type))
        headers.append((b"content-length", b"%d" % len(reply.body)))
    if reply.retry_after_s:
        headers.append((b"retry-after", b"%d" % reply.retry_after_s))
    if reply.close_connection:
        headers.append((b"connection", b"close"))
    start = {"type": "http.response.start", "status": reply.status}
    await send(start | {"headers": headers})
    await send({"type": "http.response.body", "body": reply.body})
