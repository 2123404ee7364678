"""Define the stored records of the cell's entry processes and of claims to lead it."""

import typing as t

import msgspec

from bulrushspur_kernel.decoding import SmallInt, make_msgpack_decoder

CLAIMS_TOPIC: t.Final = "keyed.cell"
LEADER_KEY: t.Final = "leader"
# Apart from the claims: a claim is appended on condition that its topic has not grown.
NODES_TOPIC: t.Final = "keyed.nodes"
NODE_PREFIX: t.Final = "node/"


class NodeRecord(msgspec.Struct, array_like=True):
    """An entry process: its failure domain, addresses, size and incarnation.

    ``cores`` is in cores of the usual speed.
    """

    name: str
    domain: str
    peers_address: str
    cores: t.Annotated[float, msgspec.Meta(gt=0, le=1e6)]
    incarnation: str
    operators_address: str = ""


class LeaderRecord(msgspec.Struct, array_like=True):
    """A claim to lead, by an incarnation of a process; ``claim_id`` is unique.

    ``unstable_terms`` counts the terms just before it that did not serve for long, and
    ``node_offset`` is where the incarnation has registered: a later registration of the
    process means that it has restarted since.
    """

    name: str
    claim_id: str
    incarnation: str = ""
    unstable_terms: SmallInt = 0
    node_offset: int = -1


decode_node = make_msgpack_decoder(NodeRecord)
decode_leader = make_msgpack_decoder(LeaderRecord)
