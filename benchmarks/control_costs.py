"""Costs of control traffic: polls of the platform, members, documents, keys.

Run with ``python -m benchmarks.control_costs``; starts a platform stand-in on
loopback and prints one JSON object a line.
"""

import asyncio
import json
import resource
import subprocess
import sys
import time
import tracemalloc
import zlib

from plantainhitch.clock import Clock
from plantainhitch.coordination.configuration import ConfigurationStore
from plantainhitch.coordination.keys import KeyBinder
from plantainhitch.coordination.membership import PAGE_ROWS, Membership
from plantainhitch.protocol.messages import ROLE_AGENT, ROLE_ENTRY
from plantainhitch.state.classes import ClassDefinition, ClassDocument, TeamQuota
from plantainhitch.state.members import Member
from plantainhitch.transport.addresses import Address
from plantainhitch.transport.platform import TABLE_MEMBERS, Write
from plantainhitch.transport.platform_http import PlatformClient

POLLS = 1_000
AGENTS = 2_500
ENTRIES = 60
TEAMS = 290
CLASSES = 300
KEYS = 2_000
CALL_TIMEOUT_MS = 10_000


def report(**fields):
    """Print one result."""
    print(json.dumps(fields), flush=True)


def cpu_s():
    """Return the processor seconds that this process has used."""
    usage = resource.getrusage(resource.RUSAGE_SELF)
    return usage.ru_utime + usage.ru_stime


class ByteCounter:
    """Passes connections on to an address and counts their bytes."""

    def __init__(self, target):
        self._target = target
        self.bytes = 0

    async def listen(self):
        """Listen and return the address."""
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        return Address(*server.sockets[0].getsockname()[:2])

    async def _serve(self, reader, writer):
        there_reader, there_writer = await asyncio.open_connection(
            self._target.host, self._target.port
        )
        await asyncio.gather(
            self._pass(reader, there_writer), self._pass(there_reader, writer)
        )

    async def _pass(self, reader, writer):
        while data := await reader.read(65536):
            self.bytes += len(data)
            writer.write(data)
        writer.close()


def member(number, role):
    """Return one member of the fleet."""
    return Member(
        role=role,
        incarnation=number.to_bytes(16),
        name=f"{role}-{number:04}",
        zone=f"zone-{number % 20:02}",
        region=f"region-{number % 7}",
        rack=f"rack-{number // 3:04}",
        link=f"10.{number % 7}.{number // 250}.{number % 250}:7000",
        http=f"10.{number % 7}.{number // 250}.{number % 250}:8000",
        renewed_ms=1_700_000_000_000,
    )


async def poll_costs(address):
    """Measure a poll that finds nothing new, of members and configuration."""
    counter = ByteCounter(address)
    through = PlatformClient(f"http://{await counter.listen()}", CALL_TIMEOUT_MS)
    direct = PlatformClient(f"http://{address}", CALL_TIMEOUT_MS)
    for name, polled in (
        ("members", Membership(through, Clock())),
        ("configuration", ConfigurationStore(through, Clock())),
    ):
        await polled.refresh()
        before = counter.bytes
        await polled.refresh()
        wire_bytes = counter.bytes - before
        polled._platform = direct
        started_s = cpu_s()
        for _ in range(POLLS):
            await polled.refresh()
        cpu_us = (cpu_s() - started_s) / POLLS * 1e6
        report(case="poll", table=name, bytes=wire_bytes, cpu_us=round(cpu_us))
    await through.aclose()
    await direct.aclose()


async def member_costs(address):
    """Measure the first read of a fleet at the size to design for."""
    client = PlatformClient(f"http://{address}", CALL_TIMEOUT_MS)
    fleet = [member(n, ROLE_AGENT) for n in range(AGENTS)]
    fleet += [member(n, ROLE_ENTRY) for n in range(AGENTS, AGENTS + ENTRIES)]
    for start in range(0, len(fleet), PAGE_ROWS):
        page = fleet[start : start + PAGE_ROWS]
        await client.write(TABLE_MEMBERS, [Write(x.key, x.to_json()) for x in page])
    for region in (None, "region-1"):
        tracemalloc.start()
        members = Membership(client, Clock(), region=region)
        await members.refresh()
        kept_bytes = tracemalloc.get_traced_memory()[0]
        tracemalloc.stop()
        again = Membership(client, Clock(), region=region)
        started_s = cpu_s()
        await again.refresh()
        report(
            case="first read of members",
            rows=len(fleet),
            kept=region or "all",
            cpu_ms=round((cpu_s() - started_s) * 1e3, 1),
            kept_kb=round(kept_bytes / 1024),
        )
    await client.aclose()


def document_costs():
    """Measure the class document at the size to design for."""
    teams = {f"team-{n:03}": TeamQuota(f"team-{n:03}", 0.05) for n in range(TEAMS)}
    classes = {
        f"class-{n:03}": ClassDefinition(
            f"class-{n:03}",
            answers_within_ms=100 + n,
            claims_at_least=0.003,
            team=f"team-{n % TEAMS:03}",
        )
        for n in range(CLASSES)
    }
    document = ClassDocument(1, "change-1", "operator", classes, teams)
    data = document.to_json()
    started_s = time.process_time()
    for _ in range(20):
        ClassDocument.from_json(data)
    decode_ms = (time.process_time() - started_s) / 20 * 1e3
    report(
        case="class document",
        classes=CLASSES,
        teams=TEAMS,
        bytes=len(data),
        compressed_bytes=len(zlib.compress(data)),
        decode_ms=round(decode_ms, 2),
    )


async def key_costs(address):
    """Measure binding many keys at once."""
    client = PlatformClient(f"http://{address}", CALL_TIMEOUT_MS)
    binder = KeyBinder(client, Clock())
    started_s, wall_s = cpu_s(), time.monotonic()
    results = await asyncio.gather(
        *(binder.bind(f"key-{n}", b"d" * 32, n.to_bytes(40)) for n in range(KEYS))
    )
    report(
        case="bind keys at once",
        keys=len(results),
        cpu_us_each=round((cpu_s() - started_s) / KEYS * 1e6),
        seconds=round(time.monotonic() - wall_s, 2),
    )
    await client.aclose()


async def main():
    """Run all cases against one stand-in."""
    command = [sys.executable, "-m", "plantainhitch", "standin", "platform"]
    with subprocess.Popen(command, stdout=subprocess.PIPE) as process:
        address = Address.from_text(json.loads(process.stdout.readline())["http"])
        await poll_costs(address)
        await member_costs(address)
        document_costs()
        await key_costs(address)
        process.terminate()


if __name__ == "__main__":
    asyncio.run(main())
