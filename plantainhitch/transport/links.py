"""Links: framed TCP connections between the processes of the system.

They connect agents with entries, and entries with each other. A ``Link`` is owned by
one task. It wraps each message in an envelope with the sender's time stamp, the echo
of the peer's newest stamp and an acknowledgement, sends heartbeats, and passes each
envelope received to its owner's ``on_message``.
"""

import asyncio
import struct
from dataclasses import dataclass

from ..protocol import codec, messages as m

LENGTH_PREFIX = struct.Struct(">I")
MAX_FRAME_BYTES = 32 * 1024 * 1024
# Time without a frame sent after which a heartbeat is sent.
HEARTBEAT_MS = 3_000
SILENCE_TIMEOUT_MS = 10_000
READ_BYTES = 64 * 1024
# Heartbeats are sent at multiples of this, so that a process with many idle links wakes
# once for all of them.
HEARTBEAT_GRID_MS = 50
# A link whose send buffer exceeds this is closed: its peer reads too slowly.
MAX_UNSENT_BYTES = 64 * 1024 * 1024


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


class Link:
    """A framed connection; the task that owns it calls ``run``."""

    def __init__(self, reader, writer, clock, timing=DEFAULT_TIMING):
        self._reader = reader
        self._writer = writer
        self._clock = clock
        self._timing = timing
        self._last_sent_ms = clock.now_ms()
        self._last_received_ms = clock.now_ms()
        self._peer_stamp_ms = 0
        self._echo_ms = 0
        self._ack = 0
        self._last_sent_ack = 0
        self._sent_frames = 0
        self._sent_bytes = 0
        self._close_detail = ""
        self._received = bytearray()
        self._is_busy = False

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
        return not self._writer.is_closing()

    def set_busy(self, is_busy):
        """Set whether the peer needs recent echoes, see ``LinkTiming``."""
        self._is_busy = is_busy

    def acknowledge(self, number):
        """Send ``number`` in later frames as the newest report batch received."""
        self._ack = max(self._ack, number)

    def send(self, message):
        """Write a message and return True.

        Returns False, with nothing written, if the link is closed or if its peer
        reads too slowly; the link is closed in that case.
        """
        if self._writer.is_closing():
            return False
        if self._writer.transport.get_write_buffer_size() > MAX_UNSENT_BYTES:
            self.close("the peer reads too slowly")
            return False
        data = codec.encode(
            m.Envelope(
                message,
                self._clock.now_ms(),
                self._peer_stamp_ms,
                self._ack_to_send(message),
            )
        )
        self._writer.writelines((LENGTH_PREFIX.pack(len(data)), data))
        self._sent_frames += 1
        self._sent_bytes += LENGTH_PREFIX.size + len(data)
        self._last_sent_ms = self._clock.now_ms()
        return True

    def close(self, detail="closed here"):
        """Close the connection, which makes ``run`` return."""
        self._close_detail = self._close_detail or detail
        self._writer.close()

    async def run(self, on_message):
        """Receive frames until the link ends; return a ``LinkClosed``.

        ``on_message(envelope)`` is called for every frame, except for heartbeats
        without an acknowledgement.
        """
        heartbeat_task = asyncio.create_task(self._send_heartbeats())
        try:
            return await self._receive(on_message)
        finally:
            heartbeat_task.cancel()
            self._writer.close()

    async def receive_one(self):
        """Return the next envelope, a ``BadFrame``, or a ``LinkClosed``."""
        while (data := self._next_frame()) is None:
            try:
                chunk = await self._reader.read(READ_BYTES)
            except OSError as error:
                return LinkClosed(self._close_detail or str(error) or "reset")
            if not chunk:
                return LinkClosed(self._close_detail or "closed by the peer")
            self._received += chunk
        if isinstance(data, codec.BadFrame):
            return data
        envelope = codec.decode(data)
        if isinstance(envelope, m.Envelope):
            self._last_received_ms = self._clock.now_ms()
            self._peer_stamp_ms = envelope.stamp_ms
            self._echo_ms = max(self._echo_ms, envelope.echo_ms)
        return envelope

    def _next_frame(self):
        """Remove and return the next frame from the receive buffer.

        Returns None if it is incomplete, and a ``BadFrame`` if it is too large.
        """
        received = self._received
        if len(received) < LENGTH_PREFIX.size:
            return None
        (length,) = LENGTH_PREFIX.unpack_from(received)
        if length > MAX_FRAME_BYTES:
            return codec.BadFrame(f"frame of {length} bytes")
        end = LENGTH_PREFIX.size + length
        if len(received) < end:
            return None
        data = bytes(received[LENGTH_PREFIX.size : end])
        del received[:end]
        return data

    def _ack_to_send(self, message):
        """Return the acknowledgement to send; 0 in a heartbeat if sent before."""
        if isinstance(message, m.Heartbeat) and self._ack == self._last_sent_ack:
            return 0
        self._last_sent_ack = self._ack
        return self._ack

    async def _receive(self, on_message):
        while True:
            received = await self.receive_one()
            match received:
                case LinkClosed():
                    return received
                case codec.BadFrame(detail):
                    return LinkClosed(detail, bad_frame=True)
                case m.Envelope(message=m.Heartbeat(), ack=0):
                    pass
                case _:
                    on_message(received)
            self._reply_if_due()

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
                self.close(f"silent for {now_ms - self._last_received_ms} ms")
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
    reader, writer = await asyncio.open_connection(address.host, address.port)
    return Link(reader, writer, clock, timing)


async def listen(address, clock, on_link, timing=DEFAULT_TIMING):
    """Listen at ``address`` and await ``on_link(link)`` for each link accepted."""

    async def accept(reader, writer):
        await on_link(Link(reader, writer, clock, timing))

    return await asyncio.start_server(accept, address.host, address.port)
