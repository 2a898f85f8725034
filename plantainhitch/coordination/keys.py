"""Idempotency keys: binds callers' own keys to submission ids in the platform's table.

The row of a key holds the id that it is bound to, the digest of the content and the
time of the binding. It is written before anything starts, on condition that no row
exists; so of several entries that receive the same key, one binds it and the others
find that binding. Many keys share one conditional write. Rules:

* A binding is valid for ``RETENTION_MS``. Afterwards the key is refused as expired
  until ``key_sweep`` has deleted its row; only then can it be bound again.
* A write whose effect is unknown is retried unchanged: if the first attempt took
  effect, the conflict returns this entry's own row.
* A refusal because of the store never says "not run". This call starts nothing, but
  an earlier or concurrent call with the same key may have been bound, which can't be
  ruled out without the table.
"""

import asyncio
import hashlib
from dataclasses import dataclass, field

import msgspec
from returns.result import Failure, Success

from ..json_input import decode_json
from ..logs import get_logger
from ..protocol.errors import ErrorCode, Refusal
from ..transport.platform import ABSENT, TABLE_KEYS, FaultKind, Write
from .backoff import Backoff

HOUR_MS = 60 * 60 * 1_000
RETENTION_MS = 24 * HOUR_MS
MAX_KEYS_PER_WRITE = 200
MAX_PENDING_KEYS = 10_000
# How long to retry a write whose effect is unknown.
WRITE_OUTCOME_TIMEOUT_MS = 10_000
RETRY_AFTER_MS = 1_000
# Token bucket for the writes of one entry. While keys are few, each gets a write of
# its own; beyond that they are batched.
MAX_WRITES_PER_S = 5
WRITE_BURST = 20
KEY_HASH_BYTES = 32

log = get_logger("keys")


class BindingModel(msgspec.Struct):
    """The value of a key's row: hexadecimal id and digest, wall time in ms."""

    submission: str
    digest: str
    bound_ms: int


@dataclass(frozen=True, slots=True)
class Binding:
    """What a key is bound to; ``is_new`` if this call has bound it."""

    submission: bytes
    digest: bytes
    is_new: bool


@dataclass(slots=True)
class _PendingKey:
    """A key that is to be written, with all the calls that wait for its binding."""

    row_key: str
    submission: bytes
    digest: bytes
    value: bytes
    calls: list = field(default_factory=list)


def key_hash(key):
    """Return the name of the row of a caller's key: its hash in hexadecimal."""
    return hashlib.blake2b(key.encode(), digest_size=KEY_HASH_BYTES).hexdigest()


class KeyBinder:
    """Binds keys for one entry; a background task writes one batch at a time."""

    def __init__(self, platform, clock):
        self._platform = platform
        self._clock = clock
        self._pending = {}
        self._batch = {}
        self._writer_task = None
        self._tokens = float(WRITE_BURST)
        self._tokens_updated_ms = clock.now_ms()

    @property
    def pending_count(self):
        """The number of keys that wait for the table."""
        return len(self._pending) + len(self._batch)

    async def bind(self, key, digest, submission):
        """Bind ``key`` to ``submission``, or find its present binding.

        Return Success(Binding) or Failure(Refusal). ``digest`` is that of the
        content and ``submission`` the raw id, both bytes; the id must be unused.
        """
        row_key = key_hash(key)
        call = _BindCall(submission, digest, asyncio.get_running_loop().create_future())
        pending = self._batch.get(row_key) or self._pending.get(row_key)
        if pending is None:
            if self.pending_count >= MAX_PENDING_KEYS:
                return Failure(_refusal(ErrorCode.OVERLOADED, "too many keys wait"))
            pending = self._add_pending(row_key, submission, digest)
        pending.calls.append(call)
        if self._writer_task is None:
            self._writer_task = asyncio.create_task(self._write_pending())
        return await call.result

    async def is_bound(self, key):
        """Return Success(whether the key has a row) or Failure(PlatformFault)."""
        read = await self._platform.read(TABLE_KEYS, key_hash(key))
        return read.map(lambda row: row is not None)

    async def aclose(self):
        """Stop writing; the calls that wait are refused."""
        if self._writer_task is not None:
            self._writer_task.cancel()
            await asyncio.gather(self._writer_task, return_exceptions=True)

    def _add_pending(self, row_key, submission, digest):
        model = BindingModel(submission.hex(), digest.hex(), self._clock.wall_ms())
        pending = _PendingKey(row_key, submission, digest, msgspec.json.encode(model))
        self._pending[row_key] = pending
        return pending

    async def _write_pending(self):
        """Write batches until no key is pending."""
        try:
            while self._pending:
                await self._acquire_write_token()
                await self._write_batch()
        finally:
            self._writer_task = None
            for pending in (*self._batch.values(), *self._pending.values()):
                _refuse_calls(pending, _outcome_unknown_refusal())
            self._batch.clear()
            self._pending.clear()

    async def _write_batch(self):
        for row_key in list(self._pending)[:MAX_KEYS_PER_WRITE]:
            self._batch[row_key] = self._pending.pop(row_key)
        deadline_ms = self._clock.now_ms() + WRITE_OUTCOME_TIMEOUT_MS
        backoff = Backoff()
        may_be_applied = False
        while self._batch:
            writes = [
                Write(pending.row_key, pending.value, ABSENT)
                for pending in self._batch.values()
            ]
            match await self._platform.write(TABLE_KEYS, writes):
                case Success(_):
                    self._answer_written()
                    return
                case Failure(fault) if self._answer_bound(fault.rows):
                    # Retry the batch without the keys that were bound already.
                    continue
                case Failure(fault):
                    may_be_applied |= fault.kind is not FaultKind.NOT_APPLIED
            wait_ms = backoff.next_delay_ms()
            if not may_be_applied:
                self._refuse_batch(_store_down_refusal())
            elif self._clock.now_ms() + wait_ms > deadline_ms:
                self._refuse_batch(_outcome_unknown_refusal())
            else:
                await self._clock.sleep_ms(wait_ms)

    def _answer_written(self):
        for pending in self._batch.values():
            self._answer_calls(pending, pending.value)
        self._batch.clear()

    def _answer_bound(self, rows):
        """Answer the keys whose rows the conflict returned; return their number."""
        bound = [row for row in rows if row.key in self._batch]
        for row in bound:
            self._answer_calls(self._batch.pop(row.key), row.value)
        return len(bound)

    def _refuse_batch(self, refusal):
        log.warning(
            "keys not bound; their calls are refused",
            count=len(self._batch),
            why=refusal.message,
        )
        for pending in self._batch.values():
            _refuse_calls(pending, refusal)
        self._batch.clear()

    def _answer_calls(self, pending, value):
        """Answer all calls that wait for a key, given the value of its row."""
        model = read_binding(value)
        if model is None:
            log.error(
                "row of a key is unreadable; its calls are refused", key=pending.row_key
            )
            _refuse_calls(pending, Refusal(ErrorCode.INTERNAL, "the key can't be read"))
            return
        is_expired = self._clock.wall_ms() - model.bound_ms > RETENTION_MS
        for call in pending.calls:
            if not call.result.done():
                call.result.set_result(_bind_result(call, model, is_expired))

    async def _acquire_write_token(self):
        """Wait until the entry's write rate allows another write."""
        while True:
            now_ms = self._clock.now_ms()
            earned_tokens = (now_ms - self._tokens_updated_ms) * MAX_WRITES_PER_S / 1000
            self._tokens = min(WRITE_BURST, self._tokens + earned_tokens)
            self._tokens_updated_ms = now_ms
            if self._tokens >= 1:
                self._tokens -= 1
                return
            await self._clock.sleep_ms(1000 / MAX_WRITES_PER_S)


@dataclass(frozen=True, slots=True)
class _BindCall:
    """A call of ``bind`` and the future for its result."""

    submission: bytes
    digest: bytes
    result: asyncio.Future


def read_binding(value):
    """Return the ``BindingModel`` in a row's value, or None if it holds none."""
    if value is None:
        return None
    try:
        model = decode_json(value, BindingModel)
        bytes.fromhex(model.submission)
        bytes.fromhex(model.digest)
    except ValueError:
        return None
    return model


def _bind_result(call, model, is_expired):
    """Return the result of a call, given the ``BindingModel`` of its key."""
    if is_expired:
        message = "the key's retention has ended; nothing is started under it"
        return Failure(Refusal(ErrorCode.ANSWER_EXPIRED, message))
    submission = bytes.fromhex(model.submission)
    digest = bytes.fromhex(model.digest)
    if digest != call.digest:
        message = "the key was used with another content; nothing is started"
        return Failure(Refusal(ErrorCode.KEY_CONFLICT, message))
    return Success(Binding(submission, digest, submission == call.submission))


def _refuse_calls(pending, refusal):
    for call in pending.calls:
        if not call.result.done():
            call.result.set_result(Failure(refusal))


def _refusal(code, message):
    return Refusal(code, message, retry_after_ms=RETRY_AFTER_MS)


def _store_down_refusal():
    message = (
        "the platform's table can't be reached; this call starts nothing, "
        "but an earlier one with the same key may have"
    )
    return _refusal(ErrorCode.STORE_DOWN, message)


def _outcome_unknown_refusal():
    message = (
        "whether the key is bound is unknown; this call starts nothing, ask again "
        "with the same key"
    )
    return _refusal(ErrorCode.STORE_DOWN, message)
