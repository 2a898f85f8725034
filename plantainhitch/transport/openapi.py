"""The OpenAPI document that the entry serves at ``/schema/openapi.json``.

Handlers read and return raw bytes, so each one declares its models with
``operation``.
"""

from dataclasses import dataclass

import msgspec
from litestar.openapi import OpenAPIConfig
from litestar.openapi.plugins import JsonRenderPlugin
from litestar.openapi.spec import (
    OpenAPIMediaType,
    OpenAPIResponse,
    Operation,
    RequestBody,
)

from .. import __version__
from ..protocol import models

JSON_TYPE = "application/json"
REF_TEMPLATE = "#/components/schemas/{name}"
_MODELS = tuple(
    model
    for model in vars(models).values()
    if isinstance(model, type) and issubclass(model, msgspec.Struct)
)


def operation(answer, *, body=None, running=None):
    """Return an operation class that documents a handler's models.

    ``answer`` is the model of a 200 response, ``running`` that of a 202, and ``body``
    that of the request. Without ``running`` or ``body`` that part is omitted.
    """
    responses = {
        "200": _response("The answer.", answer),
        "default": _response("An error with a stable code.", models.ErrorModel),
    }
    if running is not None:
        responses["202"] = _response("Not ended yet.", running)
    request_body = body and RequestBody(content=_content(body), required=True)

    @dataclass
    class ModelledOperation(Operation):
        def __post_init__(self):
            self.responses = responses
            self.request_body = request_body

    return ModelledOperation


class DocumentPlugin(JsonRenderPlugin):
    """Renders the document with the schemas of ``protocol.models``."""

    def render(self, request, openapi_schema):
        """Return the whole document as JSON bytes."""
        _, schemas = msgspec.json.schema_components(_MODELS, ref_template=REF_TEMPLATE)
        return msgspec.json.encode(
            {**openapi_schema, "components": {"schemas": schemas}}
        )


def openapi_config():
    """Return the OpenAPI settings of the application."""
    return OpenAPIConfig(
        title="plantainhitch",
        version=__version__,
        path="/schema",
        render_plugins=[DocumentPlugin(path="/openapi.json")],
        use_handler_docstrings=True,
    )


def _response(description, model):
    return OpenAPIResponse(description=description, content=_content(model))


def _content(model):
    if model is str:
        return {"text/plain": OpenAPIMediaType(schema={"type": "string"})}
    reference = {"$ref": REF_TEMPLATE.format(name=model.__name__)}
    return {JSON_TYPE: OpenAPIMediaType(schema=reference)}
