"""The HTTP application that receives the heartbeats of the endpoint on its machine."""

from .. import logs
from ..transport.asgi import MAX_SMALL_BODY_BYTES, Reply, read_body, send_reply
from . import endpoint

# What other writers send may be long.
MAX_LOGGED_CHARACTERS = 200
_PATH = "/instances/"

log = logs.get_logger("heartbeats")


class HeartbeatApp:
    """An ASGI application that decodes heartbeats and notices of departure.

    ``on_heartbeat(EndpointReport)`` and ``on_leave(endpoint_id)`` are called before the
    request is acknowledged. Heartbeats of other pools than ``pool`` are refused.
    """

    def __init__(self, pool, on_heartbeat, on_leave):
        self._pool = pool
        self._on_heartbeat = on_heartbeat
        self._on_leave = on_leave

    async def __call__(self, scope, receive, send):
        """Serve one request."""
        body = await read_body(receive, MAX_SMALL_BODY_BYTES)
        await send_reply(send, self._reply(scope["method"], scope["path"], body))

    def _reply(self, method, path, body):
        endpoint_id = path.removeprefix(_PATH)
        if not path.startswith(_PATH) or not endpoint_id:
            return Reply(404, b'{"error":"no such call"}')
        if body is None:
            return Reply(413, b'{"error":"the body is too large"}')
        match method:
            case "PUT":
                return self._handle_heartbeat(endpoint_id, body)
            case "DELETE":
                self._on_leave(endpoint_id[:MAX_LOGGED_CHARACTERS])
                return Reply(200, b"{}")
        return Reply(405, b'{"error":"the method is not allowed"}')

    def _handle_heartbeat(self, endpoint_id, body):
        try:
            report = endpoint.decode_heartbeat(endpoint_id, body)
        except ValueError as error:
            log.warning(
                "unreadable heartbeat",
                endpoint=endpoint_id[:MAX_LOGGED_CHARACTERS],
                why=str(error)[:MAX_LOGGED_CHARACTERS],
            )
            return Reply(400, b'{"error":"the heartbeat is not readable"}')
        if report.pool != self._pool:
            pool = report.pool[:MAX_LOGGED_CHARACTERS]
            log.warning("heartbeat of another pool refused", pool=pool)
            return Reply(400, b'{"error":"another service"}')
        self._on_heartbeat(report)
        return Reply(200, b"{}")
