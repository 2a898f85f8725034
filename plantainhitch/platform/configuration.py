"""Decodes the operator's configuration row into a ``RouteTable``."""

import msgspec

from .. import logs
from ..state.routes import Route, RouteTable

# The key of the configuration row in the operator's table.
CONFIGURATION_KEY = "config"

log = logs.get_logger("configuration")


class RouteModel(msgspec.Struct):
    """A queue, and the requests that belong to it."""

    name: str
    host: str
    path_prefix: str
    service: str  # the pool of endpoints
    priority: int = 0
    max_attempts: int = 1
    stretch: float = 1.0
    target_latency_ms: float = 0  # added to the stretched work, not the whole target
    timeout_ms: float = 0
    # If set, only some endpoints may run the queue's steps, and a policy service
    # decides which.
    advice: dict | None = None


class ServiceModel(msgspec.Struct):
    """A pool of endpoints."""

    name: str
    admission_check: bool = False


class LimitsModel(msgspec.Struct):
    """Limits that entries keep."""

    max_body_bytes: int = 1 << 20


class ConfigurationModel(msgspec.Struct):
    """The document in the configuration row."""

    version: int
    routes: list[RouteModel]
    services: list[ServiceModel] = []
    limits: LimitsModel = msgspec.field(default_factory=LimitsModel)


def decode(value):
    """Return the ``RouteTable`` in the value of a row.

    Raises ValueError (``msgspec.DecodeError`` is one) if the value is not readable.
    """
    model = msgspec.json.decode(value, type=ConfigurationModel)
    return RouteTable(
        version=model.version,
        routes=tuple(map(_to_route, model.routes)),
        max_body_bytes=model.limits.max_body_bytes,
        pools_with_admission_check=frozenset(
            service.name for service in model.services if service.admission_check
        ),
        document=bytes(value),
    )


def _to_route(model):
    return Route(
        name=model.name,
        host=model.host,
        path_prefix=model.path_prefix,
        pool=model.service,
        priority=model.priority,
        max_attempts=model.max_attempts,
        stretch=model.stretch,
        target_ms=round(model.target_latency_ms),
        timeout_ms=round(model.timeout_ms),
        uses_policy_service=model.advice is not None,
    )


class RouteSource:
    """Reads route tables from the operator's row, for ``RouteWatch``."""

    def __init__(self, store):
        self._store = store

    async def read(self):
        """Return Success((revision, RouteTable or None)), or a Failure.

        The table is None if there is no readable configuration.
        """
        found = await self._store.operator_changes(0, 0)
        return found.map(_newest_table)

    async def wait(self, revision, wait_ms):
        """Wait up to ``wait_ms`` for changes since ``revision``.

        Returns the same as ``read``, with None if the configuration has not changed.
        """
        found = await self._store.operator_changes(revision, wait_ms)
        return found.map(_newest_table)


def _newest_table(changes):
    table = None
    for row in changes.rows:
        if row.key != CONFIGURATION_KEY or row.value is None:
            continue
        try:
            table = decode(row.value)
        except (msgspec.DecodeError, ValueError, UnicodeDecodeError) as error:
            log.error("unreadable configuration", revision=row.revision, why=str(error))
    return changes.revision, table
