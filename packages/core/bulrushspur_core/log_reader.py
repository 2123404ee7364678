"""Folds what is read of the log and tells the other parts what changed."""

import dataclasses

from bulrushspur_core import events
from bulrushspur_core.cell import Cell, fold
from bulrushspur_core.node import Node, on, register_state
from bulrushspur_kernel import records as rec


@dataclasses.dataclass
class LogState:
    """The folded cell and how fresh it is.

    Everything in the log at ``fresh_s`` (monotonic) is folded.
    """

    cell: Cell = dataclasses.field(default_factory=Cell)
    fresh_s: float = float("-inf")
    gap: bool = False


@register_state(LogState)
def make_log_state(node: Node) -> LogState:
    """Make the state of a process that has read nothing yet."""
    return LogState()


def cell_of(node: Node) -> Cell:
    """Return the cell as far as this process has read it."""
    return node.state(LogState).cell


def fresh_age_s(node: Node, now_s: float) -> float:
    """Return for how many seconds the log may have changed unseen."""
    return now_s - node.state(LogState).fresh_s


@on(events.LogRead)
def on_log_read(node: Node, event: events.LogRead, now_s: float) -> None:
    """Fold new entries and signal what changed."""
    log = node.state(LogState)
    for entry in event.entries:
        if fold(log.cell, entry):
            _signal(node, entry, now_s)
    # Records that are not ours are passed over.
    log.cell.next_offset = max(log.cell.next_offset, event.reached)
    if log.cell.next_offset >= event.end:
        log.fresh_s = max(log.fresh_s, event.asked_s)


def _signal(node: Node, entry: rec.Entry, now_s: float) -> None:
    record = entry.record
    if isinstance(record, rec.Published):
        node.signal(events.TextChanged(cell_of(node).version), now_s)
    elif isinstance(record, rec.KeyGiven | rec.KeyWithdrawn):
        node.signal(events.KeysChanged(), now_s)
    elif isinstance(record, rec.RosterSet):
        node.signal(events.RosterChanged(record.domain, record.epoch), now_s)
    elif isinstance(record, rec.PartsMoved):
        node.signal(events.PartsChanged(), now_s)
