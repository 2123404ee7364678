"""Parts of upper limits that this domain gives away, from before the record on."""

import dataclasses

from bulrushspur_core.log_reader import cell_of
from bulrushspur_core.node import Node, register_state
from bulrushspur_kernel import records as rec


@dataclasses.dataclass
class Giving:
    """The one record that may be under way to the log; times are monotonic.

    While its fate is unknown, what it gives away is not counted on. ``lost`` tells
    that the answer to an append of it was lost, so that only the log can tell.
    """

    record: rec.PartsMoved | None = None
    sent_s: float = 0.0
    lost: bool = False


@register_state(Giving)
def make_giving(node: Node) -> Giving:
    """Make the state of a process that gives nothing away."""
    return Giving()


def reserved(node: Node, team: str) -> int:
    """Tell how much of a team's part is promised away and still in the part."""
    resolve_giving(node)
    record = node.state(Giving).record
    return record.parts.get(team, 0) if record is not None else 0


def resolve_giving(node: Node) -> None:
    """Drop the reservation once the log has told what became of the record.

    A record of that sequence was folded, whether it took effect or not, or a newer
    roster has made it void for good.
    """
    giving = node.state(Giving)
    record = giving.record
    if record is None:
        return
    cell = cell_of(node)
    landed = cell.moves.get(record.giver, 0) >= record.sequence
    if landed or cell.roster(record.giver).epoch != record.epoch:
        giving.record = None
