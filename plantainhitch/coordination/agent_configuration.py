"""Configuration of an agent: the version in force, and requests for newer ones.

Entries announce a new version by its number only. The agent requests the document
from one of them, and from another one if no document arrives in time. Each agent
thus receives a document once, no matter how many entries it is linked to.
"""

from dataclasses import dataclass

from .. import logs
from ..protocol import messages as m
from ..state.classes import NO_VERSION, ClassDocument

# After this time without an answer another entry is asked for the document.
REQUEST_TIMEOUT_MS = 1_000

log = logs.get_logger("agent")


@dataclass(frozen=True, slots=True)
class _DocumentRequest:
    """A pending request for a document: the link it went to, and when it was sent."""

    link: int
    sent_ms: int


class AgentConfiguration:
    """The newest document received, and the newest version known at each entry.

    Methods that return messages return pairs of a link number and the
    ``m.Configuration`` to send on that link.
    """

    def __init__(self, clock):
        self._clock = clock
        self._document = None
        # By link number: the newest version known to be at the entry.
        self._version_by_link = {}
        self._request = None

    @property
    def document(self):
        """The ``ClassDocument`` in force, or None."""
        return self._document

    @property
    def version(self):
        """The version in force, ``NO_VERSION`` if there is none."""
        return self._document.version if self._document else NO_VERSION

    def add_link(self, number, version):
        """Add a link whose entry has ``version``; return the messages to send.

        An entry with an older version is sent the document in force.
        """
        self._version_by_link[number] = version
        if version < self.version:
            self._version_by_link[number] = self.version
            document = self._document.to_json()
            return [(number, m.Configuration(self.version, document))]
        return self.request_newer()

    def remove_link(self, number):
        """Remove a link that has ended, together with a request pending on it."""
        self._version_by_link.pop(number, None)
        if self._request and self._request.link == number:
            self._request = None

    def handle_message(self, number, message):
        """Process an announced version or a document from an entry.

        Return whether the document is now in force, and the messages to send.
        """
        self._version_by_link[number] = max(
            self._version_by_link.get(number, 0), message.version
        )
        is_adopted = bool(message.document) and self._adopt(message)
        return is_adopted, self.request_newer()

    def request_newer(self):
        """Request the document from an entry that has a newer version.

        Return the messages to send: none while an earlier request is pending. After
        ``REQUEST_TIMEOUT_MS`` another entry is preferred to the one asked last.
        """
        newer_links = [
            number
            for number, version in self._version_by_link.items()
            if version > self.version
        ]
        if not newer_links:
            self._request = None
            return []
        now_ms = self._clock.now_ms()
        last_request = self._request
        if last_request and now_ms - last_request.sent_ms < REQUEST_TIMEOUT_MS:
            return []
        other_links = [
            number
            for number in newer_links
            if not last_request or number != last_request.link
        ]
        self._request = _DocumentRequest((other_links or newer_links)[0], now_ms)
        return [(self._request.link, m.Configuration(self.version, b""))]

    def _adopt(self, message):
        """Put the document in force if it is newer; return whether it was."""
        if message.version <= self.version:
            return False
        try:
            self._document = ClassDocument.from_json(message.document)
        except (ValueError, TypeError) as error:
            log.error(
                "configuration document unreadable",
                version=message.version,
                why=str(error),
            )
            return False
        log.info("configuration in force", version=message.version)
        return True
