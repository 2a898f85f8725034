"""What the agent, its endpoint and the network can do in a state of the model."""

from .owner_steps import added, removed
from .states import OUTCOME_OF, Fault, Frame, Kind, Memory, Phase, Seen

SLOTS = 1


def agent_steps(state, fault):
    """Yield ``(label, next state)`` for every step of the agent and its endpoint."""
    yield from _endpoint_steps(state)
    if state.agent_paused:
        yield "agent resumes", state._replace(agent_paused=0)
        return
    yield from _receive_steps(state, fault)
    for memory in state.memories:
        yield from _run_steps(state, fault, memory)


def agent_fault_steps(state):
    """Yield the pause and the restart of the agent."""
    limits = state.limits
    if limits.agent_restarts:
        spent = limits._replace(agent_restarts=limits.agent_restarts - 1)
        if not state.agent_paused:
            yield "agent pauses", state._replace(agent_paused=1, limits=spent)
        yield "agent restarts", _restarted(state, spent)


def network_steps(state):
    """Yield losses with a cut link, copies, and the passing of the validity."""
    limits = state.limits
    for frame in state.frames:
        if frame.session != state.session:
            yield (
                "frame lost with its link",
                state._replace(frames=removed(state.frames, frame)),
            )
        elif limits.duplicates and frame.kind == Kind.START:
            yield (
                "frame copied",
                state._replace(
                    frames=added(state.frames, frame),
                    limits=limits._replace(duplicates=limits.duplicates - 1),
                ),
            )
    if limits.waits:
        yield "longer than the validity passes", _waited(state)


def forget_steps(state, fault):
    """Yield the forgetting of old attempts.

    The agent notes that it has forgotten one whose report was not acknowledged;
    from then on it can't tell an attempt that it never saw.
    """
    for memory in state.memories:
        if not memory.is_old or memory.seen not in OUTCOME_OF:
            continue
        is_noted = fault is not Fault.UNSEEN_AFTER_FORGETTING
        forgot = state.forgot or (is_noted and not _is_acknowledged(state, memory))
        yield (
            "agent forgets an attempt",
            state._replace(
                memories=tuple(other for other in state.memories if other != memory),
                forgot=int(forgot),
            ),
        )


def _restarted(state, limits):
    """Return the state after a restart: the memory and the links are gone."""
    return state._replace(
        incarnation=state.incarnation + 1,
        agent_paused=0,
        memories=(),
        forgot=0,
        frames=tuple(frame for frame in state.frames if frame.kind == Kind.REPORT),
        limits=limits,
    )


def _waited(state):
    frames = tuple(
        sorted(
            frame._replace(is_late=1) if frame.kind == Kind.START else frame
            for frame in state.frames
        )
    )
    memories = tuple(memory._replace(is_old=1) for memory in state.memories)
    limits = state.limits._replace(waits=state.limits.waits - 1)
    return state._replace(frames=frames, memories=memories, limits=limits)


def _receive_steps(state, fault):
    for frame in state.frames:
        if frame.kind not in (Kind.START, Kind.RESOLVE):
            continue
        received = state._replace(frames=removed(state.frames, frame))
        if frame.kind == Kind.START:
            yield from _on_start(received, frame, fault)
        else:
            label = f"resolve of task {frame.task} received"
            yield label, _on_resolve(received, frame, fault)


def _on_start(state, frame, fault):
    label = f"start of task {frame.task} received"
    if _find(state, frame.task, frame.attempt):
        yield f"{label} again", state
        return
    # Late, no room in the queue, or draining.
    yield f"{label}, refused", _refuse(state, frame, fault)
    if not frame.is_late or fault is Fault.LATE_FRAME_ACCEPTED:
        memory = Memory(frame.task, frame.attempt, Seen.WAITING)
        memories = _with_memory(state.memories, memory)
        yield label, state._replace(memories=memories)


def _on_resolve(state, frame, fault):
    memory = _find(state, frame.task, frame.attempt)
    if memory is not None:
        return _report(state, memory)
    return _refuse(state, frame, fault)


def _is_acknowledged(state, memory):
    """Return whether the owner has had the report: it waits no more for it."""
    task = state.tasks[memory.task]
    return task.attempt != memory.attempt or task.phase != Phase.SENT


def _refuse(state, frame, fault):
    if state.forgot:
        return _report(state, Memory(frame.task, frame.attempt, Seen.UNKNOWN))
    memory = Memory(frame.task, frame.attempt, Seen.REFUSED)
    if fault is not Fault.REFUSAL_FORGOTTEN:
        state = state._replace(memories=_with_memory(state.memories, memory))
    return _report(state, memory)


def _report(state, memory):
    """Return the state with a report under way, where the attempt has ended."""
    if memory.seen not in OUTCOME_OF or not state.session:
        return state
    if state.session_incarnation != state.incarnation:
        return state
    outcome = OUTCOME_OF[memory.seen]
    frame = Frame(Kind.REPORT, state.session, memory.task, memory.attempt, outcome)
    return state._replace(frames=added(state.frames, frame))


def _run_steps(state, fault, memory):
    label = f"task {memory.task}"
    if memory.seen == Seen.WAITING:
        yield from _wait_steps(state, fault, memory)
    if memory.seen == Seen.ACCEPTED:
        yield f"endpoint refuses {label}", _end(state, memory, Seen.REFUSED)
        yield (
            f"{label} posted to the endpoint",
            _with_posted(_seen(state, memory, Seen.POSTED), memory.task, 1),
        )
    if memory.seen != Seen.POSTED:
        return
    lost = Seen.UNKNOWN
    if fault is Fault.LOST_CONNECTION_MEANS_NOT_RUN:
        lost = Seen.REFUSED
    yield f"connection of {label} lost", _end(state, memory, lost)
    if state.starts[memory.task] and not state.posted[memory.task]:
        yield f"endpoint answers {label}", _end(state, memory, Seen.SUCCEEDED)
        yield f"endpoint fails {label}", _end(state, memory, Seen.FAILED)


def _wait_steps(state, fault, memory):
    """Yield the two ends of a wait: given back (at any time), or a free slot."""
    refused = _report(state, memory._replace(seen=Seen.REFUSED))
    if fault is not Fault.GIVEN_BACK_BEGINS:
        refused = _end(state, memory, Seen.REFUSED)
    yield f"task {memory.task} given back", refused
    busy = sum(m.seen in (Seen.ACCEPTED, Seen.POSTED) for m in state.memories)
    if busy < SLOTS and not memory.is_old:
        accepted = _seen(state, memory, Seen.ACCEPTED)
        yield f"slot free for task {memory.task}", accepted


def _endpoint_steps(state):
    for index, count in enumerate(state.posted):
        if count:
            starts = state.starts
            starts = starts[:index] + (starts[index] + 1,) + starts[index + 1 :]
            started = _with_posted(state, index, -1)
            yield f"endpoint starts task {index}", started._replace(starts=starts)
            yield f"request of task {index} lost", _with_posted(state, index, -1)


def _end(state, memory, seen):
    state = _seen(state, memory, seen)
    return _report(state, memory._replace(seen=seen))


def _seen(state, memory, seen):
    others = tuple(other for other in state.memories if other != memory)
    return state._replace(memories=_with_memory(others, memory._replace(seen=seen)))


def _find(state, task, attempt):
    for memory in state.memories:
        if memory.task == task and memory.attempt == attempt:
            return memory
    return None


def _with_memory(memories, memory):
    return tuple(sorted((*memories, memory)))


def _with_posted(state, index, change):
    posted = state.posted
    changed = posted[:index] + (posted[index] + change,) + posted[index + 1 :]
    return state._replace(posted=changed)
