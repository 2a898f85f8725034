"""Failure detector of an agent for its endpoint."""

from .. import logs

# An endpoint announces itself every 5 s, so one lost announcement is tolerated.
ANNOUNCEMENT_TIMEOUT_MS = 12_000
# Consecutive unanswered polls after which the endpoint counts as unreachable.
MAX_MISSED_POLLS = 2

log = logs.get_logger("agent")


class EndpointMonitor:
    """Tracks the endpoint by its announcements and by its answers to polls.

    The endpoint is ready once it has been announced and has answered a poll.
    """

    def __init__(self, clock):
        self._clock = clock
        self._endpoint = None
        self._is_reachable = False
        self._last_heard_ms = 0
        self._missed_polls = 0
        self._is_suspect = False

    @property
    def endpoint(self):
        """The ``EndpointInfo`` of the last announcement, or None."""
        return self._endpoint

    @property
    def is_ready(self):
        """Whether the endpoint is announced and reachable."""
        return self._endpoint is not None and self._is_reachable

    @property
    def needs_poll(self):
        """Whether the endpoint has to be polled to find out if it is reachable."""
        if self._endpoint is None:
            return False
        silent_ms = self._clock.now_ms() - self._last_heard_ms
        return (
            self._is_suspect
            or not self._is_reachable
            or silent_ms > ANNOUNCEMENT_TIMEOUT_MS
        )

    def record_announcement(self, endpoint):
        """Record an announcement of the endpoint."""
        if self._endpoint != endpoint:
            log.info("endpoint announced", endpoint=endpoint.name, slots=endpoint.slots)
        self._endpoint = endpoint
        self._last_heard_ms = self._clock.now_ms()

    def mark_suspect(self):
        """Record that the endpoint refused or lost a connection.

        It has to be polled until it answers.
        """
        self._is_suspect = True

    def record_poll_answer(self):
        """Record that the endpoint has answered a poll."""
        self._missed_polls = 0
        self._is_suspect = False
        self._last_heard_ms = self._clock.now_ms()
        self._set_reachable(True)

    def record_missed_poll(self):
        """Record an unanswered poll.

        Return whether the endpoint has become unreachable by it.
        """
        self._missed_polls += 1
        if self._missed_polls < MAX_MISSED_POLLS or not self._is_reachable:
            return False
        self._set_reachable(False)
        return True

    def _set_reachable(self, reachable):
        if reachable != self._is_reachable:
            self._is_reachable = reachable
            log.notice("endpoint reachable" if reachable else "endpoint unreachable")
