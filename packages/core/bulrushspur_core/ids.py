"""Request ids as the door uses them: at most once for non-idempotent requests.

An id is ``DOMAIN~SECONDS~RANDOM``: it carries the failure domain of its home and the
time when it was made. The home is a process of that domain (see id_homes).
"""

import dataclasses
import typing as t

from bulrushspur_core import effects as fx
from bulrushspur_core import events
from bulrushspur_core.hashing import rank
from bulrushspur_core.log_reader import cell_of
from bulrushspur_core.node import Node, every, on, register_state
from bulrushspur_kernel import messages as msg
from bulrushspur_kernel.errors import ErrorKind, Ran, Refusal
from bulrushspur_kernel.states import RequestState

ID_CHARACTERS: t.Final = 128
RESEND_S: t.Final = 0.3
STATE_RESEND_S: t.Final = 1.0
GIVE_UP_S: t.Final = 8.0
RETRY_AFTER_S: t.Final = 5.0
SWEEP_S: t.Final = 30.0
CLAIMS_SWEPT: t.Final = 1000
STATES_KEPT_S: t.Final = 30.0
STATES_A_MESSAGE: t.Final = 500
TICK_S: t.Final = 0.05


@dataclasses.dataclass(frozen=True)
class IdParts:
    """What a request id carries; ``made_s`` is seconds since 1970."""

    domain: str
    made_s: float
    random: str


@dataclasses.dataclass
class OpenClaim:
    """A claim or query without an answer yet; times are monotonic."""

    ticket: str
    message: msg.ClaimId | msg.QueryId
    started_s: float
    sent_s: float


@dataclasses.dataclass
class SentStates:
    """New states on their way to a home; times are monotonic."""

    states: list[msg.IdState]
    started_s: float
    sent_s: float


@dataclasses.dataclass
class Ids:
    """What this door waits for: claims and queries by token, states by sequence.

    Each claim has a token of its own, so that a late answer settles no other one;
    ``claimed`` has the token under which this door claimed an id.
    """

    open: dict[str, OpenClaim] = dataclasses.field(default_factory=dict)
    claimed: dict[str, str] = dataclasses.field(default_factory=dict)
    changed: dict[str, msg.IdState] = dataclasses.field(default_factory=dict)
    sent: dict[int, SentStates] = dataclasses.field(default_factory=dict)
    sequence: int = 0


@register_state(Ids)
def make_ids(node: Node) -> Ids:
    """Make the state of a door that has claimed nothing."""
    return Ids()


def make_id(node: Node, now_s: float) -> str:
    """Make a request id whose home is this failure domain."""
    floor_s = cell_of(node).roster(node.me.domain).ids_not_before_s
    made_s = max(int(node.wall_s(now_s)), int(floor_s) + 1)
    return f"{node.me.domain}~{made_s}~{node.rng.getrandbits(64):016x}"


def parse_id(request_id: str) -> IdParts | None:
    """Take a request id apart; None where it was not made by make_id."""
    parts = request_id.split("~")
    if len(request_id) > ID_CHARACTERS or len(parts) != 3:
        return None
    if not (parts[1].isascii() and parts[1].isdigit()) or not parts[2]:
        return None
    return IdParts(parts[0], float(parts[1]), parts[2])


def homes_of(node: Node, request_id: str) -> list[str]:
    """Name the home of an id, and the holder of its second copy if there is one."""
    parts = parse_id(request_id)
    if parts is None:
        return []
    members = cell_of(node).roster(parts.domain).members
    return rank((one.name for one in members), request_id)[:2]


def claim(node: Node, ticket: str, request_id: str, digest: str, now_s: float) -> None:
    """Claim a request id at its home; IdSettled with the ticket tells the outcome."""
    if parse_id(request_id) is None:
        sentence = "The request id was not made by POST /v1/ids."
        refusal = Refusal(ErrorKind.ID_NEEDED, sentence)
        node.signal(events.IdSettled(ticket, False, None, refusal), now_s)
        return
    token = node.make_token()
    message = msg.ClaimId(request_id, digest, node.me.member, token)
    _open(node, ticket, token, message, now_s)


def query(node: Node, ticket: str, request_id: str, now_s: float) -> None:
    """Ask the home for a record; IdFound with the ticket tells the outcome."""
    if parse_id(request_id) is None:
        node.signal(events.IdFound(ticket), now_s)
        return
    token = node.make_token()
    _open(node, ticket, token, msg.QueryId(request_id, token), now_s)


def set_state(node: Node, request_id: str, state: RequestState, now_s: float) -> None:
    """Tell the home that a request is started, done, failed, lost or not_run.

    ``not_run`` frees the id: it was certain that nothing ran, and nothing will under
    the claim of this door.
    """
    ids = node.state(Ids)
    ticket = ids.claimed.get(request_id)
    if ticket is None:
        return
    if state in _LAST_STATES:
        del ids.claimed[request_id]
    ids.changed[request_id] = msg.IdState(request_id, state, node.me.name, ticket)
    if state == RequestState.NOT_RUN:
        # The caller may ask again at once, through another door.
        _send_changed(node, now_s)


_LAST_STATES: t.Final = (
    RequestState.DONE,
    RequestState.FAILED,
    RequestState.LOST,
    RequestState.NOT_RUN,
)


def _open(
    node: Node,
    ticket: str,
    token: str,
    message: msg.ClaimId | msg.QueryId,
    now_s: float,
) -> None:
    node.state(Ids).open[token] = OpenClaim(ticket, message, now_s, now_s)
    _send_open(node, message)


def _send_open(node: Node, message: msg.ClaimId | msg.QueryId) -> None:
    homes = homes_of(node, message.request_id)
    if homes:
        node.send(homes[0], message)


@on(msg.Claimed)
def on_claimed(
    node: Node, sender: msg.Member, message: msg.Claimed, now_s: float
) -> None:
    """Settle a claim; a second answer finds nothing open."""
    ids = node.state(Ids)
    one = ids.open.pop(message.ticket, None)
    if one is None:
        return
    if message.fresh:
        ids.claimed[message.request_id] = message.ticket
    settled = events.IdSettled(
        one.ticket, message.fresh, message.record, message.refusal
    )
    node.signal(settled, now_s)


@on(msg.IdAnswer)
def on_id_answer(
    node: Node, sender: msg.Member, message: msg.IdAnswer, now_s: float
) -> None:
    """Settle a query."""
    one = node.state(Ids).open.pop(message.ticket, None)
    if one is not None:
        found = events.IdFound(one.ticket, message.record, message.refusal)
        node.signal(found, now_s)


@every(TICK_S)
def repeat_open(node: Node, now_s: float) -> None:
    """Send again what has no answer, and give it up after a bounded time."""
    for token, one in list(node.state(Ids).open.items()):
        if now_s - one.started_s >= GIVE_UP_S:
            _give_up(node, token, one, now_s)
        elif now_s - one.sent_s >= RESEND_S:
            one.sent_s = now_s
            _send_open(node, one.message)
    _send_changed(node, now_s)
    _repeat_states(node, now_s)


def _give_up(node: Node, token: str, one: OpenClaim, now_s: float) -> None:
    ids = node.state(Ids)
    del ids.open[token]
    node.metrics.count("ids.home_unreachable")
    request_id = one.message.request_id
    sentence = "The home of this request id cannot be reached."
    refusal = Refusal(ErrorKind.HOME_UNREACHABLE, sentence, Ran.MAYBE, RETRY_AFTER_S)
    if isinstance(one.message, msg.QueryId):
        node.signal(events.IdFound(one.ticket, None, refusal), now_s)
        return
    # Whatever the home wrote down: nothing will run under this claim.
    state = msg.IdState(request_id, RequestState.NOT_RUN, node.me.name, token)
    ids.changed.setdefault(request_id, state)
    node.signal(events.IdSettled(one.ticket, False, None, refusal), now_s)


@every(SWEEP_S)
def forget_claims(node: Node, now_s: float) -> None:
    """Forget claims that no door will tell an end of any more."""
    claimed = node.state(Ids).claimed
    text = cell_of(node).text
    if text is None or len(claimed) < CLAIMS_SWEPT:
        return
    oldest_s = node.wall_s(now_s) - text.policy.ids_kept_s
    for request_id in list(claimed):
        parts = parse_id(request_id)
        if parts is None or parts.made_s < oldest_s:
            del claimed[request_id]


def _send_changed(node: Node, now_s: float) -> None:
    ids = node.state(Ids)
    by_home: dict[str, list[msg.IdState]] = {}
    for request_id, state in ids.changed.items():
        homes = homes_of(node, request_id)
        if homes:
            by_home.setdefault(homes[0], []).append(state)
    ids.changed.clear()
    for home, states in by_home.items():
        for start in range(0, len(states), STATES_A_MESSAGE):
            ids.sequence += 1
            part = states[start : start + STATES_A_MESSAGE]
            ids.sent[ids.sequence] = SentStates(part, now_s, now_s)
            node.send(home, msg.SetIdStates(ids.sequence, part))


def _repeat_states(node: Node, now_s: float) -> None:
    ids = node.state(Ids)
    for sequence, one in list(ids.sent.items()):
        if now_s - one.started_s > STATES_KEPT_S:
            del ids.sent[sequence]
            node.metrics.count("ids.states_given_up", len(one.states))
        elif now_s - one.sent_s >= STATE_RESEND_S:
            one.sent_s = now_s
            # The home may have changed since: each record is sent to its own.
            for state in one.states:
                for home in homes_of(node, state.request_id)[:1]:
                    node.send(home, msg.SetIdStates(sequence, [state]))


@on(msg.IdStatesAck)
def on_id_states_ack(
    node: Node, sender: msg.Member, message: msg.IdStatesAck, now_s: float
) -> None:
    """Forget states that the home has."""
    node.state(Ids).sent.pop(message.sequence, None)


@on(events.RecordAsked)
def on_record_asked(node: Node, event: events.RecordAsked, now_s: float) -> None:
    """Ask the home of a request id."""
    query(node, event.ticket, event.request_id, now_s)


@on(events.IdFound)
def on_id_found(node: Node, event: events.IdFound, now_s: float) -> None:
    """Pass on what the home knows."""
    node.emit(fx.TellRecord(event.ticket, event.record, event.refusal))
