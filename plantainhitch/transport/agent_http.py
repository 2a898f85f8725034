"""HTTP interface of the agent: announcements of its endpoint, health, metrics.

It is a plain ASGI application on uvicorn. Its five routes don't need litestar, which
would take a sixth of an agent's memory limit.
"""

import msgspec

from ..coordination.agent_events import EndpointAnnounced, EndpointInfo, EndpointLeaving
from ..json_input import decode_json
from .addresses import Address
from .asgi import METRICS_TYPE, Reply, read_body, send_reply

MAX_SLOTS = 10_000
MAX_BODY_BYTES = 64 * 1024


class AnnouncementModel(msgspec.Struct):
    """The JSON body with which an endpoint announces itself to its agent."""

    name: str
    address: str
    slots: int
    cores: int = 0
    memory_mb: int = 0
    accelerators: int = 0

    def to_endpoint(self):
        """Return the ``EndpointInfo``; raise ValueError if a field is invalid."""
        if not self.name:
            raise ValueError("name: must not be empty")
        if not 0 < self.slots <= MAX_SLOTS:
            raise ValueError(f"slots: {self.slots} is not in 1..{MAX_SLOTS}")
        for name in ("cores", "memory_mb", "accelerators"):
            if not 0 <= getattr(self, name) < 2**32:
                raise ValueError(f"{name}: {getattr(self, name)} is out of range")
        return EndpointInfo(
            self.name,
            Address.from_text(self.address),
            self.slots,
            self.cores,
            self.memory_mb,
            self.accelerators,
        )


class AgentApp:
    """The ASGI application of an ``AgentNode``.

    ``metrics_text()`` returns the metrics in the Prometheus text format.
    """

    def __init__(self, node, metrics_text):
        self._node = node
        self._metrics_text = metrics_text

    async def __call__(self, scope, receive, send):
        """Handle one HTTP request."""
        body = await read_body(receive, MAX_BODY_BYTES)
        if body is None:
            reply = _error_reply(413, f"the body is larger than {MAX_BODY_BYTES} bytes")
        else:
            reply = self._route(scope["method"], scope["path"], body)
        await send_reply(send, reply)

    def _route(self, method, path, body):
        match method, path:
            case "POST", "/v1/endpoint":
                return self._handle_announcement(body)
            case "POST", "/v1/endpoint/leave":
                self._node.post(EndpointLeaving())
                return Reply(204)
            case "GET", "/health/live":
                return Reply(200, b'{"live":true}')
            case "GET", "/health/ready":
                return self._readiness_reply()
            case "GET", "/metrics":
                return Reply(200, self._metrics_text().encode(), METRICS_TYPE)
        return _error_reply(404, f"no such call: {method} {path}")

    def _handle_announcement(self, body):
        try:
            endpoint = decode_json(body, AnnouncementModel).to_endpoint()
        except ValueError as error:
            return _error_reply(400, str(error))
        self._node.post(EndpointAnnounced(endpoint))
        return Reply(204)

    def _readiness_reply(self):
        if self._node.ready:
            return Reply(200, b'{"ready":true}')
        return Reply(503, b'{"ready":false}')


def _error_reply(status, message):
    return Reply(status, msgspec.json.encode({"error": message}))
