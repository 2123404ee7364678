"""Request ids: at most once for non-idempotent requests.

An id is ``DOMAIN~SECONDS~RANDOM``: it carries the failure domain of its home and the
time when it was made. Thin first form: nothing is claimed yet.
"""

import dataclasses

from bulrushspur_core.node import Node


@dataclasses.dataclass(frozen=True)
class IdParts:
    """What a request id carries; ``made_s`` is seconds since 1970."""

    domain: str
    made_s: float
    random: str


def make_id(node: Node, now_s: float) -> str:
    """Make a request id whose home is this failure domain."""
    return f"{node.me.domain}~{int(node.wall_s(now_s))}~{node.rng.getrandbits(64):016x}"


def parse_id(request_id: str) -> IdParts | None:
    """Take a request id apart; None where it was not made by make_id."""
    parts = request_id.split("~")
    if len(parts) != 3 or not parts[1].isdigit():
        return None
    return IdParts(parts[0], float(parts[1]), parts[2])
