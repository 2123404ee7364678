"""Describe what is invalid in a text or in settings, with the path to the field.

Converts errors of msgspec to issues. The sentence for an unknown field suggests the
field that was probably meant.
"""

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

# How msgspec words the error for a field that the struct does not have.
_UNKNOWN_FIELD_TEXT: t.Final = "unknown field `"


class ValidationIssue(msgspec.Struct):
    """One fault in a text or in settings, with the path to the field."""

    path: str
    sentence: str

    def __str__(self) -> str:
        return f"{self.path}: {self.sentence}"


StructByField = t.Mapping[str, type[msgspec.Struct]]


def make_validation_issue(exc: Exception, structs: StructByField) -> ValidationIssue:
    """Make an issue of an error of msgspec.

    ``structs`` maps the last name in a path to the struct at that path, and ``$`` to
    the struct of the whole document.
    """
    sentence, _, path = str(exc).partition(" - at `")
    path = path.rstrip("`") or "$"
    _, separator, name = sentence.partition(_UNKNOWN_FIELD_TEXT)
    if not separator:
        return ValidationIssue(path, _lowercase_first(sentence))
    name = name.rstrip("`")
    struct = structs.get(path.split(".")[-1].split("[")[0])
    fields = struct.__struct_fields__ if struct is not None else ()
    return ValidationIssue(
        f"{path}.{name}", f"there is no field {name}{_suggest_field(name, fields)}"
    )


def _lowercase_first(sentence: str) -> str:
    return sentence[:1].lower() + sentence[1:]


def _suggest_field(name: str, fields: t.Sequence[str]) -> str:
    stem = _strip_unit(name)
    for field in fields:
        if stem == _strip_unit(field):
            unit = field.removeprefix(f"{stem}_")
            return f"; {field} is meant (unit: {unit})" if unit != field else ""
    # Imported here so that its cost arises only when a field is mistyped.
    import difflib

    matches = difflib.get_close_matches(name, fields, 1)
    if matches:
        return f"; {matches[0]} is perhaps meant"
    return f"; there are {', '.join(fields)}" if fields else ""


def _strip_unit(name: str) -> str:
    for unit in UNIT_SUFFIXES:
        if name.endswith(f"_{unit}"):
            return name.removesuffix(f"_{unit}")
    return name
