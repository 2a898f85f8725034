"""Model of callers' idempotency keys: two entries bind one key in the table.

Each entry generates an id, asks the table to bind the key to it, and starts the job
only under the id that is bound. A write can take effect late, and its reply can be
lost. An entry that doesn't know the result of its write reads the row, writes once
more with the same id, or refuses with NotRun. An id is started by the entry that
generated it, once.
"""

import enum
from typing import NamedTuple

ENTRIES = (0, 1)
UNBOUND = 0


class KeyFault(enum.Enum):
    """A protocol error that can be planted in the model."""

    NONE = "none"
    LOST_REPLY_MEANS_BOUND = "lost reply means bound"
    WRITE_WITHOUT_CONDITION = "write without a condition"


class BinderPhase:
    """State of the key at an entry."""

    IDLE = 0
    WAITING = 1
    UNSURE = 2
    BOUND = 3
    REFUSED = 4


class Binder(NamedTuple):
    """One entry: its phase, the id it generated and the id it takes as bound."""

    phase: int = BinderPhase.IDLE
    generated_id: int = 0
    bound_id: int = UNBOUND
    has_retried: int = 0


class KeyState(NamedTuple):
    """The id in the row, the entries, writes under way as (entry, id), started ids."""

    row: int
    binders: tuple[Binder, ...]
    writes: tuple[tuple[int, int], ...]
    started: tuple[int, ...]


class KeyModel:
    """Two entries that receive the same key, optionally with a planted fault."""

    def __init__(self, fault=KeyFault.NONE):
        self._fault = fault

    def initial(self):
        """Return the state before either entry receives the call."""
        return KeyState(UNBOUND, (Binder(),) * len(ENTRIES), (), ())

    def steps(self, state):
        """Yield every ``(label, next state)``."""
        for write in state.writes:
            yield from self._table_steps(state, write)
        for entry in ENTRIES:
            yield from self._entry_steps(state, entry, state.binders[entry])

    def violation(self, state):
        """Return which invariant the state breaks, or an empty text."""
        if len(set(state.started)) > 1:
            return f"one key was started under {len(set(state.started))} ids"
        return ""

    def _table_steps(self, state, write):
        entry, submission_id = write
        remaining = tuple(other for other in state.writes if other != write)
        yield f"write of entry {entry} lost", state._replace(writes=remaining)
        is_free = state.row == UNBOUND
        if self._fault is KeyFault.WRITE_WITHOUT_CONDITION:
            is_free = True
        row = submission_id if is_free else state.row
        applied = state._replace(row=row, writes=remaining)
        yield f"write of entry {entry} applied, reply lost", applied
        if state.binders[entry].phase != BinderPhase.WAITING:
            return
        bound = state.binders[entry]._replace(phase=BinderPhase.BOUND, bound_id=row)
        yield (
            f"write of entry {entry} answered",
            applied._replace(binders=_replaced(state.binders, entry, bound)),
        )

    def _entry_steps(self, state, entry, binder):
        match binder.phase:
            case BinderPhase.IDLE:
                yield f"entry {entry} writes", self._write(state, entry, binder)
            case BinderPhase.WAITING:
                unsure = binder._replace(phase=BinderPhase.UNSURE)
                yield f"entry {entry} times out", _with_binder(state, entry, unsure)
            case BinderPhase.UNSURE:
                yield from self._unsure_steps(state, entry, binder)
            case BinderPhase.BOUND if binder.bound_id not in state.started:
                started = tuple(sorted((*state.started, binder.bound_id)))
                yield f"entry {entry} starts", state._replace(started=started)

    def _unsure_steps(self, state, entry, binder):
        refused = binder._replace(phase=BinderPhase.REFUSED)
        yield f"entry {entry} refuses", _with_binder(state, entry, refused)
        if state.row != UNBOUND:
            bound = binder._replace(phase=BinderPhase.BOUND, bound_id=state.row)
            yield f"entry {entry} reads back", _with_binder(state, entry, bound)
        if self._fault is KeyFault.LOST_REPLY_MEANS_BOUND:
            bound = binder._replace(
                phase=BinderPhase.BOUND, bound_id=binder.generated_id
            )
            yield (
                f"entry {entry} assumes that its id is bound",
                _with_binder(state, entry, bound),
            )
        if not binder.has_retried:
            again = binder._replace(has_retried=1)
            yield f"entry {entry} writes again", self._write(state, entry, again)

    def _write(self, state, entry, binder):
        generated_id = binder.generated_id or entry + 1
        waiting = binder._replace(phase=BinderPhase.WAITING, generated_id=generated_id)
        writes = tuple(sorted({*state.writes, (entry, generated_id)}))
        return _with_binder(state, entry, waiting)._replace(writes=writes)


def _with_binder(state, entry, binder):
    return state._replace(binders=_replaced(state.binders, entry, binder))


def _replaced(binders, entry, binder):
    return binders[:entry] + (binder,) + binders[entry + 1 :]
