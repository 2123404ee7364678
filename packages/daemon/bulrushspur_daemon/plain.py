"""Turns the state of a process into what JSON can carry, without secrets."""

import dataclasses
import enum
import math
import re
import typing as t

import msgspec

HIDDEN: t.Final = "(hidden)"
DEPTH_AT_MOST: t.Final = 16

# Hashes of keys are worth nothing to an operator, and something to a thief.
_SECRET_FIELDS: t.Final = frozenset({"key_hash"})
_KEY: t.Final = re.compile(r"bsp_([0-9a-f]+)_[0-9a-f]+")


def make_plain(value: t.Any, depth: int = 0) -> t.Any:
    """Turn a value into builtins; keys, hashes of keys and bodies are left out."""
    if depth > DEPTH_AT_MOST:
        return "..."
    if value is None or isinstance(value, bool | int):
        return value
    if isinstance(value, float):
        return value if math.isfinite(value) else str(value)
    if isinstance(value, str):
        return _KEY.sub(rf"bsp_\1_{HIDDEN}", value)
    if isinstance(value, bytes | bytearray | memoryview):
        return f"({len(value)} bytes)"
    if isinstance(value, enum.Enum):
        return value.value
    if isinstance(value, dict):
        return {
            _name(key): make_plain(one, depth + 1) for key, one in list(value.items())
        }
    names = _field_names(value)
    if names is not None:
        return {
            name: HIDDEN
            if name in _SECRET_FIELDS
            else make_plain(getattr(value, name), depth + 1)
            for name in names
        }
    if isinstance(value, t.Iterable) and isinstance(value, t.Sized):
        return [make_plain(one, depth + 1) for one in list(value)]
    return f"({type(value).__name__})"


def _field_names(value: t.Any) -> list[str] | None:
    if isinstance(value, msgspec.Struct):
        return list(value.__struct_fields__)
    if dataclasses.is_dataclass(value):
        return [one.name for one in dataclasses.fields(value)]
    return None


def _name(key: t.Any) -> str:
    if isinstance(key, tuple):
        return "/".join(map(_name, key))
    if isinstance(key, enum.Enum):
        return str(key.value)
    return str(key)
