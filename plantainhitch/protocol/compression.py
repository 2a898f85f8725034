"""Compression of class documents in frames.

An entry sends the same document to all of its agents, so the compressed forms of the
last few documents are cached.
"""

import functools
import zlib

# A frame with a larger document is bad, however small its compressed form is.
MAX_DOCUMENT_BYTES = 16 * 1024 * 1024
CACHED_DOCUMENTS = 2


@functools.lru_cache(maxsize=CACHED_DOCUMENTS)
def compress(document):
    """Return the compressed form of a document, as bytes."""
    return zlib.compress(document)


def decompress(data):
    """Return the document with the compressed form ``data``.

    Raise ValueError if ``data`` is malformed or cut off, or if the document is larger
    than ``MAX_DOCUMENT_BYTES``.
    """
    decompressor = zlib.decompressobj()
    try:
        document = decompressor.decompress(data, MAX_DOCUMENT_BYTES)
    except zlib.error as error:
        raise ValueError(f"unreadable document: {error}") from error
    if not decompressor.eof:
        raise ValueError(f"a document that is cut off or above {MAX_DOCUMENT_BYTES} B")
    return document
