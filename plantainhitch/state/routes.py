"""Routes: map requests to queues, as configured by the operator."""

from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class Route:
    """One queue of jobs and the requests that belong to it.

    A request matches by ``host`` and ``path_prefix``. ``pool`` names the endpoints
    that may run the queue's tasks. A job's response-time objective is ``stretch``
    times its critical path plus ``target_ms``. Priority 0 is the most urgent. A job
    fails once one of its tasks has failed ``max_attempts`` times.
    ``uses_policy_service`` is True if a policy service chooses the endpoints of each
    step, which is not supported.
    """

    name: str
    host: str
    path_prefix: str
    pool: str
    priority: int = 0
    max_attempts: int = 1
    stretch: float = 1.0
    target_ms: int = 0
    timeout_ms: int = 0
    uses_policy_service: bool = False


@dataclass(frozen=True, slots=True)
class RouteTable:
    """All routes of one version of the configuration.

    ``pools_with_admission_check`` are the pools whose endpoints check themselves
    whether a task fits. ``document`` is the configuration as the operator wrote it,
    to be passed on to other processes.
    """

    version: int
    routes: tuple[Route, ...]
    max_body_bytes: int
    pools_with_admission_check: frozenset[str] = frozenset()
    document: bytes = field(default=b"", repr=False, compare=False)
    _routes_by_host: dict[str, list[Route]] = field(default_factory=dict, compare=False)

    def __post_init__(self):
        for route in self.routes:
            self._routes_by_host.setdefault(route.host, []).append(route)
        for routes in self._routes_by_host.values():
            routes.sort(key=lambda route: len(route.path_prefix), reverse=True)

    def find(self, host, path):
        """Return the route of ``host`` with the longest prefix of ``path``, or None."""
        for route in self._routes_by_host.get(host, ()):
            if path.startswith(route.path_prefix):
                return route
        return None
