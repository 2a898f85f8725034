"""The agent's HTTP server: announcements of its endpoint, health, metrics.

Built on litestar; it is called a few times in ten seconds, so its cost does not
matter beside the tasks.
"""

import msgspec
from litestar import Litestar, MediaType, Request, Response, get, post
from litestar.exceptions import ClientException

from ..coordination.agent_events import Announced, EndpointInfo, EndpointLeft
from .addresses import Address

MAX_SLOTS = 10_000
PLAIN_METRICS = "text/plain; version=0.0.4; charset=utf-8"


class AnnouncementModel(msgspec.Struct):
    """The body of an announcement."""

    name: str
    address: str
    slots: int
    cores: int = 0
    memory_mb: int = 0
    accelerators: int = 0

    def to_endpoint(self):
        """Return the ``EndpointInfo``; raise ValueError where a field is bad."""
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


def create_app(node, metrics_text):
    """Return the ASGI application of an ``AgentNode``.

    ``metrics_text()`` gives the metrics in the Prometheus text format.
    """

    @post("/v1/endpoint", status_code=204)
    async def announce(request: Request) -> None:
        try:
            model = msgspec.json.decode(await request.body(), type=AnnouncementModel)
            endpoint = model.to_endpoint()
        except (msgspec.DecodeError, ValueError) as error:
            raise ClientException(str(error)) from error
        node.post(Announced(endpoint))

    @post("/v1/endpoint/leave", status_code=204)
    async def leave() -> None:
        node.post(EndpointLeft())

    @get("/health/live")
    async def live() -> dict[str, bool]:
        return {"live": True}

    @get("/health/ready")
    async def ready() -> Response[dict[str, bool]]:
        status = 200 if node.ready else 503
        return Response({"ready": node.ready}, status_code=status)

    @get("/metrics", media_type=MediaType.TEXT)
    async def metrics() -> Response[str]:
        return Response(metrics_text(), media_type=PLAIN_METRICS)

    return Litestar(
        [announce, leave, live, ready, metrics],
        openapi_config=None,
        logging_config=None,
    )
