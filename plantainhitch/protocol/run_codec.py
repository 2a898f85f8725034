"""Encoding of the messages about runs, and of the other messages of job scheduling."""

from ..state.crashes import CrashedRun, EndpointCrash
from ..state.endpoints import End
from ..state.jobs import Room, RunKey
from . import messages as m

MAX_UINT32 = 2**32 - 1
MIN_INT32, MAX_INT32 = -(2**31), 2**31 - 1


def write_message(frame, message):
    """Write a message into a Cap'n Proto frame; raise TypeError if it is unknown."""
    match message:
        case m.RunOrders():
            _write_orders(frame.init("runOrders"), message)
        case m.RunReports():
            _write_reports(frame.init("runReports"), message)
        case m.EndpointStatus():
            _write_status(frame.init("endpoint"), message)
        case m.QueueLoads(loads):
            items = frame.init("queueLoads", len(loads))
            for item, load in zip(items, loads, strict=True):
                item.queue = load.queue
                item.share = load.share
                item.slackMs = _in_range(load.slack_ms, 0, MAX_UINT32)
                item.containedMs = load.contained_ms
                item.priority = load.priority
                item.offeredShare = load.offered_share
                item.waitingShare = load.waiting_share
        case m.Introduction(members):
            frame.introduction = members
        case m.Evacuations(revision, zones):
            target = frame.init("evacuations")
            target.revision, target.zones = revision, list(zones)
        case _:
            raise TypeError(f"no frame field for message {message!r}")


def read_message(frame, which):
    """Return the message in the union field ``which`` of a Cap'n Proto frame.

    Raise ValueError if the field is unknown.
    """
    match which:
        case "runOrders":
            return _read_orders(frame.runOrders)
        case "runReports":
            return _read_reports(frame.runReports)
        case "endpoint":
            return _read_status(frame.endpoint)
        case "introduction":
            return m.Introduction([bytes(member) for member in frame.introduction])
        case "queueLoads":
            return m.QueueLoads([_read_load(item) for item in frame.queueLoads])
        case "evacuations":
            source = frame.evacuations
            return m.Evacuations(source.revision, tuple(source.zones))
    raise ValueError(f"unknown message {which}")


def _read_load(item):
    return m.QueueLoad(
        item.queue,
        item.share,
        item.slackMs,
        item.containedMs,
        item.priority,
        item.offeredShare,
        item.waitingShare,
    )


def _write_orders(target, orders):
    target.number = orders.number
    target.resync = orders.is_resync
    if orders.starts:
        items = target.init("starts", len(orders.starts))
        for item, start in zip(items, orders.starts, strict=True):
            _write_start(item, start)
    if orders.stops:
        _write_keys(target.init("stops", len(orders.stops)), orders.stops)
    if orders.expected_runs:
        _write_keys(
            target.init("known", len(orders.expected_runs)), orders.expected_runs
        )


def _read_orders(source):
    return m.RunOrders(
        source.number,
        [_read_start(item) for item in source.starts],
        _read_keys(source.stops),
        _read_keys(source.known),
        source.resync,
    )


def _write_reports(target, reports):
    target.number = reports.number
    target.ordersSeen = reports.orders_seen
    target.soon = list(reports.expected_free_millis)
    target.pace = reports.pace
    target.slowness = reports.slowness
    target.slownessSamples = reports.slowness_samples
    target.failures = reports.failures
    _write_room(target.free, reports.free)
    if reports.waiting_by_rank:
        items = target.init("waiting", len(reports.waiting_by_rank))
        for item, (rank, cpu_millis) in zip(
            items, reports.waiting_by_rank, strict=True
        ):
            item.rank = rank
            item.cpuMillis = cpu_millis
    if reports.ends:
        _write_ends(target.init("ends", len(reports.ends)), reports.ends)
    if reports.crashes:
        _write_crashes(target.init("crashes", len(reports.crashes)), reports.crashes)


def _write_ends(items, ends):
    for item, end in zip(items, ends, strict=True):
        item.task, item.run = end.key
        item.end = end.end.value
        item.reason = end.reason
        item.checkpoint = end.checkpoint
        item.runMs = end.run_ms


def _write_crashes(items, crashes):
    for item, crash in zip(items, crashes, strict=True):
        item.endpointId = crash.endpoint_id
        item.bornMs = crash.born_ms
        item.ageMs = crash.age_ms
        rows = item.init("runs", len(crash.runs))
        for row, run in zip(rows, crash.runs, strict=True):
            row.task, row.queue, row.runMs = run.task, run.queue, run.run_ms
            row.uncertain = not run.was_running


def _read_reports(source):
    ends = [
        m.RunEnd(
            RunKey(item.task, item.run),
            End(item.end),
            item.reason,
            item.checkpoint,
            item.runMs,
        )
        for item in source.ends
    ]
    return m.RunReports(
        source.number,
        source.ordersSeen,
        ends,
        _read_room(source.free),
        tuple(source.soon),
        tuple((item.rank, item.cpuMillis) for item in source.waiting),
        source.pace,
        [_read_crash(item) for item in source.crashes],
        source.slowness,
        source.slownessSamples,
        source.failures,
    )


def _read_crash(source):
    runs = tuple(
        CrashedRun(item.task, item.queue, item.runMs, not item.uncertain)
        for item in source.runs
    )
    return EndpointCrash(source.endpointId, source.bornMs, runs, source.ageMs)


def _write_status(target, status):
    target.endpointId = status.endpoint_id
    target.bornMs = status.born_ms
    target.pool = status.pool
    target.ready = status.ready
    target.draining = status.draining
    _write_room(target.capacity, status.capacity)
    target.kind = status.kind
    target.rack = status.rack
    target.labels = list(status.labels)
    target.coldForMs = status.cold_for_ms


def _read_status(source):
    return m.EndpointStatus(
        endpoint_id=source.endpointId,
        born_ms=source.bornMs,
        pool=source.pool,
        ready=source.ready,
        draining=source.draining,
        capacity=_read_room(source.capacity),
        kind=source.kind,
        rack=source.rack,
        labels=tuple(source.labels),
        cold_for_ms=source.coldForMs,
    )


def _in_range(number, low, high):
    """Return a rough number, within the range of its field."""
    return min(max(number, low), high)


def _write_start(item, start):
    item.task, item.run = start.key
    item.payload = start.payload
    _write_room(item.room, start.room)
    item.estimateMs = _in_range(start.estimate_ms, 0, MAX_UINT32)
    item.waitMs = start.wait_ms
    item.queue = start.queue
    item.slackMs = _in_range(start.slack_ms, MIN_INT32, MAX_INT32)
    item.late = start.is_late
    item.isolated = start.is_isolated
    item.sizeMs = _in_range(start.size_ms, 0, MAX_UINT32)
    item.bornMs = start.born_ms
    if start.checkpoint:
        item.checkpoint = start.checkpoint


def _read_start(item):
    return m.RunStart(
        key=RunKey(item.task, item.run),
        payload=item.payload,
        room=_read_room(item.room),
        estimate_ms=item.estimateMs,
        wait_ms=item.waitMs,
        queue=item.queue,
        checkpoint=item.checkpoint,
        slack_ms=item.slackMs,
        is_late=item.late,
        is_isolated=item.isolated,
        size_ms=item.sizeMs,
        born_ms=item.bornMs,
    )


def _write_keys(items, keys):
    for item, key in zip(items, keys, strict=True):
        item.task, item.run = key


def _read_keys(items):
    return [RunKey(item.task, item.run) for item in items]


def _write_room(target, room):
    target.cpuMillis = room.cpu_millis
    target.memoryMb = room.memory_mb
    target.gpus = room.gpus


def _read_room(source):
    return Room(source.cpuMillis, source.memoryMb, source.gpus)
