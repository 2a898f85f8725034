"""Links between entries: calls on ids that another entry owns.

``PeerCaller`` forwards calls to their owner and waits for the replies;
``PeerServer`` serves the calls of other entries. A call without a reply may have
taken effect, so it is never reported as not run.
"""

import asyncio
import itertools
from dataclasses import dataclass

import msgspec

from .. import logs
from ..protocol import forwarding, messages as m
from ..protocol.calls import Cancel, Fetch, Submit
from ..protocol.errors import ErrorCode, Refusal
from ..protocol.forwarding import Operation
from ..transport import links
from ..transport.addresses import Address
from .agent_links import CONNECT_TIMEOUT_MS, exchange_hellos
from .background import spawn

# Time allowed for the reply beyond the wait that the call itself asks for.
REPLY_GRACE_MS = 5_000
RETRY_AFTER_MS = 500

log = logs.get_logger("peers")


def _unreachable(detail):
    return Refusal(
        ErrorCode.OWNER_UNREACHABLE,
        f"the entry that owns this id can't be reached ({detail}); ask again",
        retry_after_ms=RETRY_AFTER_MS,
    )


def owner_lost_refusal():
    """Return the refusal for an id whose owner is proved dead."""
    return Refusal(
        ErrorCode.OWNER_LOST,
        "the entry that owned this id is gone; failed, it may have run",
    )


@dataclass(frozen=True, slots=True)
class OtherIncarnation:
    """Another incarnation answered at the owner's address, so the owner is dead.

    ``dialled_ms`` is the time at which the connection was started, for
    ``Membership.record_incarnation_at``.
    """

    incarnation: bytes
    dialled_ms: int


class PeerLink:
    """A link to another entry, and the calls that wait for a reply on it."""

    def __init__(self, link, hello):
        self._link = link
        self._hello = hello
        self._call_numbers = itertools.count(1)
        self._pending_replies = {}
        self._task = asyncio.create_task(self._run())

    @property
    def incarnation(self):
        """The incarnation of the entry at the other end."""
        return self._hello.incarnation

    @property
    def is_open(self):
        """Whether calls can still be sent."""
        return not self._task.done() and self._link.is_open

    def is_open_to(self, member):
        """Whether the link is open and leads to the incarnation of ``member``."""
        return self.is_open and self.incarnation == member.incarnation

    def send(self, message):
        """Send a message that has no reply; return whether it was written."""
        return self._link.send(message)

    async def call(self, operation, submission, wait_ms, body):
        """Call the other entry; return its ``JobAnswer`` or ``Refusal``.

        If there is no reply within ``wait_ms`` plus ``REPLY_GRACE_MS``, or the link
        ends, return a ``Refusal`` that says that the owner is unreachable.
        """
        number = next(self._call_numbers)
        reply = asyncio.get_running_loop().create_future()
        self._pending_replies[number] = reply
        sent = self._link.send(m.Call(number, operation, submission, wait_ms, body))
        if not sent:
            self._pending_replies.pop(number)
            return _unreachable("link closed")
        try:
            async with asyncio.timeout((wait_ms + REPLY_GRACE_MS) / 1000):
                return await reply
        except TimeoutError:
            return _unreachable("no reply in time")
        finally:
            self._pending_replies.pop(number, None)

    def close(self, detail):
        """Close the link; pending calls get a ``Refusal``."""
        self._link.close(detail)

    async def aclose(self):
        """Close the link and wait for its task to end."""
        self._link.close()
        await self._task

    async def _run(self):
        closed = await self._link.run(self._receive)
        for reply in self._pending_replies.values():
            if not reply.done():
                reply.set_result(_unreachable(closed.detail))

    def _receive(self, envelope):
        message = envelope.message
        if not isinstance(message, m.Reply):
            return
        reply = self._pending_replies.get(message.number)
        if reply is not None and not reply.done():
            reply.set_result(self._decode_reply(message))

    def _decode_reply(self, message):
        try:
            return forwarding.decode_answer(message.body)
        except (msgspec.DecodeError, ValueError) as error:
            return _unreachable(f"unreadable reply: {error}")


class PeerCaller:
    """Forwards calls to other entries, over links that are dialled on demand and kept.

    ``own_hello()`` returns the hello to send.
    """

    def __init__(self, own_hello, clock):
        self._own_hello = own_hello
        self._clock = clock
        self._links = {}
        self._locks = {}

    async def forward(self, member, call):
        """Forward a call to its owner.

        Return a ``JobAnswer``, a ``Refusal`` or ``OtherIncarnation``.
        """
        link_or_failure = await self._get_link(member)
        if not isinstance(link_or_failure, PeerLink):
            return link_or_failure
        match call:
            case Submit(submission, job, wait_ms):
                body = forwarding.encode_job(job)
                return await link_or_failure.call(
                    Operation.SUBMIT, submission, wait_ms, body
                )
            case Fetch(submission, wait_ms):
                return await link_or_failure.call(
                    Operation.FETCH, submission, wait_ms, b""
                )
            case Cancel(submission):
                return await link_or_failure.call(Operation.CANCEL, submission, 0, b"")
        raise TypeError(f"no operation for call {call!r}")

    async def push(self, member, message):
        """Send a message without a reply; return whether it was written."""
        link_or_failure = await self._get_link(member)
        return isinstance(link_or_failure, PeerLink) and link_or_failure.send(message)

    async def aclose(self):
        """Close all links."""
        open_links, self._links = list(self._links.values()), {}
        await asyncio.gather(*(link.aclose() for link in open_links))

    async def _get_link(self, member):
        lock = self._locks.setdefault(member.link, asyncio.Lock())
        async with lock:
            existing = self._links.get(member.link)
            if existing is None or not existing.is_open_to(member):
                return await self._redial(member, existing)
        return existing

    async def _redial(self, member, existing):
        """Dial the member, also if a link to another incarnation seems to be open.

        That incarnation may have died without closing the link, and the member may
        have succeeded it at the address.
        """
        if existing is not None:
            existing.close("another incarnation is to answer here")
        dialled_ms = self._clock.now_ms()
        link_or_failure = await self._dial(member)
        if not isinstance(link_or_failure, PeerLink):
            return link_or_failure
        self._links[member.link] = link_or_failure
        if link_or_failure.incarnation != member.incarnation:
            return OtherIncarnation(link_or_failure.incarnation, dialled_ms)
        return link_or_failure

    async def _dial(self, member):
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_MS / 1000):
                link = await links.connect(Address.from_text(member.link), self._clock)
        except (OSError, TimeoutError) as error:
            return _unreachable(str(error) or "connect timed out")
        hello = await exchange_hellos(link, self._own_hello())
        if hello is None:
            link.close("no hello")
            return _unreachable("no hello")
        return PeerLink(link, hello)


class PeerServer:
    """Serves other entries: calls on this entry's ids, and newer configurations.

    ``await handle_call(call)`` returns a ``JobAnswer`` or a ``Refusal``.
    """

    def __init__(self, own_hello, handle_call, on_configuration):
        self._own_hello = own_hello
        self._handle_call = handle_call
        self._on_configuration = on_configuration
        self._tasks = set()
        self._links = set()

    @property
    def pending(self):
        """Number of calls of other entries that are being processed."""
        return len(self._tasks)

    async def serve(self, link):
        """Serve one link until it ends."""
        hello = await exchange_hellos(link, self._own_hello())
        if hello is None or hello.role != m.ROLE_ENTRY:
            link.close("not an entry")
            return
        self._links.add(link)
        closed = await link.run(lambda envelope: self._receive(link, envelope))
        self._links.discard(link)
        level = log.warning if closed.bad_frame else log.debug
        level("link of an entry ended", peer=hello.name, detail=closed.detail)

    def close(self):
        """Close all links."""
        for link in list(self._links):
            link.close("stopping")

    def _receive(self, link, envelope):
        match envelope.message:
            case m.Call() as call:
                spawn(self._process_call(link, call), self._tasks)
            case m.Configuration() as configuration:
                self._on_configuration(configuration)

    async def _process_call(self, link, call):
        answer = await self._answer_call(call)
        body = forwarding.encode_answer(answer)
        status = answer.http_status if isinstance(answer, Refusal) else 200
        link.send(m.Reply(call.number, status, body))

    async def _answer_call(self, call):
        match call.operation:
            case Operation.SUBMIT:
                try:
                    job = forwarding.decode_job(call.body)
                except msgspec.DecodeError as error:
                    return Refusal(ErrorCode.BAD_FIELD, f"unreadable job: {error}")
                return await self._handle_call(
                    Submit(call.submission, job, call.wait_ms)
                )
            case Operation.FETCH:
                return await self._handle_call(Fetch(call.submission, call.wait_ms))
            case Operation.CANCEL:
                return await self._handle_call(Cancel(call.submission))
        return Refusal(ErrorCode.BAD_FIELD, f"unknown operation {call.operation!r}")
