"""Homes of request ids: the first record of an id wins, and two processes have it."""

import typing as t

from bulrushspur_core import events
from bulrushspur_core.id_copies import (
    IdCopies,
    is_complete,
    queue_copy,
)
from bulrushspur_core.id_records import (
    IdRecords,
    drop_expired,
    is_full,
    keep,
)
from bulrushspur_core.ids import homes_of, parse_id
from bulrushspur_core.log_reader import cell_of
from bulrushspur_core.node import Node, every, on
from bulrushspur_core.roles import holds_lease, own_roster
from bulrushspur_kernel import messages as msg
from bulrushspur_kernel.errors import ErrorKind, Ran, Refusal
from bulrushspur_kernel.states import RequestState, ran_of

FUTURE_S: t.Final = 300.0
FULL_RETRY_S: t.Final = 30.0
SWEEP_S: t.Final = 1.0
_RANKS: t.Final = {
    RequestState.CLAIMED: 0,
    RequestState.STARTED: 1,
    RequestState.LOST: 2,
    RequestState.FAILED: 3,
    RequestState.DONE: 3,
}


@on(msg.ClaimId)
def on_claim_id(
    node: Node, sender: msg.Member, message: msg.ClaimId, now_s: float
) -> None:
    """Write down a first claim and copy it; answer any other with the first."""
    if not _serves(node, message.request_id, now_s):
        return
    records = node.state(IdRecords)
    record = records.by_id.get(message.request_id)
    mine = record is not None and (record.door, record.ticket) == (
        message.door,
        message.ticket,
    )
    if mine and record is not None and record.state == RequestState.CLAIMED:
        # A repeated claim: it is answered again, when the copy is confirmed again.
        _copy_then_answer(node, record, now_s)
    elif mine:
        node.metrics.count("ids.late_claims")
    elif record is not None and record.state != RequestState.NOT_RUN:
        _refuse(node, message, record, _used(record))
    else:
        _claim_first(node, message, record, now_s)


def _serves(node: Node, request_id: str, now_s: float) -> bool:
    """Tell whether this process is the home of an id, with all its records."""
    roster = own_roster(node)
    if roster is None or homes_of(node, request_id)[:1] != [node.me.name]:
        return False
    parts = parse_id(request_id)
    return parts is not None and parts.domain == node.me.domain and is_complete(node)


def _claim_first(
    node: Node, message: msg.ClaimId, old: msg.IdRecord | None, now_s: float
) -> None:
    refusal = _check_age(node, message.request_id, now_s)
    if refusal is None and old is None and is_full(node):
        node.metrics.count("ids.full")
        sentence = "The home of this request id has no room for more ids."
        refusal = Refusal(ErrorKind.QUEUE_FULL, sentence, Ran.NO, FULL_RETRY_S)
    if refusal is not None:
        _refuse(node, message, None, refusal)
        return
    record = msg.IdRecord(
        message.request_id,
        message.digest,
        message.door,
        RequestState.CLAIMED,
        ticket=message.ticket,
        epoch=cell_of(node).roster(node.me.domain).epoch,
        revision=old.revision + 1 if old is not None else 1,
    )
    keep(node, record, now_s)
    node.metrics.count("ids.claimed")
    _copy_then_answer(node, record, now_s)


def _check_age(node: Node, request_id: str, now_s: float) -> Refusal | None:
    """Refuse an id without a record where a record may have been forgotten."""
    parts = parse_id(request_id)
    text = cell_of(node).text
    if parts is None or text is None:
        return Refusal(ErrorKind.NO_TEXT, "No text is in force yet.", Ran.MAYBE, 5.0)
    wall_s = node.wall_s(now_s)
    floor_s = max(
        wall_s - text.policy.ids_kept_s,
        node.state(IdRecords).unknown_before_s,
        cell_of(node).roster(node.me.domain).ids_not_before_s,
    )
    if parts.made_s < floor_s:
        sentence = "The request id is too old to tell whether it was used."
        return Refusal(ErrorKind.ID_EXPIRED, sentence, Ran.MAYBE)
    if parts.made_s > wall_s + FUTURE_S:
        sentence = "The request id is from the future."
        return Refusal(ErrorKind.ID_EXPIRED, sentence, Ran.NO)
    return None


def _copy_then_answer(node: Node, record: msg.IdRecord, now_s: float) -> None:
    copies = homes_of(node, record.request_id)[1:]
    if copies:
        node.state(IdCopies).claims[record.request_id] = record.ticket
        queue_copy(node, copies[0], record.request_id, now_s)
    else:
        answer_claim(node, record, now_s)


def answer_claim(node: Node, record: msg.IdRecord, now_s: float) -> None:
    """Allow the start of a claim whose record is safe."""
    if not holds_lease(node, now_s):
        # Without authority another home may be serving this id by now.
        node.metrics.count("ids.unanswered_without_lease")
        return
    claimed = msg.Claimed(record.request_id, True, ticket=record.ticket)
    node.send(record.door.name, claimed)


@on(events.IdCopied)
def on_id_copied(node: Node, event: events.IdCopied, now_s: float) -> None:
    """Answer the claim that waited for its copy."""
    record = node.state(IdRecords).by_id.get(event.request_id)
    ticket = node.state(IdCopies).claims.pop(event.request_id, None)
    if (
        record is not None
        and record.ticket == ticket
        and record.state == RequestState.CLAIMED
    ):
        answer_claim(node, record, now_s)


def _refuse(
    node: Node, message: msg.ClaimId, record: msg.IdRecord | None, refusal: Refusal
) -> None:
    claimed = msg.Claimed(message.request_id, False, record, refusal, message.ticket)
    node.send(message.door.name, claimed)


def _used(record: msg.IdRecord) -> Refusal:
    sentence = f"The request id was used before; that request is {record.state}."
    return Refusal(ErrorKind.ID_USED, sentence, ran_of(record.state))


@on(msg.SetIdStates)
def on_set_id_states(
    node: Node, sender: msg.Member, message: msg.SetIdStates, now_s: float
) -> None:
    """Take new states from the door that claimed; a state never goes back."""
    if not all(_serves(node, one.request_id, now_s) for one in message.states):
        return
    for one in message.states:
        _set_state(node, sender, one, now_s)
    node.send(sender.name, msg.IdStatesAck(message.sequence))


def _set_state(node: Node, sender: msg.Member, new: msg.IdState, now_s: float) -> None:
    record = node.state(IdRecords).by_id.get(new.request_id)
    if record is None or (record.door, record.ticket) != (sender, new.ticket):
        return
    if record.state == RequestState.NOT_RUN:
        return
    forward = _RANKS.get(new.state, -1) > _RANKS[record.state]
    if new.state != RequestState.NOT_RUN and not forward:
        return
    changed = msg.IdRecord(
        record.request_id,
        record.digest,
        record.door,
        new.state,
        owner=new.owner,
        ticket=record.ticket,
        epoch=cell_of(node).roster(node.me.domain).epoch,
        revision=record.revision + 1,
    )
    keep(node, changed, now_s)
    for copy in homes_of(node, new.request_id)[1:]:
        queue_copy(node, copy, new.request_id, now_s)


@on(msg.QueryId)
def on_query_id(
    node: Node, sender: msg.Member, message: msg.QueryId, now_s: float
) -> None:
    """Tell what is known of an id."""
    if not _serves(node, message.request_id, now_s):
        return
    record = node.state(IdRecords).by_id.get(message.request_id)
    refusal = None if record else _check_age(node, message.request_id, now_s)
    answer = msg.IdAnswer(message.request_id, message.ticket, record, refusal)
    node.send(sender.name, answer)


@every(SWEEP_S)
def sweep_records(node: Node, now_s: float) -> None:
    """Forget the records of ids that are refused for their age."""
    drop_expired(node, now_s)
