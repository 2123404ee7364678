"""Records of the operators' own text and keys in the store."""

import typing as t

import msgspec

TEXT_TOPIC: t.Final = "keyed.text"
TEXT_KEY: t.Final = "text"
API_KEY_PREFIX: t.Final = "key/"


class TextRecord(msgspec.Struct):
    """A published text; its version is its offset in the store and one more."""

    text: dict[str, t.Any]
    author: str = ""


class ApiKeyRecord(msgspec.Struct):
    """A key in force; only its hash is stored."""

    team: str
    hash: str
