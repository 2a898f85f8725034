"""Admission of starts at one endpoint, and accounting of the endpoint's slots.

``SlotTable`` does no I/O. An attempt is admitted at most once, and a refused one
stays refused. A slot counts as in use until it is known to be free: after a restart
of the agent, or after an outcome with which the task may still be running, only the
endpoint's own count of busy slots frees it.
"""

import enum
from dataclasses import dataclass

from ..outcomes import NotRun, Reason, Unknown
from ..protocol.messages import Report
from ..state.attempts import AttemptWindow

# Shorter than the time after which a draining endpoint must get no new work, and
# longer than an idle link is silent: a start's age counts from the newest frame of
# the agent that the entry had received.
START_VALID_MS = 4_000
RETRY_AFTER_OVERLOAD_MS = 50
RETRY_AFTER_NO_CONFIGURATION_MS = 1_000


class StartDecision(enum.Enum):
    """Result of ``SlotTable.admit`` for a start that needs no report."""

    ADMITTED = "admitted"
    DUPLICATE = "seen_before"


@dataclass(slots=True)
class RunningAttempt:
    """An attempt at the endpoint; ``started_ms`` is on the agent's clock."""

    entry: bytes
    class_name: str
    started_ms: int


class SlotTable:
    """The slots of the endpoint, and the attempts that entries sent to the agent."""

    def __init__(self, clock, window=None):
        self._clock = clock
        self._window = window or AttemptWindow(clock)
        self._capacity = 0
        self._running = {}
        # Busy slots that no running attempt of this agent accounts for; None until
        # the endpoint has reported its number of busy slots.
        self._unaccounted_busy = None
        self._is_draining = False
        self._has_configuration = False

    @property
    def capacity(self):
        """Number of tasks that the endpoint runs at the same time."""
        return self._capacity

    @capacity.setter
    def capacity(self, slots):
        self._capacity = slots

    @property
    def running(self):
        """``RunningAttempt`` by task key."""
        return self._running

    @property
    def window(self):
        """The ``AttemptWindow`` with the attempts received so far."""
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
    def has_configuration(self, value):
        self._has_configuration = value

    @property
    def needs_busy_count(self):
        """Whether the endpoint has to be polled for its number of busy slots."""
        return self._unaccounted_busy != 0

    @property
    def available(self):
        """Number of slots known to be free.

        0 until the endpoint has reported its busy slots; negative if the capacity
        has shrunk below the number in use.
        """
        if self._unaccounted_busy is None:
            return 0
        return self._capacity - len(self._running) - self._unaccounted_busy

    def admit(self, entry, start, *, echo_ms, is_queue_full):
        """Admit a start, which begins once a slot is free, or refuse it.

        ``echo_ms`` is the agent's time, in ms, that the start's frame echoed. Return
        a ``StartDecision``, or a ``Report`` to send: a refusal, or the outcome of an
        attempt that is already known.
        """
        known_attempt = self._window.find(start.key)
        if known_attempt is not None:
            return self._repeated_start_result(known_attempt)
        attempt = self._window.begin(start.key, entry)
        refusal = self._refusal(echo_ms, is_queue_full)
        if refusal is not None:
            return self._end_attempt(attempt, Report(start.key, refusal))
        return StartDecision.ADMITTED

    def begin(self, entry, start):
        """Record that an admitted start is being sent to the endpoint."""
        now_ms = self._clock.now_ms()
        self._running[start.key] = RunningAttempt(entry, start.class_name, now_ms)

    def withdraw(self, key, refusal):
        """Refuse an admitted start that has not begun and return its ``Report``."""
        return self._end_attempt(self._window.find(key), Report(key, refusal))

    def finish(self, key, outcome):
        """Record the end of a running attempt and return its ``Report``."""
        running = self._running.pop(key)
        run_ms = self._clock.now_ms() - running.started_ms
        if isinstance(outcome, Unknown) and self._unaccounted_busy is not None:
            self._unaccounted_busy += 1
        return self._end_attempt(self._window.find(key), Report(key, outcome, run_ms))

    def update_busy_count(self, busy, running_at_poll):
        """Update the unaccounted slots from the endpoint's number of busy slots.

        ``running_at_poll`` is the number of this agent's running attempts when the
        poll was sent.
        """
        unaccounted = max(0, busy - running_at_poll)
        if self._unaccounted_busy is None:
            self._unaccounted_busy = unaccounted
        self._unaccounted_busy = min(self._unaccounted_busy, unaccounted)

    def resolve(self, entry, keys):
        """Return the reports that are due for attempts sent on an earlier link.

        An attempt that never arrived is recorded as ended, so that it cannot start
        later. A running attempt has no report yet.
        """
        reports = []
        for key in keys:
            attempt = self._window.find(key)
            if attempt is None:
                attempt = self._window.begin(key, entry)
                report = Report(key, self._missing_attempt_outcome(entry))
                reports.append(self._end_attempt(attempt, report))
            elif attempt.report is not None:
                reports.append(attempt.report)
            elif attempt.acknowledged:
                reports.append(Report(key, Unknown(Reason.ANSWER_EXPIRED)))
        return reports

    def _repeated_start_result(self, attempt):
        if attempt.report is not None:
            return attempt.report
        if attempt.acknowledged:
            return Report(attempt.key, Unknown(Reason.ANSWER_EXPIRED))
        return StartDecision.DUPLICATE

    def _end_attempt(self, attempt, report):
        self._window.end(attempt, report)
        return report

    def _refusal(self, echo_ms, is_queue_full):
        if self._clock.now_ms() - echo_ms > START_VALID_MS:
            return NotRun(Reason.STALE_START)
        if self._is_draining:
            return NotRun(Reason.DRAINING)
        if not self._has_configuration:
            return NotRun(Reason.NO_CONFIGURATION, RETRY_AFTER_NO_CONFIGURATION_MS)
        if is_queue_full:
            return NotRun(Reason.OVERLOADED, RETRY_AFTER_OVERLOAD_MS)
        return None

    def _missing_attempt_outcome(self, entry):
        if self._window.has_expired_unacknowledged(entry):
            return Unknown(Reason.ANSWER_EXPIRED)
        return NotRun(Reason.STALE_START)
