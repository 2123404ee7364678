"""Faults of a text or of settings, each with the path to its field."""

import typing as t

import msgspec

UNIT_SUFFIXES: t.Final = (
    "s",
    "ms",
    "us",
    "kb",
    "mb",
    "gb",
    "bytes",
    "percent",
    "per_s",
)

_UNKNOWN: t.Final = "unknown field `"


class ValidationIssue(msgspec.Struct):
    """One thing wrong in a text or in settings, with the path to the field."""

    path: str
    sentence: str

    def __str__(self) -> str:
        return f"{self.path}: {self.sentence}"


StructByField = t.Mapping[str, type[msgspec.Struct]]


def make_validation_issue(exc: Exception, structs: StructByField) -> ValidationIssue:
    """Turn an error of msgspec into a fault that says which field is meant.

    ``structs`` maps the last name in a path to the struct there, ``$`` for the whole.
    """
    sentence, _, path = str(exc).partition(" - at `")
    path = path.rstrip("`") or "$"
    _, found, name = sentence.partition(_UNKNOWN)
    if not found:
        return ValidationIssue(path, _start_small(sentence))
    name = name.rstrip("`")
    struct = structs.get(path.split(".")[-1].split("[")[0])
    fields = struct.__struct_fields__ if struct is not None else ()
    return ValidationIssue(
        f"{path}.{name}", f"there is no field {name}{_hint(name, fields)}"
    )


def _start_small(sentence: str) -> str:
    return sentence[:1].lower() + sentence[1:]


def _hint(name: str, fields: t.Sequence[str]) -> str:
    stem = _stem(name)
    for field in fields:
        if stem == _stem(field):
            unit = field.removeprefix(f"{stem}_")
            return f"; {field} is meant (unit: {unit})" if unit != field else ""
    # Imported here because only somebody who mistyped pays for it.
    import difflib

    close = difflib.get_close_matches(name, fields, 1)
    if close:
        return f"; {close[0]} is perhaps meant"
    return f"; there are {', '.join(fields)}" if fields else ""


def _stem(name: str) -> str:
    for unit in UNIT_SUFFIXES:
        if name.endswith(f"_{unit}"):
            return name.removesuffix(f"_{unit}")
    return name
