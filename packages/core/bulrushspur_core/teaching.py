"""Processes that are behind learn the folded cell, and its freshness, from peers."""

import dataclasses
import typing as t

from bulrushspur_core.log_reader import LogState, adopt_cell, cell_of, fresh_age_s
from bulrushspur_core.node import Node, on, register_state
from bulrushspur_core.snapshots import decode_state, encode_state
from bulrushspur_kernel import messages as msg

# Who reads the log by itself is never older than this.
OWN_READS_S: t.Final = 2.0
ASK_S: t.Final = 1.0
REQUEST_KEPT_S: t.Final = 10.0


@dataclasses.dataclass
class Teaching:
    """Requests that were sent, with their time (monotonic), by sequence."""

    sequence: int = 0
    asked_s: float = float("-inf")
    requests: dict[int, float] = dataclasses.field(default_factory=dict)


@register_state(Teaching)
def make_teaching(node: Node) -> Teaching:
    """Make the state of a process that has asked nobody."""
    return Teaching()


@on(msg.Heartbeat)
def ask_who_knows_more(
    node: Node, sender: msg.Member, message: msg.Heartbeat, now_s: float
) -> None:
    """Ask a peer that is further in the log, or has fresher news of it."""
    teaching = node.state(Teaching)
    age_s = fresh_age_s(node, now_s)
    if age_s <= OWN_READS_S or now_s - teaching.asked_s < ASK_S:
        return
    cell = cell_of(node)
    fresher = message.fresh_age_s + OWN_READS_S < age_s
    if message.next_offset <= cell.next_offset and not fresher:
        return
    teaching.sequence += 1
    teaching.asked_s = now_s
    teaching.requests[teaching.sequence] = now_s
    for sequence, sent_s in list(teaching.requests.items()):
        if now_s - sent_s > REQUEST_KEPT_S:
            del teaching.requests[sequence]
    node.send(sender.name, msg.LogRequest(cell.next_offset, teaching.sequence))


@on(msg.LogRequest)
def on_log_request(
    node: Node, sender: msg.Member, message: msg.LogRequest, now_s: float
) -> None:
    """Give what this process knows, unless the asker knows more."""
    cell = cell_of(node)
    if cell.next_offset < message.from_offset:
        return
    behind = cell.next_offset > message.from_offset
    state = encode_state(cell) if behind else b""
    age_s = fresh_age_s(node, now_s)
    node.send(
        sender.name,
        msg.LogRecords(cell.next_offset, age_s, state, message.sequence),
    )


@on(msg.LogRecords)
def on_log_records(
    node: Node, sender: msg.Member, message: msg.LogRecords, now_s: float
) -> None:
    """Take newer state, and freshness counted from when the request was sent."""
    log = node.state(LogState)
    asked_s = node.state(Teaching).requests.pop(message.sequence, None)
    if message.next_offset > log.cell.next_offset and message.state:
        cell = decode_state(message.state, message.next_offset)
        if cell is None:
            node.metrics.count("log.bad_state")
            return
        adopt_cell(node, cell, now_s)
        node.metrics.count("log.taught")
    # The peer knew the log as it was ``fresh_age_s`` before its answer, which was
    # not before the request: ages add up along the way and never shrink.
    knows_as_much = log.cell.next_offset >= message.next_offset
    if asked_s is not None and knows_as_much and message.fresh_age_s >= 0.0:
        log.fresh_s = max(log.fresh_s, asked_s - message.fresh_age_s)
