"""Define the stored records of the operators' text and of the API keys."""

import typing as t

import msgspec

from bulrushspur_kernel.decoding import make_json_decoder

TEXT_TOPIC: t.Final = "keyed.text"
TEXT_KEY: t.Final = "text"
API_KEY_PREFIX: t.Final = "key/"
# Followed by the name of a failure domain; the record holds who asked.
EVACUATION_PREFIX: t.Final = "evacuated/"


class TextRecord(msgspec.Struct):
    """A published text; its version is its offset in the store plus 1."""

    text: dict[str, t.Any]
    author: str = ""


class EvacuationRecord(msgspec.Struct):
    """A request to start no new work in a failure domain."""

    author: str = ""


class ApiKeyRecord(msgspec.Struct):
    """A valid API key of a team; only its hash is stored."""

    team: str
    hash: str


decode_text_record = make_json_decoder(TextRecord)
decode_api_key = make_json_decoder(ApiKeyRecord)
