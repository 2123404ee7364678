"""Records that tell who is in the cell and who leads it."""

import typing as t

import msgspec

MEMBERSHIP_TOPIC: t.Final = "keyed.cell"
LEADER_KEY: t.Final = "leader"
NODE_PREFIX: t.Final = "node/"


class NodeRecord(msgspec.Struct, array_like=True):
    """An entry process: where peers and operators reach it, and its cores."""

    name: str
    domain: str
    peers_address: str
    cores: float
    incarnation: str
    operators_address: str = ""


class LeaderRecord(msgspec.Struct, array_like=True):
    """A claim to lead; ``claim`` is unique, ``boot`` names the life of the process."""

    name: str
    claim_id: str
    incarnation: str = ""
