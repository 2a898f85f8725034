"""Socket addresses given as IP address and port."""

import ipaddress
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Address:
    """An IP address and a port; port 0 lets the system choose one."""

    host: str
    port: int

    @classmethod
    def from_text(cls, text):
        """Parse ``IP:port`` or ``[IPv6]:port``; raise ValueError on any other text."""
        host, separator, port = text.rpartition(":")
        host = host.removeprefix("[").removesuffix("]")
        if not separator or not port.isdigit() or int(port) > 65535:
            raise ValueError(f"not an address (IP:port): {text!r}")
        ipaddress.ip_address(host)
        return cls(host, int(port))

    def __str__(self):
        host = f"[{self.host}]" if ":" in self.host else self.host
        return f"{host}:{self.port}"
