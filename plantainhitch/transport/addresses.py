"""Socket addresses by IP number."""

import ipaddress
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Address:
    """An IP number and a port; port 0 lets the system choose one."""

    host: str
    port: int

    @classmethod
    def from_text(cls, text):
        """Return the address written ``host:port``; raise ValueError if it isn't."""
        host, separator, port = text.rpartition(":")
        host = host.removeprefix("[").removesuffix("]")
        if not separator or not port.isdigit() or int(port) > 65535:
            raise ValueError(f"not an address (IP:port): {text!r}")
        ipaddress.ip_address(host)
        return cls(host, int(port))

    def __str__(self):
        host = f"[{self.host}]" if ":" in self.host else self.host
        return f"{host}:{self.port}"
