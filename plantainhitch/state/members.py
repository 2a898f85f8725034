"""Members: entries and agents as registered in the platform's table."""

from dataclasses import dataclass
from typing import Annotated

import msgspec

from ..json_input import decode_json
from ..transport.addresses import Address

UnixMs = Annotated[int, msgspec.Meta(ge=0, le=2**53)]


class MemberRecord(msgspec.Struct, forbid_unknown_fields=False):
    """The JSON value of a member's row; the row's key is ``role/incarnation``."""

    role: str
    incarnation: str
    name: str
    zone: str
    region: str
    rack: str
    link: str
    http: str
    left: bool = False
    renewed_ms: UnixMs = 0


@dataclass(frozen=True, slots=True)
class Member:
    """One incarnation of an entry or an agent; addresses are ``IP:port``.

    ``left`` is True once the incarnation has deregistered; it starts no more tasks
    then. ``renewed_ms`` is the wall-clock time of the row's last renewal.
    """

    role: str
    incarnation: bytes
    name: str
    zone: str
    region: str
    rack: str
    link: str
    http: str
    left: bool = False
    renewed_ms: int = 0

    @property
    def key(self):
        """The key of the member's row."""
        return f"{self.role}/{self.incarnation.hex()}"

    @classmethod
    def from_json(cls, data):
        """Return the member in a row's value; raise ValueError if it is malformed.

        That includes addresses that can't be connected to.
        """
        record = decode_json(data, MemberRecord)
        for address in filter(None, (record.link, record.http)):
            Address.from_text(address)
        fields = msgspec.structs.asdict(record)
        fields["incarnation"] = bytes.fromhex(record.incarnation)
        return cls(**fields)

    def to_json(self):
        """Return the value of the member's row."""
        fields = {name: getattr(self, name) for name in self.__slots__}
        fields["incarnation"] = self.incarnation.hex()
        return msgspec.json.encode(MemberRecord(**fields))
