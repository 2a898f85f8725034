"""Encoding of typed messages as frames, by Cap'n Proto.

``decode`` returns a ``BadFrame`` for bytes that it can't read, so that the caller
closes that link and leaves all others open.
"""

import struct
from dataclasses import dataclass
from pathlib import Path

import capnp

from ..outcomes import Failed, NotRun, Reason, Succeeded, Unknown
from . import messages as m, run_codec
from .compression import compress, decompress

capnp.remove_import_hook()

SCHEMA = capnp.load(str(Path(__file__).with_name("wire.capnp")))
# Idle links carry only heartbeats, so one without an acknowledgement is sent as its
# two time stamps alone. No other frame is as short as that.
SHORT_HEARTBEAT = struct.Struct(">QQ")
TRAVERSAL_LIMIT_WORDS = 64 * 1024 * 1024


class OutcomeKind:
    """The numbers of the kinds of outcomes on the wire."""

    NOT_RUN = 0
    SUCCEEDED = 1
    FAILED = 2
    UNKNOWN = 3


# The messages that consist of a list of task keys, and their fields in a frame.
_FIELD_BY_TYPE = {m.CancelBatch: "cancels", m.Resolve: "resolve"}
_TYPE_BY_FIELD = {field: message_type for message_type, field in _FIELD_BY_TYPE.items()}


@dataclass(frozen=True, slots=True)
class BadFrame:
    """A frame that can't be decoded; ``detail`` is the reason."""

    detail: str


def encode(envelope):
    """Return the bytes of an envelope's frame, without the length that precedes it.

    Raise TypeError for a message of an unknown type.
    """
    if isinstance(envelope.message, m.Heartbeat) and not envelope.ack:
        return SHORT_HEARTBEAT.pack(envelope.stamp_ms, envelope.echo_ms)
    frame = SCHEMA.Frame.new_message()
    frame.stampMs = envelope.stamp_ms
    frame.echoMs = envelope.echo_ms
    frame.ack = envelope.ack
    _write_message(frame, envelope.message)
    return frame.to_bytes()


def decode(data):
    """Return the ``Envelope`` in the bytes of a frame, or a ``BadFrame``."""
    if len(data) == SHORT_HEARTBEAT.size:
        return m.Envelope(m.Heartbeat(), *SHORT_HEARTBEAT.unpack(data))
    try:
        with SCHEMA.Frame.from_bytes(
            data, traversal_limit_in_words=TRAVERSAL_LIMIT_WORDS
        ) as frame:
            return m.Envelope(
                message=_read_message(frame),
                stamp_ms=frame.stampMs,
                echo_ms=frame.echoMs,
                ack=frame.ack,
            )
    except (capnp.KjException, ValueError, UnicodeDecodeError) as error:
        return BadFrame(str(error).splitlines()[0] if str(error) else "unreadable")


def _write_message(frame, message):
    message_type = type(message)
    if message_type in _FIELD_BY_TYPE:
        _write_keys(
            frame.init(_FIELD_BY_TYPE[message_type], len(message.keys)), message.keys
        )
        return
    match message:
        case m.StartBatch(starts):
            _write_starts(frame.init("starts", len(starts)), starts)
        case m.ReportBatch():
            _write_reports(frame.init("reports"), message)
        case m.Heartbeat():
            frame.heartbeat = None
        case m.Drain(draining):
            frame.drain = draining
        case m.Hello():
            _write_hello(frame.init("hello"), message)
        case m.AgentStatus():
            _write_status(frame.init("status"), message)
        case m.Configuration():
            target = frame.init("configuration")
            target.version = message.version
            target.document = compress(message.document)
        case m.Call():
            _write_call(frame.init("call"), message)
        case m.Reply():
            target = frame.init("reply")
            target.number = message.number
            target.status = message.status
            target.body = message.body
        case _:
            run_codec.write_message(frame, message)


def _read_message(frame):
    which = str(frame.which())
    if which in _TYPE_BY_FIELD:
        keys = [_read_key(key) for key in getattr(frame, which)]
        return _TYPE_BY_FIELD[which](keys)
    match which:
        case "starts":
            return m.StartBatch([_read_start(start) for start in frame.starts])
        case "reports":
            return _read_reports(frame.reports)
        case "heartbeat":
            return m.Heartbeat()
        case "drain":
            return m.Drain(frame.drain)
        case "hello":
            return _read_hello(frame.hello)
        case "status":
            return _read_status(frame.status)
        case "configuration":
            source = frame.configuration
            return m.Configuration(source.version, decompress(source.document))
        case "call":
            return _read_call(frame.call)
        case "reply":
            source = frame.reply
            return m.Reply(source.number, source.status, bytes(source.body))
    return run_codec.read_message(frame, which)


def _write_keys(target, keys):
    for item, key in zip(target, keys, strict=True):
        _write_key(item, key)


def _write_key(item, key):
    item.submission = key.submission
    item.index = key.index
    item.attempt = key.attempt


def _read_key(item):
    return m.TaskKey(bytes(item.submission), item.index, item.attempt)


def _write_starts(target, starts):
    for item, start in zip(target, starts, strict=True):
        _write_key(item, start.key)
        item.className = start.class_name
        item.timeoutMs = start.timeout_ms
        item.body = start.body
        if start.traceparent:
            item.traceparent = start.traceparent


def _read_start(item):
    return m.Start(
        key=_read_key(item),
        class_name=item.className,
        body=bytes(item.body),
        timeout_ms=item.timeoutMs,
        traceparent=item.traceparent,
    )


def _write_reports(target, batch):
    target.number = batch.number
    target.spare = batch.spare
    if batch.waiting:
        counts = target.init("waiting", len(batch.waiting))
        for item, waiting in zip(counts, batch.waiting, strict=True):
            item.className = waiting.class_name
            item.count = waiting.count
    reports = target.init("reports", len(batch.reports))
    for item, report in zip(reports, batch.reports, strict=True):
        _write_key(item, report.key)
        item.runMs = report.run_ms
        _write_outcome(item, report.outcome)


def _write_outcome(item, outcome):
    match outcome:
        case Succeeded(body):
            item.kind = OutcomeKind.SUCCEEDED
            item.body = body
        case NotRun(reason, retry_after_ms):
            item.kind = OutcomeKind.NOT_RUN
            item.reason = reason.value
            item.retryAfterMs = retry_after_ms
        case Failed(reason, detail):
            item.kind = OutcomeKind.FAILED
            item.reason = reason.value
            item.body = detail.encode()
        case Unknown(reason):
            item.kind = OutcomeKind.UNKNOWN
            item.reason = reason.value


def _read_reports(source):
    reports = [
        m.Report(_read_key(item), _read_outcome(item), item.runMs)
        for item in source.reports
    ]
    waiting = [m.Waiting(item.className, item.count) for item in source.waiting]
    return m.ReportBatch(source.number, reports, source.spare, waiting)


def _read_outcome(item):
    match item.kind:
        case OutcomeKind.NOT_RUN:
            return NotRun(Reason(item.reason), item.retryAfterMs)
        case OutcomeKind.SUCCEEDED:
            return Succeeded(bytes(item.body))
        case OutcomeKind.FAILED:
            return Failed(Reason(item.reason), bytes(item.body).decode())
        case OutcomeKind.UNKNOWN:
            return Unknown(Reason(item.reason))
    raise ValueError(f"unknown kind of outcome {item.kind}")


def _write_hello(target, hello):
    target.role = hello.role
    target.incarnation = hello.incarnation
    target.name = hello.name
    target.zone = hello.zone
    target.protocolVersion = hello.protocol_version
    target.configurationVersion = hello.configuration_version
    target.linkNumber = hello.link_number


def _read_hello(source):
    return m.Hello(
        role=source.role,
        incarnation=bytes(source.incarnation),
        name=source.name,
        zone=source.zone,
        protocol_version=source.protocolVersion,
        configuration_version=source.configurationVersion,
        link_number=source.linkNumber,
    )


def _write_status(target, status):
    target.endpoint = status.endpoint
    target.slots = status.slots
    target.cores = status.cores
    target.memoryMb = status.memory_mb
    target.accelerators = status.accelerators
    target.draining = status.draining
    target.ready = status.ready
    target.rack = status.rack


def _read_status(source):
    return m.AgentStatus(
        endpoint=source.endpoint,
        slots=source.slots,
        cores=source.cores,
        memory_mb=source.memoryMb,
        accelerators=source.accelerators,
        draining=source.draining,
        ready=source.ready,
        rack=source.rack,
    )


def _write_call(target, call):
    target.number = call.number
    target.operation = call.operation
    target.submission = call.submission
    target.waitMs = call.wait_ms
    target.body = call.body


def _read_call(source):
    return m.Call(
        number=source.number,
        operation=source.operation,
        submission=bytes(source.submission),
        wait_ms=source.waitMs,
        body=bytes(source.body),
    )
