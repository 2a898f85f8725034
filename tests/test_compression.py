"""Documents in frames: bad ones are bad frames, large ones are bounded."""

import unittest
import zlib
from unittest import mock

from plantainhitch.protocol import codec, compression, messages as m

DOCUMENT = b'{"version": 1}' * 1_000


class CompressionTest(unittest.TestCase):
    """What a peer may send in place of a document."""

    def frame(self, data):
        """Return a frame whose document is ``data`` as it stands."""
        with mock.patch.object(codec, "compress", return_value=data):
            return codec.encode(m.Envelope(m.Configuration(1, DOCUMENT)))

    def test_round_trip_is_smaller(self):
        message = m.Configuration(1, DOCUMENT)
        frame = codec.encode(m.Envelope(message))
        self.assertEqual(codec.decode(frame).message, message)
        self.assertLess(len(frame), len(DOCUMENT) // 10)

    def test_unreadable_documents(self):
        whole = zlib.compress(DOCUMENT)
        for data in (b"", b"{}", whole[:-5]):
            with self.subTest(data=data[:8]):
                self.assertIsInstance(codec.decode(self.frame(data)), codec.BadFrame)

    def test_a_document_that_grows_without_bound(self):
        bomb = zlib.compress(bytes(compression.MAX_DOCUMENT_BYTES + 1))
        self.assertIsInstance(codec.decode(self.frame(bomb)), codec.BadFrame)
