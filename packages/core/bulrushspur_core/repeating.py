"""Repeats what is in force before the log forgets it."""

import dataclasses
import typing as t

from bulrushspur_core import effects as fx
from bulrushspur_core.log_reader import LogState, fresh_age_s
from bulrushspur_core.membership import live_peers
from bulrushspur_core.node import Node, every, register_state
from bulrushspur_core.snapshots import make_snapshot

CHECK_S: t.Final = 1.0
LOG_KEPT_S: t.Final = 3600.0
KEPT_TO_REPEAT_RATIO: t.Final = 4
FRESH_S: t.Final = 3.0
RANK_S: t.Final = 4.0
AGAIN_S: t.Final = 8.0


@dataclasses.dataclass
class Repeating:
    """When this process wrote a snapshot last (monotonic), and its random delay."""

    written_s: float = float("-inf")
    delay_s: float = 0.0
    due_since_s: float | None = None


@register_state(Repeating)
def make_repeating(node: Node) -> Repeating:
    """Make the state of a process that has written no snapshot."""
    return Repeating(delay_s=node.rng.uniform(0.0, RANK_S / 2))


def is_due(log: LogState, now_s: float) -> bool:
    """Tell whether a newcomer might soon find no snapshot to start from."""
    text = log.cell.text
    kept_s = text.policy.log_kept_s if text is not None else LOG_KEPT_S
    if log.snapshot_as_of is None:
        return log.cell.changed_at > 0 or log.cell.version > 0
    void = log.snapshot_as_of < log.first
    return void or now_s - log.snapshot_s >= kept_s / KEPT_TO_REPEAT_RATIO


@every(CHECK_S)
def repeat_state(node: Node, now_s: float) -> None:
    """Append a snapshot when one is due; the lowest name that lives goes first."""
    log = node.state(LogState)
    repeating = node.state(Repeating)
    stale = log.gap_from is not None or fresh_age_s(node, now_s) > FRESH_S
    if stale or not is_due(log, now_s):
        repeating.due_since_s = None
        return
    if repeating.due_since_s is None:
        repeating.due_since_s = now_s
    rank = sum(peer.info.name < node.me.name for peer in live_peers(node))
    waited_s = now_s - repeating.due_since_s
    if waited_s < rank * RANK_S + repeating.delay_s:
        return
    if now_s - repeating.written_s < AGAIN_S:
        return
    repeating.written_s = now_s
    node.metrics.count("log.snapshots_written")
    node.emit(fx.Append(make_snapshot(log.cell, node.make_token())))
