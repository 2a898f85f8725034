"""Class documents for people: as a class file, and what differs between two."""

from dataclasses import MISSING, asdict, fields

import msgspec

from ..state.classes import ClassDefinition, TeamQuota


def class_tables(content):
    """Return the JSON tables (classes, teams) of a ``ClassContent``."""
    return (
        {name: _without_name(item) for name, item in content.classes.items()},
        {name: _without_name(item) for name, item in content.teams.items()},
    )


def describe_changes(before, after):
    """Return one line for each key that differs between two ``ClassesModel``."""
    return [
        *_describe("classes", before.classes, after.classes),
        *_describe("teams", before.teams, after.teams),
    ]


def format_toml(model):
    """Return a ``ClassesModel`` as a class file; keys at their default are left out."""
    sections = (
        ("classes", model.classes, _defaults(ClassDefinition)),
        ("teams", model.teams, _defaults(TeamQuota)),
    )
    lines = []
    for section, tables, defaults in sections:
        for name, table in sorted(tables.items()):
            lines.append(f"\n[{section}.{_toml_key(name)}]")
            lines += [
                f"{key} = {_toml(value)}"
                for key, value in table.items()
                if key not in defaults or defaults[key] != value
            ]
    return "\n".join(lines)


def _describe(section, before, after):
    for name in sorted(before.keys() | after.keys()):
        if name not in after:
            yield f"{section}.{name} removed"
        elif name not in before:
            yield f"{section}.{name} added"
        else:
            yield from _describe_keys(f"{section}.{name}", before[name], after[name])


def _describe_keys(path, before, after):
    for key in sorted(before.keys() | after.keys()):
        if before.get(key) != after.get(key):
            yield f"{path}.{key}: {_toml(before.get(key))} -> {_toml(after.get(key))}"


def _defaults(kind):
    return {
        field.name: field.default
        for field in fields(kind)
        if field.default is not MISSING
    }


def _without_name(item):
    table = asdict(item)
    del table["name"]
    return table


def _toml(value):
    # JSON's numbers, booleans and short strings are TOML's too.
    return msgspec.json.encode(value).decode()


def _toml_key(name):
    return name if name.replace("-", "").replace("_", "").isalnum() else f'"{name}"'
