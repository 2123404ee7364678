"""Read the files that operators name in a command."""

import pathlib
import typing as t

import msgspec

from bulrushspur_kernel.errors import BadRequestError, BadTextError
from bulrushspur_kernel.text_parsing import parse_text


def load_text(file: str) -> dict[str, t.Any]:
    """Read and check a text; raises BadRequestError or BadTextError."""
    data = _read(file)
    parsed = parse_text(data)
    if parsed.is_err():
        raise BadTextError("\n".join(map(str, parsed.unwrap_err())))
    return msgspec.json.decode(data)


def read_json(file: str) -> t.Any:
    """Read a JSON file; raises BadRequestError."""
    try:
        return msgspec.json.decode(_read(file))
    except msgspec.DecodeError as exc:
        raise BadRequestError(f"{file} is no JSON: {exc}.") from exc


def _read(file: str) -> bytes:
    try:
        return pathlib.Path(file).read_bytes()
    except OSError as exc:
        raise BadRequestError(f"{file} cannot be read: {exc.strerror}.") from exc
