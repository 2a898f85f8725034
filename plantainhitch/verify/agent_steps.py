"""Steps of the agent, its endpoint and the network in the model of starts."""

from .owner_steps import with_frame, without_frame
from .states import (
    OUTCOME_BY_STATUS,
    AttemptRecord,
    AttemptStatus,
    Fault,
    Frame,
    FrameKind,
    Phase,
)

SLOTS = 1


def agent_steps(state, fault):
    """Yield ``(label, next state)`` for every step of the agent and its endpoint."""
    yield from _endpoint_steps(state)
    if state.agent_paused:
        yield "agent resumes", state._replace(agent_paused=0)
        return
    yield from _receive_steps(state, fault)
    for record in state.records:
        yield from _run_steps(state, fault, record)


def agent_fault_steps(state):
    """Yield the pause and the restart of the agent."""
    limits = state.limits
    if limits.agent_restarts:
        remaining = limits._replace(agent_restarts=limits.agent_restarts - 1)
        if not state.agent_paused:
            yield "agent pauses", state._replace(agent_paused=1, limits=remaining)
        yield "agent restarts", _restarted(state, remaining)


def network_steps(state):
    """Yield the loss and duplication of frames and the end of their validity.

    A frame is lost only if the link that it was sent on is gone.
    """
    limits = state.limits
    for frame in state.frames:
        if frame.session != state.session:
            yield (
                "frame lost with its link",
                state._replace(frames=without_frame(state.frames, frame)),
            )
        elif limits.duplicates and frame.kind == FrameKind.START:
            yield (
                "frame copied",
                state._replace(
                    frames=with_frame(state.frames, frame),
                    limits=limits._replace(duplicates=limits.duplicates - 1),
                ),
            )
    if limits.expiries:
        yield "longer than the validity passes", _with_expired_starts(state)


def forget_steps(state, fault):
    """Yield the removal of the records of ended, expired attempts.

    The agent remembers that it removed one whose report was not acknowledged: from
    then on it can't report an unknown attempt as not run, because that may be the
    removed one.
    """
    for record in state.records:
        if not record.is_expired or record.status not in OUTCOME_BY_STATUS:
            continue
        is_recorded = fault is not Fault.FORGOTTEN_MEANS_NOT_RUN
        has_forgotten = state.has_forgotten or (
            is_recorded and not _is_acknowledged(state, record)
        )
        yield (
            "agent forgets an attempt",
            state._replace(
                records=tuple(other for other in state.records if other != record),
                has_forgotten=int(has_forgotten),
            ),
        )


def _restarted(state, limits):
    """Return the state after a restart, which loses the records and the frames sent.

    Reports that are already under way are kept.
    """
    return state._replace(
        incarnation=state.incarnation + 1,
        agent_paused=0,
        records=(),
        has_forgotten=0,
        frames=tuple(frame for frame in state.frames if frame.kind == FrameKind.REPORT),
        limits=limits,
    )


def _with_expired_starts(state):
    frames = tuple(
        sorted(
            frame._replace(is_late=1) if frame.kind == FrameKind.START else frame
            for frame in state.frames
        )
    )
    records = tuple(record._replace(is_expired=1) for record in state.records)
    limits = state.limits._replace(expiries=state.limits.expiries - 1)
    return state._replace(frames=frames, records=records, limits=limits)


def _receive_steps(state, fault):
    for frame in state.frames:
        if frame.kind not in (FrameKind.START, FrameKind.RESOLVE):
            continue
        received = state._replace(frames=without_frame(state.frames, frame))
        if frame.kind == FrameKind.START:
            yield from _handle_start(received, frame, fault)
        else:
            label = f"resolve of task {frame.task} received"
            yield label, _handle_resolve(received, frame, fault)


def _handle_start(state, frame, fault):
    label = f"start of task {frame.task} received"
    if _find_record(state, frame.task, frame.attempt):
        yield f"{label} again", state
        return
    # The start is late, the queue is full or the agent is draining.
    yield f"{label}, refused", _refuse(state, frame, fault)
    if not frame.is_late or fault is Fault.LATE_FRAME_ACCEPTED:
        record = AttemptRecord(frame.task, frame.attempt, AttemptStatus.WAITING)
        records = _with_record(state.records, record)
        yield label, state._replace(records=records)


def _handle_resolve(state, frame, fault):
    record = _find_record(state, frame.task, frame.attempt)
    if record is not None:
        return _report(state, record)
    return _refuse(state, frame, fault)


def _is_acknowledged(state, record):
    """Return whether the owner has received the report or no longer awaits it."""
    task = state.tasks[record.task]
    return task.attempt != record.attempt or task.phase != Phase.SENT


def _refuse(state, frame, fault):
    if state.has_forgotten:
        return _report(
            state, AttemptRecord(frame.task, frame.attempt, AttemptStatus.UNKNOWN)
        )
    record = AttemptRecord(frame.task, frame.attempt, AttemptStatus.REFUSED)
    if fault is not Fault.REFUSAL_FORGOTTEN:
        state = state._replace(records=_with_record(state.records, record))
    return _report(state, record)


def _report(state, record):
    """Return the state with a report under way if the attempt has ended.

    Nothing is sent without a link to this incarnation of the agent.
    """
    if record.status not in OUTCOME_BY_STATUS or not state.session:
        return state
    if state.session_incarnation != state.incarnation:
        return state
    outcome = OUTCOME_BY_STATUS[record.status]
    frame = Frame(FrameKind.REPORT, state.session, record.task, record.attempt, outcome)
    return state._replace(frames=with_frame(state.frames, frame))


def _run_steps(state, fault, record):
    label = f"task {record.task}"
    if record.status == AttemptStatus.WAITING:
        yield from _queued_steps(state, fault, record)
    if record.status == AttemptStatus.ACCEPTED:
        yield (
            f"endpoint refuses {label}",
            _end_attempt(state, record, AttemptStatus.REFUSED),
        )
        yield (
            f"{label} posted to the endpoint",
            _with_request_count(
                _with_status(state, record, AttemptStatus.POSTED), record.task, 1
            ),
        )
    if record.status != AttemptStatus.POSTED:
        return
    lost_status = AttemptStatus.UNKNOWN
    if fault is Fault.LOST_CONNECTION_MEANS_NOT_RUN:
        lost_status = AttemptStatus.REFUSED
    yield f"connection of {label} lost", _end_attempt(state, record, lost_status)
    if state.starts[record.task] and not state.requests_in_flight[record.task]:
        yield (
            f"endpoint answers {label}",
            _end_attempt(state, record, AttemptStatus.SUCCEEDED),
        )
        yield (
            f"endpoint fails {label}",
            _end_attempt(state, record, AttemptStatus.FAILED),
        )


def _queued_steps(state, fault, record):
    """Yield how an attempt leaves the agent's queue.

    It is returned to the owner (at any time) or gets a free slot.
    """
    refused = _report(state, record._replace(status=AttemptStatus.REFUSED))
    if fault is not Fault.RETURNED_START_RUNS:
        refused = _end_attempt(state, record, AttemptStatus.REFUSED)
    yield f"task {record.task} returned to the owner", refused
    busy = sum(
        m.status in (AttemptStatus.ACCEPTED, AttemptStatus.POSTED)
        for m in state.records
    )
    if busy < SLOTS and not record.is_expired:
        accepted = _with_status(state, record, AttemptStatus.ACCEPTED)
        yield f"slot free for task {record.task}", accepted


def _endpoint_steps(state):
    for index, count in enumerate(state.requests_in_flight):
        if count:
            starts = state.starts
            starts = starts[:index] + (starts[index] + 1,) + starts[index + 1 :]
            started = _with_request_count(state, index, -1)
            yield f"endpoint starts task {index}", started._replace(starts=starts)
            yield f"request of task {index} lost", _with_request_count(state, index, -1)


def _end_attempt(state, record, status):
    state = _with_status(state, record, status)
    return _report(state, record._replace(status=status))


def _with_status(state, record, status):
    others = tuple(other for other in state.records if other != record)
    return state._replace(records=_with_record(others, record._replace(status=status)))


def _find_record(state, task, attempt):
    for record in state.records:
        if record.task == task and record.attempt == attempt:
            return record
    return None


def _with_record(records, record):
    return tuple(sorted((*records, record)))


def _with_request_count(state, index, change):
    requests_in_flight = state.requests_in_flight
    changed = (
        requests_in_flight[:index]
        + (requests_in_flight[index] + change,)
        + requests_in_flight[index + 1 :]
    )
    return state._replace(requests_in_flight=changed)
