"""Scenarios of CPU per task, added latency, throughput and cancellation.

Like those of ``scenarios``, each function takes a seed, starts its own processes and
returns a dict of figures by measure name. None of them draws from the seed.
"""

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
# The target of its class is long enough for 10,000 tasks to wait.
LONG_TARGET_MIX = workloads.Mix(
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


async def cpu_per_task(seed):
    """Measure CPU us per task at entry and agent for jobs of 1 to 1,000 tasks."""
    figures = {}
    async with Deployment(DeploymentSpec(ONE_ENDPOINT, entries=1), MIX) as deployment:
        entry, agent = deployment.entries[0], deployment.agents[0]
        client = HttpClient(entry.address, Clock(), max_connections=CLIENTS)
        await _send_jobs(client, 10, 300)
        for size in (1, 10, 100, 1_000):
            before = entry.cpu_s(), agent.cpu_s()
            await _send_jobs(client, size, TASKS_PER_SIZE)
            for process, cpu_before_s in zip((entry, agent), before, strict=True):
                role = process.name.partition("-")[0]
                cpu_us = (process.cpu_s() - cpu_before_s) / TASKS_PER_SIZE * 1e6
                figures[f"{role}, jobs of {size}"] = cpu_us
        await client.aclose()
    figures["entry and agent, jobs of 100"] = (
        figures["entry, jobs of 100"] + figures["agent, jobs of 100"]
    )
    return figures


async def added_latency(seed):
    """Measure the latency in ms of a request beyond that of a direct call."""
    async with Deployment(DeploymentSpec(ONE_ENDPOINT, entries=1), MIX) as deployment:
        entry = HttpClient(deployment.entries[0].address, Clock())
        endpoint = HttpClient(deployment.endpoints[0].address, Clock())
        through_entry, direct = [], []
        for _ in range(SEQUENTIAL_CALLS):
            direct.append(
                await _time_call_ms(
                    endpoint, b"/tasks", b'{"sleep_ms": 0}', TASK_HEADERS
                )
            )
            through_entry.append(await _time_call_ms(entry, b"/v1/requests", REQUEST))
        await entry.aclose()
        await endpoint.aclose()
    figures = {}
    for name, share in (("p50", 50), ("p99", 99)):
        percentiles = [
            statistics.quantiles(each, n=100)[share - 1]
            for each in (through_entry, direct)
        ]
        figures[f"added latency ms {name}"] = percentiles[0] - percentiles[1]
        figures[f"direct ms {name}"] = percentiles[1]
    return figures


async def requests_per_second(seed):
    """Measure requests per second of closed-loop clients at one entry and agent."""
    async with Deployment(DeploymentSpec(ONE_ENDPOINT, entries=1), MIX) as deployment:
        entry, agent = deployment.entries[0], deployment.agents[0]
        client = HttpClient(entry.address, Clock(), max_connections=CLIENTS)
        until_s = time.monotonic() + CLOSED_LOOP_S
        before = entry.cpu_s(), agent.cpu_s()
        counts = await asyncio.gather(
            *(_send_requests_until(client, until_s) for _ in range(CLIENTS))
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
    """Measure the time from cancelling 10,000 queued tasks to serving others."""
    async with Deployment(
        DeploymentSpec(CANCEL_FLEET, entries=1), LONG_TARGET_MIX
    ) as deployment:
        client = HttpClient(deployment.entries[0].address, Clock())
        ids = await _issue_ids(client, 11)
        jobs = CANCELLED_TASKS // 1_000
        body = _job_body(1_000, CANCELLED_TASK_MS)
        for number in range(jobs):
            await client.request(
                b"PUT", _submission_path(ids[number]), body, (JSON_CONTENT_TYPE,)
            )
        # A smaller job would be served before the others are cancelled.
        other = _job_body(1_000, 1)
        await client.request(
            b"PUT", _submission_path(ids[jobs]), other, (JSON_CONTENT_TYPE,)
        )
        await asyncio.sleep(1)
        began_ms = time.time() * 1000
        await asyncio.gather(
            *(
                client.request(
                    b"POST",
                    _submission_path(each) + b"/cancel",
                    b"{}",
                    (JSON_CONTENT_TYPE,),
                )
                for each in ids[:jobs]
            )
        )
        answered_ms = time.time() * 1000
        answer = await client.request(
            b"GET", _submission_path(ids[jobs]) + b"?wait_ms=30000"
        )
        ended_ms = time.time() * 1000
        starts = [s for each in await deployment.starts() for s in each]
        await client.aclose()
        if not isinstance(answer, HttpResponse) or answer.status != 200:
            raise RuntimeError(f"the waiting job was not served: {answer}")
    others = [
        start["start_ms"]
        for start in starts
        if start["submission"] == _ledger_name(starts, ids[jobs])
    ]
    first_ms = min(others) if others else ended_ms
    if first_ms < began_ms:
        raise RuntimeError("the other job was served before the cancellation")
    return {
        "ms until slots serve others": first_ms - began_ms,
        "ms until all cancels are answered": answered_ms - began_ms,
    }


def _ledger_name(starts, submission):
    """Return the name that the ledgers use for a submission ID of the HTTP API."""
    from plantainhitch.protocol import json_codec

    raw = json_codec.read_id(submission)
    names = {start["submission"] for start in starts}
    return raw.hex() if raw.hex() in names else submission


async def _send_jobs(client, size, tasks):
    """Send jobs of ``size`` tasks, ``tasks`` in all, a limited number at a time."""
    jobs = tasks // size
    concurrency_limit = asyncio.Semaphore(max(1, min(CLIENTS, 200 // size)))
    body = _job_body(size, TASK_MS)

    async def send():
        async with concurrency_limit:
            result = await client.request(
                b"POST", b"/v1/submissions?wait_ms=60000", body, (JSON_CONTENT_TYPE,)
            )
            if not isinstance(result, HttpResponse) or result.status != 200:
                raise RuntimeError(f"a job was not served: {result}")

    await asyncio.gather(*(send() for _ in range(jobs)))


async def _send_requests_until(client, until_s):
    count = 0
    while time.monotonic() < until_s:
        result = await client.request(
            b"POST", b"/v1/requests", REQUEST, (JSON_CONTENT_TYPE,)
        )
        if not isinstance(result, HttpResponse) or result.status != 200:
            raise RuntimeError(f"a request was not served: {result}")
        count += 1
    return count


async def _time_call_ms(client, path, body, headers=(JSON_CONTENT_TYPE,)):
    began_s = time.perf_counter()
    result = await client.request(b"POST", path, body, headers)
    if not isinstance(result, HttpResponse) or result.status != 200:
        raise RuntimeError(f"a call was not served: {result}")
    return (time.perf_counter() - began_s) * 1000


async def _issue_ids(client, count):
    body = msgspec.json.encode({"count": count})
    result = await client.request(b"POST", b"/v1/ids", body, (JSON_CONTENT_TYPE,))
    return msgspec.json.decode(result.body)["ids"]


def _submission_path(submission):
    return b"/v1/submissions/" + submission.encode()


def _job_body(size, sleep_ms):
    tasks = [{"index": n, "body": {"sleep_ms": sleep_ms}} for n in range(size)]
    return msgspec.json.encode({"class": "render", "tasks": tasks})
