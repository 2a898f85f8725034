"""The HTTP interface that callers of the platform use for jobs."""

import asyncio
import re

import msgspec

from .. import logs
from ..coordination.jobs.outcomes import Ended, GaveUp, NeverRan
from ..transport.asgi import Reply, answer, read_body
from . import jobs

JOB_ID = re.compile(r"[0-9a-f]{16}", re.ASCII)
# Callers that don't say how long they wait.
DEFAULT_PATIENCE_MS = 60_000
_MAX_BODY_BYTES = 1024 * 1024
_HOST, _PATIENCE = b"host", b"x-deadline-ms"

log = logs.get_logger("front")


class JobApp:
    """The ASGI application on an entry's address for callers.

    ``node`` is a ``JobEntryNode``.
    """

    def __init__(self, node):
        self._node = node

    async def __call__(self, scope, receive, send):
        """Serve one request."""
        reply = await self._reply(scope, receive)
        if reply is not None:
            await answer(send, reply)

    async def _reply(self, scope, receive):
        table = self._node.routes
        limit = table.max_body_bytes if table else _MAX_BODY_BYTES
        body = await read_body(receive, limit)
        if table is None:
            return self._error(503, "no configuration yet", retry_after_s=1)
        headers = dict(scope["headers"])
        host = headers.get(_HOST, b"").decode("latin-1")
        route = self._node.routes.find(host, scope["path"])
        if route is None:
            return self._error(404, "no such queue")
        if body is None:
            return self._error(413, f"the body is over {limit} bytes")
        name = scope["path"].removeprefix(route.path_prefix)
        if not name:
            return self._queue(scope["method"], route)
        if not JOB_ID.fullmatch(name):
            return self._error(400, f"not an id of 16 hexadecimal digits: {name!r}")
        match scope["method"]:
            case "POST":
                return await self._submit(name, route, headers, body, receive)
            case "GET" | "DELETE":
                return self._error(410, "no such job")
        return self._error(405, f"the method is not allowed: {scope['method']}")

    async def _submit(self, job_id, route, headers, body, receive):
        try:
            spec = jobs.decode(job_id, body)
            if route.uses_policy_service:
                raise jobs.UnsupportedJobError("queues with a policy of their own")
        except jobs.UnsupportedJobError as error:
            log.warning("job not supported", job=job_id, why=str(error))
            return self._error(503, f"not supported: {error}", retry_after_s=60)
        except (msgspec.DecodeError, ValueError) as error:
            return self._error(400, str(error))
        left = asyncio.ensure_future(_wait_for_end(receive))
        try:
            patience_ms = _patience_ms(headers)
            outcome = await self._node.run_job(spec, route, patience_ms, left)
        finally:
            left.cancel()
        match outcome:
            case Ended(state):
                body = msgspec.json.encode({"state": state.value})
                return Reply(200, body, close=self._node.is_closing)
            case NeverRan(reason, retry_after_s):
                return self._error(503, reason, retry_after_s=retry_after_s)
            case GaveUp(reason):
                return self._error(504, reason)

    def _queue(self, method, route):
        if method != "GET":
            return self._error(405, f"the method is not allowed: {method}")
        body = msgspec.json.encode({"pending": self._node.count_pending(route)})
        return Reply(200, body, close=self._node.is_closing)

    def _error(self, status, message, retry_after_s=0):
        return Reply(
            status,
            msgspec.json.encode({"error": message}),
            retry_after_s=retry_after_s,
            close=self._node.is_closing,
        )


class ReadinessApp:
    """Answers the balancer's checks."""

    def __init__(self, node):
        self._node = node

    async def __call__(self, scope, receive, send):
        """Serve one request."""
        await answer(send, Reply(200 if self._node.ready else 503, b"{}"))


async def _wait_for_end(receive):
    while (await receive())["type"] != "http.disconnect":
        pass


def _patience_ms(headers):
    text = headers.get(_PATIENCE, b"")
    if text.isdigit():
        return int(text)
    if text:
        log.warning("unreadable deadline", value=text.decode("latin-1"))
    return DEFAULT_PATIENCE_MS
