"""Steps of the owner, its callers and a second entry in the model of starts."""

from .states import ENDED_PHASES, Fault, Frame, FrameKind, Job, Owner, Phase, Task


def owner_steps(state, fault):
    """Yield ``(label, next state)`` for every step of the owner."""
    if state.owner != Owner.UP:
        return
    if state.job == Job.NONE:
        yield "submit", state._replace(job=Job.RUNNING)
        return
    yield from _link_steps(state, fault)
    yield from _receive_steps(state)
    if state.job != Job.RUNNING:
        return
    for index, task in enumerate(state.tasks):
        yield from _task_steps(state, fault, index, task)
    yield from _answer_steps(state, fault)


def second_entry_steps(state, fault):
    """Yield the steps of another entry, to which the caller resubmits."""
    if state.owner == Owner.PROVED_DEAD and state.answer == Job.NONE:
        yield "second entry: owner lost", state._replace(answer=Job.FAILED)
    if fault is not Fault.TAKE_OVER_ON_LAPSED_LEASE:
        return
    if state.owner in (Owner.PAUSED, Owner.DEAD) and not state.taken_over:
        yield "lease lapses, second entry takes over", state._replace(taken_over=1)
    if state.taken_over == 1:
        for index in range(len(state.tasks)):
            starts = _incremented(state.starts, index)
            yield (
                f"second entry starts task {index}",
                state._replace(starts=starts, taken_over=2),
            )


def owner_fault_steps(state):
    """Yield the owner's pauses and crashes, and the proof of a crash.

    A crash is proved once another process answers at the owner's address.
    """
    limits = state.limits
    if state.owner == Owner.PAUSED:
        yield "owner resumes", state._replace(owner=Owner.UP)
    if state.owner == Owner.DEAD:
        yield (
            "new process answers at the owner's address",
            state._replace(owner=Owner.PROVED_DEAD),
        )
    if state.owner == Owner.UP and limits.owner_faults:
        remaining = limits._replace(owner_faults=limits.owner_faults - 1)
        yield "owner pauses", state._replace(owner=Owner.PAUSED, limits=remaining)
        yield (
            "owner crashes",
            state._replace(owner=Owner.DEAD, session=0, limits=remaining),
        )


def end_task(state, index, phase):
    """Return the state with a task ended; NotRun is reported to the caller."""
    task = state.tasks[index]._replace(phase=phase)
    reported = state.reported_not_run
    if phase == Phase.NOT_RUN:
        reported = reported[:index] + (1,) + reported[index + 1 :]
    return state._replace(
        tasks=_with_task(state.tasks, index, task), reported_not_run=reported
    )


def _task_steps(state, fault, index, task):
    if task.phase == Phase.QUEUED:
        yield (
            f"task {index} expires in the queue",
            end_task(state, index, Phase.NOT_RUN),
        )
        if state.session:
            yield f"start of task {index} sent", _send_start(state, index, task)
    if task.phase != Phase.SENT:
        return
    if fault is not Fault.START_AGAIN_AFTER_TIMEOUT:
        yield f"task {index} times out", end_task(state, index, Phase.UNKNOWN)
    elif task.attempt < state.limits.attempts:
        yield f"task {index} times out, queued again", _requeue(state, index, task)


def _send_start(state, index, task):
    frame = Frame(FrameKind.START, state.session, index, task.attempt)
    sent = task._replace(phase=Phase.SENT)
    return state._replace(
        tasks=_with_task(state.tasks, index, sent),
        frames=with_frame(state.frames, frame),
    )


def _requeue(state, index, task):
    again = Task(task.attempt + 1, Phase.QUEUED)
    return state._replace(tasks=_with_task(state.tasks, index, again))


def _answer_steps(state, fault):
    phases = [task.phase for task in state.tasks]
    if fault is Fault.PARTIAL_ANSWER and Phase.SUCCEEDED in phases:
        yield "answer sent", state._replace(job=Job.COMPLETE, answer=Job.COMPLETE)
    if all(phase in ENDED_PHASES for phase in phases):
        all_succeeded = all(phase == Phase.SUCCEEDED for phase in phases)
        job = Job.COMPLETE if all_succeeded else Job.FAILED
        yield "answer sent", state._replace(job=job, answer=job)


def _link_steps(state, fault):
    if state.session:
        yield "link cut", state._replace(session=0)
        return
    if state.limits.sessions:
        yield "link established", _establish_link(state, fault)


def _establish_link(state, fault):
    number = state.last_session + 1
    limits = state.limits._replace(sessions=state.limits.sessions - 1)
    linked = state._replace(
        session=number,
        session_incarnation=state.incarnation,
        last_session=number,
        limits=limits,
    )
    is_restarted = state.session_incarnation not in (0, state.incarnation)
    for index, task in enumerate(state.tasks):
        if task.phase != Phase.SENT:
            continue
        if not is_restarted:
            frame = Frame(FrameKind.RESOLVE, number, index, task.attempt)
            linked = linked._replace(frames=with_frame(linked.frames, frame))
        elif fault is not Fault.RESTART_MEANS_NOT_RUN:
            linked = end_task(linked, index, Phase.UNKNOWN)
        elif task.attempt < limits.attempts:
            linked = _requeue(linked, index, task)
    return linked


def _receive_steps(state):
    for frame in state.frames:
        if frame.kind == FrameKind.REPORT and frame.session == state.session:
            received = state._replace(frames=without_frame(state.frames, frame))
            yield from _receive_report(received, frame)


def _receive_report(state, frame):
    label = f"report on task {frame.task} received"
    task = state.tasks[frame.task]
    if task.phase != Phase.SENT or task.attempt != frame.attempt:
        yield label, state
        return
    yield label, end_task(state, frame.task, frame.outcome)
    is_proof = frame.outcome == Phase.NOT_RUN
    if is_proof and task.attempt < state.limits.attempts:
        yield f"{label}, queued again", _requeue(state, frame.task, task)


def with_frame(frames, frame):
    """Return the frames under way with ``frame`` added, in sorted order."""
    return tuple(sorted((*frames, frame)))


def without_frame(frames, frame):
    """Return the frames under way without one copy of ``frame``."""
    position = frames.index(frame)
    return frames[:position] + frames[position + 1 :]


def _with_task(tasks, index, task):
    return tasks[:index] + (task,) + tasks[index + 1 :]


def _incremented(counts, index):
    return counts[:index] + (counts[index] + 1,) + counts[index + 1 :]
