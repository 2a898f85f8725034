"""Model of one start on links that are replaced while frames are under way.

An owner opens one link to an agent after another. Each delivers its frames in order,
but at any time, also after a newer link is in use. The agent sends its hello without
waiting for the owner's. Time passes in units of the owner's lease. The agent ends the
run when the lease has expired. The owner places the task again when it has not heard
the agent for longer than that, when the agent denies the run, or when it reports its
end.
"""

import enum
from typing import NamedTuple

MAX_TIME = 3
# The frames besides hello, start and resync that may be under way on a link.
MAX_OTHER_FRAMES = 1
NO_LINK = 0


class LinkFault(enum.Enum):
    """A protocol error that can be planted in the model."""

    NONE = "none"
    ALL_LINKS_COUNT = "frames of a replaced link count"
    LAST_HELLO_WINS = "the link whose hello arrives last is the present one"
    EARLY_RENEWAL = "a link renews the lease before its resync"


class RunState:
    """State of the run at the agent."""

    UNKNOWN = 0
    WAITING = 1
    AT_WORK = 2
    ENDED = 3


class FrameKind:
    """What the owner sends."""

    HELLO = 0
    START = 1
    RESYNC = 2
    # For example a heartbeat, or the evacuated zones.
    OTHER = 3
    NAMES = ("hello", "start", "resync", "frame")


class Frame(NamedTuple):
    """A frame with the agent's time that it echoes.

    ``names_run`` is whether a resync expects the run at the agent.
    """

    kind: int
    echo: int = -MAX_TIME
    names_run: int = 0


class LinkState(NamedTuple):
    """One state of the model; links are given by their numbers, from 1 on.

    ``frames`` are those under way on each link. ``contact`` is when the owner last
    heard the agent, and ``stamp`` the newest time stamp of the agent on the open link.
    """

    time: int = 0
    # The owner.
    open_link: int = NO_LINK
    dialled: int = 0
    is_linked: int = 0
    contact: int = 0
    stamp: int = 0
    has_sent_start: int = 0
    expects_run: int = 0
    placed_again: int = 0
    # The agent.
    present: int = NO_LINK
    highest: int = 0
    is_resynced: int = 0
    lease: int = -MAX_TIME
    run: int = RunState.UNKNOWN
    # The link on which it has denied the run.
    denied_on: int = NO_LINK
    frames: tuple = ()


class ReplacedLinkModel:
    """The model of one start on up to ``max_links`` links.

    ``fault`` is a planted fault, none by default.
    """

    def __init__(self, fault=LinkFault.NONE, max_links=3):
        self._fault = fault
        self._max_links = max_links

    def initial(self):
        """Return the state before the first link."""
        return LinkState(frames=((),) * self._max_links)

    def steps(self, state):
        """Yield every ``(label, next state)``."""
        if state.time < MAX_TIME:
            yield "time passes", self._later(state)
        yield from self._owner_steps(state)
        yield from self._run_steps(state)
        for number, frames in enumerate(state.frames, start=1):
            if frames:
                delivered = _with_frames(state, number, frames[1:])
                name = FrameKind.NAMES[frames[0].kind]
                yield (
                    f"{name} of link {number} delivered",
                    self._handle(delivered, number, frames[0]),
                )

    def violation(self, state):
        """Return which invariant the state breaks, or an empty text."""
        if state.placed_again and state.run == RunState.AT_WORK:
            return "the run is at work after its task was placed again"
        return ""

    def _later(self, state):
        """Return the state a lease later; the endpoint's lease ends the run with it."""
        later = state._replace(time=state.time + 1)
        if later.run == RunState.AT_WORK and not _is_leased(later):
            return later._replace(run=RunState.ENDED)
        return later

    def _owner_steps(self, state):
        if state.open_link:
            yield "the owner closes its link", _closed(state)
        elif state.dialled < self._max_links:
            number = state.dialled + 1
            dialled = state._replace(open_link=number, dialled=number)
            yield "the owner dials", _send(dialled, Frame(FrameKind.HELLO))
        if state.open_link and (not state.is_linked or _is_present(state)):
            yield "the owner hears the agent", self._heard(state)
        if state.is_linked and not state.has_sent_start:
            started = state._replace(has_sent_start=1, expects_run=1)
            yield (
                "the owner sends the start",
                _send(started, Frame(FrameKind.START, state.stamp)),
            )
        if state.is_linked and _count_other(state) < MAX_OTHER_FRAMES:
            yield (
                "the owner sends a frame",
                _send(state, Frame(FrameKind.OTHER, state.stamp)),
            )
        if state.expects_run and state.time > state.contact + 1:
            yield "the owner finds the agent silent", _placed_again(_closed(state))

    def _heard(self, state):
        """Return the state after a frame of the agent; the first one is its hello."""
        heard = state._replace(contact=state.time, stamp=state.time, is_linked=1)
        if not state.is_linked:
            other = Frame(FrameKind.OTHER, heard.stamp)
            resync = Frame(FrameKind.RESYNC, heard.stamp, heard.expects_run)
            return _send(_send(heard, other), resync)
        is_denied = state.denied_on == state.open_link
        if heard.expects_run and (is_denied or state.run == RunState.ENDED):
            return _placed_again(heard)
        return heard

    def _run_steps(self, state):
        """Yield the steps of a waiting start, which a suspended agent delays."""
        if state.run == RunState.WAITING:
            run = RunState.AT_WORK if _is_leased(state) else RunState.ENDED
            yield "the agent decides on the start", state._replace(run=run)

    def _handle(self, state, number, frame):
        """Return the state after the agent has handled a frame of a link."""
        if frame.kind == FrameKind.HELLO:
            is_older = number < state.highest
            if is_older and self._fault is not LinkFault.LAST_HELLO_WINS:
                return state
            return state._replace(
                present=number,
                highest=max(number, state.highest),
                is_resynced=int(self._fault is LinkFault.EARLY_RENEWAL),
            )
        counts = number == state.present or self._fault is LinkFault.ALL_LINKS_COUNT
        if not counts:
            return state
        if frame.kind == FrameKind.RESYNC:
            state = self._resynced(state, number, frame)
        if state.is_resynced:
            state = state._replace(lease=max(state.lease, frame.echo))
        if frame.kind == FrameKind.START and state.run == RunState.UNKNOWN:
            is_valid = _is_leased(state)
            run = RunState.WAITING if is_valid else RunState.ENDED
            return state._replace(run=run)
        return state

    def _resynced(self, state, number, frame):
        state = state._replace(is_resynced=1)
        if frame.names_run and state.run == RunState.UNKNOWN:
            return state._replace(denied_on=number)
        if not frame.names_run and state.run in (RunState.WAITING, RunState.AT_WORK):
            return state._replace(run=RunState.ENDED)
        return state


def _is_leased(state):
    return state.time <= state.lease + 1


def _is_present(state):
    return state.open_link == state.present


def _closed(state):
    return state._replace(open_link=NO_LINK, is_linked=0)


def _placed_again(state):
    return state._replace(expects_run=0, placed_again=1)


def _count_other(state):
    frames = state.frames[state.open_link - 1]
    return sum(frame.kind == FrameKind.OTHER for frame in frames)


def _send(state, frame):
    frames = state.frames[state.open_link - 1]
    return _with_frames(state, state.open_link, (*frames, frame))


def _with_frames(state, number, frames):
    index = number - 1
    return state._replace(
        frames=(*state.frames[:index], frames, *state.frames[index + 1 :])
    )
