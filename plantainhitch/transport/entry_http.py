"""HTTP application of the entry, for callers and operators.

``create_app`` builds the application for a node (``coordination.entry``);
``serve`` runs it in the event loop of the process.
"""

from litestar import Litestar
from litestar.datastructures import State
from litestar.exceptions import HTTPException

from ..settings import Limits
from . import replies
from .body_budget import BodyBudget
from .caller_routes import CALLER_ROUTES
from .http_server import serve
from .openapi import openapi_config
from .operator_routes import OPERATOR_ROUTES

__all__ = ["create_app", "serve"]


def create_app(node, limits=None):
    """Return the application that serves the calls to ``node``.

    ``limits`` is a ``settings.Limits``; None takes the defaults.
    """
    limits = limits or Limits()
    budget = BodyBudget(limits.held_body_bytes, limits.body_bytes)
    return Litestar(
        route_handlers=[*CALLER_ROUTES, *OPERATOR_ROUTES],
        state=State({"node": node}),
        exception_handlers={
            HTTPException: replies.handle_http_error,
            Exception: replies.handle_unexpected_error,
        },
        openapi_config=openapi_config(),
        request_max_body_size=limits.body_bytes,
        middleware=[budget.wrap],
        logging_config=None,
    )
