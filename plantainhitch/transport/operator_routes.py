"""HTTP routes for operators: classes, endpoints, status, health, metrics."""

from dataclasses import asdict
from typing import Annotated

import msgspec
from litestar import Request, get, post, put
from litestar.params import FromPath, QueryParameter
from litestar.response.base import ASGIResponse
from returns.result import Failure, Success

from ..protocol import models
from ..protocol.errors import ErrorCode, Refusal
from ..state import class_files
from . import replies
from .openapi import operation

MAX_HISTORY = 100
METRICS_TYPE = "text/plain; version=0.0.4; charset=utf-8"
STATUS_NOT_READY = 503

_APPLY_DECODER = msgspec.json.Decoder(models.ApplyModel)


@get("/v1/classes", operation_class=operation(models.ClassesModel))
async def show_classes(request: Request) -> ASGIResponse:
    """Return the version of the class document that is in force here."""
    document = request.app.state.node.configuration.current
    if document is None:
        message = "no classes have been applied yet"
        refusal = Refusal(ErrorCode.NO_CONFIGURATION, message, not_run=True)
        return replies.refuse(request, refusal)
    return _json_reply(classes_model(document))


@put(
    "/v1/classes",
    operation_class=operation(models.ClassesModel, body=models.ApplyModel),
)
async def apply_classes(request: Request) -> ASGIResponse:
    """Put a new version in force, on condition that the base is the newest."""
    change = await replies.read_body_model(request, _APPLY_DECODER)
    if isinstance(change, Refusal):
        return replies.refuse(request, change)
    parsed = class_files.from_tables({"classes": change.classes, "teams": change.teams})
    if isinstance(parsed, Failure):
        return replies.refuse(request, _bad_configuration(parsed.failure()))
    content = parsed.unwrap()
    result = await request.app.state.node.configuration.apply(
        change.base_version,
        change.change_id,
        change.author,
        content.classes,
        content.teams,
    )
    match result:
        case Success(document):
            return _json_reply(classes_model(document))
        case Failure(refusal):
            return replies.refuse(request, refusal)
    raise TypeError(f"not a result: {result!r}")


@get("/v1/classes/history", operation_class=operation(models.HistoryModel))
async def class_history(
    request: Request,
    limit: Annotated[int, QueryParameter(ge=1, le=MAX_HISTORY)] = 20,
) -> ASGIResponse:
    """Return the newest versions of the class document."""
    result = await request.app.state.node.configuration.history(limit)
    match result:
        case Success(documents):
            versions = [classes_model(document) for document in documents]
            return _json_reply(models.HistoryModel(versions))
        case Failure(refusal):
            return replies.refuse(request, refusal)
    raise TypeError(f"not a result: {result!r}")


@get("/v1/endpoints", operation_class=operation(models.EndpointsModel))
async def show_endpoints(request: Request) -> ASGIResponse:
    """Return the endpoints that this entry knows."""
    views = request.app.state.node.endpoints()
    return _json_reply(models.EndpointsModel([_endpoint_model(view) for view in views]))


@post(
    "/v1/endpoints/{name:str}/drain",
    status_code=200,
    operation_class=operation(models.DrainModel),
)
async def drain_endpoint(request: Request, name: FromPath[str]) -> ASGIResponse:
    """Give an endpoint no new work."""
    return await _set_draining(request, name, True)


@post(
    "/v1/endpoints/{name:str}/resume",
    status_code=200,
    operation_class=operation(models.DrainModel),
)
async def resume_endpoint(request: Request, name: FromPath[str]) -> ASGIResponse:
    """Give a drained endpoint work again."""
    return await _set_draining(request, name, False)


@get("/v1/status", operation_class=operation(models.StatusModel))
async def show_status(request: Request) -> ASGIResponse:
    """Return what this entry is doing."""
    return _json_reply(request.app.state.node.status())


@get("/health/live", operation_class=operation(models.HealthModel))
async def live(request: Request) -> ASGIResponse:
    """Return 200 while the process runs."""
    return _json_reply(models.HealthModel(request.app.state.node.ready))


@get("/health/ready", operation_class=operation(models.HealthModel))
async def ready(request: Request) -> ASGIResponse:
    """Return 200 when the balancer may send calls here, else 503."""
    if request.app.state.node.ready:
        return _json_reply(models.HealthModel(True))
    refusal = Refusal(ErrorCode.NOT_READY, "starting or draining", not_run=True)
    # Not ``refuse``: a failed health check isn't counted as a refused call.
    return replies.error_reply(refusal, request)


@get("/metrics", media_type="text/plain", operation_class=operation(str))
async def show_metrics(request: Request) -> ASGIResponse:
    """Return the metrics in the Prometheus text format."""
    node = request.app.state.node
    text = node.metrics.render(node.status())
    return ASGIResponse(body=text, media_type=METRICS_TYPE)


OPERATOR_ROUTES = [
    show_classes,
    apply_classes,
    class_history,
    show_endpoints,
    drain_endpoint,
    resume_endpoint,
    show_status,
    live,
    ready,
    show_metrics,
]


def classes_model(document):
    """Return the HTTP model of a ``ClassDocument``."""
    return models.ClassesModel(
        version=document.version,
        change_id=document.change_id,
        author=document.author,
        classes={
            name: _fields_without_name(item) for name, item in document.classes.items()
        },
        teams={
            name: _fields_without_name(item) for name, item in document.teams.items()
        },
    )


def _fields_without_name(definition):
    """Return a definition's fields without the name, which is its JSON key."""
    fields = asdict(definition)
    del fields["name"]
    return fields


def _endpoint_model(view):
    return models.EndpointModel(
        **{name: getattr(view, name) for name in models.EndpointModel.__struct_fields__}
    )


def _bad_configuration(problems):
    message = f"{len(problems)} errors in the classes"
    details = tuple(str(problem) for problem in problems)
    return Refusal(ErrorCode.BAD_CONFIGURATION, message, True, details=details)


async def _set_draining(request, name, draining):
    refusal = await request.app.state.node.set_endpoint_draining(name, draining)
    if refusal is not None:
        return replies.refuse(request, refusal)
    return _json_reply(models.DrainModel(name, draining))


def _json_reply(model):
    return replies.json_reply(msgspec.json.encode(model))
