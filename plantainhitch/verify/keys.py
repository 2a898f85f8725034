"""The model of callers' own keys: two entries bind one key in the table.

Each entry draws an id of its own, asks the table to bind the key to it, and starts
the job only under the id that is bound. A write can take effect late, and its reply
can be lost. An entry that doesn't know writes again under the same id, or refuses
with NotRun. An id is started by the entry that drew it, once.
"""

import enum
from typing import NamedTuple

ENTRIES = (0, 1)
UNBOUND = 0


class KeyFault(enum.Enum):
    """A mistake that can be planted in the model."""

    NONE = "none"
    LOST_REPLY_MEANS_BOUND = "lost reply means bound"
    WRITE_WITHOUT_CONDITION = "write without a condition"


class Step:
    """Where an entry stands with the key."""

    IDLE = 0
    WAITING = 1
    UNSURE = 2
    BOUND = 3
    REFUSED = 4


class Binder(NamedTuple):
    """One entry: the id it drew last, the id it believes bound, and its step."""

    step: int = Step.IDLE
    drawn: int = 0
    bound: int = UNBOUND
    asked_again: int = 0


class KeyState(NamedTuple):
    """The row, the entries, writes under way as (entry, id), and started ids."""

    row: int
    binders: tuple[Binder, ...]
    writes: tuple[tuple[int, int], ...]
    started: tuple[int, ...]


class KeyModel:
    """Two entries that get the same key, perhaps with a planted fault."""

    def __init__(self, fault=KeyFault.NONE):
        self._fault = fault

    def initial(self):
        """Return the state before either entry has the call."""
        return KeyState(UNBOUND, (Binder(),) * len(ENTRIES), (), ())

    def steps(self, state):
        """Yield every ``(label, next state)``."""
        for write in state.writes:
            yield from self._table_steps(state, write)
        for entry in ENTRIES:
            yield from self._entry_steps(state, entry, state.binders[entry])

    def violation(self, state):
        """Return what is wrong with the state, or an empty text."""
        if len(set(state.started)) > 1:
            return f"one key was started under {len(set(state.started))} ids"
        return ""

    def _table_steps(self, state, write):
        entry, identity = write
        left = tuple(other for other in state.writes if other != write)
        yield f"write of entry {entry} lost", state._replace(writes=left)
        is_free = state.row == UNBOUND
        if self._fault is KeyFault.WRITE_WITHOUT_CONDITION:
            is_free = True
        row = identity if is_free else state.row
        applied = state._replace(row=row, writes=left)
        yield f"write of entry {entry} applied, reply lost", applied
        if state.binders[entry].step != Step.WAITING:
            return
        bound = state.binders[entry]._replace(step=Step.BOUND, bound=row)
        yield (
            f"write of entry {entry} answered",
            applied._replace(binders=_with(state.binders, entry, bound)),
        )

    def _entry_steps(self, state, entry, binder):
        match binder.step:
            case Step.IDLE:
                yield f"entry {entry} writes", self._write(state, entry, binder)
            case Step.WAITING:
                unsure = binder._replace(step=Step.UNSURE)
                yield f"entry {entry} times out", _put(state, entry, unsure)
            case Step.UNSURE:
                yield from self._unsure_steps(state, entry, binder)
            case Step.BOUND if binder.bound not in state.started:
                started = tuple(sorted((*state.started, binder.bound)))
                yield f"entry {entry} starts", state._replace(started=started)

    def _unsure_steps(self, state, entry, binder):
        refused = binder._replace(step=Step.REFUSED)
        yield f"entry {entry} refuses", _put(state, entry, refused)
        if state.row != UNBOUND:
            bound = binder._replace(step=Step.BOUND, bound=state.row)
            yield f"entry {entry} reads back", _put(state, entry, bound)
        if self._fault is KeyFault.LOST_REPLY_MEANS_BOUND:
            bound = binder._replace(step=Step.BOUND, bound=binder.drawn)
            yield f"entry {entry} assumes", _put(state, entry, bound)
        if not binder.asked_again:
            again = binder._replace(asked_again=1)
            yield f"entry {entry} writes again", self._write(state, entry, again)

    def _write(self, state, entry, binder):
        drawn = binder.drawn or entry + 1
        waiting = binder._replace(step=Step.WAITING, drawn=drawn)
        writes = tuple(sorted({*state.writes, (entry, drawn)}))
        return _put(state, entry, waiting)._replace(writes=writes)


def _put(state, entry, binder):
    return state._replace(binders=_with(state.binders, entry, binder))


def _with(binders, entry, binder):
    return binders[:entry] + (binder,) + binders[entry + 1 :]
