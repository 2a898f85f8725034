"""Submission ids: issued by one entry incarnation and verified by a keyed hash.

An id is ``incarnation (16 bytes) | sequence (8 bytes, big endian) | tag (16
bytes)`` in unpadded URL-safe base64. The tag is BLAKE2b over the first two parts
under a random key that the incarnation generates when it starts. So ids can't be
guessed, and an id that was never issued is distinguished from one that was.
"""

import base64
import binascii
import enum
import hashlib
import hmac
import secrets
from dataclasses import dataclass

INCARNATION_BYTES = 16
SEQUENCE_BYTES = 8
TAG_BYTES = 16
KEY_BYTES = 32
ID_BYTES = INCARNATION_BYTES + SEQUENCE_BYTES + TAG_BYTES


class IdCheckResult(enum.Enum):
    """The result of an issuer's check of an id.

    ``FOREIGN`` ids belong to another incarnation; the tag of ``FORGED`` ones is wrong.
    """

    VALID = "valid"
    FOREIGN = "foreign"
    FORGED = "forged"


@dataclass(frozen=True, slots=True)
class SubmissionId:
    """A decoded submission id."""

    incarnation: bytes
    sequence: int
    tag: bytes

    @classmethod
    def from_text(cls, text):
        """Return the id written as ``text``, or None if it is malformed."""
        try:
            raw = base64.b64decode(text + "=" * (-len(text) % 4), altchars=b"-_")
        except (binascii.Error, ValueError):
            return None
        if len(raw) != ID_BYTES:
            return None
        return cls.from_bytes(raw)

    @classmethod
    def from_bytes(cls, raw):
        """Return the id encoded in ``raw``, which has ``ID_BYTES`` bytes."""
        sequence_end = INCARNATION_BYTES + SEQUENCE_BYTES
        return cls(
            incarnation=raw[:INCARNATION_BYTES],
            sequence=int.from_bytes(raw[INCARNATION_BYTES:sequence_end]),
            tag=raw[sequence_end:],
        )

    def to_bytes(self):
        """Return the id as ``ID_BYTES`` bytes."""
        return self.incarnation + self.sequence.to_bytes(SEQUENCE_BYTES) + self.tag

    def to_text(self):
        """Return the id in the form that callers use."""
        return base64.urlsafe_b64encode(self.to_bytes()).rstrip(b"=").decode()


def new_incarnation():
    """Return a new random incarnation of ``INCARNATION_BYTES`` bytes."""
    return secrets.token_bytes(INCARNATION_BYTES)


class IdIssuer:
    """Issues and checks the ids of one incarnation."""

    def __init__(self, incarnation, key):
        self._incarnation = incarnation
        self._key = key
        self._next_sequence = 1

    @classmethod
    def with_random_key(cls):
        """Return an issuer with a new incarnation and a random key."""
        return cls(new_incarnation(), secrets.token_bytes(KEY_BYTES))

    @property
    def incarnation(self):
        """The incarnation that owns the issued ids."""
        return self._incarnation

    def issue(self, count):
        """Return ``count`` new ids with consecutive sequence numbers."""
        first = self._next_sequence
        self._next_sequence += count
        return [self._sign(sequence) for sequence in range(first, first + count)]

    def check(self, submission_id):
        """Return the ``IdCheckResult`` of ``submission_id``."""
        if submission_id.incarnation != self._incarnation:
            return IdCheckResult.FOREIGN
        expected = self._tag(submission_id.sequence)
        if not hmac.compare_digest(expected, submission_id.tag):
            return IdCheckResult.FORGED
        return IdCheckResult.VALID

    def _sign(self, sequence):
        return SubmissionId(self._incarnation, sequence, self._tag(sequence))

    def _tag(self, sequence):
        message = self._incarnation + sequence.to_bytes(SEQUENCE_BYTES)
        digest = hashlib.blake2b(message, key=self._key, digest_size=TAG_BYTES)
        return digest.digest()
