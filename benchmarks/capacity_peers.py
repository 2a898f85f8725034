"""Many idle agents or entries in one process, for ``benchmarks.capacity``.

``agents COUNT PLATFORM`` registers COUNT agents at the platform and accepts their
links; ``entries COUNT LINK INCARNATION`` opens COUNT links to the agent at address
LINK, each as an entry of its own. Neither runs any task.
"""

import asyncio
import json
import secrets
import sys

from plantainhitch import logs
from plantainhitch.clock import Clock
from plantainhitch.coordination.agent_links import AgentDialer, exchange_hellos
from plantainhitch.protocol import messages as m
from plantainhitch.state.members import Member
from plantainhitch.transport import links
from plantainhitch.transport.addresses import Address
from plantainhitch.transport.platform import TABLE_MEMBERS, Write
from plantainhitch.transport.platform_http import PlatformClient

LOOPBACK = Address("127.0.0.1", 0)
SLOTS = 8
PLATFORM_TIMEOUT_MS = 2_000
WRITES_PER_TRANSACTION = 50


async def serve_agents(count, platform_address):
    """Register ``count`` agents and accept the links of all entries."""
    clock = Clock()
    writes = [await _serve_agent(number, clock) for number in range(count)]
    platform = PlatformClient(f"http://{platform_address}", PLATFORM_TIMEOUT_MS)
    for first in range(0, count, WRITES_PER_TRANSACTION):
        batch = writes[first : first + WRITES_PER_TRANSACTION]
        (await platform.write(TABLE_MEMBERS, batch)).unwrap()
    print(json.dumps({"ready": True}), flush=True)
    await asyncio.Event().wait()


async def dial_as_entries(count, link, incarnation):
    """Keep ``count`` links to one agent, each with its own entry incarnation."""
    agent = _member(0, link, bytes.fromhex(incarnation))
    dialers = [
        AgentDialer(
            agent, _hello_factory(m.ROLE_ENTRY, number), Clock(), lambda event: None
        )
        for number in range(count)
    ]
    tasks = [asyncio.create_task(dialer.run()) for dialer in dialers]
    print(json.dumps({"ready": True}), flush=True)
    await asyncio.gather(*tasks)


async def _serve_agent(number, clock):
    hello = _hello_factory(m.ROLE_AGENT, number)()

    async def on_link(link):
        if await exchange_hellos(link, hello) is not None:
            link.send(m.AgentStatus(f"endpoint-{number}", SLOTS, cores=16))
            await link.run(lambda envelope: None)

    server = await links.listen(LOOPBACK, clock, on_link)
    host, port = server.sockets[0].getsockname()
    member = _member(number, f"{host}:{port}", hello.incarnation)
    return Write(member.key, member.to_json())


def _hello_factory(role, number):
    hello = m.Hello(role, secrets.token_bytes(16), f"{role}-{number}")
    return lambda: hello


def _member(number, link, incarnation):
    return Member(
        role=m.ROLE_AGENT,
        incarnation=incarnation,
        name=f"agent-{number}",
        zone="zone-0",
        region="local",
        rack=f"rack-{number // 3}",
        link=link,
        http=link,
        renewed_ms=Clock().wall_ms(),
    )


def main(kind, count, *arguments):
    """Run ``count`` peers of one kind, ``agents`` or ``entries``, until killed."""
    logs.configure("error")
    serve = {"agents": serve_agents, "entries": dial_as_entries}[kind]
    asyncio.run(serve(int(count), *arguments))


if __name__ == "__main__":
    main(*sys.argv[1:])
