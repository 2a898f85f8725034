"""What an agent knows of its endpoint: announced, reachable, or gone."""

from .. import logs

# An endpoint announces itself every 5 s.
ANNOUNCEMENT_LIMIT_MS = 12_000
# Unanswered questions in a row after which the endpoint counts as gone.
MAX_UNANSWERED = 2

log = logs.get_logger("agent")


class EndpointWatch:
    """Judges by announcements, and by questions whether the endpoint is there."""

    def __init__(self, clock):
        self._clock = clock
        self._endpoint = None
        self._is_reachable = False
        self._heard_ms = 0
        self._unanswered = 0
        self._is_suspect = False

    @property
    def endpoint(self):
        """The ``EndpointInfo`` as last announced, or None."""
        return self._endpoint

    @property
    def is_ready(self):
        """Whether tasks can be run now."""
        return self._endpoint is not None and self._is_reachable

    @property
    def is_doubtful(self):
        """Whether the endpoint is to be asked if it is still there."""
        if self._endpoint is None:
            return False
        silent_ms = self._clock.now_ms() - self._heard_ms
        return (
            self._is_suspect
            or not self._is_reachable
            or silent_ms > ANNOUNCEMENT_LIMIT_MS
        )

    def announced(self, endpoint):
        """Take in an announcement."""
        if self._endpoint != endpoint:
            log.info("endpoint announced", endpoint=endpoint.name, slots=endpoint.slots)
        self._endpoint = endpoint
        self._heard_ms = self._clock.now_ms()

    def suspect(self):
        """Note that the endpoint refused a connection or lost one."""
        self._is_suspect = True

    def answered(self):
        """Note that the endpoint has answered a question."""
        self._unanswered = 0
        self._is_suspect = False
        self._heard_ms = self._clock.now_ms()
        self._set_reachable(True)

    def kept_silent(self):
        """Note an unanswered question; return whether the endpoint is now gone."""
        self._unanswered += 1
        if self._unanswered < MAX_UNANSWERED or not self._is_reachable:
            return False
        self._set_reachable(False)
        return True

    def _set_reachable(self, reachable):
        if reachable != self._is_reachable:
            self._is_reachable = reachable
            log.notice("endpoint reachable" if reachable else "endpoint unreachable")
