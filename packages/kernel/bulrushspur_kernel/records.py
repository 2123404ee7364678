"""Records of the platform's log, the only thing of the system that lasts.

All of them stand in one stream, so that their order is total. What each is worth is
decided by folding the stream in order (see the core package): a record whose base is
no longer true when it lands is void, for everybody alike.
"""

import typing as t

import msgspec

from bulrushspur_kernel.messages import Member


class _Record(msgspec.Struct, tag=True, tag_field="record", omit_defaults=True):
    pass


class Published(_Record):
    """Publish a text edited from version ``base``; void if another won."""

    base: int
    text: dict[str, t.Any]
    author: str = ""
    token: str = ""


class KeyGiven(_Record):
    """Give a team a key; only its hash is kept."""

    key_id: str
    team: str
    key_hash: str
    token: str = ""


class KeyWithdrawn(_Record):
    """Withdraw a key."""

    key_id: str
    token: str = ""


class RosterSet(_Record):
    """Set the roster of a failure domain; the first record of an epoch wins.

    ``settled`` is the newest epoch all of whose owners are known to have lapsed.
    """

    domain: str
    epoch: int
    members: list[Member]
    voters: list[Member]
    settled: int = 0
    ids_not_before_s: float = 0.0
    token: str = ""


class PartsMoved(_Record):
    """Move parts of upper limits; void unless written in the giver's newest epoch.

    ``sequence`` counts the records of a giver: the first of each number is the only
    one that may take effect, so a record can be appended again when its answer was
    lost.
    """

    giver: str
    taker: str
    epoch: int
    parts: dict[str, int]
    sequence: int = 0
    token: str = ""


class DebtsPaid(_Record):
    """Tell how much a domain still runs above its parts; void if the text is newer."""

    domain: str
    epoch: int
    version: int
    left: dict[str, int]
    token: str = ""


class Snapshot(_Record):
    """Repeat what was in force before offset ``as_of``.

    A reader who missed records starts from it and folds all entries from ``as_of`` on;
    it is void for a reader to whom one of these is no longer kept.
    """

    as_of: int
    state: dict[str, t.Any]
    token: str = ""


Record = (
    Published | KeyGiven | KeyWithdrawn | RosterSet | PartsMoved | DebtsPaid | Snapshot
)


class Entry(msgspec.Struct):
    """A record at its offset in the log."""

    offset: int
    record: Record


_encoder = msgspec.json.Encoder()
_decoder = msgspec.json.Decoder(Record)


def encode_record(record: Record) -> bytes:
    """Encode a record for the log."""
    return _encoder.encode(record)


def decode_record(data: bytes) -> Record | None:
    """Decode a record; None where it is not one of ours."""
    try:
        return _decoder.decode(data)
    except (msgspec.DecodeError, msgspec.ValidationError):
        return None
