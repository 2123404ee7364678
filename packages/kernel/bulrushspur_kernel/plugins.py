"""A registry in which plug-ins register themselves by extension point and name."""

import typing as t

T = t.TypeVar("T")

_registry: dict[str, dict[t.Hashable, t.Any]] = {}


def register(point: str, name: t.Hashable) -> t.Callable[[T], T]:
    """Register the decorated object at an extension point; a name taken is an error."""

    def decorate(obj: T) -> T:
        entries = _registry.setdefault(point, {})
        if name in entries:
            raise ValueError(f"{point} {name!r} is registered twice")
        entries[name] = obj
        return obj

    return decorate


def lookup(point: str, name: t.Hashable) -> t.Any | None:
    """Return the plug-in of that name, or None."""
    return _registry.get(point, {}).get(name)


def list_plugins(point: str) -> dict[t.Hashable, t.Any]:
    """Return all plug-ins of an extension point by name, in order of registration."""
    return dict(_registry.get(point, {}))
