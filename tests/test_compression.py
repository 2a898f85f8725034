"""Compressed documents in frames: bad and oversized ones make the frame bad."""

import unittest
import zlib
from unittest import mock

from plantainhitch.protocol import codec, compression, messages as m

DOCUMENT = b'{"version": 1}' * 1_000


class CompressionTest(unittest.TestCase):
    """Documents as a peer may send them, among them malformed and oversized ones."""

    def frame_with(self, data):
        """Return a frame with ``data`` in place of the compressed document."""
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
                self.assertIsInstance(
                    codec.decode(self.frame_with(data)), codec.BadFrame
                )

    def test_decompressed_size_is_limited(self):
        # A short frame must not make the receiver allocate memory without bound.
        bomb = zlib.compress(bytes(compression.MAX_DOCUMENT_BYTES + 1))
        self.assertIsInstance(codec.decode(self.frame_with(bomb)), codec.BadFrame)
