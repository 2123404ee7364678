"""The door: takes work from callers, offers it to an owner, and ends each request.

A request is open from Submitted until its answer was delivered or Resolve was emitted;
exactly one of the two happens. Each attempt has an offer ticket of its own, so that
what an earlier attempt still says is told apart. Nothing starts before the door sent
the body, so until then "not run" is certain, whatever became of the owner.
"""

import dataclasses
import heapq
import typing as t

import msgspec

from bulrushspur_core import effects as fx
from bulrushspur_core import events, ids
from bulrushspur_core.admission import check_admission
from bulrushspur_core.membership import live_peers
from bulrushspur_core.node import Node, on, register_state
from bulrushspur_core.retries import may_retry
from bulrushspur_core.routing import choose_owner
from bulrushspur_kernel import messages as msg
from bulrushspur_kernel.errors import ErrorKind, Ran, Refusal
from bulrushspur_kernel.states import RequestState, state_of
from bulrushspur_kernel.work import Work


@dataclasses.dataclass
class OpenRequest:
    """A request that has no final answer yet; times are monotonic.

    ``granted`` is true once the body was sent, ``answering`` once the caller was sent
    a part of the answer. ``ran`` tells of the attempts before this one.
    """

    ticket: str
    work: Work
    submitted_s: float
    deadline_s: float
    replayable: bool = True
    kept: bool = False
    claimed: bool = False
    settled: bool = True
    owner: str = ""
    offer: str = ""
    granted: bool = False
    answering: bool = False
    attempts: int = 0
    moves: int = 0
    ran: Ran = Ran.NO
    waited_s: float | None = None


@dataclasses.dataclass
class Door:
    """Open requests by ticket, and ids whose claim outlived its request."""

    open: dict[str, OpenRequest] = dataclasses.field(default_factory=dict)
    offers: dict[str, str] = dataclasses.field(default_factory=dict)
    claims_left: dict[str, str] = dataclasses.field(default_factory=dict)
    deadlines: list[tuple[float, str]] = dataclasses.field(default_factory=list)
    stopping: bool = False


@register_state(Door)
def make_door(node: Node) -> Door:
    """Make the state of a door with no requests."""
    return Door()


@on(events.Submitted)
def on_submitted(node: Node, event: events.Submitted, now_s: float) -> None:
    """Admit work, or refuse it at once."""
    work = event.work
    door = node.state(Door)
    request = OpenRequest(
        event.ticket, work, now_s, now_s + work.deadline_s, event.replayable, event.kept
    )
    request.claimed = event.kept or not work.idempotent
    refusal = (
        check_stopping(door) or check_id(request) or check_admission(node, work, now_s)
    )
    if refusal is not None:
        node.metrics.count(f"refused.{refusal.kind.value}")
        node.emit(fx.Resolve(event.ticket, refusal))
        return
    door.open[event.ticket] = request
    heapq.heappush(door.deadlines, (request.deadline_s, event.ticket))
    if not request.claimed:
        offer(node, request, now_s)
        return
    request.settled = False
    ids.claim(node, event.ticket, work.request_id, event.digest, now_s)


def check_stopping(door: Door) -> Refusal | None:
    """Refuse everything new while this process stops."""
    if not door.stopping:
        return None
    sentence = "This entry process is stopping."
    return Refusal(ErrorKind.STOPPING, sentence, retry_after_s=1.0)


def check_id(request: OpenRequest) -> Refusal | None:
    """Refuse work that must run at most once and has no id of ours."""
    if not request.claimed or ids.parse_id(request.work.request_id) is not None:
        return None
    sentence = "This request needs an id made by POST /v1/ids."
    return Refusal(ErrorKind.ID_NEEDED, sentence)


@on(events.IdSettled)
def on_id_settled(node: Node, event: events.IdSettled, now_s: float) -> None:
    """Offer a request whose id is its own, or end it."""
    door = node.state(Door)
    request = door.open.get(event.ticket)
    if request is None:
        request_id = door.claims_left.pop(event.ticket, None)
        if request_id is not None and event.fresh:
            ids.set_state(node, request_id, RequestState.NOT_RUN, now_s)
        return
    if request.settled:
        return
    request.settled = True
    if event.fresh:
        if request.kept:
            node.emit(fx.Accept(request.ticket))
        offer(node, request, now_s)
        return
    # The id belongs to another request, or may: its state is not ours to set.
    request.claimed = False
    sentence = "This request id was used before."
    refusal = event.refusal or Refusal(ErrorKind.ID_USED, sentence, Ran.MAYBE)
    resolve(node, request, refusal, now_s)


def offer(node: Node, request: OpenRequest, now_s: float, owner: str = "") -> None:
    """Offer a request to an owner, or resolve it where there is none."""
    owner = owner or choose_owner(node, request.work, request.owner, now_s) or ""
    if not owner:
        sentence = "No process that owns workers can be reached."
        refusal = Refusal(ErrorKind.NO_OWNER, sentence, Ran.NO, 2.0)
        resolve(node, request, refusal, now_s)
        return
    door = node.state(Door)
    door.offers.pop(request.offer, None)
    request.attempts += 1
    request.owner = owner
    request.offer = f"{request.ticket}#{request.attempts}"
    request.granted = False
    request.work.deadline_s = request.deadline_s - now_s
    door.offers[request.offer] = request.ticket
    waited_s = now_s - request.submitted_s
    node.send(owner, msg.Offer(request.offer, request.work, waited_s))


def find_offer(node: Node, sender: msg.Member, offer_ticket: str) -> OpenRequest | None:
    """Find the request whose newest attempt this is; None for anything older."""
    door = node.state(Door)
    request = door.open.get(door.offers.get(offer_ticket, ""))
    if request is None or request.owner != sender.name:
        return None
    return request


def resolve(node: Node, request: OpenRequest, refusal: Refusal, now_s: float) -> None:
    """Give a request its final refusal."""
    if not close(node, request):
        return
    node.metrics.count(f"refused.{refusal.kind.value}")
    refusal = msgspec.structs.replace(refusal, ran=worse(refusal.ran, request.ran))
    if request.claimed and request.settled:
        state = state_of(refusal.ran)
        ids.set_state(node, request.work.request_id, state, now_s)
    elif request.claimed:
        node.state(Door).claims_left[request.ticket] = request.work.request_id
    node.emit(fx.Resolve(request.ticket, refusal))


def close(node: Node, request: OpenRequest) -> bool:
    """Forget a request; tell whether it was open."""
    door = node.state(Door)
    door.offers.pop(request.offer, None)
    return door.open.pop(request.ticket, None) is not None


@on(msg.Queued)
def on_queued(
    node: Node, sender: msg.Member, message: msg.Queued, now_s: float
) -> None:
    """Tell the caller how long it is likely to wait."""
    request = find_offer(node, sender, message.ticket)
    if request is not None:
        node.emit(fx.Tell(request.ticket, message.predicted_wait_s))


@on(msg.Granted)
def on_granted(
    node: Node, sender: msg.Member, message: msg.Granted, now_s: float
) -> None:
    """Send the body to the owner that reserved room; from then on it may run."""
    request = find_offer(node, sender, message.ticket)
    if request is None:
        node.send(sender.name, msg.Withdraw(message.ticket))
        return
    if request.granted:
        return
    request.granted = True
    request.waited_s = now_s - request.submitted_s
    node.metrics.record_s(
        f"wait.{request.work.team}.{request.work.kind}", request.waited_s
    )
    if request.claimed:
        ids.set_state(node, request.work.request_id, RequestState.STARTED, now_s)
    node.emit(fx.SendBody(request.ticket, sender.name, request.offer))


@on(msg.Refused)
def on_refused(
    node: Node, sender: msg.Member, message: msg.Refused, now_s: float
) -> None:
    """Offer the work elsewhere where that may help, else pass the refusal on."""
    request = find_offer(node, sender, message.ticket)
    if request is None:
        return
    # A move of what only waited is no retry: it costs no budget and nothing ran.
    moved = bool(message.elsewhere) and not request.granted
    request.moves += moved
    if moved or (
        message.elsewhere and may_offer_again(node, request, message.refusal, now_s)
    ):
        reachable = {peer.info.name for peer in live_peers(node)} | {node.me.name}
        owner = message.elsewhere if message.elsewhere in reachable else ""
        offer(node, request, now_s, owner)
    else:
        resolve(node, request, message.refusal, now_s)


def may_offer_again(
    node: Node, request: OpenRequest, refusal: Refusal, now_s: float
) -> bool:
    """Tell whether another attempt is harmless, possible and within the budget."""
    harmless = refusal.ran is Ran.NO or request.work.idempotent
    possible = request.replayable or not request.granted
    return (
        harmless
        and possible
        and not request.answering
        and may_retry(node, request.work, request.attempts - request.moves, now_s)
    )


@on(msg.AnswerFailed)
def on_answer_failed(
    node: Node, sender: msg.Member, message: msg.AnswerFailed, now_s: float
) -> None:
    """Retry what certainly did not run or is idempotent, else tell the caller."""
    request = find_offer(node, sender, message.ticket)
    if request is None:
        return
    if may_offer_again(node, request, message.refusal, now_s):
        request.ran = worse(request.ran, message.refusal.ran)
        offer(node, request, now_s)
    else:
        resolve(node, request, message.refusal, now_s)


@on(events.AnswerStarted)
def on_answer_started(node: Node, event: events.AnswerStarted, now_s: float) -> None:
    """Note that the caller has a part of the answer: no other attempt may follow."""
    door = node.state(Door)
    request = door.open.get(door.offers.get(event.ticket, ""))
    if request is not None:
        request.answering = True


@on(events.AnswerDelivered)
def on_answer_delivered(
    node: Node, event: events.AnswerDelivered, now_s: float
) -> None:
    """End a request whose whole answer arrived."""
    door = node.state(Door)
    request = door.open.get(door.offers.get(event.ticket, ""))
    if request is None or not close(node, request):
        return
    node.metrics.count("answered")
    node.metrics.record_s(
        f"total.{request.work.team}.{request.work.kind}",
        now_s - request.submitted_s,
    )
    if request.claimed:
        ids.set_state(node, request.work.request_id, RequestState.DONE, now_s)


@on(events.CancelAsked)
def on_cancel_asked(node: Node, event: events.CancelAsked, now_s: float) -> None:
    """Withdraw a request for its caller."""
    request = node.state(Door).open.get(event.ticket)
    if request is not None:
        refusal = Refusal(ErrorKind.CANCELLED, "It was cancelled.", ran_so_far(request))
        withdraw(node, request, refusal, now_s)


def worse(one: Ran, other: Ran) -> Ran:
    """Return what two attempts together amount to: yes over maybe over no."""
    return max(one, other, key=_CERTAINTY.index)


_CERTAINTY: t.Final = (Ran.NO, Ran.MAYBE, Ran.YES)


def ran_so_far(request: OpenRequest) -> Ran:
    """Tell whether the newest attempt of a request that ends now ran."""
    return Ran.MAYBE if request.granted else Ran.NO


def withdraw(node: Node, request: OpenRequest, refusal: Refusal, now_s: float) -> None:
    """Take an offer back and end its request."""
    if request.owner:
        node.send(request.owner, msg.Withdraw(request.offer))
    resolve(node, request, refusal, now_s)


@on(events.PeerLost)
def on_peer_lost(node: Node, event: events.PeerLost, now_s: float) -> None:
    """Offer again, or end, the requests of an owner that fell silent."""
    node.emit(fx.BreakStreams(event.name))
    requests = [
        one for one in node.state(Door).open.values() if one.owner == event.name
    ]
    for request in requests:
        ran = ran_so_far(request)
        sentence = f"Entry process {event.name} was lost while it had this."
        refusal = Refusal(ErrorKind.PEER_LOST, sentence, ran)
        if may_offer_again(node, request, refusal, now_s):
            request.ran = worse(request.ran, ran)
            offer(node, request, now_s)
        else:
            resolve(node, request, refusal, now_s)


@on(events.StopAsked)
def on_stop_asked(node: Node, event: events.StopAsked, now_s: float) -> None:
    """Take nothing new."""
    node.state(Door).stopping = True
