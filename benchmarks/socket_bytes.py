"""Payload bytes of a process's TCP sockets, as the kernel counts them (``ss``)."""

import re
import subprocess
from dataclasses import dataclass

_SENT = re.compile(r"\bbytes_sent:(\d+)")
_RECEIVED = re.compile(r"\bbytes_received:(\d+)")


@dataclass(frozen=True, slots=True)
class SocketBytes:
    """(sent, received) bytes of each open socket, by its two addresses."""

    by_socket: dict[tuple[str, str], tuple[int, int]]

    @classmethod
    def of(cls, pid):
        """Return the counts of a process's open sockets now."""
        command = ("ss", "-tinpHO", "state", "established")
        listed = subprocess.run(command, capture_output=True, text=True, check=True)
        found = {}
        for line in listed.stdout.splitlines():
            if f"pid={pid}," in line:
                local, peer = line.split()[2:4]
                found[(local, peer)] = (_count(_SENT, line), _count(_RECEIVED, line))
        return cls(found)

    def since(self, earlier):
        """Return the (sent, received) bytes since an earlier count."""
        sent = received = 0
        for key, (now_sent, now_received) in self.by_socket.items():
            before = earlier.by_socket.get(key, (0, 0))
            sent += now_sent - before[0]
            received += now_received - before[1]
        return sent, received


def _count(pattern, line):
    found = pattern.search(line)
    return int(found.group(1)) if found else 0
