"""CPU time of the entry's HTTP layer for one submission, by its number of tasks.

Run with ``python -m benchmarks.border``. The bytes of a submission go through the ASGI
application without sockets, to a node that answers at once, so that the figures are
only those of routing, decoding, validating and encoding. The same requests over
loopback, which add the server and a client, are measured in the same run.
"""

import asyncio
import json
import statistics
import time

import httptools

from plantainhitch.outcomes import Succeeded
from plantainhitch.protocol.calls import JobAnswer, JobState
from plantainhitch.state.ids import IdIssuer
from plantainhitch.transport.addresses import Address
from plantainhitch.transport.entry_http import create_app, serve

SIZES = (1, 10, 100, 1_000)
RUNS = 3
TASKS_PER_RUN = 20_000
REQUESTS_PER_RUN = 1_000
BODY = {"widget": "w-123456", "campaign": "songkran", "opens": "2026-04-13T00:00:00"}
NS_PER_US = 1_000


class InstantNode:
    """A node whose tasks all succeed at once with their own bodies as results."""

    ready = True

    async def handle_call(self, call):
        """Return the answer of a job that is complete."""
        outcomes = {task.index: Succeeded(task.body) for task in call.job.tasks}
        return JobAnswer(call.submission, JobState.COMPLETE, outcomes)


def job_json(size):
    """Return the JSON of a job of ``size`` tasks, as bytes."""
    tasks = [{"index": index, "body": BODY} for index in range(size)]
    return json.dumps({"class": "render", "tasks": tasks}).encode()


def request_count(size):
    """Return the number of requests in one run, at least 50."""
    return max(50, min(REQUESTS_PER_RUN, TASKS_PER_RUN // size))


async def put(app, path, body):
    """Pass one PUT request to the ASGI application; drop the response."""
    scope = {
        "type": "http",
        "asgi": {"version": "3.0"},
        "http_version": "1.1",
        "method": "PUT",
        "scheme": "http",
        "path": path,
        "raw_path": path.encode(),
        "query_string": b"wait_ms=1000",
        "root_path": "",
        "headers": [(b"content-type", b"application/json")],
        "client": ("127.0.0.1", 1),
        "server": ("127.0.0.1", 2),
        "state": {},
    }

    async def receive():
        return {"type": "http.request", "body": body, "more_body": False}

    async def send(message):
        pass

    await app(scope, receive, send)


async def application_us(app, path, size):
    """Return the CPU time in us of a request without sockets, median of the runs."""
    body = job_json(size)
    figures = []
    for _ in range(RUNS):
        count = request_count(size)
        started = time.process_time_ns()
        for _ in range(count):
            await put(app, path, body)
        figures.append((time.process_time_ns() - started) / count / NS_PER_US)
    return statistics.median(figures)


class ResponseListener:
    """Callbacks for the HTTP parser; records that the response has ended."""

    def __init__(self):
        self.ended = False

    def on_message_complete(self):
        """Record the end of the response."""
        self.ended = True


async def loopback_us(address, path, size):
    """Return the CPU time in us of a request over loopback, median of the runs.

    It includes the client, which runs in this process and parses responses only.
    """
    body = job_json(size)
    head = (
        f"PUT {path}?wait_ms=1000 HTTP/1.1\r\nHost: entry\r\n"
        f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n"
    )
    reader, writer = await asyncio.open_connection(address.host, address.port)
    figures = []
    for _ in range(RUNS):
        count = request_count(size)
        started = time.process_time_ns()
        for _ in range(count):
            writer.write(head.encode() + body)
            answer = ResponseListener()
            parser = httptools.HttpResponseParser(answer)
            while not answer.ended:
                parser.feed_data(await reader.read(1 << 20))
        figures.append((time.process_time_ns() - started) / count / NS_PER_US)
    writer.close()
    return statistics.median(figures)


async def main():
    """Print a table row for each job size."""
    app = create_app(InstantNode())
    server = await serve(app, Address("127.0.0.1", 0))
    path = f"/v1/submissions/{IdIssuer.with_random_key().issue(1)[0].to_text()}"
    print("tasks  application us/request  us/task  with server and client us/request")
    for size in SIZES:
        application_cost_us = await application_us(app, path, size)
        loopback_cost_us = await loopback_us(server.address, path, size)
        print(
            f"{size:5}  {application_cost_us:22.1f}  "
            f"{application_cost_us / size:7.2f}  {loopback_cost_us:33.1f}"
        )
    await server.aclose()


if __name__ == "__main__":
    asyncio.run(main())
