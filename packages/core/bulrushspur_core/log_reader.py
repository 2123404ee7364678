"""Folds what is read of the log and tells the other parts what changed."""

import dataclasses
import typing as t

from bulrushspur_core import events
from bulrushspur_core.cell import Cell, fold
from bulrushspur_core.node import Node, on, register_state
from bulrushspur_core.snapshots import find_start
from bulrushspur_kernel import records as rec
from bulrushspur_kernel.errors import ErrorKind, Ran, Refusal

GAP_ENTRIES: t.Final = 5000
KEYS_RETRY_S: t.Final = 5.0


@dataclasses.dataclass
class LogState:
    """The folded cell and how fresh it is.

    Everything in the log at ``fresh_s`` (monotonic) is folded. Where the log forgot
    records before they were folded, ``gap_from`` is its oldest offset then, and the
    entries since are kept in ``gap`` until a snapshot among them closes it.
    """

    cell: Cell = dataclasses.field(default_factory=Cell)
    fresh_s: float = float("-inf")
    gap_from: int | None = None
    gap_reached: int = 0
    gap: list[rec.Entry] = dataclasses.field(default_factory=list)
    snapshot_as_of: int | None = None
    snapshot_s: float = float("-inf")
    first: int = 0


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


def read_from(node: Node) -> int:
    """Return the offset from which the log is to be read next."""
    log = node.state(LogState)
    return log.cell.next_offset if log.gap_from is None else log.gap_reached


def outcome_of(node: Node, token: str) -> bool | None:
    """Tell whether a record took effect; None where that was not read, or long ago."""
    return cell_of(node).outcomes.get(token)


def keys_usable(node: Node, now_s: float) -> bool:
    """Tell whether this process knows the keys well enough to take keyed work."""
    text = cell_of(node).text
    return text is not None and fresh_age_s(node, now_s) <= text.policy.keys_fresh_s


def check_keys(node: Node, now_s: float) -> Refusal | None:
    """Refuse keyed work where a withdrawn key might still be taken."""
    if keys_usable(node, now_s):
        return None
    sentence = "No news of the platform's log for too long to trust any key."
    return Refusal(ErrorKind.KEYS_STALE, sentence, Ran.NO, KEYS_RETRY_S)


@on(events.LogRead)
def on_log_read(node: Node, event: events.LogRead, now_s: float) -> None:
    """Fold new entries and signal what changed."""
    log = node.state(LogState)
    log.first = max(log.first, event.first)
    for entry in event.entries:
        if isinstance(entry.record, rec.Snapshot):
            _note_snapshot(log, entry.record, now_s)
    if log.gap_from is None and event.first > log.cell.next_offset:
        log.gap_from = log.gap_reached = event.first
        node.metrics.count("log.gaps")
    if log.gap_from is not None:
        _read_in_gap(node, event, now_s)
    else:
        _fold_all(node, event.entries, now_s)
        # Records that are not ours are passed over.
        log.cell.next_offset = max(log.cell.next_offset, event.reached)
    if log.gap_from is None and log.cell.next_offset >= event.end:
        log.fresh_s = max(log.fresh_s, event.asked_s)


def _note_snapshot(log: LogState, record: rec.Snapshot, now_s: float) -> None:
    log.snapshot_as_of = max(record.as_of, log.snapshot_as_of or 0)
    log.snapshot_s = now_s


def _fold_all(node: Node, entries: list[rec.Entry], now_s: float) -> None:
    log = node.state(LogState)
    for entry in entries:
        if fold(log.cell, entry):
            _signal(node, entry, now_s)


def _read_in_gap(node: Node, event: events.LogRead, now_s: float) -> None:
    """Keep entries until one of them is a snapshot to start from."""
    log = node.state(LogState)
    if event.first > log.gap_reached:
        log.gap_from = log.gap_reached = event.first
        log.gap = []
    log.gap += [one for one in event.entries if one.offset >= log.gap_reached]
    log.gap_reached = max(log.gap_reached, event.reached)
    if len(log.gap) > GAP_ENTRIES:
        log.gap = log.gap[-GAP_ENTRIES:]
        log.gap_from = log.gap[0].offset
    start = find_start(log.gap, log.gap_from or 0, node.metrics)
    if start is not None:
        adopt_cell(node, start, now_s)


def adopt_cell(node: Node, cell: Cell, now_s: float) -> bool:
    """Go forward to folded state learnt from a snapshot or a peer; never backward."""
    log = node.state(LogState)
    old = log.cell
    if cell.next_offset <= old.next_offset:
        return False
    cell.outcomes = old.outcomes
    log.cell = cell
    _signal_changes(node, old, cell, now_s)
    _leave_gap(node, now_s)
    return True


def _leave_gap(node: Node, now_s: float) -> None:
    log = node.state(LogState)
    if log.gap_from is None or log.cell.next_offset < log.gap_from:
        return
    entries, reached = log.gap, log.gap_reached
    log.gap_from, log.gap = None, []
    _fold_all(node, entries, now_s)
    log.cell.next_offset = max(log.cell.next_offset, reached)


def _signal_changes(node: Node, old: Cell, new: Cell, now_s: float) -> None:
    if new.version != old.version:
        node.signal(events.TextChanged(new.version), now_s)
    if new.keys != old.keys:
        node.signal(events.KeysChanged(), now_s)
    for domain in sorted(new.rosters):
        epoch = new.roster(domain).epoch
        if epoch != old.roster(domain).epoch:
            node.signal(events.RosterChanged(domain, epoch), now_s)
    if new.parts != old.parts:
        node.signal(events.PartsChanged(), now_s)


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
