"""Checks of the operator's configuration row before it is sent.

This module translates between the words of the document and the checks in
``state/route_checks.py``.
"""

import re
from dataclasses import dataclass

import msgspec
from returns.result import Failure, Result, Success

from ..json_input import decode_json
from ..state.route_checks import ConfigurationDraft, RouteDraft, find_faults
from ..validation import Problem, format_value
from .configuration import ConfigurationModel, LimitsModel, RouteModel, ServiceModel

# Keys of the document by the field that a check names, where they differ.
_KEYS = {
    "prefix": "path_prefix",
    "pool": "service",
    "target_ms": "target_latency_ms",
    "max_body_bytes": "limits.max_body_bytes",
}
# The end of an error message of msgspec that has a place.
_PLACE = re.compile(r" - at `\$\.?(.*)`$")


@dataclass(frozen=True, slots=True)
class Difference:
    """What a configuration changes at the place ``key`` of the one in force.

    The values are those of the documents, with defaults filled in. ``before`` is None
    for an entry that is new, ``after`` for one that is removed.
    """

    key: str
    before: object
    after: object

    def __str__(self):
        if self.before is None:
            return f"{self.key} added"
        if self.after is None:
            return f"{self.key} removed"
        before, after = map(msgspec.json.encode, (self.before, self.after))
        return f"{self.key}: {before.decode()} -> {after.decode()}"


@dataclass(frozen=True, slots=True)
class CheckedConfiguration:
    """A document that was checked, with its problems.

    ``model`` is None if a field is missing or has a wrong type. Processes don't put
    such a document in force.
    """

    model: ConfigurationModel | None
    problems: tuple[Problem, ...]


def check(value) -> Result:
    """Check the document ``value``, the bytes of a configuration row.

    Return Success(CheckedConfiguration), or Failure(text) if it isn't a JSON object.
    """
    try:
        tables = decode_json(value, object)
    except ValueError as error:
        return Failure(str(error))
    if not isinstance(tables, dict):
        return Failure("not a JSON object")
    problems = []
    version = _convert(tables, "version", int, problems)
    routes = _convert_list(tables, "routes", RouteModel, problems)
    services = _convert_list(tables, "services", ServiceModel, problems, default=[])
    limits = _convert(tables, "limits", LimitsModel, problems, default={})
    model = None
    if not problems:
        model = ConfigurationModel(
            version, list(routes.values()), list(services.values()), limits
        )
    draft = ConfigurationDraft(
        routes=tuple(
            _to_draft(number, route, tables["routes"][number])
            for number, route in routes.items()
        ),
        listed_pools=frozenset(service.name for service in services.values()),
        max_body_bytes=limits.max_body_bytes if limits else None,
    )
    problems += map(_to_problem, find_faults(draft))
    return Success(CheckedConfiguration(model, tuple(problems)))


def find_version_problem(model, in_force):
    """Return the ``Problem`` of a version that isn't above the one in force, or None.

    Both are ``ConfigurationModel`` objects. Processes ignore such a document.
    """
    if model.version > in_force.version:
        return None
    allowed = f"above {in_force.version}, the version in force"
    return Problem("version", format_value(model.version), allowed)


def find_differences(in_force, model):
    """Return the ``Difference`` objects between two ``ConfigurationModel`` objects.

    Routes are told apart by host and path, services by name. The version is left out.
    Of equal routes only the first counts, which hides the others.
    """
    before, after = _places(in_force), _places(model)
    differences = []
    for place in sorted(before.keys() | after.keys()):
        old, new = before.get(place), after.get(place)
        if old is None or new is None:
            differences.append(Difference(place, old, new))
            continue
        differences += [
            Difference(f"{place}.{key}", old[key], new[key])
            for key in old
            if old[key] != new[key]
        ]
    return differences


def _places(model):
    """Return the tables of a document by their place, with defaults filled in."""
    tables = msgspec.to_builtins(model)
    places = {"limits": tables["limits"]}
    for route in tables["routes"]:
        places.setdefault(f"routes[{route['host']}{route['path_prefix']}]", route)
    for service in tables["services"]:
        places.setdefault(f"services[{service['name']}]", service)
    return places


def _convert(tables, key, kind, problems, default=None):
    """Return a field of the document as ``kind``, or None with a problem appended."""
    if key not in tables and default is None:
        problems.append(Problem(key, "", "missing"))
        return None
    return _convert_value(tables.get(key, default), key, kind, problems)


def _convert_list(tables, key, kind, problems, default=None):
    """Return the valid items of a list by index; append problems of the others."""
    items = _convert(tables, key, list, problems, default) or ()
    converted = {
        number: _convert_value(item, f"{key}[{number}]", kind, problems)
        for number, item in enumerate(items)
    }
    return {number: item for number, item in converted.items() if item is not None}


def _convert_value(value, key, kind, problems):
    try:
        return msgspec.convert(value, kind)
    except msgspec.ValidationError as error:
        text = str(error)
        place = _PLACE.search(text)
        reason = _PLACE.sub("", text)
        path = f"{key}.{place[1]}" if place and place[1] else key
        problems.append(Problem(path, "", reason))
        return None


def _to_draft(number, route, table):
    return RouteDraft(
        number=number,
        host=route.host,
        prefix=route.path_prefix,
        pool=route.service,
        priority=route.priority,
        max_attempts=route.max_attempts,
        stretch=route.stretch,
        target_ms=route.target_latency_ms,
        timeout_ms=route.timeout_ms if "timeout_ms" in table else None,
    )


def _to_problem(fault):
    key = _KEYS.get(fault.field, fault.field)
    if fault.route is not None:
        key = f"routes[{fault.route}].{key}"
    return Problem(key, format_value(fault.value), fault.allowed)
