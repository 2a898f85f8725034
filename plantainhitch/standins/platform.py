"""Stand-in for the platform: table service and object store over HTTP, with faults.

It implements ``docs/platform-protocol.md`` and, for tests, ``POST /faults`` with the
fields of ``table.Faults`` and ``GET /counters``; both also work during an outage.
"""

import asyncio
import json
from dataclasses import asdict, replace

import msgspec
import uvicorn
from litestar import Litestar, Request, Response, get, post, put
from litestar.exceptions import ClientException, HTTPException, NotFoundException
from litestar.params import FromPath, FromQuery

from ..transport.addresses import Address
from ..transport.platform_models import (
    ChangesModel,
    ConflictModel,
    ReadModel,
    RowModel,
    TransactionModel,
    WrittenModel,
)
from .table import Counters, Faults, TableService, WriteConflict

HTTP_UNAVAILABLE = 503
HTTP_CONFLICT = 409
HTTP_OK = 200
SHUTDOWN_GRACE_S = 1


class FaultsModel(msgspec.Struct, forbid_unknown_fields=True):
    """The body of ``POST /faults``; a field left out turns its fault off."""

    outage: bool = False
    delay_ms: int = 0
    lose_replies: int = 0
    lose_requests: int = 0


class _LostReply(Response):
    """A response that ends after its headers, so that the caller gets no answer."""

    def __init__(self):
        super().__init__(None)

    def to_asgi_response(self, *arguments, **options):
        """Return an application that declares a body and never sends it."""

        async def send_headers(scope, receive, send):
            start = {
                "type": "http.response.start",
                "status": HTTP_OK,
                "headers": [(b"content-length", b"1"), (b"connection", b"close")],
            }
            await send(start)

        return send_headers


class PlatformStandIn:
    """State, faults and HTTP handlers of the stand-in."""

    def __init__(self):
        self._tables = TableService()
        self._objects = {}
        self._faults = Faults()
        self._counters = Counters()

    def application(self):
        """Return the ASGI application."""
        return Litestar(
            route_handlers=[
                self._read_handler(),
                self._changes_handler(),
                self._write_handler(),
                *self._object_handlers(),
                *self._control_handlers(),
            ],
            openapi_config=None,
            # By default Litestar redirects all logs of the process to its own queue.
            logging_config=None,
        )

    async def _apply_faults(self):
        """Apply the delay in force; raise ``HTTPException`` during an outage."""
        if self._faults.delay_ms:
            await asyncio.sleep(self._faults.delay_ms / 1000)
        if self._faults.outage:
            raise HTTPException("outage", status_code=HTTP_UNAVAILABLE)

    async def _begin_read(self):
        self._counters.reads += 1
        await self._apply_faults()

    async def _begin_write(self):
        self._counters.writes += 1
        await self._apply_faults()

    def _consume_fault(self, fault):
        """Decrement the count of a fault; return False if it was 0 already."""
        remaining = getattr(self._faults, fault)
        if not remaining:
            return False
        self._faults = replace(self._faults, **{fault: remaining - 1})
        return True

    def _read_handler(self):
        @get("/tables/{table:str}/rows/{key:path}")
        async def read(table: FromPath[str], key: FromPath[str]) -> ReadModel:
            await self._begin_read()
            row = self._tables.table(table).read(key.removeprefix("/"))
            return ReadModel(RowModel.from_row(row) if row else None)

        return read

    def _changes_handler(self):
        @get("/tables/{table:str}/changes")
        async def changes(
            table: FromPath[str],
            since: FromQuery[int] = 0,
            limit: FromQuery[int | None] = None,
        ) -> ChangesModel:
            await self._begin_read()
            changed = self._tables.table(table).changes(since, limit)
            return ChangesModel.from_changes(changed)

        return changes

    def _write_handler(self):
        @post("/tables/{table:str}/write", status_code=HTTP_OK)
        async def write(table: FromPath[str], request: Request) -> Response:
            transaction = await _decode_body(request, TransactionModel)
            await self._begin_write()
            if self._consume_fault("lose_requests"):
                return _LostReply()
            writes = [model.to_write() for model in transaction.writes]
            written = self._tables.table(table).write(writes)
            if self._consume_fault("lose_replies"):
                return _LostReply()
            match written:
                case WriteConflict(rows):
                    model = ConflictModel([RowModel.from_row(row) for row in rows])
                    return Response(model, status_code=HTTP_CONFLICT)
            return Response(WrittenModel(written))

        return write

    def _object_handlers(self):
        @get("/objects/{name:path}")
        async def read_object(name: FromPath[str]) -> Response:
            await self._begin_read()
            if name not in self._objects:
                raise NotFoundException(f"no object {name}")
            media_type = "application/octet-stream"
            return Response(self._objects[name], media_type=media_type)

        @put("/objects/{name:path}")
        async def write_object(name: FromPath[str], request: Request) -> None:
            body = await request.body()
            await self._begin_write()
            self._objects[name] = body

        return read_object, write_object

    def _control_handlers(self):
        @post("/faults", status_code=HTTP_OK)
        async def set_faults(request: Request) -> dict:
            model = await _decode_body(request, FaultsModel)
            self._faults = Faults(**msgspec.structs.asdict(model))
            return asdict(self._faults)

        @get("/counters")
        async def counters() -> dict:
            return asdict(self._counters)

        return set_faults, counters


async def _decode_body(request, model):
    try:
        return msgspec.json.decode(await request.body(), type=model)
    except msgspec.DecodeError as error:
        raise ClientException(str(error)) from error


class _AnnouncingServer(uvicorn.Server):
    """A server that prints its address as a line of JSON once it listens."""

    async def startup(self, sockets=None):
        await super().startup(sockets)
        if not self.started:
            return
        host, port = self.servers[0].sockets[0].getsockname()[:2]
        line = {"ready": True, "http": str(Address(host, port))}
        print(json.dumps(line), flush=True)


async def serve(address):
    """Serve the stand-in at ``address`` until SIGTERM or SIGINT."""
    config = uvicorn.Config(
        PlatformStandIn().application(),
        host=address.host,
        port=address.port,
        log_level="critical",
        access_log=False,
        lifespan="off",
        timeout_graceful_shutdown=SHUTDOWN_GRACE_S,
    )
    await _AnnouncingServer(config).serve()
