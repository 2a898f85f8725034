"""The configuration of an agent: which version is in force, whom to ask for more.

Entries only name a new version; the agent asks one of them for the document, and
another one if it does not come. So each agent receives a document once, however
many entries it is linked to.
"""

from dataclasses import dataclass

from .. import logs
from ..protocol import messages as m
from ..state.classes import NO_VERSION, ClassDocument

# An entry that has not answered by then is passed over for another one.
ASK_AGAIN_MS = 1_000

log = logs.get_logger("agent")


@dataclass(frozen=True, slots=True)
class Asked:
    """The link that was asked for a document, and when."""

    link: int
    at_ms: int


class AgentConfiguration:
    """The newest document known, and the versions that entries have named.

    Methods return the ``m.Configuration`` to send, by link number.
    """

    def __init__(self, clock):
        self._clock = clock
        self._document = None
        # The newest version known to be at the entry of each link.
        self._versions = {}
        self._asked = None

    @property
    def document(self):
        """The ``ClassDocument`` in force, or None."""
        return self._document

    @property
    def version(self):
        """The version in force, ``NO_VERSION`` without one."""
        return self._document.version if self._document else NO_VERSION

    def open_link(self, number, version):
        """Note a new link and the version at its entry."""
        self._versions[number] = version
        if version < self.version:
            self._versions[number] = self.version
            document = self._document.to_json()
            return [(number, m.Configuration(self.version, document))]
        return self.ask()

    def end_link(self, number):
        """Forget a link that has ended."""
        self._versions.pop(number, None)
        if self._asked and self._asked.link == number:
            self._asked = None

    def hear(self, number, message):
        """Take in a version that was named or sent; return (taken, to send)."""
        self._versions[number] = max(self._versions.get(number, 0), message.version)
        is_taken = bool(message.document) and self._take(message)
        return is_taken, self.ask()

    def ask(self):
        """Ask an entry that has a newer version, unless one has just been asked."""
        ahead = [n for n, version in self._versions.items() if version > self.version]
        if not ahead:
            self._asked = None
            return []
        now_ms = self._clock.now_ms()
        last = self._asked
        if last and now_ms - last.at_ms < ASK_AGAIN_MS:
            return []
        others = [number for number in ahead if not last or number != last.link]
        self._asked = Asked((others or ahead)[0], now_ms)
        return [(self._asked.link, m.Configuration(self.version, b""))]

    def _take(self, message):
        """Put a newer document in force; return whether it was."""
        if message.version <= self.version:
            return False
        try:
            self._document = ClassDocument.from_json(message.document)
        except (ValueError, TypeError) as error:
            log.error(
                "unreadable configuration", version=message.version, why=str(error)
            )
            return False
        log.info("configuration in force", version=message.version)
        return True
