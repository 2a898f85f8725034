"""What the owner, its callers and a second entry can do in a state of the model."""

from .states import ENDED, Fault, Frame, Job, Kind, Owner, Phase, Task


def owner_steps(state, fault):
    """Yield ``(label, next state)`` for every step of the owner."""
    if state.owner != Owner.UP:
        return
    if state.job == Job.UNSEEN:
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
    """Yield the steps of another entry at which the caller resubmits."""
    if state.owner == Owner.PROVED_DEAD and state.told == Job.UNSEEN:
        yield "second entry: owner lost", state._replace(told=Job.FAILED)
    if fault is not Fault.TAKE_OVER_ON_LAPSED_LEASE:
        return
    if state.owner in (Owner.PAUSED, Owner.DEAD) and not state.taken_over:
        yield "lease lapses, second entry takes over", state._replace(taken_over=1)
    if state.taken_over == 1:
        for index in range(len(state.tasks)):
            starts = _raised(state.starts, index)
            yield (
                f"second entry starts task {index}",
                state._replace(starts=starts, taken_over=2),
            )


def owner_fault_steps(state):
    """Yield pauses and deaths of the owner."""
    limits = state.limits
    if state.owner == Owner.PAUSED:
        yield "owner resumes", state._replace(owner=Owner.UP)
    if state.owner == Owner.DEAD:
        yield "owner's address answers anew", state._replace(owner=Owner.PROVED_DEAD)
    if state.owner == Owner.UP and limits.owner_faults:
        spent = limits._replace(owner_faults=limits.owner_faults - 1)
        yield "owner pauses", state._replace(owner=Owner.PAUSED, limits=spent)
        yield (
            "owner dies",
            state._replace(owner=Owner.DEAD, session=0, limits=spent),
        )


def end_task(state, index, phase):
    """Return the state with a task ended; NotRun is told to the caller."""
    task = state.tasks[index]._replace(phase=phase)
    told = state.told_not_run
    if phase == Phase.NOT_RUN:
        told = told[:index] + (1,) + told[index + 1 :]
    return state._replace(tasks=_with_task(state.tasks, index, task), told_not_run=told)


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
        yield f"task {index} times out, queued again", _queue_again(state, index, task)


def _send_start(state, index, task):
    frame = Frame(Kind.START, state.session, index, task.attempt)
    sent = task._replace(phase=Phase.SENT)
    return state._replace(
        tasks=_with_task(state.tasks, index, sent),
        frames=added(state.frames, frame),
    )


def _queue_again(state, index, task):
    again = Task(task.attempt + 1, Phase.QUEUED)
    return state._replace(tasks=_with_task(state.tasks, index, again))


def _answer_steps(state, fault):
    phases = [task.phase for task in state.tasks]
    if fault is Fault.PARTIAL_ANSWER and Phase.SUCCEEDED in phases:
        yield "answer sent", state._replace(job=Job.COMPLETE, told=Job.COMPLETE)
    if all(phase in ENDED for phase in phases):
        whole = all(phase == Phase.SUCCEEDED for phase in phases)
        job = Job.COMPLETE if whole else Job.FAILED
        yield "answer sent", state._replace(job=job, told=job)


def _link_steps(state, fault):
    if state.session:
        yield "link cut", state._replace(session=0)
        return
    if state.limits.sessions:
        yield "link made", _make_link(state, fault)


def _make_link(state, fault):
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
            frame = Frame(Kind.RESOLVE, number, index, task.attempt)
            linked = linked._replace(frames=added(linked.frames, frame))
        elif fault is not Fault.RESTART_MEANS_NOT_RUN:
            linked = end_task(linked, index, Phase.UNKNOWN)
        elif task.attempt < limits.attempts:
            linked = _queue_again(linked, index, task)
    return linked


def _receive_steps(state):
    for frame in state.frames:
        if frame.kind == Kind.REPORT and frame.session == state.session:
            received = state._replace(frames=removed(state.frames, frame))
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
        yield f"{label}, queued again", _queue_again(state, frame.task, task)


def added(frames, frame):
    """Return the frames under way with one more, in a fixed order."""
    return tuple(sorted((*frames, frame)))


def removed(frames, frame):
    """Return the frames under way with one copy fewer."""
    position = frames.index(frame)
    return frames[:position] + frames[position + 1 :]


def _with_task(tasks, index, task):
    return tasks[:index] + (task,) + tasks[index + 1 :]


def _raised(counts, index):
    return counts[:index] + (counts[index] + 1,) + counts[index + 1 :]
