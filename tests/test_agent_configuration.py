"""Tests of ``AgentConfiguration``: one request for a version, no older versions."""

import unittest

from plantainhitch.clock import ManualClock
from plantainhitch.coordination.agent_configuration import (
    REQUEST_TIMEOUT_MS,
    AgentConfiguration,
)
from plantainhitch.protocol import messages as m
from plantainhitch.state.classes import ClassDocument


def announcement(version):
    """Return an entry's announcement of a version, without its document."""
    return m.Configuration(version, b"")


def with_document(version):
    """Return the message with a version and its document."""
    return m.Configuration(version, ClassDocument(version, "c", "o").to_json())


class AgentConfigurationTests(unittest.TestCase):
    """An agent with links to three entries, and version 1 in force."""

    def setUp(self):
        self.clock = ManualClock()
        self.configuration = AgentConfiguration(self.clock)
        for number in (1, 2, 3):
            self.configuration.add_link(number, 0)
        self.configuration.handle_message(1, with_document(1))

    def test_document_is_requested_from_one_of_several_entries(self):
        requests = [
            self.configuration.handle_message(n, announcement(2))[1] for n in (1, 2, 3)
        ]
        self.assertEqual(requests, [[(1, m.Configuration(1, b""))], [], []])

    def test_document_is_requested_again_after_the_timeout(self):
        for number in (1, 2, 3):
            self.configuration.handle_message(number, announcement(2))
        self.assertEqual(self.configuration.request_newer(), [])
        self.clock.advance(REQUEST_TIMEOUT_MS)
        ((number, _),) = self.configuration.request_newer()
        self.assertNotEqual(number, 1)

    def test_document_is_requested_again_at_once_when_the_link_ends(self):
        for number in (1, 2):
            self.configuration.handle_message(number, announcement(2))
        self.configuration.remove_link(1)
        self.assertEqual(
            self.configuration.request_newer(), [(2, m.Configuration(1, b""))]
        )

    def test_nothing_is_requested_once_the_document_is_in_force(self):
        self.configuration.handle_message(1, announcement(2))
        is_adopted, messages = self.configuration.handle_message(1, with_document(2))
        self.clock.advance(REQUEST_TIMEOUT_MS)
        self.assertTrue(is_adopted)
        self.assertEqual((messages, self.configuration.request_newer()), ([], []))

    def test_older_version_is_ignored(self):
        self.configuration.handle_message(1, with_document(3))
        self.assertEqual(
            self.configuration.handle_message(2, with_document(2)), (False, [])
        )
        self.assertEqual(self.configuration.version, 3)

    def test_entry_with_an_older_version_is_sent_the_newer_one(self):
        ((number, message),) = self.configuration.add_link(4, 0)
        self.assertEqual((number, message.version), (4, 1))
        self.assertTrue(message.document)

    def test_unreadable_document_is_requested_from_another_entry(self):
        self.configuration.handle_message(1, announcement(2))
        self.configuration.handle_message(2, announcement(2))
        bad = m.Configuration(2, b"[]")
        self.assertEqual(self.configuration.handle_message(1, bad), (False, []))
        self.clock.advance(REQUEST_TIMEOUT_MS)
        self.assertEqual(
            self.configuration.request_newer(), [(2, m.Configuration(1, b""))]
        )
