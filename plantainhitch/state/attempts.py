"""Deduplication window of an agent: the attempts it has seen, and their reports.

An attempt is recorded while its entry may still ask for its report, and after that
for longer than a start frame is valid, so that no attempt is accepted twice. If an
attempt expires before its report is acknowledged, the window records its entry: that
an attempt of this entry is unknown no longer proves that it was never seen.
"""

import collections
from dataclasses import dataclass

from ..outcomes import Reason, Succeeded, Unknown
from ..protocol.messages import Report, TaskKey

# Longer than any start frame is valid.
ACKNOWLEDGED_KEPT_MS = 30_000
UNACKNOWLEDGED_KEPT_MS = 3_600_000
BODY_KEPT_MS = 600_000
MAX_BODY_BYTES = 8 * 1024 * 1024


@dataclass(slots=True)
class Attempt:
    """One accepted or refused attempt.

    ``report`` is None while the attempt runs and once its report is acknowledged.
    """

    key: TaskKey
    entry: bytes
    report: Report | None = None
    ended_ms: int = 0
    acknowledged: bool = False

    @property
    def body_bytes(self):
        """The size of the answer kept with the report, in bytes."""
        if self.report is None or not isinstance(self.report.outcome, Succeeded):
            return 0
        return len(self.report.outcome.body)


class AttemptWindow:
    """Attempts by key, limited in age and in the bytes of kept answers."""

    def __init__(self, clock, *, max_body_bytes=MAX_BODY_BYTES):
        self._clock = clock
        self._max_body_bytes = max_body_bytes
        self._attempts = {}
        # Ended attempts, the earliest end first.
        self._unacknowledged = collections.OrderedDict()
        self._acknowledged = collections.deque()
        self._body_bytes = 0
        self._entries_with_expired = set()

    @property
    def body_bytes(self):
        """The size of all kept answers, in bytes."""
        return self._body_bytes

    def __len__(self):
        return len(self._attempts)

    def find(self, key):
        """Return the ``Attempt`` with this key, or None."""
        return self._attempts.get(key)

    def has_expired_unacknowledged(self, entry):
        """Return whether an attempt of ``entry`` expired before acknowledgement."""
        return entry in self._entries_with_expired

    def begin(self, key, entry):
        """Record and return a new attempt; raise ValueError if it is known."""
        if key in self._attempts:
            raise ValueError(f"attempt already recorded: {key}")
        attempt = Attempt(key, entry)
        self._attempts[key] = attempt
        return attempt

    def end(self, attempt, report):
        """Keep the report of an attempt until it is acknowledged."""
        attempt.report = report
        attempt.ended_ms = self._clock.now_ms()
        self._unacknowledged[attempt.key] = attempt
        self._body_bytes += attempt.body_bytes
        while self._body_bytes > self._max_body_bytes and self._discard_oldest_body():
            pass

    def acknowledge(self, key):
        """Discard the report of an attempt, which its entry has received."""
        attempt = self._unacknowledged.pop(key, None)
        if attempt is None:
            return
        self._body_bytes -= attempt.body_bytes
        attempt.report = None
        attempt.acknowledged = True
        self._acknowledged.append((self._clock.now_ms(), key))

    def discard_entry(self, entry):
        """Discard the reports kept for an entry that has terminated."""
        for attempt in list(self._unacknowledged.values()):
            if attempt.entry == entry:
                self.acknowledge(attempt.key)

    def expire(self):
        """Remove attempts and answers past their retention; to be called regularly."""
        now_ms = self._clock.now_ms()
        while self._acknowledged:
            acknowledged_ms, key = self._acknowledged[0]
            if now_ms - acknowledged_ms <= ACKNOWLEDGED_KEPT_MS:
                break
            self._acknowledged.popleft()
            del self._attempts[key]
        self._expire_unacknowledged(now_ms)

    def _expire_unacknowledged(self, now_ms):
        while self._unacknowledged:
            attempt = next(iter(self._unacknowledged.values()))
            if now_ms - attempt.ended_ms <= UNACKNOWLEDGED_KEPT_MS:
                break
            self._body_bytes -= attempt.body_bytes
            del self._unacknowledged[attempt.key]
            del self._attempts[attempt.key]
            self._entries_with_expired.add(attempt.entry)
        for attempt in self._unacknowledged.values():
            if now_ms - attempt.ended_ms <= BODY_KEPT_MS:
                break
            self._discard_body(attempt)

    def _discard_oldest_body(self):
        """Discard the oldest kept answer; return whether there was one."""
        for attempt in self._unacknowledged.values():
            if attempt.body_bytes:
                self._discard_body(attempt)
                return True
        return False

    def _discard_body(self, attempt):
        if not attempt.body_bytes:
            return
        self._body_bytes -= attempt.body_bytes
        attempt.report = Report(
            attempt.key, Unknown(Reason.ANSWER_EXPIRED), attempt.report.run_ms
        )
