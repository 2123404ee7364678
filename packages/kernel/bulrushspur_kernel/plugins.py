"""Register plug-ins by extension point and name, and look them up."""

import typing as t

T = t.TypeVar("T")

_registry: dict[str, dict[t.Hashable, t.Any]] = {}


def register(point: str, name: t.Hashable) -> t.Callable[[T], T]:
    """Register the decorated object; raises ValueError if the name is taken."""

    def decorate(obj: T) -> T:
        entries = _registry.setdefault(point, {})
        if name in entries:
            raise ValueError(f"{point} {name!r} is registered twice")
        entries[name] = obj
        return obj

    return decorate


def lookup(point: str, name: t.Hashable) -> t.Any | None:
    """Return the plug-in of that name at an extension point, or None."""
    return _registry.get(point, {}).get(name)


def list_plugins(point: str) -> dict[t.Hashable, t.Any]:
    """Return all plug-ins of an extension point by name, in order of registration."""
    return dict(_registry.get(point, {}))
