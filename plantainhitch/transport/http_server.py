"""HTTP servers that run in the event loop of the process.

uvicorn runs as a task of that loop: it installs no signal handlers and starts no
process. Closing a server lets the requests in progress finish.
"""

import asyncio
import contextlib
import socket

import uvicorn
from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

from .addresses import Address

BACKLOG = 1_024
# Longer than the idle timeout of common load balancers, so that they close first.
KEEP_ALIVE_S = 75
STARTUP_POLL_S = 0.002
# Request line and headers together; uvicorn has no limit of its own.
MAX_HEAD_BYTES = 64 * 1024


class _EmbeddedServer(uvicorn.Server):
    """A uvicorn server that leaves signal handling to the process.

    Its main loop waits for ``stop``. uvicorn's own wakes ten times a second, which
    makes up most of what an idle process does.
    """

    def __init__(self, config):
        super().__init__(config)
        self._stop_event = asyncio.Event()

    def capture_signals(self):
        return contextlib.nullcontext()

    def stop(self):
        """Make the main loop return."""
        self.should_exit = True
        self._stop_event.set()

    async def main_loop(self):
        await self.on_tick(0)  # sets the default headers
        await self._stop_event.wait()


class _HeadLimitProtocol(HttpToolsProtocol):
    """A connection that is closed if a request's head exceeds ``MAX_HEAD_BYTES``."""

    _in_head = False
    _head_bytes = 0

    def data_received(self, data):
        super().data_received(data)
        if not self._in_head:
            return
        self._head_bytes += len(data)
        if self._head_bytes > MAX_HEAD_BYTES and not self.transport.is_closing():
            self.send_400_response(
                f"The request's head is over {MAX_HEAD_BYTES} bytes."
            )

    def on_message_begin(self):
        super().on_message_begin()
        self._in_head = True
        self._head_bytes = 0

    def on_headers_complete(self):
        super().on_headers_complete()
        self._in_head = False


class HttpServer:
    """A running server; ``aclose`` stops it after the requests in progress."""

    def __init__(self, server, task, address):
        self._server = server
        self._task = task
        self._address = address

    @property
    def address(self):
        """The address that the server is bound to."""
        return self._address

    @property
    def open_requests(self):
        """The number of requests in progress."""
        return len(self._server.server_state.tasks)

    def reset_connections(self):
        """Reset all open connections, as if the process had ended."""
        for connection in list(self._server.server_state.connections):
            connection.transport.abort()

    async def aclose(self, grace_ms=None):
        """Stop listening and wait for the requests in progress.

        Requests that are left after ``grace_ms`` are cancelled; None waits without
        limit.
        """
        if grace_ms is not None:
            self._server.config.timeout_graceful_shutdown = grace_ms / 1000
        self._server.stop()
        await self._task


async def serve(app, address):
    """Serve the ASGI ``app`` at ``address`` and return the ``HttpServer``.

    Port 0 takes a free port. Raises OSError if the address can't be bound.
    """
    listener = _bind(address)
    config = uvicorn.Config(
        app,
        access_log=False,
        backlog=BACKLOG,
        date_header=False,
        http=_HeadLimitProtocol,
        lifespan="off",
        log_config=None,
        loop="none",
        proxy_headers=False,
        server_header=False,
        timeout_keep_alive=KEEP_ALIVE_S,
        ws="none",
    )
    server = _EmbeddedServer(config)
    task = asyncio.create_task(server.serve(sockets=[listener]))
    while not server.started:
        if task.done():
            task.result()
        await asyncio.sleep(STARTUP_POLL_S)
    host, port = listener.getsockname()[:2]
    return HttpServer(server, task, Address(host, port))


def _bind(address):
    family = socket.AF_INET6 if ":" in address.host else socket.AF_INET
    # asyncio disables Nagle's algorithm only on sockets created with IPPROTO_TCP; with
    # it enabled, a reply of two segments waits for the peer's delayed ACK.
    listener = socket.socket(family, socket.SOCK_STREAM, socket.IPPROTO_TCP)
    try:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind((address.host, address.port))
    except OSError as error:
        listener.close()
        raise OSError(error.errno, f"{error.strerror}: {address}") from error
    listener.setblocking(False)
    return listener
