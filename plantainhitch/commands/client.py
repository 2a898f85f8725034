"""Client of an entry's HTTP interface, for the commands.

Every call returns a value: ``Answered``, ``Refused`` or ``NoReply``. If several
entries are given, a call without a reply switches the client to the next one.
"""

import os
from dataclasses import dataclass

import msgspec

from ..protocol.errors import ErrorCode
from ..protocol.models import ErrorBody, ErrorModel
from ..transport.addresses import Address
from ..transport.httpx_loader import httpx

ENTRY_VARIABLE = "PLANTAINHITCH_ENTRY"
CALL_TIMEOUT_MS = 10_000
JSON_HEADERS = {"content-type": "application/json"}


@dataclass(frozen=True, slots=True)
class Answered:
    """The entry answered; ``body`` is the JSON of the answer."""

    status: int
    body: bytes


@dataclass(frozen=True, slots=True)
class Refused:
    """The entry refused the call."""

    status: int
    error: ErrorBody

    @property
    def code(self):
        """The stable error code, as text."""
        return self.error.code

    def __str__(self):
        lines = [f"{self.error.code}: {self.error.message}"]
        lines += [f"  {detail}" for detail in self.error.details]
        return "\n".join(lines)


@dataclass(frozen=True, slots=True)
class NoReply:
    """No reply came; if ``sent`` is False, no entry has received the call."""

    detail: str
    sent: bool

    def __str__(self):
        return f"no reply: {self.detail}"


def entry_addresses(text):
    """Return the addresses in ``text`` or, if it is empty, in ``ENTRY_VARIABLE``.

    Raises ValueError if there are none or one of them is invalid.
    """
    text = text or os.environ.get(ENTRY_VARIABLE, "")
    if not text:
        raise ValueError(f"no entry given: use --entry IP:PORT or {ENTRY_VARIABLE}")
    return [Address.from_text(part.strip()) for part in str(text).split(",")]


class EntryClient:
    """Calls one of several entries; an asynchronous context manager."""

    def __init__(self, addresses):
        self._addresses = list(addresses)
        self._current = 0
        self._client = httpx.AsyncClient(trust_env=False)

    @property
    def address(self):
        """The address of the entry that the next call is sent to."""
        return self._addresses[self._current]

    async def __aenter__(self):
        return self

    async def __aexit__(self, *_):
        await self._client.aclose()

    async def get(self, path, timeout_ms=CALL_TIMEOUT_MS):
        """Return the result of a GET of ``path``."""
        return await self.call("GET", path, timeout_ms=timeout_ms)

    async def call(
        self, method, path, body=None, headers=None, timeout_ms=CALL_TIMEOUT_MS
    ):
        """Return the result of one call; ``body`` is JSON bytes or None."""
        all_headers = {**(JSON_HEADERS if body is not None else {}), **(headers or {})}
        try:
            response = await self._client.request(
                method,
                f"http://{self.address}{path}",
                content=body,
                headers=all_headers,
                timeout=timeout_ms / 1000,
            )
        except (httpx.ConnectError, httpx.ConnectTimeout) as error:
            return self._no_reply(error, sent=False)
        except httpx.HTTPError as error:
            return self._no_reply(error, sent=True)
        if response.is_success:
            return Answered(response.status_code, response.content)
        return Refused(response.status_code, _read_error(response))

    def _no_reply(self, error, sent):
        detail = f"{self.address}: {error or type(error).__name__}"
        self._current = (self._current + 1) % len(self._addresses)
        return NoReply(detail, sent)


def _read_error(response):
    try:
        return msgspec.json.decode(response.content, type=ErrorModel).error
    except msgspec.DecodeError:
        message = f"status {response.status_code} without an error body"
        return ErrorBody(ErrorCode.INTERNAL.value, message)
