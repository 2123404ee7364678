"""Parse and check the operators' text.

Takes a text as JSON or as decoded data, and returns a ``Text`` or a list of issues,
each with the path to its field. The first invalid or unknown field ends the check; a
text whose fields are all valid is then checked by ``text_checks.py``, and all issues
are listed.
"""

import typing as t

import msgspec
from result import Err, Ok, Result

from bulrushspur_kernel.decoding import make_json_decoder
from bulrushspur_kernel.text import STRUCT_BY_FIELD, Text
from bulrushspur_kernel.text_checks import check_text
from bulrushspur_kernel.validation import ValidationIssue, make_validation_issue

_decode_text = make_json_decoder(Text)


def parse_text(data: bytes) -> Result[Text, list[ValidationIssue]]:
    """Parse and check a text given as JSON; return the text or its issues."""
    try:
        text = _decode_text(data)
    except msgspec.DecodeError as exc:
        return Err([make_validation_issue(exc, STRUCT_BY_FIELD)])
    return _validate(text)


def convert_text(data: dict[str, t.Any]) -> Result[Text, list[ValidationIssue]]:
    """Check a decoded text, as it is stored; return the text or its issues."""
    try:
        text = msgspec.convert(data, Text)
    except msgspec.ValidationError as exc:
        return Err([make_validation_issue(exc, STRUCT_BY_FIELD)])
    return _validate(text)


def _validate(text: Text) -> Result[Text, list[ValidationIssue]]:
    issues = check_text(text)
    return Err(issues) if issues else Ok(text)
