"""The attempts that an agent has seen, and the reports it keeps for entries.

An attempt stays known while its report may still be asked for, and after that for
longer than a start frame is valid, so that no attempt is ever taken twice. Where
an attempt had to be forgotten earlier, that is remembered for the entry: from
then on "never seen" proves nothing for it.
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
    """One attempt taken or refused; ``report`` is None while it runs."""

    key: TaskKey
    entry: bytes
    seen_ms: int
    report: Report | None = None
    ended_ms: int = 0
    acknowledged: bool = False

    @property
    def body_bytes(self):
        """Bytes of the answer kept with the report."""
        if self.report is None or not isinstance(self.report.outcome, Succeeded):
            return 0
        return len(self.report.outcome.body)


class AttemptWindow:
    """Attempts by key, bounded in time and in bytes of kept answers."""

    def __init__(self, clock, *, max_body_bytes=MAX_BODY_BYTES):
        self._clock = clock
        self._max_body_bytes = max_body_bytes
        self._attempts = {}
        # Ended attempts, oldest end first.
        self._unacknowledged = collections.OrderedDict()
        self._acknowledged = collections.deque()
        self._body_bytes = 0
        self._entries_with_expired = set()

    @property
    def body_bytes(self):
        """Bytes of answers that are kept."""
        return self._body_bytes

    def __len__(self):
        return len(self._attempts)

    def find(self, key):
        """Return the ``Attempt`` with this key, or None."""
        return self._attempts.get(key)

    def has_expired_unacknowledged(self, entry):
        """Return whether an attempt of ``entry`` was forgotten unacknowledged."""
        return entry in self._entries_with_expired

    def begin(self, key, entry):
        """Note an attempt that is being taken or refused; return it."""
        if key in self._attempts:
            raise ValueError(f"attempt seen before: {key}")
        attempt = Attempt(key, entry, self._clock.now_ms())
        self._attempts[key] = attempt
        return attempt

    def end(self, attempt, report):
        """Keep the report of an attempt until it is acknowledged."""
        attempt.report = report
        attempt.ended_ms = self._clock.now_ms()
        self._unacknowledged[attempt.key] = attempt
        self._body_bytes += attempt.body_bytes
        while self._body_bytes > self._max_body_bytes and self._drop_oldest_body():
            pass

    def acknowledge(self, key):
        """Drop the report of an attempt: its entry has it."""
        attempt = self._unacknowledged.pop(key, None)
        if attempt is None:
            return
        self._body_bytes -= attempt.body_bytes
        attempt.report = None
        attempt.acknowledged = True
        self._acknowledged.append((self._clock.now_ms(), key))

    def discard_entry(self, entry):
        """Drop all ended attempts of an entry that is gone for good."""
        for attempt in list(self._unacknowledged.values()):
            if attempt.entry == entry:
                self.acknowledge(attempt.key)

    def expire(self):
        """Forget what has been kept for long enough; call it now and then."""
        now_ms = self._clock.now_ms()
        while self._acknowledged:
            since_ms, key = self._acknowledged[0]
            if now_ms - since_ms <= ACKNOWLEDGED_KEPT_MS:
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
            self._drop_body(attempt)

    def _drop_oldest_body(self):
        for attempt in self._unacknowledged.values():
            if attempt.body_bytes:
                self._drop_body(attempt)
                return True
        return False

    def _drop_body(self, attempt):
        if not attempt.body_bytes:
            return
        self._body_bytes -= attempt.body_bytes
        attempt.report = Report(
            attempt.key, Unknown(Reason.ANSWER_EXPIRED), attempt.report.run_ms
        )
