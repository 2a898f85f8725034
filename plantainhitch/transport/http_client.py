"""A small keep-alive HTTP/1.1 client for one address, based on httptools.

Agents use it to reach their endpoints. A connection carries one request at a time;
requests aren't pipelined. Every result is a value that tells whether the request was
written, because that decides whether a task may have run.
"""

import asyncio
import collections
from collections.abc import Callable
from dataclasses import dataclass, field

import httptools

MAX_CONNECTIONS = 60
MAX_RESPONSE_BYTES = 16 * 1024 * 1024
MAX_HEADER_BYTES = 64 * 1024
# Shorter than the keep-alive timeout of common servers, so that the client closes an
# idle connection first.
IDLE_TIMEOUT_MS = 4_000
CONNECT_TIMEOUT_S = 2.0
DEFAULT_TIMEOUT_MS = 2_000
# Lets the event loop read data that has already arrived when a timeout expires.
FINAL_READ_GRACE_S = 0.002


@dataclass(frozen=True, slots=True)
class HttpResponse:
    """A complete response; header names are in lower case."""

    status: int
    headers: dict[bytes, bytes]
    body: bytes


@dataclass(frozen=True, slots=True)
class NotSent:
    """No byte of the request was written.

    ``refused`` is set if the connection was refused, by the host or by the network.
    """

    detail: str
    refused: bool = False


@dataclass(frozen=True, slots=True)
class ConnectionLost:
    """The request was written, but no complete, valid response was received."""

    detail: str


@dataclass(frozen=True, slots=True)
class ResponseTooLarge:
    """The response body exceeded ``MAX_RESPONSE_BYTES``."""


@dataclass(frozen=True, slots=True)
class TimedOut:
    """The request was written, but no complete response was received in time."""


@dataclass(frozen=True, slots=True)
class HandshakeFailed:
    """The handshake of the connection had this result; no byte of the request was sent.

    ``result`` is any other ``HttpResult``, also a response that was not accepted.
    """

    result: "HttpResult"


@dataclass(frozen=True, slots=True)
class Withdrawn:
    """The request was no longer wanted when its connection was there."""


HttpResult = (
    HttpResponse
    | NotSent
    | Withdrawn
    | ConnectionLost
    | ResponseTooLarge
    | TimedOut
    | HandshakeFailed
)


@dataclass(frozen=True, slots=True)
class Handshake:
    """A request that shows whether a new connection may carry others.

    ``accepts(response)`` tells whether an ``HttpResponse`` to it shows that.
    """

    method: bytes
    path: bytes
    body: bytes
    headers: tuple
    timeout_ms: int
    accepts: Callable[[HttpResponse], bool]


@dataclass(slots=True)
class _PartialResponse:
    """The headers and body chunks of a response that is being received."""

    headers: dict[bytes, bytes] = field(default_factory=dict)
    chunks: list[bytes] = field(default_factory=list)
    size: int = 0
    header_bytes: int = 0


class _Connection(asyncio.Protocol):
    """A connection that carries at most one request at a time."""

    def __init__(self, on_idle, on_lost):
        self.has_shaken_hands = False
        self._on_idle = on_idle
        self._on_lost = on_lost
        self._transport = None
        self._parser = None
        self._partial = _PartialResponse()
        self._waiter = None
        self._timer = None

    @property
    def is_usable(self):
        """Whether the connection is open for another request."""
        return not self._transport.is_closing()

    def connection_made(self, transport):
        self._transport = transport

    def exchange(self, request, timeout_ms):
        """Write ``request``, a list of bytes; return the future ``HttpResult``."""
        loop = asyncio.get_running_loop()
        self._parser = httptools.HttpResponseParser(self)
        self._partial = _PartialResponse()
        self._waiter = loop.create_future()
        self._timer = loop.call_later(timeout_ms / 1000, self._on_timeout)
        self._transport.writelines(request)
        return self._waiter

    def close(self):
        """Abort the connection, discarding unsent data."""
        self._transport.abort()

    def data_received(self, data):
        if self._waiter is None:
            self.close()  # data without a request in progress
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:
            self._finish(ConnectionLost(f"malformed response: {error}"), reuse=False)

    def connection_lost(self, exc):
        self._on_lost(self)
        if self._waiter is not None:
            self._finish(ConnectionLost(str(exc or "closed by the peer")), reuse=False)

    def on_header(self, name, value):
        self._partial.header_bytes += len(name) + len(value)
        if self._partial.header_bytes > MAX_HEADER_BYTES:
            if self._waiter is not None:
                self._finish(ConnectionLost("headers too large"), reuse=False)
            return
        self._partial.headers[name.lower()] = value

    def on_body(self, body):
        self._partial.size += len(body)
        if self._waiter is None:
            return
        if self._partial.size > MAX_RESPONSE_BYTES:
            self._finish(ResponseTooLarge(), reuse=False)
            return
        self._partial.chunks.append(body)

    def on_message_complete(self):
        if self._waiter is None:
            return
        status = self._parser.get_status_code()
        if status < 200:
            self._partial = _PartialResponse()
            return
        response = HttpResponse(
            status, self._partial.headers, b"".join(self._partial.chunks)
        )
        self._finish(response, reuse=self._parser.should_keep_alive())

    def _on_timeout(self):
        # The event loop runs timers before it reads sockets, so a response that arrived
        # while the process was busy may not have been read yet.
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(FINAL_READ_GRACE_S, self._finish_timed_out)

    def _finish_timed_out(self):
        self._finish(TimedOut(), reuse=False)

    def _finish(self, result, *, reuse):
        self._timer.cancel()
        waiter, self._waiter = self._waiter, None
        if waiter is not None and not waiter.done():
            waiter.set_result(result)
        if reuse and self.is_usable:
            self._on_idle(self)
        else:
            self.close()


class HttpClient:
    """Sends requests to one address over a pool of keep-alive connections.

    At most ``max_connections`` requests are in progress; further ones wait. A
    connection that was idle for longer than ``idle_timeout_ms`` isn't reused.
    """

    def __init__(
        self,
        address,
        clock,
        *,
        max_connections=MAX_CONNECTIONS,
        idle_timeout_ms=IDLE_TIMEOUT_MS,
        connect_timeout_s=CONNECT_TIMEOUT_S,
    ):
        self._address = address
        self._clock = clock
        self._idle_timeout_ms = idle_timeout_ms
        self._connect_timeout_s = connect_timeout_s
        self._idle = collections.deque()
        self._open = set()
        self._slots = asyncio.Semaphore(max_connections)
        self._host = str(address).encode()

    @property
    def address(self):
        """The server's address."""
        return self._address

    async def request(
        self,
        method,
        path,
        body=b"",
        headers=(),
        *,
        timeout_ms=DEFAULT_TIMEOUT_MS,
        handshake=None,
        is_wanted=lambda: True,
    ) -> HttpResult:
        """Send one request; all parts are bytes, and ``headers`` are pairs of bytes.

        ``timeout_ms`` runs from the moment when the request is written. Cancelling
        the call closes its connection, so that a late response can't be taken for
        that of a later request. With a ``Handshake``, the request is written only on
        a connection on which a handshake was accepted. ``is_wanted()`` is asked right
        before that: the process may have been suspended while it waited.
        """
        request = self._encode_request(method, path, body, headers)
        async with self._slots:
            connection = await self._acquire(handshake)
            if not isinstance(connection, _Connection):
                return connection
            if not is_wanted():
                self._add_idle(connection)
                return Withdrawn()
            return await self._exchange(connection, request, timeout_ms)

    async def aclose(self):
        """Close every connection; see ``close``."""
        self.close()

    def close(self):
        """Close every connection; requests in progress end as ``ConnectionLost``."""
        for connection in list(self._open):
            connection.close()
        self._idle.clear()

    async def _acquire(self, handshake):
        """Return a connection for a request, or the result without one."""
        while True:
            connection = self._pop_idle() or await self._connect()
            if isinstance(connection, NotSent):
                return connection
            if handshake is None or connection.has_shaken_hands:
                return connection
            failure = await self._shake_hands(connection, handshake)
            if failure is not None:
                return failure
            # The connection is idle now, and may have been taken for another request.

    async def _shake_hands(self, connection, handshake):
        """Return why a connection can't carry requests, None if it can."""
        request = self._encode_request(
            handshake.method, handshake.path, handshake.body, handshake.headers
        )
        result = await self._exchange(connection, request, handshake.timeout_ms)
        if not isinstance(result, HttpResponse) or not handshake.accepts(result):
            return HandshakeFailed(result)
        if not connection.is_usable:
            return HandshakeFailed(ConnectionLost("closed after the handshake"))
        connection.has_shaken_hands = True
        return None

    async def _exchange(self, connection, request, timeout_ms):
        try:
            return await connection.exchange(request, timeout_ms)
        except asyncio.CancelledError:
            connection.close()
            raise

    def _encode_request(self, method, path, body, headers):
        lines = [b"%b %b HTTP/1.1\r\nHost: %b\r\n" % (method, path, self._host)]
        lines.extend(b"%b: %b\r\n" % pair for pair in headers)
        if method != b"GET":
            lines.append(b"Content-Length: %d\r\n" % len(body))
        lines.append(b"\r\n")
        return [b"".join(lines), body] if body else lines

    def _pop_idle(self):
        oldest_idle_ms = self._clock.now_ms() - self._idle_timeout_ms
        while self._idle:
            connection, since_ms = self._idle.pop()
            if since_ms >= oldest_idle_ms and connection.is_usable:
                return connection
            connection.close()
        return None

    async def _connect(self):
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(self._connect_timeout_s):
                _, connection = await loop.create_connection(
                    self._new_connection, self._address.host, self._address.port
                )
        except ConnectionRefusedError as error:
            return NotSent(str(error), refused=True)
        except (OSError, TimeoutError) as error:
            return NotSent(str(error) or "timed out while connecting")
        self._open.add(connection)
        return connection

    def _new_connection(self):
        return _Connection(self._add_idle, self._open.discard)

    def _add_idle(self, connection):
        self._idle.append((connection, self._clock.now_ms()))
