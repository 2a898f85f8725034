"""Costs of control traffic: platform polls, member reads, class documents, keys.

Run with ``python -m benchmarks.control_costs``. It starts a platform stand-in on
loopback and prints one JSON object per line.
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


def print_result(**fields):
    """Print one result as a JSON object."""
    print(json.dumps(fields), flush=True)


def cpu_s():
    """Return the CPU time in s that this process has used."""
    usage = resource.getrusage(resource.RUSAGE_SELF)
    return usage.ru_utime + usage.ru_stime


class CountingProxy:
    """A TCP proxy that counts the bytes of both directions."""

    def __init__(self, target):
        self._target = target
        self.bytes = 0

    async def listen(self):
        """Listen on a free port of the loopback and return the address."""
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        return Address(*server.sockets[0].getsockname()[:2])

    async def _serve(self, reader, writer):
        target_reader, target_writer = await asyncio.open_connection(
            self._target.host, self._target.port
        )
        await asyncio.gather(
            self._forward(reader, target_writer), self._forward(target_reader, writer)
        )

    async def _forward(self, reader, writer):
        while data := await reader.read(65536):
            self.bytes += len(data)
            writer.write(data)
        writer.close()


def member(number, role):
    """Return a member with the given number and role."""
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
    """Measure bytes and CPU time of a poll that finds no changes."""
    proxy = CountingProxy(address)
    counted_client = PlatformClient(f"http://{await proxy.listen()}", CALL_TIMEOUT_MS)
    direct_client = PlatformClient(f"http://{address}", CALL_TIMEOUT_MS)
    for name, poller in (
        ("members", Membership(counted_client, Clock())),
        ("configuration", ConfigurationStore(counted_client, Clock())),
    ):
        await poller.refresh()
        before = proxy.bytes
        await poller.refresh()
        wire_bytes = proxy.bytes - before
        poller._platform = direct_client
        started_s = cpu_s()
        for _ in range(POLLS):
            await poller.refresh()
        cpu_us = (cpu_s() - started_s) / POLLS * 1e6
        print_result(case="poll", table=name, bytes=wire_bytes, cpu_us=round(cpu_us))
    await counted_client.aclose()
    await direct_client.aclose()


async def member_costs(address):
    """Measure the first read of all members, at the fleet size to design for."""
    client = PlatformClient(f"http://{address}", CALL_TIMEOUT_MS)
    fleet = [member(n, ROLE_AGENT) for n in range(AGENTS)]
    fleet += [member(n, ROLE_ENTRY) for n in range(AGENTS, AGENTS + ENTRIES)]
    for start in range(0, len(fleet), PAGE_ROWS):
        page = fleet[start : start + PAGE_ROWS]
        await client.write(
            TABLE_MEMBERS, [Write(each.key, each.to_json()) for each in page]
        )
    for region in (None, "region-1"):
        tracemalloc.start()
        members = Membership(client, Clock(), region=region)
        await members.refresh()
        kept_bytes = tracemalloc.get_traced_memory()[0]
        tracemalloc.stop()
        second_read = Membership(client, Clock(), region=region)
        started_s = cpu_s()
        await second_read.refresh()
        print_result(
            case="first read of members",
            rows=len(fleet),
            kept=region or "all",
            cpu_ms=round((cpu_s() - started_s) * 1e3, 1),
            kept_kb=round(kept_bytes / 1024),
        )
    await client.aclose()


def document_costs():
    """Measure size and decoding of a class document of the size to design for."""
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
    print_result(
        case="class document",
        classes=CLASSES,
        teams=TEAMS,
        bytes=len(data),
        compressed_bytes=len(zlib.compress(data)),
        decode_ms=round(decode_ms, 2),
    )


async def key_costs(address):
    """Measure the concurrent binding of ``KEYS`` keys."""
    client = PlatformClient(f"http://{address}", CALL_TIMEOUT_MS)
    binder = KeyBinder(client, Clock())
    started_s, started_wall_s = cpu_s(), time.monotonic()
    results = await asyncio.gather(
        *(binder.bind(f"key-{n}", b"d" * 32, n.to_bytes(40)) for n in range(KEYS))
    )
    print_result(
        case="bind keys at once",
        keys=len(results),
        cpu_us_each=round((cpu_s() - started_s) / KEYS * 1e6),
        seconds=round(time.monotonic() - started_wall_s, 2),
    )
    await client.aclose()


async def main():
    """Run all cases against one platform stand-in."""
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
