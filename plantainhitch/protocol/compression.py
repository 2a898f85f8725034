"""Compression of class documents in frames.

An entry sends the same document to all of its agents, so the last few results are
kept.
"""

import functools
import zlib

# A larger document is a bad frame, whatever it was compressed to.
MAX_DOCUMENT_BYTES = 16 * 1024 * 1024
KEPT_DOCUMENTS = 2


@functools.lru_cache(maxsize=KEPT_DOCUMENTS)
def compress(document):
    """Return the document as it goes into a frame."""
    return zlib.compress(document)


def decompress(data):
    """Return the document in a frame; raise ValueError where there is none."""
    decompressor = zlib.decompressobj()
    try:
        document = decompressor.decompress(data, MAX_DOCUMENT_BYTES)
    except zlib.error as error:
        raise ValueError(f"unreadable document: {error}") from error
    if not decompressor.eof:
        raise ValueError(f"a document that is cut off or above {MAX_DOCUMENT_BYTES} B")
    return document
