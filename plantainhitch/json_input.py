"""Decoding of JSON from outside of the process, which may hold anything."""

import msgspec


def decode_json(data, kind):
    """Return the value of type ``kind`` in JSON text, given as bytes.

    Raises ValueError if it is none, also where it is nested too deeply to be read.
    """
    try:
        return msgspec.json.decode(data, type=kind)
    except RecursionError as error:
        raise ValueError("nested too deeply") from error
