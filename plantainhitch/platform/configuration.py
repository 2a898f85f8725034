"""Decodes the rows of the operator's table: the configuration and evacuations."""

from typing import Annotated

import msgspec
from returns.result import Success

from .. import logs
from ..json_input import decode_json
from ..state.evacuations import EvacuatedZones
from ..state.routes import Route, RouteTable

# The key of the configuration row in the operator's table.
CONFIGURATION_KEY = "config"
# The keys of the rows whose presence evacuates an availability zone; the zone's name
# follows.
EVACUATION_PREFIX = "evacuate/"

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

    version: Annotated[int, msgspec.Meta(ge=0, le=2**63 - 1)]
    routes: list[RouteModel]
    services: list[ServiceModel] = []
    limits: LimitsModel = msgspec.field(default_factory=LimitsModel)


def decode(value):
    """Return the ``RouteTable`` in the value of a row.

    Raises ValueError if the value is not readable.
    """
    model = decode_json(value, ConfigurationModel)
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


class OperatorSource:
    """Reads the operator's table, for ``RouteWatch``.

    ``on_evacuations(EvacuatedZones)`` is called after each complete read, before the
    read returns.
    """

    def __init__(self, store, on_evacuations):
        self._store = store
        self._on_evacuations = on_evacuations
        # The unreadable rows that were logged, as pairs of a key and a revision.
        self._logged_rows = set()

    async def read(self):
        """Return Success((revision, RouteTable or None)), or a Failure.

        The table is None if there is no readable configuration.
        """
        return (await self._store.operator_changes(0, 0)).map(self._handle)

    async def wait(self, revision, wait_ms):
        """Wait up to ``wait_ms`` for changes since ``revision``.

        Returns the same as ``read``, with None if the configuration has not changed.
        """
        found = await self._store.operator_changes(revision, wait_ms)
        match found:
            case Success(changes) if not changes.is_complete and any(
                row.key.startswith(EVACUATION_PREFIX) for row in changes.rows
            ):
                # The store may drop changes without notice, and a set to which only
                # some of them were applied must not have the revision of the last.
                found = await self._store.operator_changes(0, 0)
        return found.map(self._handle)

    def _handle(self, changes):
        if changes.is_complete:
            zones = frozenset(self._evacuated_zones(changes.rows))
            self._on_evacuations(EvacuatedZones(changes.revision, zones))
        return _newest_table(changes)

    def _evacuated_zones(self, rows):
        """Yield the zones that have a row; whatever its value, the row counts."""
        for row in rows:
            if not row.key.startswith(EVACUATION_PREFIX) or row.value is None:
                continue
            zone = row.key.removeprefix(EVACUATION_PREFIX)
            if not zone:
                self._log_unreadable(row, "it names no zone, and is ignored")
                continue
            if not _is_json(row.value):
                self._log_unreadable(
                    row, "its value is no JSON; it counts all the same"
                )
            yield zone

    def _log_unreadable(self, row, why):
        """Log an unreadable row once: the table is read again each second."""
        if (row.key, row.revision) not in self._logged_rows:
            self._logged_rows.add((row.key, row.revision))
            log.error(
                "unreadable evacuation row",
                key=row.key,
                revision=row.revision,
                why=why,
            )


def _is_json(value):
    try:
        decode_json(value, object)
    except ValueError:
        return False
    return True


def _newest_table(changes):
    table = None
    for row in changes.rows:
        if row.key != CONFIGURATION_KEY or row.value is None:
            continue
        try:
            table = decode(row.value)
        except ValueError as error:
            log.error("unreadable configuration", revision=row.revision, why=str(error))
    return changes.revision, table
