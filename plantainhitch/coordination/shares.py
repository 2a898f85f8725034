"""Fair sharing of an endpoint's slots between classes, with quotas for teams.

Shares are measured in slot time. A class below the share that it may claim goes
first, the one with the shortest target before others; the remaining slots are
divided in proportion to the claims. Slot time is averaged over an exponentially
decaying window, so that a share smaller than one slot is kept over time. Every agent
does this for its own slots, which keeps the shares of the whole fleet without any
coordination between agents.
"""

import math
from dataclasses import dataclass

from ..state.classes import ClassDefinition

USAGE_WINDOW_MS = 1_000
# The least weight of a class, as a share of all slots: that of one without a claim.
MIN_WEIGHT = 0.02
DEFAULT_TARGET_MS = 60_000
RUN_TIME_SMOOTHING = 0.1
ACTIVE_WINDOW_MS = 30_000


@dataclass(slots=True)
class _Usage:
    """The number of held slots, and its decaying average as of ``updated_ms``."""

    held_slots: int = 0
    average_slots: float = 0.0
    updated_ms: int = 0

    def update_average(self, now_ms):
        """Advance the average to ``now_ms`` and return it."""
        if now_ms > self.updated_ms:
            decay = math.exp((self.updated_ms - now_ms) / USAGE_WINDOW_MS)
            self.average_slots = self.average_slots * decay + self.held_slots * (
                1 - decay
            )
            self.updated_ms = now_ms
        return self.average_slots


@dataclass(slots=True)
class _RunTime:
    """The mean run time of a class here, and when it last had tasks to run."""

    mean_ms: float = 0.0
    last_active_ms: int = 0


class FairShares:
    """Accounts for the slots of each class and team, and orders the classes."""

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
        """The number of slots of the endpoint."""
        return self._slots

    @slots.setter
    def slots(self, count):
        self._slots = count

    def configure(self, document):
        """Apply the classes and teams of a ``ClassDocument``."""
        now_ms = self._clock.now_ms()
        self._classes = dict(document.classes)
        self._teams = dict(document.teams)
        self._team_usage = {}
        for name, usage in self._class_usage.items():
            team = self._definition_of(name).team
            self._team_usage_of(team).held_slots += usage.held_slots
            self._team_usage_of(team).average_slots += usage.update_average(now_ms)

    def acquire(self, class_name):
        """Count one more slot as held by the class."""
        self._adjust_held_slots(class_name, 1)

    def release(self, class_name):
        """Count one slot less as held by the class; ValueError if it holds none."""
        self._adjust_held_slots(class_name, -1)

    def record_run_time(self, class_name, run_ms):
        """Update the mean run time of the class with that of a task, in ms."""
        run_time = self._run_time_of(class_name)
        if not run_time.mean_ms:
            run_time.mean_ms = run_ms
        run_time.mean_ms += RUN_TIME_SMOOTHING * (run_ms - run_time.mean_ms)

    def record_demand(self, class_name):
        """Record that the class has tasks to run now."""
        self._run_time_of(class_name).last_active_ms = self._clock.now_ms()

    def held_slots(self, class_name):
        """Return the number of slots that the class holds now."""
        usage = self._class_usage.get(class_name)
        return usage.held_slots if usage else 0

    def has_quota(self, class_name):
        """Return whether a quota limits the team of the class."""
        return self._quota_of(self._definition_of(class_name).team) < 1.0

    def is_within_quota(self, class_name):
        """Return whether the quota of the class's team allows one more slot."""
        team = self._definition_of(class_name).team
        quota = self._quota_of(team)
        if quota >= 1.0:
            return True
        usage = self._team_usage_of(team)
        max_slots = quota * self._slots
        if usage.held_slots + 1 <= max_slots:
            return True
        # A quota with a fraction of a slot gets a whole slot for part of the time.
        return (
            usage.held_slots < math.ceil(max_slots)
            and usage.update_average(self._now_ms()) < max_slots
        )

    def is_below_share(self, class_name):
        """Return whether the class holds, and has held, less than it may claim."""
        claimed_slots = self._definition_of(class_name).claims_at_least * self._slots
        usage = self._usage_of(class_name)
        return (
            usage.held_slots < math.ceil(claimed_slots)
            and usage.update_average(self._now_ms()) < claimed_slots
        )

    def sort_key(self, class_name):
        """Return the sort key of a class; the smallest gets the next free slot."""
        definition = self._definition_of(class_name)
        average_slots = self._usage_of(class_name).update_average(self._now_ms())
        weight = max(definition.claims_at_least, MIN_WEIGHT)
        if self.is_below_share(class_name):
            return (0, definition.answers_within_ms, average_slots / weight)
        return (1, average_slots / weight, definition.answers_within_ms)

    def expected_slot_wait_ms(self, class_name):
        """Return the expected ms until a slot is free if the class holds all."""
        return self._run_time_of(class_name).mean_ms / max(self._slots, 1)

    def tightest_target_below_share_ms(self, excluded_class):
        """Return the shortest target in ms of recently active classes below share.

        ``excluded_class`` isn't considered. None if there is no such class.
        """
        since_ms = self._now_ms() - ACTIVE_WINDOW_MS
        targets = [
            self._definition_of(name).answers_within_ms
            for name, run_time in self._run_times.items()
            if name != excluded_class
            and run_time.last_active_ms >= since_ms
            and self.is_below_share(name)
        ]
        return min(targets, default=None)

    def _adjust_held_slots(self, class_name, count):
        now_ms = self._now_ms()
        usage = self._usage_of(class_name)
        usage.update_average(now_ms)
        usage.held_slots += count
        if usage.held_slots < 0:
            raise ValueError(f"class {class_name!r} holds {usage.held_slots} slots")
        if self.has_quota(class_name):
            team = self._team_usage_of(self._definition_of(class_name).team)
            team.update_average(now_ms)
            team.held_slots += count

    def _now_ms(self):
        return self._clock.now_ms()

    def _definition_of(self, class_name):
        known = self._classes.get(class_name)
        return known or ClassDefinition(class_name, DEFAULT_TARGET_MS)

    def _quota_of(self, team):
        known = self._teams.get(team)
        return known.holds_at_most if known else 1.0

    def _usage_of(self, class_name):
        if class_name not in self._class_usage:
            self._class_usage[class_name] = _Usage(updated_ms=self._now_ms())
        return self._class_usage[class_name]

    def _team_usage_of(self, team):
        if team not in self._team_usage:
            self._team_usage[team] = _Usage(updated_ms=self._now_ms())
        return self._team_usage[team]

    def _run_time_of(self, class_name):
        if class_name not in self._run_times:
            self._run_times[class_name] = _RunTime(last_active_ms=self._now_ms())
        return self._run_times[class_name]
