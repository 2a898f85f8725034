"""Formats class documents for people: as a class file, or as a list of changes."""

from dataclasses import MISSING, asdict, fields

import msgspec

from ..state.classes import ClassDefinition, TeamQuota


def class_tables(content):
    """Return (classes, teams) of a ``ClassContent`` as JSON tables by name."""
    return (
        {name: _without_name(item) for name, item in content.classes.items()},
        {name: _without_name(item) for name, item in content.teams.items()},
    )


def describe_changes(before, after):
    """Return one line for each difference between two ``ClassesModel``."""
    return [
        *_describe_tables("classes", before.classes, after.classes),
        *_describe_tables("teams", before.teams, after.teams),
    ]


def format_toml(model):
    """Return a ``ClassesModel`` as the text of a class file.

    A key is left out if its value is the default.
    """
    sections = (
        ("classes", model.classes, _field_defaults(ClassDefinition)),
        ("teams", model.teams, _field_defaults(TeamQuota)),
    )
    lines = []
    for section, tables, defaults in sections:
        for name, table in sorted(tables.items()):
            lines.append(f"\n[{section}.{_toml_key(name)}]")
            lines += [
                f"{key} = {_toml_value(value)}"
                for key, value in table.items()
                if key not in defaults or defaults[key] != value
            ]
    return "\n".join(lines)


def _describe_tables(section, before, after):
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
            yield (
                f"{path}.{key}: {_toml_value(before.get(key))}"
                f" -> {_toml_value(after.get(key))}"
            )


def _field_defaults(data_class):
    return {
        field.name: field.default
        for field in fields(data_class)
        if field.default is not MISSING
    }


def _without_name(item):
    table = asdict(item)
    del table["name"]
    return table


def _toml_value(value):
    # Numbers, booleans and short strings are written the same in JSON and TOML.
    return msgspec.json.encode(value).decode()


def _toml_key(name):
    return name if name.replace("-", "").replace("_", "").isalnum() else f'"{name}"'
