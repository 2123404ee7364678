"""The difference between two texts, field by field."""

import typing as t


def list_differences(older: t.Any, newer: t.Any) -> list[str]:
    """List what was added (+), removed (-) or changed, each with its path."""
    old, new = _flatten(older, "$"), _flatten(newer, "$")
    rv = []
    for path in sorted(old.keys() | new.keys()):
        if path not in new:
            rv.append(f"- {path}: {old[path]}")
        elif path not in old:
            rv.append(f"+ {path}: {new[path]}")
        elif old[path] != new[path]:
            rv.append(f"  {path}: {old[path]} -> {new[path]}")
    return rv


def _flatten(value: t.Any, path: str) -> dict[str, t.Any]:
    """Map the path of each field to its value; items of lists go by their name."""
    if isinstance(value, dict):
        items = [(f"{path}.{key}", one) for key, one in value.items()]
    elif isinstance(value, list) and value:
        items = [(f"{path}[{_name(i, one)}]", one) for i, one in enumerate(value)]
    else:
        return {path: value}
    rv: dict[str, t.Any] = {}
    for where, one in items:
        rv.update(_flatten(one, where))
    return rv


def _name(i: int, value: t.Any) -> str:
    return value.get("name", i) if isinstance(value, dict) else value
