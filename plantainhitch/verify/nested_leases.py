"""Model of the leases under which one run goes on after its owner's last sign of life.

Entry A owns a run at an agent's endpoint. Another owner's run there keeps the lease of
the endpoint renewed; it has one lease for all runs, which never shortens, and ends them
all when it expires. A's frames arrive in order, arbitrarily late; a new link drops
those that are left and begins with a resync. A run that the resync doesn't name counts
with the contact before it. A and the agent can die or be suspended, A can lose its
link, and the agent's stop can be lost.

The caller's connection breaks at any time, at the latest with A, and ``RESUBMIT`` steps
later entry B starts the task elsewhere. A does so itself after ``RUN_END + MARGIN``
steps without a sign of the agent.

Time passes in steps of about 190 ms, whenever nothing is due at once: a stop of the
agent, and what A does when its caller leaves. The state holds ages and remaining times,
capped where they no longer matter, so that the search has no bound in time. Bounds: one
run, and one heartbeat under way besides the start, the stop and the resync.

Not modelled: clocks of different speed, an agent that is started again, and orders that
renew the lease late (the expiry that they carry is a time, so that they extend it no
further).
"""

import enum
from typing import NamedTuple

# The agent stops a run when its owner's last contact is older than this.
OWNER = 4
# No run goes on for longer than this after its owner's last contact.
RUN_END = 6
# The longest lease that the agent gives the endpoint, and that of the old rule.
ENDPOINT = 4
ENDPOINT_OLD = 5
# The caller submits again this long after its connection has broken.
RESUBMIT = 7
# What an entry adds to RUN_END before it places a run again.
MARGIN = 1
# How late an entry that is not suspended notices that its caller has left.
NOTICE = RESUBMIT - RUN_END
# Heartbeats that an entry sends while other frames are under way.
MAX_HEARTBEATS = 1

NOT_GIVEN_UP = -1
CONNECTED = -1


class LeaseFault(enum.Enum):
    """A protocol error that can be planted in the model."""

    NONE = "none"
    IGNORES_OWNERS = "the lease of the endpoint ignores the owners"
    FOLLOWS_OWNER = "a run that was given up follows its owner's later echoes"
    RESYNC_COUNTS = "the echo of a resync counts for a run that it does not name"
    LONG_LEASE = "a start is accepted under a lease that is too long"
    STOP_FREES_LEASE = "a run that is being stopped does not limit the lease"
    ECHO_FIRST = "a resumed entry echoes before it notices that its caller left"
    EARLY_PLACEMENT = "an entry places a run again after the owner's lease"


class Process:
    """State of an entry or an agent."""

    UP = 0
    SUSPENDED = 1
    DEAD = 2


class Task:
    """What A knows of the task."""

    IDLE = 0
    STARTED = 1
    GIVEN_UP = 2


class Run:
    """State of the run at the endpoint.

    ``ORDERED`` is a start that is under way from the agent and may be carried out.
    """

    UNKNOWN = 0
    ORDERED = 1
    AT_WORK = 2
    OVER = 3


class Stop:
    """State of the agent's order to stop the run."""

    NONE = 0
    SENT = 1
    LOST = 2


class FrameKind:
    """What A sends."""

    HEARTBEAT = 0
    START = 1
    STOP = 2
    RESYNC = 3
    NAMES = ("heartbeat", "start", "stop", "resync")


class Frame(NamedTuple):
    """A frame with the age of the agent's time stamp that it echoes."""

    kind: int
    echo: int
    names_run: int = 0


class LeaseState(NamedTuple):
    """One state of the model.

    ``stamp`` is the age of the agent's newest time stamp at A, and ``contact`` that of
    the newest echo at the agent. ``given_up`` is the contact that counts for a run that
    was given up. ``resubmit`` is the time until the caller submits again, ``lease``
    what is left of the endpoint's lease, and ``start_lease`` what is left of the lease
    in a start that is under way.
    """

    entry: int = Process.UP
    is_linked: int = 1
    stamp: int = 0
    task: int = Task.IDLE
    frames: tuple = ()
    resubmit: int = CONNECTED
    placed_again: int = 0
    agent: int = Process.UP
    contact: int = 0
    given_up: int = NOT_GIVEN_UP
    stop: int = Stop.NONE
    run: int = Run.UNKNOWN
    lease: int = 1
    start_lease: int = 0


class NestedLeaseModel:
    """The model of one run, its owner's lease and its endpoint's.

    ``fault`` is a planted fault, none by default. ``max_notice`` is the number of steps
    after which A, unless suspended, has noticed that its caller has left. A that is
    resumed later notices it before it does anything else.
    """

    def __init__(self, fault=LeaseFault.NONE, max_notice=NOTICE):
        self._fault = fault
        self._max_notice = max_notice
        is_old = fault is LeaseFault.IGNORES_OWNERS
        self._endpoint_lease = ENDPOINT_OLD if is_old else ENDPOINT
        is_early = fault is LeaseFault.EARLY_PLACEMENT
        self._max_silence = OWNER + 1 if is_early else RUN_END + MARGIN

    def initial(self):
        """Return the state in which A is linked and only the other run is at work."""
        return LeaseState()

    def steps(self, state):
        """Yield every ``(label, next state)``."""
        if _is_over(state):
            return
        for label, successor in self._all_steps(state):
            yield label, _reduced(successor)

    def violation(self, state):
        """Return which invariant the state breaks, or an empty text."""
        if state.placed_again and state.run == Run.AT_WORK:
            return "the run is at work after its task was started elsewhere"
        return ""

    def _all_steps(self, state):
        yield from self._fault_steps(state)
        yield from self._entry_steps(state)
        yield from self._agent_steps(state)
        yield from self._endpoint_steps(state)
        if not self._is_step_due(state):
            yield "time passes", self._later(state)

    def _is_step_due(self, state):
        """Return whether a process that is up has to act before time passes."""
        if state.stop == Stop.SENT or self._is_stop_due(state):
            return True
        return (
            state.entry == Process.UP
            and _has_unnoticed_leave(state)
            and RESUBMIT - state.resubmit >= self._max_notice
        )

    def _acts_first(self, state):
        """Return whether A may act before it notices that its caller has left."""
        if not _has_unnoticed_leave(state) or self._fault is LeaseFault.ECHO_FIRST:
            return True
        return 0 < self._max_notice >= RESUBMIT - state.resubmit

    def _later(self, state):
        """Return the state a step later.

        An expired lease ends the run. It also refuses a start that is still under way:
        the agent raises its fence before it renews the lease then.
        """
        lease = max(state.lease - 1, 0)
        start_lease = max(state.start_lease - 1, 0)
        is_resubmitted = state.resubmit == 1
        run = state.run
        if (run == Run.AT_WORK and not lease) or (
            run == Run.ORDERED and not lease and not start_lease
        ):
            run = Run.OVER
        given_up = state.given_up
        if given_up != NOT_GIVEN_UP:
            given_up = min(given_up + 1, RUN_END)
        return state._replace(
            stamp=min(state.stamp + 1, RUN_END + MARGIN),
            frames=tuple(
                frame._replace(echo=min(frame.echo + 1, RUN_END))
                for frame in state.frames
            ),
            resubmit=CONNECTED if is_resubmitted else max(state.resubmit - 1, -1),
            placed_again=int(state.placed_again or is_resubmitted),
            contact=min(state.contact + 1, RUN_END),
            given_up=given_up,
            run=run,
            lease=lease,
            start_lease=start_lease,
        )

    def _fault_steps(self, state):
        is_connected = state.resubmit == CONNECTED and not state.placed_again
        left = state._replace(resubmit=RESUBMIT) if is_connected else state
        if state.entry != Process.DEAD:
            yield "the entry dies", left._replace(entry=Process.DEAD, is_linked=0)
            if is_connected:
                yield "the caller leaves", left
        # A process to which nothing is due may idle anyway.
        if state.entry == Process.UP and _has_unnoticed_leave(state):
            yield "the entry is suspended", state._replace(entry=Process.SUSPENDED)
        if state.entry == Process.SUSPENDED:
            yield "the entry resumes", state._replace(entry=Process.UP)
        if state.is_linked:
            yield "the link breaks", state._replace(is_linked=0)
        if state.agent != Process.DEAD:
            yield "the agent dies", state._replace(agent=Process.DEAD)
        if state.stop == Stop.SENT:
            yield "the agent's stop is lost", state._replace(stop=Stop.LOST)
        if self._is_stop_due(state):
            yield "the agent is suspended", state._replace(agent=Process.SUSPENDED)
        if state.agent == Process.SUSPENDED:
            yield "the agent resumes", state._replace(agent=Process.UP)

    def _entry_steps(self, state):
        if state.entry != Process.UP:
            return
        if _has_unnoticed_leave(state):
            yield "the entry notices that its caller left", _given_up(state)
        if not self._acts_first(state):
            return
        if state.agent == Process.UP:
            yield from self._heard_steps(state)
        # An older echo than the agent has changes nothing there.
        is_newer = state.stamp < state.contact
        if state.is_linked and is_newer and len(state.frames) < MAX_HEARTBEATS:
            yield "the entry sends a heartbeat", _send(state, FrameKind.HEARTBEAT)
        if state.is_linked and state.task == Task.IDLE and not state.placed_again:
            started = state._replace(task=Task.STARTED)
            yield "the entry sends the start", _send(started, FrameKind.START)
        if state.task == Task.STARTED and state.stamp >= self._max_silence:
            silent = _given_up(state)
            yield (
                "the entry places the run again",
                silent._replace(placed_again=1, is_linked=0, resubmit=CONNECTED),
            )

    def _heard_steps(self, state):
        heard = state._replace(stamp=0)
        if state.is_linked:
            yield "the entry hears the agent", heard
        else:
            linked = heard._replace(is_linked=1, frames=())
            names_run = int(state.task == Task.STARTED)
            yield (
                "the entry links again",
                _send(linked, FrameKind.RESYNC, names_run),
            )

    def _agent_steps(self, state):
        if state.agent != Process.UP:
            return
        if state.frames:
            frame = state.frames[0]
            taken = state._replace(frames=state.frames[1:])
            name = FrameKind.NAMES[frame.kind]
            yield f"the agent takes the {name}", self._handle(taken, frame)
        lease = self._lease_to_give(state)
        if lease > state.lease:
            yield "the agent renews the lease", state._replace(lease=lease)
        if self._is_stop_due(state):
            yield "the agent sends a stop", state._replace(stop=Stop.SENT)

    def _endpoint_steps(self, state):
        if state.stop == Stop.SENT:
            yield "the endpoint carries out the stop", state._replace(run=Run.OVER)
        if state.run == Run.ORDERED:
            lease = max(state.lease, state.start_lease)
            yield (
                "the endpoint carries out the start",
                state._replace(run=Run.AT_WORK, lease=lease, start_lease=0),
            )

    def _handle(self, state, frame):
        """Return the state after the agent has taken a frame."""
        before = state.contact
        state = state._replace(contact=min(before, frame.echo))
        if frame.kind == FrameKind.START:
            return self._start(state)
        if frame.kind == FrameKind.STOP:
            return self._stop(state, state.contact)
        if frame.kind == FrameKind.RESYNC and not frame.names_run:
            counts = self._fault is LeaseFault.RESYNC_COUNTS
            return self._stop(state, state.contact if counts else before)
        return state

    def _start(self, state):
        """Order the start, or refuse it; a refused start can't begin any more."""
        if state.contact > OWNER:
            return state._replace(run=Run.OVER)
        ordered = state._replace(run=Run.ORDERED)
        is_too_long = state.lease > RUN_END - state.contact
        ignores = self._fault in (LeaseFault.LONG_LEASE, LeaseFault.IGNORES_OWNERS)
        if is_too_long and not ignores:
            return state._replace(run=Run.OVER)
        return ordered._replace(start_lease=self._lease_to_give(ordered))

    def _stop(self, state, contact):
        """Give the run up, with the ``contact`` that counts for it from now on."""
        if not _may_be_at_endpoint(state) or state.given_up != NOT_GIVEN_UP:
            return state
        stop = state.stop or Stop.SENT
        return state._replace(given_up=contact, stop=stop)

    def _is_stop_due(self, state):
        """Return whether the agent has to stop the run of an owner that is silent."""
        return (
            state.agent == Process.UP
            and _may_be_at_endpoint(state)
            and state.stop == Stop.NONE
            and state.contact > OWNER
        )

    def _lease_to_give(self, state):
        """Return how long a lease the agent gives the endpoint now."""
        is_freed = self._fault is LeaseFault.STOP_FREES_LEASE and state.stop
        ignores = self._fault is LeaseFault.IGNORES_OWNERS or is_freed
        if ignores or not _may_be_at_endpoint(state):
            return self._endpoint_lease
        follows = self._fault is LeaseFault.FOLLOWS_OWNER
        is_given_up = state.given_up != NOT_GIVEN_UP and not follows
        contact = state.given_up if is_given_up else state.contact
        return min(self._endpoint_lease, RUN_END - contact)


def _is_over(state):
    """Return whether the run has ended or can't begin any more."""
    if state.run == Run.UNKNOWN:
        may_send = state.entry != Process.DEAD and state.task == Task.IDLE
        may_begin = may_send or any(
            frame.kind == FrameKind.START for frame in state.frames
        )
        return state.agent == Process.DEAD or not may_begin
    return state.run == Run.OVER


def _reduced(state):
    """Return the state without what a dead process knew, to merge equal states."""
    if state.entry == Process.DEAD:
        state = state._replace(stamp=0, task=Task.IDLE)
    if state.agent == Process.DEAD:
        state = state._replace(is_linked=0, frames=(), contact=0, given_up=NOT_GIVEN_UP)
    return state


def _may_be_at_endpoint(state):
    return state.run in (Run.ORDERED, Run.AT_WORK)


def _has_unnoticed_leave(state):
    is_known = state.entry == Process.DEAD or state.task == Task.GIVEN_UP
    return state.resubmit != CONNECTED and not is_known


def _given_up(state):
    """Return the state after A has given the run up; a link carries its stop."""
    has_run = state.task == Task.STARTED
    state = state._replace(task=Task.GIVEN_UP)
    return _send(state, FrameKind.STOP) if has_run and state.is_linked else state


def _send(state, kind, names_run=0):
    frame = Frame(kind, min(state.stamp, RUN_END), names_run)
    return state._replace(frames=(*state.frames, frame))
