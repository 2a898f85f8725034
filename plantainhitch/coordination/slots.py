"""Takes or refuses starts at one endpoint and counts its slots.

A plain class driven by messages and the clock. An attempt is taken at most once;
what has been refused stays refused. A slot counts as in use until it is known to
be free: after a restart of the agent, or an outcome that leaves the task perhaps
running, only the endpoint's own count of busy slots frees it.
"""

import enum
from dataclasses import dataclass

from ..outcomes import NotRun, Reason, Unknown
from ..protocol.messages import Report
from ..state.attempts import AttemptWindow

# Shorter than the time after which a draining endpoint must get no new work, and
# longer than an idle link is silent.
START_VALID_MS = 4_000
RETRY_SOON_MS = 50
RETRY_LATER_MS = 1_000


class StartDecision(enum.Enum):
    """What is to be done with a start that is not refused."""

    ADMITTED = "admitted"
    DUPLICATE = "seen_before"


@dataclass(slots=True)
class RunningAttempt:
    """A task at the endpoint; ``started_ms`` is on the agent's clock."""

    entry: bytes
    class_name: str
    started_ms: int


class SlotTable:
    """The slots of the endpoint and the attempts that were sent to it."""

    def __init__(self, clock, window=None):
        self._clock = clock
        self._window = window or AttemptWindow(clock)
        self._capacity = 0
        self._running = {}
        # Busy slots that no running attempt of ours accounts for; None until the
        # endpoint has said how many there are.
        self._unaccounted = None
        self._is_draining = False
        self._has_configuration = False

    @property
    def capacity(self):
        """How many tasks the endpoint takes at once."""
        return self._capacity

    @capacity.setter
    def capacity(self, slots):
        self._capacity = slots

    @property
    def running(self):
        """Running tasks by key."""
        return self._running

    @property
    def window(self):
        """The attempts seen so far."""
        return self._window

    @property
    def is_draining(self):
        """Whether new starts are refused."""
        return self._is_draining

    @is_draining.setter
    def is_draining(self, draining):
        self._is_draining = draining

    @property
    def has_configuration(self):
        """Whether a class document is in force."""
        return self._has_configuration

    @has_configuration.setter
    def has_configuration(self, known):
        self._has_configuration = known

    @property
    def needs_busy_count(self):
        """Whether the endpoint has to be asked how many slots are busy."""
        return self._unaccounted != 0

    @property
    def available(self):
        """Slots neither in use nor perhaps in use."""
        if self._unaccounted is None:
            return 0
        return self._capacity - len(self._running) - self._unaccounted

    def admit(self, entry, start, *, echo_ms, is_queue_full):
        """Admit a start, to be begun once a slot is free, or refuse it.

        Return a ``StartDecision``, or a ``Report`` to send: of a refusal, or of the end
        of an attempt that has been seen before.
        """
        known = self._window.find(start.key)
        if known is not None:
            return self._seen_before(known)
        attempt = self._window.begin(start.key, entry)
        refusal = self._refusal(echo_ms, is_queue_full)
        if refusal is not None:
            return self._end(attempt, Report(start.key, refusal))
        return StartDecision.ADMITTED

    def begin(self, entry, start):
        """Note that an admitted start is being sent to the endpoint."""
        now_ms = self._clock.now_ms()
        self._running[start.key] = RunningAttempt(entry, start.class_name, now_ms)

    def withdraw(self, key, refusal):
        """Refuse an admitted start that has not begun; return its ``Report``."""
        return self._end(self._window.find(key), Report(key, refusal))

    def finish(self, key, outcome):
        """Note the end of a running attempt; return its ``Report``."""
        running = self._running.pop(key)
        run_ms = self._clock.now_ms() - running.started_ms
        if isinstance(outcome, Unknown) and self._unaccounted is not None:
            self._unaccounted += 1
        return self._end(self._window.find(key), Report(key, outcome, run_ms))

    def update_busy_count(self, busy, running_when_asked):
        """Take the endpoint's count of busy slots.

        ``running_when_asked`` is the number of our running attempts when the
        question was sent.
        """
        others = max(0, busy - running_when_asked)
        if self._unaccounted is None:
            self._unaccounted = others
        self._unaccounted = min(self._unaccounted, others)

    def resolve(self, entry, keys):
        """Return the reports that are due for attempts of an earlier link."""
        reports = []
        for key in keys:
            attempt = self._window.find(key)
            if attempt is None:
                attempt = self._window.begin(key, entry)
                report = Report(key, self._never_seen(entry))
                reports.append(self._end(attempt, report))
            elif attempt.report is not None:
                reports.append(attempt.report)
            elif attempt.acknowledged:
                reports.append(Report(key, Unknown(Reason.ANSWER_EXPIRED)))
        return reports

    def _seen_before(self, attempt):
        if attempt.report is not None:
            return attempt.report
        if attempt.acknowledged:
            return Report(attempt.key, Unknown(Reason.ANSWER_EXPIRED))
        return StartDecision.DUPLICATE

    def _end(self, attempt, report):
        self._window.end(attempt, report)
        return report

    def _refusal(self, echo_ms, is_queue_full):
        if self._clock.now_ms() - echo_ms > START_VALID_MS:
            return NotRun(Reason.STALE_START)
        if self._is_draining:
            return NotRun(Reason.DRAINING)
        if not self._has_configuration:
            return NotRun(Reason.NO_CONFIGURATION, RETRY_LATER_MS)
        if is_queue_full:
            return NotRun(Reason.OVERLOADED, RETRY_SOON_MS)
        return None

    def _never_seen(self, entry):
        if self._window.has_expired_unacknowledged(entry):
            return Unknown(Reason.ANSWER_EXPIRED)
        return NotRun(Reason.STALE_START)
