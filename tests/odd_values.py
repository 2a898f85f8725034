"""JSON documents as another writer may leave them: odd values for each field."""

import msgspec

DEEP_JSON = b"[" * 50_000
MANY_DIGITS = b"9" * 5_000
# Values that are wrong for any field, as JSON: of another type, out of range, with
# thousands of digits, nested thousands deep, and no text.
ODD_VALUES = (
    b"null",
    b"true",
    b"{}",
    b"[[]]",
    b"-1",
    b"1e300",
    b"9" * 30,
    MANY_DIGITS,
    DEEP_JSON,
    b'"\xff\xfe"',
    b'"\\ud800"',
)


def odd_documents(document):
    """Yield (what is odd, JSON bytes) for each field of a document, a dict.

    Each field is missing once, and has each of ``ODD_VALUES``.
    """
    for field in document:
        rest = {key: value for key, value in document.items() if key != field}
        yield f"{field} missing", msgspec.json.encode(rest)
        for value in ODD_VALUES:
            head = msgspec.json.encode(rest)[:-1] + b"," if rest else b"{"
            body = head + msgspec.json.encode(field) + b":" + value + b"}"
            yield f"{field}: {value[:20]!r}", body
    yield (
        "an unknown field, nested deep",
        (msgspec.json.encode(document)[:-1] + b',"extra":' + DEEP_JSON + b"}"),
    )
    yield "no JSON", b"\xff\xfe"
    yield "nothing", b""
