"""Request ids: at most once for non-idempotent requests.

An id is ``DOMAIN~SECONDS~RANDOM``: it carries the failure domain of its home and the
time when it was made. Thin first form: nothing is claimed yet.
"""

import dataclasses

from bulrushspur_core import events
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


def claim(node: Node, ticket: str, request_id: str, digest: str, now_s: float) -> None:
    """Claim a request id at its home; IdSettled with the ticket tells the outcome."""
    node.signal(events.IdSettled(ticket, True), now_s)


def set_state(node: Node, request_id: str, state: str, now_s: float) -> None:
    """Tell the home that a request is started, done, failed, lost or not_run.

    ``not_run`` frees the id: it was certain that nothing ran.
    """


def query(node: Node, ticket: str, request_id: str, now_s: float) -> None:
    """Ask the home for a record; IdFound with the ticket tells the outcome."""
    node.signal(events.IdFound(ticket), now_s)
