"""The HTTP applications of an entry: jobs for callers, readiness for the balancer."""

import asyncio
import re

import msgspec

from .. import logs
from ..coordination.jobs.outcomes import Ended, GaveUp, NeverRan
from ..transport.asgi import Reply, read_body, send_reply, wait_for_disconnect
from . import jobs

JOB_ID_PATTERN = re.compile(r"[0-9a-f]{16}", re.ASCII)
# Used for requests without a readable deadline header.
DEFAULT_CALLER_TIMEOUT_MS = 60_000
MAX_DEADLINE_DIGITS = 12
_DEFAULT_MAX_BODY_BYTES = 1024 * 1024
_HOST_HEADER, _DEADLINE_HEADER = b"host", b"x-deadline-ms"

log = logs.get_logger("front")


class JobApp:
    """The ASGI application with which callers submit jobs to an entry.

    ``node`` is a ``JobEntryNode``. A submission is answered when its job has ended.
    """

    def __init__(self, node):
        self._node = node

    async def __call__(self, scope, receive, send):
        """Serve one request."""
        reply = await self._reply(scope, receive)
        if reply is not None:
            await send_reply(send, reply)

    async def _reply(self, scope, receive):
        table = self._node.routes
        limit = table.max_body_bytes if table else _DEFAULT_MAX_BODY_BYTES
        body = await read_body(receive, limit)
        if table is None:
            return self._error(503, "no configuration yet", retry_after_s=1)
        headers = dict(scope["headers"])
        host = headers.get(_HOST_HEADER, b"").decode("latin-1")
        route = self._node.routes.find(host, scope["path"])
        if route is None:
            return self._error(404, "no such queue")
        if body is None:
            return self._error(413, f"the body is over {limit} bytes")
        job_id = scope["path"].removeprefix(route.path_prefix)
        if not job_id:
            return self._reply_to_queue(scope["method"], route)
        if not JOB_ID_PATTERN.fullmatch(job_id):
            return self._error(400, f"not an id of 16 hexadecimal digits: {job_id!r}")
        match scope["method"]:
            case "POST":
                return await self._submit(job_id, route, headers, body, receive)
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
        except ValueError as error:
            return self._error(400, str(error))
        disconnected = asyncio.ensure_future(wait_for_disconnect(receive))
        try:
            caller_timeout_ms = _caller_timeout_ms(headers)
            outcome = await self._node.run_job(
                spec, route, caller_timeout_ms, disconnected
            )
        finally:
            disconnected.cancel()
        match outcome:
            case Ended(state):
                body = msgspec.json.encode({"state": state.value})
                return Reply(200, body, close_connection=self._node.is_closing)
            case NeverRan(reason, retry_after_s):
                return self._error(503, reason, retry_after_s=retry_after_s)
            case GaveUp(reason):
                return self._error(504, reason)

    def _reply_to_queue(self, method, route):
        if method != "GET":
            return self._error(405, f"the method is not allowed: {method}")
        body = msgspec.json.encode({"pending": self._node.count_pending(route)})
        return Reply(200, body, close_connection=self._node.is_closing)

    def _error(self, status, message, retry_after_s=0):
        return Reply(
            status,
            msgspec.json.encode({"error": message}),
            retry_after_s=retry_after_s,
            close_connection=self._node.is_closing,
        )


class ReadinessApp:
    """The ASGI application that answers the balancer's readiness checks."""

    def __init__(self, node):
        self._node = node

    async def __call__(self, scope, receive, send):
        """Serve one request."""
        await send_reply(send, Reply(200 if self._node.ready else 503, b"{}"))


def _caller_timeout_ms(headers):
    text = headers.get(_DEADLINE_HEADER, b"")
    if text.isdigit() and len(text) <= MAX_DEADLINE_DIGITS:
        return int(text)
    if text:
        log.warning("unreadable deadline", value=text[:100].decode("latin-1"))
    return DEFAULT_CALLER_TIMEOUT_MS
