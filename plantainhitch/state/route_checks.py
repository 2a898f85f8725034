"""Checks of a configuration for faults that its decoder doesn't refuse.

A process puts each readable configuration of a higher version in force, so a mistake
in it shows only in what callers get. These checks find such mistakes before the
configuration is sent.
"""

from dataclasses import dataclass

# The run time of the shortest job that a route's time-out must allow for.
SHORTEST_JOB_MS = 1
LOWEST_STRETCH = 1


@dataclass(frozen=True, slots=True)
class RouteDraft:
    """A route that is not in force; ``number`` is its index in the configuration.

    The fields are those of ``Route``, with times as written. ``timeout_ms`` is None if
    it isn't set.
    """

    number: int
    host: str
    prefix: str
    pool: str
    priority: int
    max_attempts: int
    stretch: float
    target_ms: float
    timeout_ms: float | None


@dataclass(frozen=True, slots=True)
class ConfigurationDraft:
    """A configuration that is not in force.

    ``listed_pools`` is empty if the configuration doesn't list its pools.
    ``max_body_bytes`` is None if it isn't known.
    """

    routes: tuple[RouteDraft, ...]
    listed_pools: frozenset[str] = frozenset()
    max_body_bytes: int | None = None


@dataclass(frozen=True, slots=True)
class Fault:
    """One fault of a configuration: ``value`` of ``field`` is not ``allowed``.

    ``field`` names a field of the route with that number, or of the configuration if
    ``route`` is None.
    """

    route: int | None
    field: str
    value: object
    allowed: str


def find_faults(draft):
    """Yield the ``Fault`` objects of a ``ConfigurationDraft``, in its order."""
    first_by_match = {}
    for route in draft.routes:
        yield from _find_route_faults(route)
        first = first_by_match.setdefault((route.host, route.prefix), route.number)
        if first != route.number:
            allowed = (
                f"unlike that of route {first} (counted from 0), which has the same "
                "host and hides this one"
            )
            yield Fault(route.number, "prefix", route.prefix, allowed)
        if draft.listed_pools and route.pool not in draft.listed_pools:
            names = ", ".join(sorted(draft.listed_pools))
            yield Fault(
                route.number, "pool", route.pool, f"one that is listed: {names}"
            )
    if draft.max_body_bytes is not None and draft.max_body_bytes < 1:
        allowed = "at least 1, so that jobs can be submitted"
        yield Fault(None, "max_body_bytes", draft.max_body_bytes, allowed)


def _find_route_faults(route):
    """Yield the faults of one route by itself."""

    def fault(field, allowed):
        return Fault(route.number, field, getattr(route, field), allowed)

    if not route.host:
        yield fault("host", "the host that callers name; empty matches no request")
    if not route.prefix.startswith("/"):
        yield fault("prefix", "a path that begins with /")
    if route.priority < 0:
        yield fault("priority", "at least 0, the most urgent")
    if route.max_attempts < 1:
        yield fault("max_attempts", "at least 1")
    if route.stretch < LOWEST_STRETCH:
        yield fault("stretch", f"at least {LOWEST_STRETCH}")
    if route.target_ms < 0:
        yield fault("target_ms", "at least 0")
    objective_ms = route.stretch * SHORTEST_JOB_MS + route.target_ms
    if route.timeout_ms is not None and route.timeout_ms <= objective_ms:
        allowed = (
            f"above {objective_ms:g}, the objective in ms of a job of "
            f"{SHORTEST_JOB_MS} ms"
        )
        yield fault("timeout_ms", allowed)
