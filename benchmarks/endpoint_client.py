"""CPU time of a call from agent to endpoint, compared between HTTP clients.

Run with ``python -m benchmarks.endpoint_client``. The server runs in a process of its
own. Each client sends the same tasks, which do no work, over at most ``WORKERS``
connections; the CPU time of this process is divided by the number of tasks.
"""

import asyncio
import json
import statistics
import subprocess
import sys
import time

import httpcore
import httpx
import uvloop

from plantainhitch.clock import Clock
from plantainhitch.protocol.messages import Start, TaskKey
from plantainhitch.transport.addresses import Address
from plantainhitch.transport.endpoint_http import HttpEndpointClient, _task_headers

TASKS = 4_000
WORKERS = 8
RUNS = 3
BODY = b'{"sleep_ms": 0}'
SUBMISSION = bytes(40)


def make_start(index):
    """Return the start of a task that does no work."""
    return Start(TaskKey(SUBMISSION, index, 1), "render", BODY, 5_000)


async def by_own_pool(address):
    """Send through the product's connection pool, which parses with httptools."""
    client = HttpEndpointClient.from_address(address, Clock())
    await send_all(client.run)
    await client.aclose()


async def by_httpcore(address):
    """Send through httpcore's connection pool."""
    url = f"http://{address}/tasks"
    async with httpcore.AsyncConnectionPool(max_connections=60) as pool:

        async def send(start):
            headers = _task_headers(start)
            response = await pool.request("POST", url, headers=headers, content=BODY)
            assert response.status == 200

        await send_all(send)


async def by_httpx(address):
    """Send through httpx."""
    async with httpx.AsyncClient(base_url=f"http://{address}") as client:

        async def send(start):
            headers = _task_headers(start)
            response = await client.post("/tasks", headers=headers, content=BODY)
            assert response.status_code == 200

        await send_all(send)


async def send_all(send):
    """Send all tasks, ``WORKERS`` at a time."""

    async def worker(first):
        for index in range(first, TASKS, WORKERS):
            await send(make_start(index))

    await asyncio.gather(*(worker(first) for first in range(WORKERS)))


def measure(client, address):
    """Return the CPU time in us per task, the median of ``RUNS`` runs."""
    figures = []
    for _ in range(RUNS):
        started_s = time.process_time()
        uvloop.run(client(address))
        figures.append((time.process_time() - started_s) / TASKS * 1e6)
    return statistics.median(figures)


def main():
    """Print the CPU time per task of each client."""
    server = subprocess.Popen(
        [sys.executable, "-m", "plantainhitch", "standin", "endpoint"],
        stdout=subprocess.PIPE,
        text=True,
    )
    try:
        address = Address.from_text(json.loads(server.stdout.readline())["http"])
        for client in (by_own_pool, by_httpcore, by_httpx):
            print(f"{client.__name__:12} {measure(client, address):6.0f} us a task")
    finally:
        server.terminate()
        server.wait()


if __name__ == "__main__":
    main()
