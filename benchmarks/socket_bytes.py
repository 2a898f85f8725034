"""Payload bytes of a process's TCP sockets, from the kernel's counts in ``ss``."""

import re
import subprocess
from dataclasses import dataclass

_SENT = re.compile(r"\bbytes_sent:(\d+)")
_RECEIVED = re.compile(r"\bbytes_received:(\d+)")


@dataclass(frozen=True, slots=True)
class SocketBytes:
    """(sent, received) bytes of each open socket by (local, peer) address."""

    by_socket: dict[tuple[str, str], tuple[int, int]]

    @classmethod
    def from_process(cls, pid):
        """Return the current counts of a process's established sockets."""
        command = ("ss", "-tinpHO", "state", "established")
        listed = subprocess.run(command, capture_output=True, text=True, check=True)
        counts = {}
        for line in listed.stdout.splitlines():
            if f"pid={pid}," in line:
                local, peer = line.split()[2:4]
                counts[(local, peer)] = (
                    _parse_count(_SENT, line),
                    _parse_count(_RECEIVED, line),
                )
        return cls(counts)

    def since(self, earlier):
        """Return the total (sent, received) bytes since an earlier count.

        Bytes of sockets that have closed since are not included.
        """
        sent = received = 0
        for key, (now_sent, now_received) in self.by_socket.items():
            before = earlier.by_socket.get(key, (0, 0))
            sent += now_sent - before[0]
            received += now_received - before[1]
        return sent, received


def _parse_count(pattern, line):
    match = pattern.search(line)
    return int(match.group(1)) if match else 0
