"""How an agent gets a configuration: asked for once, never an older one."""

import unittest

from plantainhitch.clock import ManualClock
from plantainhitch.coordination.agent_configuration import (
    REQUEST_TIMEOUT_MS,
    AgentConfiguration,
)
from plantainhitch.protocol import messages as m
from plantainhitch.state.classes import ClassDocument


def notice(version):
    """Return an entry's notice of a version."""
    return m.Configuration(version, b"")


def whole(version):
    """Return a version with its document."""
    return m.Configuration(version, ClassDocument(version, "c", "o").to_json())


class AgentConfigurationTests(unittest.TestCase):
    """Three links to entries, and version 1 in force."""

    def setUp(self):
        self.clock = ManualClock()
        self.configuration = AgentConfiguration(self.clock)
        for number in (1, 2, 3):
            self.configuration.add_link(number, 0)
        self.configuration.handle_message(1, whole(1))

    def test_one_of_several_entries_is_asked(self):
        asked = [self.configuration.handle_message(n, notice(2))[1] for n in (1, 2, 3)]
        self.assertEqual(asked, [[(1, m.Configuration(1, b""))], [], []])

    def test_another_entry_is_asked_where_the_first_keeps_silent(self):
        for number in (1, 2, 3):
            self.configuration.handle_message(number, notice(2))
        self.assertEqual(self.configuration.request_newer(), [])
        self.clock.advance(REQUEST_TIMEOUT_MS)
        ((number, _),) = self.configuration.request_newer()
        self.assertNotEqual(number, 1)

    def test_another_entry_is_asked_at_once_where_the_link_has_ended(self):
        for number in (1, 2):
            self.configuration.handle_message(number, notice(2))
        self.configuration.remove_link(1)
        self.assertEqual(
            self.configuration.request_newer(), [(2, m.Configuration(1, b""))]
        )

    def test_nothing_is_asked_once_the_document_is_here(self):
        self.configuration.handle_message(1, notice(2))
        is_taken, to_send = self.configuration.handle_message(1, whole(2))
        self.clock.advance(REQUEST_TIMEOUT_MS)
        self.assertTrue(is_taken)
        self.assertEqual((to_send, self.configuration.request_newer()), ([], []))

    def test_older_version_is_never_taken(self):
        self.configuration.handle_message(1, whole(3))
        self.assertEqual(self.configuration.handle_message(2, whole(2)), (False, []))
        self.assertEqual(self.configuration.version, 3)

    def test_entry_with_an_older_version_is_sent_ours(self):
        ((number, message),) = self.configuration.add_link(4, 0)
        self.assertEqual((number, message.version), (4, 1))
        self.assertTrue(message.document)

    def test_unreadable_document_is_asked_for_elsewhere(self):
        self.configuration.handle_message(1, notice(2))
        self.configuration.handle_message(2, notice(2))
        bad = m.Configuration(2, b"[]")
        self.assertEqual(self.configuration.handle_message(1, bad), (False, []))
        self.clock.advance(REQUEST_TIMEOUT_MS)
        self.assertEqual(
            self.configuration.request_newer(), [(2, m.Configuration(1, b""))]
        )
