"""Scenarios of cost: CPU a task, added latency, requests a second, cancellation."""

import asyncio
import statistics
import time

import msgspec

from plantainhitch.clock import Clock
from plantainhitch.loadgen import ideal, workloads
from plantainhitch.transport.http_client import HttpClient, HttpResponse

from .processes import JSON_CONTENT_TYPE, Deployment, DeploymentSpec

ONE_ENDPOINT = ideal.Fleet.from_text("32*1")
CANCEL_FLEET = ideal.Fleet.with_geometric_speeds(10, 8, 0.5, 2.0)
MIX = workloads.TICKMARK
# A class whose target lets 10,000 tasks wait.
PATIENT_MIX = workloads.Mix(
    "patient",
    (
        workloads.ClassModel(
            "render", 1.0, workloads.RunTimeDistribution(), 1, 1_000, 600_000, 0.99, 0.5
        ),
    ),
)
TASKS_PER_SIZE = 6_000
TASK_MS = 5
SEQUENTIAL_CALLS = 400
CLIENTS = 64
CLOSED_LOOP_S = 6
CANCELLED_TASKS = 10_000
CANCELLED_TASK_MS = 200
TASK_HEADERS = (
    (b"Plantainhitch-Submission", b"00" * 32),
    (b"Plantainhitch-Index", b"0"),
    (b"Plantainhitch-Attempt", b"1"),
    (b"Plantainhitch-Class", b"render"),
    JSON_CONTENT_TYPE,
)
REQUEST = msgspec.json.encode({"class": "render", "body": {"sleep_ms": 0}})


async def cpu_a_task(seed):
    """Return CPU us a task at entry and agent for jobs of 1 to 1,000 tasks."""
    figures = {}
    async with Deployment(DeploymentSpec(ONE_ENDPOINT, entries=1), MIX) as deployment:
        entry, agent = deployment.entries[0], deployment.agents[0]
        client = HttpClient(entry.address, Clock(), max_connections=CLIENTS)
        await _send_jobs(client, 10, 300)
        for size in (1, 10, 100, 1_000):
            before = entry.cpu_s(), agent.cpu_s()
            await _send_jobs(client, size, TASKS_PER_SIZE)
            for process, began in zip((entry, agent), before, strict=True):
                role = process.name.partition("-")[0]
                spent = (process.cpu_s() - began) / TASKS_PER_SIZE * 1e6
                figures[f"{role}, jobs of {size}"] = spent
        await client.aclose()
    figures["entry and agent, jobs of 100"] = (
        figures["entry, jobs of 100"] + figures["agent, jobs of 100"]
    )
    return figures


async def added_latency(seed):
    """Return the latency in ms that a request has beyond a direct call."""
    async with Deployment(DeploymentSpec(ONE_ENDPOINT, entries=1), MIX) as deployment:
        entry = HttpClient(deployment.entries[0].address, Clock())
        endpoint = HttpClient(deployment.endpoints[0].address, Clock())
        through, direct = [], []
        for _ in range(SEQUENTIAL_CALLS):
            direct.append(
                await _timed(endpoint, b"/tasks", b'{"sleep_ms": 0}', TASK_HEADERS)
            )
            through.append(await _timed(entry, b"/v1/requests", REQUEST))
        await entry.aclose()
        await endpoint.aclose()
    figures = {}
    for name, share in (("p50", 50), ("p99", 99)):
        cut = [
            statistics.quantiles(each, n=100)[share - 1] for each in (through, direct)
        ]
        figures[f"added latency ms {name}"] = cut[0] - cut[1]
        figures[f"direct ms {name}"] = cut[1]
    return figures


async def requests_per_second(seed):
    """Return requests a second through one entry and one agent, closed loop."""
    async with Deployment(DeploymentSpec(ONE_ENDPOINT, entries=1), MIX) as deployment:
        entry, agent = deployment.entries[0], deployment.agents[0]
        client = HttpClient(entry.address, Clock(), max_connections=CLIENTS)
        until_s = time.monotonic() + CLOSED_LOOP_S
        before = entry.cpu_s(), agent.cpu_s()
        counts = await asyncio.gather(
            *(_requests_until(client, until_s) for _ in range(CLIENTS))
        )
        after = entry.cpu_s(), agent.cpu_s()
        await client.aclose()
    total = sum(counts)
    return {
        "requests a second": total / CLOSED_LOOP_S,
        "entry CPU us a request": (after[0] - before[0]) / total * 1e6,
        "agent CPU us a request": (after[1] - before[1]) / total * 1e6,
    }


async def cancellation(seed):
    """Return how long after cancelling 10,000 queued tasks others are served."""
    async with Deployment(
        DeploymentSpec(CANCEL_FLEET, entries=1), PATIENT_MIX
    ) as deployment:
        client = HttpClient(deployment.entries[0].address, Clock())
        ids = await _open(client, 11)
        jobs = CANCELLED_TASKS // 1_000
        body = _job(1_000, CANCELLED_TASK_MS)
        for number in range(jobs):
            await client.request(b"PUT", _path(ids[number]), body, (JSON_CONTENT_TYPE,))
        # As large as the others, or it would pass them before they are cancelled.
        other = _job(1_000, 1)
        await client.request(b"PUT", _path(ids[jobs]), other, (JSON_CONTENT_TYPE,))
        await asyncio.sleep(1)
        began_ms = time.time() * 1000
        await asyncio.gather(
            *(
                client.request(
                    b"POST", _path(each) + b"/cancel", b"{}", (JSON_CONTENT_TYPE,)
                )
                for each in ids[:jobs]
            )
        )
        answered_ms = time.time() * 1000
        answer = await client.request(b"GET", _path(ids[jobs]) + b"?wait_ms=30000")
        ended_ms = time.time() * 1000
        starts = [s for each in await deployment.starts() for s in each]
        await client.aclose()
        if not isinstance(answer, HttpResponse) or answer.status != 200:
            raise RuntimeError(f"the waiting job was not served: {answer}")
    others = [
        start["start_ms"]
        for start in starts
        if start["submission"] == _raw_hex(starts, ids[jobs])
    ]
    first_ms = min(others) if others else ended_ms
    if first_ms < began_ms:
        raise RuntimeError("the other job was served before the cancellation")
    return {
        "ms until slots serve others": first_ms - began_ms,
        "ms until all cancels are answered": answered_ms - began_ms,
    }


def _raw_hex(starts, submission):
    """Return the ledger's name of a submission that the caller names otherwise."""
    from plantainhitch.protocol import json_codec

    raw = json_codec.read_id(submission)
    names = {start["submission"] for start in starts}
    return raw.hex() if raw.hex() in names else submission


async def _send_jobs(client, size, tasks):
    """Send jobs of a size until so many tasks are done, some at a time."""
    jobs = tasks // size
    at_once = asyncio.Semaphore(max(1, min(CLIENTS, 200 // size)))
    body = _job(size, TASK_MS)

    async def send():
        async with at_once:
            result = await client.request(
                b"POST", b"/v1/submissions?wait_ms=60000", body, (JSON_CONTENT_TYPE,)
            )
            if not isinstance(result, HttpResponse) or result.status != 200:
                raise RuntimeError(f"a job was not served: {result}")

    await asyncio.gather(*(send() for _ in range(jobs)))


async def _requests_until(client, until_s):
    count = 0
    while time.monotonic() < until_s:
        result = await client.request(
            b"POST", b"/v1/requests", REQUEST, (JSON_CONTENT_TYPE,)
        )
        if not isinstance(result, HttpResponse) or result.status != 200:
            raise RuntimeError(f"a request was not served: {result}")
        count += 1
    return count


async def _timed(client, path, body, headers=(JSON_CONTENT_TYPE,)):
    began_s = time.perf_counter()
    result = await client.request(b"POST", path, body, headers)
    if not isinstance(result, HttpResponse) or result.status != 200:
        raise RuntimeError(f"a call was not served: {result}")
    return (time.perf_counter() - began_s) * 1000


async def _open(client, count):
    body = msgspec.json.encode({"count": count})
    result = await client.request(b"POST", b"/v1/ids", body, (JSON_CONTENT_TYPE,))
    return msgspec.json.decode(result.body)["ids"]


def _path(submission):
    return b"/v1/submissions/" + submission.encode()


def _job(size, sleep_ms):
    tasks = [{"index": n, "body": {"sleep_ms": sleep_ms}} for n in range(size)]
    return msgspec.json.encode({"class": "render", "tasks": tasks})
