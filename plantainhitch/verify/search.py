"""Breadth-first search of a model's states, exhaustive to a given depth.

Visited states are kept as 64-bit hashes, each with its predecessor and the step from
it, so that a million of them fit in memory. If two states have the same hash, one of
them is not explored: at a million states the probability is about one in thirty
million.

A model has three methods: ``initial()`` returns the initial state; ``steps(state)``
yields a ``(label, next state)`` for every step possible in a state; and
``violation(state)`` returns a description of the invariant that the state breaks, or
an empty text. A state is a hashable value built of numbers and tuples, whose hashes
are the same in every process.
"""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Violation:
    """A broken invariant and the shortest sequence of steps that leads to it."""

    detail: str
    trace: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class SearchResult:
    """The coverage of a search.

    ``depth`` is the number of steps to which every state was visited;
    ``is_exhausted`` is True if there is no state beyond that depth.
    """

    states: int
    depth: int
    is_exhausted: bool
    violation: Violation | None = None


class _Visited:
    """The hashes of the states visited, each with the step that led to it."""

    def __init__(self, initial):
        self._predecessors = {hash(initial): None}

    def __len__(self):
        return len(self._predecessors)

    def add(self, state, parent, label):
        """Add a state; return False if it was visited before."""
        key = hash(state)
        if key in self._predecessors:
            return False
        self._predecessors[key] = (hash(parent), label)
        return True

    def trace(self, state):
        """Return the labels of the steps from the initial state to ``state``."""
        labels = []
        predecessor = self._predecessors[hash(state)]
        while predecessor is not None:
            parent, label = predecessor
            labels.append(label)
            predecessor = self._predecessors[parent]
        return tuple(reversed(labels))


def search(model, max_depth, violation=None):
    """Visit every state within ``max_depth`` steps; stop at the first violation.

    ``violation`` replaces the model's own check, to search for a single kind.
    """
    violation = violation or model.violation
    initial = model.initial()
    visited = _Visited(initial)
    frontier = [initial]
    for depth in range(max_depth):
        next_frontier = []
        for state in frontier:
            for label, successor in model.steps(state):
                if not visited.add(successor, state, label):
                    continue
                detail = violation(successor)
                if detail:
                    found = Violation(detail, visited.trace(successor))
                    return SearchResult(len(visited), depth + 1, False, found)
                next_frontier.append(successor)
        if not next_frontier:
            return SearchResult(len(visited), depth, True)
        frontier = next_frontier
    return SearchResult(len(visited), max_depth, False)
