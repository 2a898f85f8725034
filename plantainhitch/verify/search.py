"""Breadth-first search of a model's states, exhaustive to a stated depth.

Visited states are kept as 64-bit hashes with the way they were reached, so that a
million of them fit in memory. Two states that share a hash would hide one of them:
at a million states that has a chance of about one in thirty million.

A model offers three methods: ``initial()`` returns its first state; ``steps(state)``
yields a ``(label, next state)`` for everything that can happen in a state; and
``violation(state)`` returns what is wrong with a state, or an empty text. A state
is a hashable value built of numbers and tuples, whose hashes don't differ from one
run to the next.
"""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Violation:
    """A broken invariant and the shortest list of steps that leads to it."""

    detail: str
    trace: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class SearchResult:
    """What a search has covered.

    ``depth`` is the number of steps to which every state was visited;
    ``is_exhausted`` is True where no state lies deeper.
    """

    states: int
    depth: int
    is_exhausted: bool
    violation: Violation | None = None


class _Visited:
    """The states seen so far, as hashes, with the step that led to each one."""

    def __init__(self, initial):
        self._ways = {hash(initial): None}

    def __len__(self):
        return len(self._ways)

    def add(self, state, parent, label):
        """Note a state; return False where it has been seen before."""
        key = hash(state)
        if key in self._ways:
            return False
        self._ways[key] = (hash(parent), label)
        return True

    def trace(self, state):
        """Return the labels of the steps from the first state to ``state``."""
        labels = []
        way = self._ways[hash(state)]
        while way is not None:
            parent, label = way
            labels.append(label)
            way = self._ways[parent]
        return tuple(reversed(labels))


def search(model, max_depth, violation=None):
    """Visit every state within ``max_depth`` steps; stop at the first violation.

    ``violation`` takes the place of the model's own, to look for one kind only.
    """
    violation = violation or model.violation
    initial = model.initial()
    visited = _Visited(initial)
    frontier = [initial]
    for depth in range(max_depth):
        deeper = []
        for state in frontier:
            for label, following in model.steps(state):
                if not visited.add(following, state, label):
                    continue
                detail = violation(following)
                if detail:
                    found = Violation(detail, visited.trace(following))
                    return SearchResult(len(visited), depth + 1, False, found)
                deeper.append(following)
        if not deeper:
            return SearchResult(len(visited), depth, True)
        frontier = deeper
    return SearchResult(len(visited), max_depth, False)
