"""Links between entries: calls on ids that another entry owns.

``PeerCaller`` passes calls on and waits for their replies; ``PeerServer`` serves
the calls of other entries. A call that gets no reply is never reported as not
run.
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

# Beyond the time that the call itself may wait.
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
    """Another incarnation answers at the owner's address: the owner is dead.

    ``dialled_ms`` is when the connection was begun, for
    ``Membership.record_incarnation_at``.
    """

    incarnation: bytes
    dialled_ms: int


class PeerLink:
    """One link to another entry, with the calls that wait on it."""

    def __init__(self, link, hello):
        self._link = link
        self._hello = hello
        self._numbers = itertools.count(1)
        self._pending = {}
        self._task = asyncio.create_task(self._run())

    @property
    def incarnation(self):
        """The incarnation at the other end."""
        return self._hello.incarnation

    @property
    def is_open(self):
        """Whether calls can still be sent."""
        return not self._task.done() and self._link.is_open

    def serves(self, member):
        """Whether this link leads to that incarnation and is open."""
        return self.is_open and self.incarnation == member.incarnation

    def send(self, message):
        """Send a message that has no reply."""
        return self._link.send(message)

    async def call(self, operation, submission, wait_ms, body):
        """Return the ``JobAnswer`` or ``Refusal`` that the other entry gives."""
        number = next(self._numbers)
        reply = asyncio.get_running_loop().create_future()
        self._pending[number] = reply
        sent = self._link.send(m.Call(number, operation, submission, wait_ms, body))
        if not sent:
            self._pending.pop(number)
            return _unreachable("link closed")
        try:
            async with asyncio.timeout((wait_ms + REPLY_GRACE_MS) / 1000):
                return await reply
        except TimeoutError:
            return _unreachable("no reply in time")
        finally:
            self._pending.pop(number, None)

    def close(self, detail):
        """Close the link; calls that wait on it get no reply."""
        self._link.close(detail)

    async def aclose(self):
        """Close the link and wait for its task."""
        self._link.close()
        await self._task

    async def _run(self):
        closed = await self._link.run(self._receive)
        for reply in self._pending.values():
            if not reply.done():
                reply.set_result(_unreachable(closed.detail))

    def _receive(self, envelope):
        message = envelope.message
        if not isinstance(message, m.Reply):
            return
        reply = self._pending.get(message.number)
        if reply is not None and not reply.done():
            reply.set_result(self._read(message))

    def _read(self, message):
        try:
            return forwarding.decode_answer(message.body)
        except (msgspec.DecodeError, ValueError) as error:
            return _unreachable(f"unreadable reply: {error}")


class PeerCaller:
    """Dials other entries on demand and keeps the links."""

    def __init__(self, own_hello, clock):
        self._own_hello = own_hello
        self._clock = clock
        self._links = {}
        self._locks = {}

    async def forward(self, member, call):
        """Pass a call to its owner; return an answer or ``OtherIncarnation``."""
        found = await self._link_to(member)
        if not isinstance(found, PeerLink):
            return found
        match call:
            case Submit(submission, job, wait_ms):
                body = forwarding.encode_job(job)
                return await found.call(Operation.SUBMIT, submission, wait_ms, body)
            case Fetch(submission, wait_ms):
                return await found.call(Operation.FETCH, submission, wait_ms, b"")
            case Cancel(submission):
                return await found.call(Operation.CANCEL, submission, 0, b"")
        raise TypeError(f"not a call to pass on: {call!r}")

    async def push(self, member, message):
        """Send a message without a reply; return whether it was written."""
        found = await self._link_to(member)
        return isinstance(found, PeerLink) and found.send(message)

    async def aclose(self):
        """Close all links."""
        found, self._links = list(self._links.values()), {}
        await asyncio.gather(*(link.aclose() for link in found))

    async def _link_to(self, member):
        lock = self._locks.setdefault(member.link, asyncio.Lock())
        async with lock:
            known = self._links.get(member.link)
            if known is None or not known.serves(member):
                return await self._dial_anew(member, known)
        return known

    async def _dial_anew(self, member, known):
        """Dial even where a link to another incarnation seems to be open.

        That one may have died without a word, and ours have followed it.
        """
        if known is not None:
            known.close("another incarnation is to answer here")
        dialled_ms = self._clock.now_ms()
        found = await self._dial(member)
        if not isinstance(found, PeerLink):
            return found
        self._links[member.link] = found
        if found.incarnation != member.incarnation:
            return OtherIncarnation(found.incarnation, dialled_ms)
        return found

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
    """Serves other entries: calls on our ids, and newer configurations."""

    def __init__(self, own_hello, ask, on_configuration):
        self._own_hello = own_hello
        self._ask = ask
        self._on_configuration = on_configuration
        self._tasks = set()
        self._links = set()

    @property
    def pending(self):
        """How many calls of other entries are being answered."""
        return len(self._tasks)

    async def serve(self, link):
        """Serve one link to its end."""
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
                spawn(self._answer(link, call), self._tasks)
            case m.Configuration() as configuration:
                self._on_configuration(configuration)

    async def _answer(self, link, call):
        answer = await self._ask_for(call)
        body = forwarding.encode_answer(answer)
        status = answer.http_status if isinstance(answer, Refusal) else 200
        link.send(m.Reply(call.number, status, body))

    async def _ask_for(self, call):
        match call.operation:
            case Operation.SUBMIT:
                try:
                    job = forwarding.decode_job(call.body)
                except msgspec.DecodeError as error:
                    return Refusal(ErrorCode.BAD_FIELD, f"unreadable job: {error}")
                return await self._ask(Submit(call.submission, job, call.wait_ms))
            case Operation.FETCH:
                return await self._ask(Fetch(call.submission, call.wait_ms))
            case Operation.CANCEL:
                return await self._ask(Cancel(call.submission))
        return Refusal(ErrorCode.BAD_FIELD, f"unknown operation {call.operation!r}")
