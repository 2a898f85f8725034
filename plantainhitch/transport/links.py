"""Links: framed TCP connections between the processes of the system.

They connect agents with entries, and entries with each other. A ``Link`` is owned by
one task. It wraps each message in an envelope with the sender's time stamp, the echo
of the peer's newest stamp and an acknowledgement, sends heartbeats, and passes each
envelope received to its owner's ``on_message``.
"""

import asyncio
import collections
import struct
from dataclasses import dataclass

from .. import logs
from ..protocol import codec, messages as m

LENGTH_PREFIX = struct.Struct(">I")
MAX_FRAME_BYTES = 32 * 1024 * 1024
# Time without a frame sent after which a heartbeat is sent.
HEARTBEAT_MS = 3_000
SILENCE_TIMEOUT_MS = 10_000
# Heartbeats are sent at multiples of this, so that a process with many idle links wakes
# once for all of them.
HEARTBEAT_GRID_MS = 50
# A link whose send buffer exceeds this is closed: its peer reads too slowly.
MAX_UNSENT_BYTES = 64 * 1024 * 1024

log = logs.get_logger("links")


@dataclass(frozen=True, slots=True)
class LinkTiming:
    """Heartbeat interval, and silence of the peer that closes a link, both in ms.

    On a busy link a frame of the peer is answered at once if nothing was sent for
    ``busy_reply_ms``; None leaves that to the heartbeats.
    """

    heartbeat_ms: int = HEARTBEAT_MS
    silence_timeout_ms: int = SILENCE_TIMEOUT_MS
    busy_reply_ms: int | None = None


DEFAULT_TIMING = LinkTiming()


@dataclass(frozen=True, slots=True)
class LinkClosed:
    """Why a link ended; ``bad_frame`` if a frame can't be decoded."""

    detail: str
    bad_frame: bool = False


class Link(asyncio.Protocol):
    """A framed connection, created by ``connect`` or ``listen``.

    The task that owns it may wait for single frames with ``receive_one``, and then
    calls ``run``. ``on_connected(link)`` is called once the connection is open.
    """

    def __init__(self, clock, timing=DEFAULT_TIMING, on_connected=None):
        self._clock = clock
        self._timing = timing
        self._on_connected = on_connected
        self._transport = None
        self._last_sent_ms = clock.now_ms()
        self._last_received_ms = clock.now_ms()
        self._peer_stamp_ms = 0
        # The peer's stamp to echo while echoes are deferred, None if they are not.
        self._released_stamp_ms = None
        self._echo_ms = 0
        self._ack = 0
        self._last_sent_ack = 0
        self._sent_frames = 0
        self._sent_bytes = 0
        self._is_busy = False
        # The beginning of a frame whose rest has not arrived yet.
        self._partial = bytearray()
        # Envelopes that arrived before ``run``.
        self._early = collections.deque()
        self._on_message = None
        # Set when an envelope arrives before ``run``, and when the link has ended.
        self._wake_event = asyncio.Event()
        # Why the link has ended, None while it is open.
        self._closed = None

    @property
    def peer_stamp_ms(self):
        """The newest time stamp received from the peer, in ms of the peer's clock."""
        return self._peer_stamp_ms

    @property
    def echo_ms(self):
        """The newest own time stamp that the peer has echoed, or 0 before the first."""
        return self._echo_ms

    @property
    def last_received_ms(self):
        """When the last frame was received from the peer, in ms of the own clock."""
        return self._last_received_ms

    @property
    def sent_frames(self):
        """The number of frames written, heartbeats included."""
        return self._sent_frames

    @property
    def sent_bytes(self):
        """The number of bytes written, length prefixes included."""
        return self._sent_bytes

    @property
    def is_open(self):
        """Whether the connection is open for sending."""
        return self._closed is None and not self._transport.is_closing()

    def set_busy(self, is_busy):
        """Set whether the peer needs recent echoes, see ``LinkTiming``."""
        self._is_busy = is_busy

    def defer_echoes(self):
        """Echo later stamps of the peer only after a call of ``release_echoes``.

        For a peer that takes an echo as proof that this process still wants what it has
        ordered, and not only that it reads its sockets.
        """
        self._released_stamp_ms = self._peer_stamp_ms

    def release_echoes(self, stamp_ms):
        """Echo the peer's stamps up to ``stamp_ms``, and answer it if that is due."""
        if self._released_stamp_ms != stamp_ms:
            self._released_stamp_ms = stamp_ms
            self._reply_if_due()

    def acknowledge(self, number):
        """Send ``number`` in later frames as the newest report batch received."""
        self._ack = max(self._ack, number)

    def send(self, message):
        """Write a message and return True.

        Returns False, with nothing written, if the link is closed or if its peer
        reads too slowly; the link is closed in that case.
        """
        if not self.is_open:
            return False
        if self._transport.get_write_buffer_size() > MAX_UNSENT_BYTES:
            self._abort("the peer reads too slowly")
            return False
        data = codec.encode(
            m.Envelope(
                message,
                self._clock.now_ms(),
                self._stamp_to_echo(),
                self._ack_to_send(message),
            )
        )
        self._transport.writelines((LENGTH_PREFIX.pack(len(data)), data))
        self._sent_frames += 1
        self._sent_bytes += LENGTH_PREFIX.size + len(data)
        self._last_sent_ms = self._clock.now_ms()
        return True

    def close(self, detail="closed here"):
        """Close the connection after the frames sent so far; ``run`` returns."""
        self._end(LinkClosed(detail))
        self._transport.close()

    async def run(self, on_message):
        """Receive frames until the link ends; return a ``LinkClosed``.

        ``on_message(envelope)`` is called for every frame, except for heartbeats
        without an acknowledgement.
        """
        self._on_message = on_message
        while self._early:
            self._deliver(self._early.popleft())
        heartbeats = asyncio.create_task(self._send_heartbeats())
        try:
            while self._closed is None:
                self._wake_event.clear()
                await self._wake_event.wait()
            return self._closed
        finally:
            heartbeats.cancel()
            self._transport.close()

    async def receive_one(self):
        """Return the next envelope, or a ``LinkClosed``; only before ``run``."""
        while not self._early and self._closed is None:
            self._wake_event.clear()
            await self._wake_event.wait()
        return self._early.popleft() if self._early else self._closed

    def connection_made(self, transport):
        """See ``asyncio.Protocol``."""
        self._transport = transport
        if self._on_connected is not None:
            self._on_connected(self)

    def connection_lost(self, exc):
        """See ``asyncio.Protocol``."""
        self._end(LinkClosed(str(exc or "closed by the peer")))

    def data_received(self, data):
        """Handle the frames that are complete now."""
        received = self._partial
        received += data
        start = 0
        while self.is_open and len(received) - start >= LENGTH_PREFIX.size:
            (length,) = LENGTH_PREFIX.unpack_from(received, start)
            if length > MAX_FRAME_BYTES:
                self._abort(f"frame of {length} bytes", bad_frame=True)
                break
            begin = start + LENGTH_PREFIX.size
            if len(received) < begin + length:
                break
            start = begin + length
            self._handle_frame(bytes(received[begin:start]))
        del received[:start]

    def _handle_frame(self, data):
        envelope = codec.decode(data)
        if isinstance(envelope, codec.BadFrame):
            self._abort(envelope.detail, bad_frame=True)
            return
        self._last_received_ms = self._clock.now_ms()
        self._peer_stamp_ms = envelope.stamp_ms
        self._echo_ms = max(self._echo_ms, envelope.echo_ms)
        if self._on_message is None:
            self._early.append(envelope)
            self._wake_event.set()
        else:
            self._deliver(envelope)

    def _deliver(self, envelope):
        """Pass an envelope to the owner, and answer the peer if that is due.

        An error in the owner ends this link only, and the peer's other links go on.
        """
        if envelope.ack or not isinstance(envelope.message, m.Heartbeat):
            try:
                self._on_message(envelope)
            except Exception:
                kind = type(envelope.message).__name__
                log.exception("message not handled", kind=kind)
                self._abort("a message could not be handled", bad_frame=True)
                return
        if self._released_stamp_ms is None:
            self._reply_if_due()

    def _abort(self, detail, *, bad_frame=False):
        """Close the connection at once, discarding frames that are not sent yet."""
        self._end(LinkClosed(detail, bad_frame))
        self._transport.abort()

    def _end(self, closed):
        """Record why the link has ended; the first reason counts."""
        self._closed = self._closed or closed
        self._wake_event.set()

    def _stamp_to_echo(self):
        if self._released_stamp_ms is None:
            return self._peer_stamp_ms
        return self._released_stamp_ms

    def _ack_to_send(self, message):
        """Return the acknowledgement to send; 0 in a heartbeat if sent before."""
        if isinstance(message, m.Heartbeat) and self._ack == self._last_sent_ack:
            return 0
        self._last_sent_ack = self._ack
        return self._ack

    def _reply_if_due(self):
        """Send the peer an echo of its time stamp if the link is busy."""
        reply_ms = self._timing.busy_reply_ms
        if not self._is_busy or reply_ms is None:
            return
        if self._clock.now_ms() - self._last_sent_ms >= reply_ms:
            self.send(m.Heartbeat())

    async def _send_heartbeats(self):
        while self.is_open:
            now_ms = self._clock.now_ms()
            silent_at_ms = self._last_received_ms + self._timing.silence_timeout_ms
            if now_ms > silent_at_ms:
                self._abort(f"silent for {now_ms - self._last_received_ms} ms")
                return
            if self._next_heartbeat_ms() <= now_ms:
                self.send(m.Heartbeat())
            next_check_ms = min(self._next_heartbeat_ms(), silent_at_ms + 1)
            await self._clock.sleep_ms(max(next_check_ms - now_ms, 1))

    def _next_heartbeat_ms(self):
        """Return when the next heartbeat is due, at a multiple of the grid."""
        due_ms = self._last_sent_ms + self._timing.heartbeat_ms
        if self._timing.heartbeat_ms > HEARTBEAT_GRID_MS:
            due_ms -= due_ms % HEARTBEAT_GRID_MS
        return due_ms


async def connect(address, clock, timing=DEFAULT_TIMING):
    """Connect to ``address`` and return the ``Link``; raise OSError on failure."""
    loop = asyncio.get_running_loop()
    _, link = await loop.create_connection(
        lambda: Link(clock, timing), address.host, address.port
    )
    return link


async def listen(address, clock, on_link, timing=DEFAULT_TIMING):
    """Listen at ``address`` and await ``on_link(link)`` for each link accepted."""
    tasks = set()

    def start_serving(link):
        task = asyncio.create_task(_serve(on_link, link))
        tasks.add(task)
        task.add_done_callback(tasks.discard)

    loop = asyncio.get_running_loop()
    return await loop.create_server(
        lambda: Link(clock, timing, start_serving), address.host, address.port
    )


async def _serve(on_link, link):
    """Await ``on_link(link)``; an error in it ends this link only."""
    try:
        await on_link(link)
    except Exception:
        log.exception("link not served")
        link.close("the link could not be served")
