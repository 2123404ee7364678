"""List the differences between two decoded JSON documents, field by field.

Items of lists are matched by their name, so that a change of their order alone is not a
difference.
"""

import typing as t


def list_differences(older: t.Any, newer: t.Any) -> list[str]:
    """List added (+), removed (-) and changed fields, one a line, sorted by path."""
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
    """Map the path of each field to its value.

    The path of a list item contains its name; its index if it is an object without a
    name, and the value itself if it is no object.
    """
    if isinstance(value, dict):
        items = [(f"{path}.{key}", field) for key, field in value.items()]
    elif isinstance(value, list) and value:
        items = [
            (f"{path}[{_item_label(i, item)}]", item) for i, item in enumerate(value)
        ]
    else:
        return {path: value}
    rv: dict[str, t.Any] = {}
    for item_path, item in items:
        rv.update(_flatten(item, item_path))
    return rv


def _item_label(i: int, value: t.Any) -> str:
    return value.get("name", i) if isinstance(value, dict) else value
