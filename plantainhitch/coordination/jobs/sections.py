"""Division of a pool while tasks of some queues crash their endpoints.

The jobs of such queues run in a part of the pool only, so that the others keep the
rest. Entries that know the same agents divide a pool alike without a message, because
agents are ordered by a hash of their names.
"""

import enum
import hashlib
from dataclasses import dataclass

# The part of the contained processor that isolated jobs have for themselves.
ISOLATION_SHARE = 0.25
_HASH_BYTES = 8


class Section(enum.Enum):
    """A part of a pool, by the jobs that are placed there."""

    WHOLE = enum.auto()
    # Jobs of queues that are not contained.
    OPEN = enum.auto()
    # Jobs of contained queues.
    CONTAINED = enum.auto()
    # Isolated jobs of contained queues.
    ISOLATION = enum.auto()
    # Isolated jobs of other queues: the two sections above.
    ANY_CONTAINED = enum.auto()


@dataclass(frozen=True, slots=True)
class Division:
    """How pools are divided.

    ``contained_share`` is the share of the processor outside the open section, and
    ``first_names`` are the names of agents that belong there before all others.
    """

    contained_share: float = 0.0
    first_names: frozenset[str] = frozenset()


def divide(agents, division):
    """Return sets of the names of agents by ``Section``, without ``WHOLE``.

    ``agents`` are all of a pool that are known, ready or not, as ``AgentView``. The
    open section and the rest have at least one agent each, if there are two.
    """
    first_names = division.first_names
    ordered = sorted(
        agents, key=lambda agent: (agent.name not in first_names, _hash(agent.name))
    )
    contained = _take(
        ordered, division.contained_share, max_count=max(len(ordered) - 1, 1)
    )
    # The last ones, which have not crashed: proofs wait for no restart then.
    isolation = _take(contained[::-1], ISOLATION_SHARE, max_count=len(contained))
    others = contained[: -len(isolation)] or contained
    return {
        Section.OPEN: {agent.name for agent in ordered[len(contained) :]},
        Section.CONTAINED: {agent.name for agent in others},
        Section.ISOLATION: {agent.name for agent in isolation},
        Section.ANY_CONTAINED: {agent.name for agent in contained},
    }


def _take(agents, share, max_count):
    """Return the first agents that have about a share of the processor of all.

    How fast the endpoints are is not considered, since the entries' estimates differ.
    """
    wanted_millis = share * sum(agent.status.capacity.cpu_millis for agent in agents)
    taken, taken_millis = [], 0
    for agent in agents[:max_count]:
        millis = agent.status.capacity.cpu_millis
        if taken and taken_millis + millis / 2 > wanted_millis:
            break
        taken.append(agent)
        taken_millis += millis
    return taken


def _hash(name):
    return hashlib.blake2b(name.encode(), digest_size=_HASH_BYTES).digest()
