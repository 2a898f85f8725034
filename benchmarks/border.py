"""Processor time of the HTTP border for one submission, by tasks in it.

Run with ``python -m benchmarks.border``. A submission's bytes go through the
application without sockets, to a node that answers at once, so the figures are
the border's own: routing, reading, checking, writing. The server's share is
measured over loopback in the same run.
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
    """Answers a submission at once with its own bodies."""

    ready = True

    async def handle_call(self, call):
        """Return the complete answer."""
        outcomes = {task.index: Succeeded(task.body) for task in call.job.tasks}
        return JobAnswer(call.submission, JobState.COMPLETE, outcomes)


def job(size):
    """Return the JSON of a job of ``size`` tasks."""
    tasks = [{"index": index, "body": BODY} for index in range(size)]
    return json.dumps({"class": "render", "tasks": tasks}).encode()


def count_for(size):
    """Return how many requests one run makes."""
    return max(50, min(REQUESTS_PER_RUN, TASKS_PER_RUN // size))


async def call(app, path, body):
    """Send one PUT through the ASGI application."""
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
    """Return the median CPU microseconds of a request without sockets."""
    body = job(size)
    figures = []
    for _ in range(RUNS):
        count = count_for(size)
        started = time.process_time_ns()
        for _ in range(count):
            await call(app, path, body)
        figures.append((time.process_time_ns() - started) / count / NS_PER_US)
    return statistics.median(figures)


class Answer:
    """Notes when a response has ended, for the HTTP parser."""

    def __init__(self):
        self.ended = False

    def on_message_complete(self):
        """Note the end; the parser calls this."""
        self.ended = True


async def loopback_us(address, path, size):
    """Return the median CPU microseconds of a request over loopback.

    The bare client of this process is part of the figure.
    """
    body = job(size)
    head = (
        f"PUT {path}?wait_ms=1000 HTTP/1.1\r\nHost: entry\r\n"
        f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n"
    )
    reader, writer = await asyncio.open_connection(address.host, address.port)
    figures = []
    for _ in range(RUNS):
        count = count_for(size)
        started = time.process_time_ns()
        for _ in range(count):
            writer.write(head.encode() + body)
            answer = Answer()
            parser = httptools.HttpResponseParser(answer)
            while not answer.ended:
                parser.feed_data(await reader.read(1 << 20))
        figures.append((time.process_time_ns() - started) / count / NS_PER_US)
    writer.close()
    return statistics.median(figures)


async def main():
    """Print a line for each size."""
    app = create_app(InstantNode())
    server = await serve(app, Address("127.0.0.1", 0))
    path = f"/v1/submissions/{IdIssuer.with_random_key().issue(1)[0].to_text()}"
    print("tasks  application us/request  us/task  with server and client us/request")
    for size in SIZES:
        inside = await application_us(app, path, size)
        whole = await loopback_us(server.address, path, size)
        print(f"{size:5}  {inside:22.1f}  {inside / size:7.2f}  {whole:33.1f}")
    await server.aclose()


if __name__ == "__main__":
    asyncio.run(main())
