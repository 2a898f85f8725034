"""The availability zones in which no task is to be started."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class EvacuatedZones:
    """The evacuated zones at one version of the store.

    ``revision`` is the store's version at the read that gave ``zones``. All sets come
    from complete reads, so two sets of one revision are equal, and of two revisions
    the higher one is the later state.
    """

    revision: int
    zones: frozenset[str] = frozenset()
