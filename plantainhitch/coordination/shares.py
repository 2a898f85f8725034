"""Who gets the next free slot of an endpoint.

Fair shares by slot time: a class below the share that it may claim goes first,
earliest target first; what is left is divided in proportion to the claims. Slot
time is averaged over a decaying window, so that a share smaller than one slot is
kept over time. Every agent does this for its own slots, which keeps the shares of
the whole fleet without any agreement between agents.
"""

import math
from dataclasses import dataclass

from ..state.classes import ClassDefinition

USAGE_WINDOW_MS = 1_000
# What a class without a claim weighs beside those that have one.
MIN_WEIGHT = 0.02
DEFAULT_TARGET_MS = 60_000
RUN_TIME_SMOOTHING = 0.1
RECENTLY_ACTIVE_MS = 30_000


@dataclass(slots=True)
class _Usage:
    """Slots held now, and their decaying average at ``at_ms``."""

    held_slots: int = 0
    average: float = 0.0
    at_ms: int = 0

    def settle(self, now_ms):
        """Bring the average up to now."""
        if now_ms > self.at_ms:
            kept = math.exp((self.at_ms - now_ms) / USAGE_WINDOW_MS)
            self.average = self.average * kept + self.held_slots * (1 - kept)
            self.at_ms = now_ms
        return self.average


@dataclass(slots=True)
class _RunTime:
    """Mean run time of a class here, and when it last ran or was wanted."""

    mean_ms: float = 0.0
    active_ms: int = 0


class FairShares:
    """Slots held by each class and team, and the order among classes."""

    def __init__(self, clock):
        self._clock = clock
        self._slots = 0
        self._classes = {}
        self._teams = {}
        self._class_usage = {}
        self._team_usage = {}
        self._run_times = {}

    @property
    def slots(self):
        """How many slots there are to share."""
        return self._slots

    @slots.setter
    def slots(self, count):
        self._slots = count

    def configure(self, document):
        """Take the classes and teams of a ``ClassDocument``."""
        now_ms = self._clock.now_ms()
        self._classes = dict(document.classes)
        self._teams = dict(document.teams)
        self._team_usage = {}
        for name, usage in self._class_usage.items():
            team = self._definition(name).team
            self._team(team).held_slots += usage.held_slots
            self._team(team).average += usage.settle(now_ms)

    def acquire(self, class_name):
        """Note that the class holds one slot more."""
        self._change(class_name, 1)

    def release(self, class_name):
        """Note that the class holds one slot less."""
        self._change(class_name, -1)

    def record_run_time(self, class_name, run_ms):
        """Learn from the run time of a task that has ended."""
        times = self._run_time(class_name)
        if not times.mean_ms:
            times.mean_ms = run_ms
        times.mean_ms += RUN_TIME_SMOOTHING * (run_ms - times.mean_ms)

    def record_demand(self, class_name):
        """Note that tasks of the class are there to run."""
        self._run_time(class_name).active_ms = self._clock.now_ms()

    def held_slots(self, class_name):
        """Return the slots that the class holds now."""
        usage = self._class_usage.get(class_name)
        return usage.held_slots if usage else 0

    def has_quota(self, class_name):
        """Return whether the class's team may hold less than all slots."""
        return self._quota(self._definition(class_name).team) < 1.0

    def is_within_quota(self, class_name):
        """Return whether the quota of the class's team leaves it one slot more."""
        team = self._definition(class_name).team
        quota = self._quota(team)
        if quota >= 1.0:
            return True
        usage = self._team(team)
        most = quota * self._slots
        if usage.held_slots + 1 <= most:
            return True
        # A fraction of a slot is held as a whole one for a part of the time.
        return usage.held_slots < math.ceil(most) and usage.settle(self._now()) < most

    def is_below_share(self, class_name):
        """Return whether the class has had less than it may claim."""
        claimed = self._definition(class_name).claims_at_least * self._slots
        usage = self._usage(class_name)
        return (
            usage.held_slots < math.ceil(claimed)
            and usage.settle(self._now()) < claimed
        )

    def sort_key(self, class_name):
        """Return the sort key of a class; the smallest gets the next free slot."""
        definition = self._definition(class_name)
        average = self._usage(class_name).settle(self._now())
        weight = max(definition.claims_at_least, MIN_WEIGHT)
        if self.is_below_share(class_name):
            return (0, definition.answers_within_ms, average / weight)
        return (1, average / weight, definition.answers_within_ms)

    def next_free_ms(self, class_name):
        """Return how long the next slot takes to free if the class holds all."""
        return self._run_time(class_name).mean_ms / max(self._slots, 1)

    def tightest_waiting_target_ms(self, besides):
        """Return the least target among recently active classes below their share.

        ``besides`` is left out; None where there is no such class.
        """
        since_ms = self._now() - RECENTLY_ACTIVE_MS
        targets = [
            self._definition(name).answers_within_ms
            for name, times in self._run_times.items()
            if name != besides
            and times.active_ms >= since_ms
            and self.is_below_share(name)
        ]
        return min(targets, default=None)

    def _change(self, class_name, count):
        now_ms = self._now()
        usage = self._usage(class_name)
        usage.settle(now_ms)
        usage.held_slots += count
        if usage.held_slots < 0:
            raise ValueError(f"class {class_name!r} holds {usage.held_slots} slots")
        if self.has_quota(class_name):
            team = self._team(self._definition(class_name).team)
            team.settle(now_ms)
            team.held_slots += count

    def _now(self):
        return self._clock.now_ms()

    def _definition(self, class_name):
        known = self._classes.get(class_name)
        return known or ClassDefinition(class_name, DEFAULT_TARGET_MS)

    def _quota(self, team):
        known = self._teams.get(team)
        return known.holds_at_most if known else 1.0

    def _usage(self, class_name):
        if class_name not in self._class_usage:
            self._class_usage[class_name] = _Usage(at_ms=self._now())
        return self._class_usage[class_name]

    def _team(self, team):
        if team not in self._team_usage:
            self._team_usage[team] = _Usage(at_ms=self._now())
        return self._team_usage[team]

    def _run_time(self, class_name):
        if class_name not in self._run_times:
            self._run_times[class_name] = _RunTime(active_ms=self._now())
        return self._run_times[class_name]
