"""The few pieces that our plain ASGI applications share."""

from dataclasses import dataclass

JSON_TYPE = b"application/json"
MAX_SMALL_BODY_BYTES = 1024 * 1024


@dataclass(frozen=True, slots=True)
class Reply:
    """One HTTP answer; ``retry_after_s`` 0 leaves that header out."""

    status: int
    body: bytes = b""
    content_type: bytes = JSON_TYPE
    retry_after_s: int = 0
    close: bool = False


async def read_body(receive, max_bytes):
    """Return a request's body, or None where it is larger than ``max_bytes``."""
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


async def answer(send, reply):
    """Send a ``Reply``."""
    headers = [
        (b"content-type", reply.content_type),
        (b"content-length", b"%d" % len(reply.body)),
    ]
    if reply.retry_after_s:
        headers.append((b"retry-after", b"%d" % reply.retry_after_s))
    if reply.close:
        headers.append((b"connection", b"close"))
    start = {"type": "http.response.start", "status": reply.status}
    await send(start | {"headers": headers})
    await send({"type": "http.response.body", "body": reply.body})
