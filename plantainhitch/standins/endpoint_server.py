"""A small HTTP server for the endpoint stand-in, based on httptools.

Benchmarks with many stand-ins need a server whose own CPU cost is small. This one
parses the request, awaits one coroutine for it and writes the reply.
"""

import asyncio
from dataclasses import dataclass

import httptools
import msgspec

REASON_PHRASES = {
    200: b"OK",
    204: b"No Content",
    400: b"Bad Request",
    404: b"Not Found",
}


@dataclass(frozen=True, slots=True)
class HttpRequest:
    """One request; header names are in lower case, ``query`` is raw."""

    method: bytes
    path: bytes
    query: bytes
    headers: dict[bytes, bytes]
    body: bytes


@dataclass(frozen=True, slots=True)
class HttpReply:
    """One reply.

    ``reset`` aborts the connection instead; ``is_truncated`` sends half of the body
    and closes the connection.
    """

    status: int = 200
    headers: tuple[tuple[bytes, bytes], ...] = ()
    body: bytes = b""
    reset: bool = False
    is_truncated: bool = False


class _Connection(asyncio.Protocol):
    """One client connection; its requests are answered one after the other."""

    def __init__(self, handler):
        self._handler = handler
        self._parser = httptools.HttpRequestParser(self)
        self._transport = None
        self._url = b""
        self._headers = {}
        self._chunks = []
        self._queue = []
        self._serve_task = None

    def connection_made(self, transport):
        self._transport = transport

    def data_received(self, data):
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            self._transport.abort()

    def on_message_begin(self):
        self._url = b""
        self._headers = {}
        self._chunks = []

    def on_url(self, url):
        self._url += url

    def on_header(self, name, value):
        self._headers[name.lower()] = value

    def on_body(self, body):
        self._chunks.append(body)

    def on_message_complete(self):
        path, _, query = self._url.partition(b"?")
        request = HttpRequest(
            self._parser.get_method(),
            path,
            query,
            self._headers,
            b"".join(self._chunks),
        )
        self._queue.append(request)
        if self._serve_task is None:
            self._serve_task = asyncio.create_task(self._serve())

    async def _serve(self):
        while self._queue:
            request = self._queue.pop(0)
            try:
                reply = await self._handler(request)
            except (msgspec.DecodeError, KeyError, ValueError) as error:
                reply = HttpReply(400, body=str(error).encode())
            self._write(reply)
        self._serve_task = None

    def _write(self, reply):
        if self._transport.is_closing():
            return
        if reply.reset:
            self._transport.abort()
            return
        lines = [
            b"HTTP/1.1 %d %b\r\n"
            % (reply.status, REASON_PHRASES.get(reply.status, b"-"))
        ]
        lines.extend(b"%b: %b\r\n" % pair for pair in reply.headers)
        if reply.status != 204:
            lines.append(b"Content-Length: %d\r\n" % len(reply.body))
        lines.append(b"\r\n")
        body = reply.body[: len(reply.body) // 2] if reply.is_truncated else reply.body
        self._transport.writelines((b"".join(lines), body))
        if reply.is_truncated:
            self._transport.close()


async def serve(address, handler):
    """Answer requests at ``address`` by ``await handler(request)``.

    Return the asyncio server.
    """
    loop = asyncio.get_running_loop()
    return await loop.create_server(
        lambda: _Connection(handler), address.host, address.port
    )
