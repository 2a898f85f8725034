"""Routes: which queue a request belongs to, as configured by the operator."""

from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class Route:
    """One queue of jobs.

    ``pool`` names the endpoints that may run its tasks. A job's objective is
    ``stretch`` times its longest chain of work plus ``target_ms``. Priority 0 is
    the most urgent. A task that failed ``max_attempts`` times fails its job.
    ``uses_policy_service`` says that a policy service chooses the endpoints of each step,
    which is not supported.
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
    """All routes of one version of the configuration."""

    version: int
    routes: tuple[Route, ...]
    max_body_bytes: int
    # Pools whose endpoints check themselves whether a task fits.
    pools_with_admission_check: frozenset[str] = frozenset()
    # The configuration as it was written, for other processes.
    document: bytes = field(default=b"", repr=False, compare=False)
    _by_host: dict[str, list[Route]] = field(default_factory=dict, compare=False)

    def __post_init__(self):
        for route in self.routes:
            self._by_host.setdefault(route.host, []).append(route)
        for routes in self._by_host.values():
            routes.sort(key=lambda route: len(route.path_prefix), reverse=True)

    def find(self, host, path):
        """Return the route with the longest prefix of ``path``, or None."""
        for route in self._by_host.get(host, ()):
            if path.startswith(route.path_prefix):
                return route
        return None
