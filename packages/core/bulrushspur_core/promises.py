"""Promises of voters: what keeps a member's authority alive without the platform.

A voter promises a member not to support a successor for ``LEASE_S`` from when it
received the request. The holder counts from when it *sent* the request, by its own
clock, so its authority ends before the promises of any majority do.
"""

import dataclasses
import typing as t

from bulrushspur_core.cell import Roster
from bulrushspur_core.log_reader import cell_of
from bulrushspur_core.node import Node, every, on, register_state
from bulrushspur_kernel import messages as msg

LEASE_S: t.Final = 3.0
RENEW_S: t.Final = 1.0
RETRY_S: t.Final = 0.25
DRIFT_S: t.Final = 0.2
TRANSIT_S: t.Final = 1.0


@dataclasses.dataclass
class Lease:
    """The promises that this process holds under one epoch.

    ``granted`` has, for each voter, when the newest request that it promised was sent.
    """

    sequence: int = 0
    sent: dict[int, float] = dataclasses.field(default_factory=dict)
    granted: dict[msg.Member, float] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass
class Promises:
    """Leases held by epoch, and what this process promised and sealed as a voter.

    ``promised`` is by domain and epoch, then by member name; ``sealed`` has for each
    domain the newest epoch under which nothing more is promised.
    """

    leases: dict[int, Lease] = dataclasses.field(default_factory=dict)
    promised: dict[tuple[str, int], dict[str, float]] = dataclasses.field(
        default_factory=dict
    )
    sealed: dict[str, int] = dataclasses.field(default_factory=dict)


@register_state(Promises)
def make_promises(node: Node) -> Promises:
    """Make the state of a process that holds and has promised nothing."""
    return Promises()


def find_roster(node: Node, domain: str, epoch: int) -> Roster | None:
    """Find the roster of an epoch of a domain that is not settled."""
    rosters = cell_of(node).rosters.get(domain, [])
    return next((one for one in rosters if one.epoch == epoch), None)


def majority(roster: Roster) -> int:
    """Tell how many voters of a roster are more than half."""
    return len(roster.voters) // 2 + 1


def lease_until_s(node: Node, epoch: int) -> float:
    """Tell until when, on this clock, the authority under an epoch lasts."""
    lease = node.state(Promises).leases.get(epoch)
    roster = find_roster(node, node.me.domain, epoch)
    if lease is None or roster is None:
        return float("-inf")
    sent = sorted(lease.granted.values(), reverse=True)
    needed = majority(roster)
    if len(sent) < needed:
        return float("-inf")
    return sent[needed - 1] + LEASE_S - DRIFT_S


@every(RETRY_S)
def renew(node: Node, now_s: float) -> None:
    """Ask for promises under the newest epoch, and the last until that is held."""
    promises = node.state(Promises)
    rosters = cell_of(node).rosters.get(node.me.domain, [])
    mine = [one for one in rosters if node.me.member in one.members]
    kept = {one.epoch for one in rosters}
    for epoch in [one for one in promises.leases if one not in kept]:
        del promises.leases[epoch]
    if not rosters or rosters[-1] not in mine:
        return
    newest = rosters[-1]
    _ask(node, newest, now_s)
    if len(mine) > 1 and lease_until_s(node, newest.epoch) <= now_s:
        _ask(node, mine[-2], now_s)


def _ask(node: Node, roster: Roster, now_s: float) -> None:
    lease = node.state(Promises).leases.setdefault(roster.epoch, Lease())
    last_s = lease.sent.get(lease.sequence, float("-inf"))
    held = lease_until_s(node, roster.epoch) > now_s
    if held and now_s - last_s < RENEW_S - RETRY_S / 2:
        return
    lease.sequence += 1
    lease.sent[lease.sequence] = now_s
    for sequence in [k for k, sent_s in lease.sent.items() if now_s - sent_s > LEASE_S]:
        del lease.sent[sequence]
    request = msg.PromiseRequest(node.me.domain, roster.epoch, lease.sequence, LEASE_S)
    for voter in roster.voters:
        node.send(voter.name, request)


@on(msg.PromiseRequest)
def on_promise_request(
    node: Node, sender: msg.Member, message: msg.PromiseRequest, now_s: float
) -> None:
    """Promise as a voter of that epoch, unless it is sealed or not known."""
    promises = node.state(Promises)
    domain, epoch = message.domain, message.epoch
    newest = cell_of(node).roster(domain).epoch
    # A voter that knows a newer roster supports nobody under the older ones.
    seal(node, domain, newest - 1)
    roster = find_roster(node, domain, epoch)
    if (
        roster is None
        or epoch <= promises.sealed.get(domain, 0)
        or sender not in roster.members
        or node.me.member not in roster.voters
    ):
        node.metrics.count("promises.refused")
        refused = msg.PromiseRefused(domain, epoch, message.sequence, newest)
        node.send(sender.name, refused)
        return
    until_s = now_s + message.lease_s
    given = promises.promised.setdefault((domain, epoch), {})
    given[sender.name] = max(given.get(sender.name, until_s), until_s)
    node.send(sender.name, msg.Promise(domain, epoch, message.sequence))


@on(msg.Promise)
def on_promise(
    node: Node, sender: msg.Member, message: msg.Promise, now_s: float
) -> None:
    """Count a promise from when its request was sent."""
    lease = node.state(Promises).leases.get(message.epoch)
    roster = find_roster(node, node.me.domain, message.epoch)
    if lease is None or roster is None or message.domain != node.me.domain:
        return
    sent_s = lease.sent.get(message.sequence)
    if sent_s is None or sender not in roster.voters:
        return
    lease.granted[sender] = max(lease.granted.get(sender, sent_s), sent_s)


@on(msg.PromiseRefused)
def on_promise_refused(
    node: Node, sender: msg.Member, message: msg.PromiseRefused, now_s: float
) -> None:
    """Count a refusal; the log or a peer tells of the roster that this one lacks."""
    node.metrics.count("promises.denied")


def seal(node: Node, domain: str, epoch: int) -> None:
    """Promise nothing more under an epoch of a domain or an older one."""
    promises = node.state(Promises)
    if epoch > promises.sealed.get(domain, 0):
        promises.sealed[domain] = epoch
        # What is settled is asked for by nobody any more.
        settled = cell_of(node).roster(domain).settled
        for key in [k for k in promises.promised if k[0] == domain and k[1] <= settled]:
            del promises.promised[key]


@on(msg.SealRequest)
def on_seal_request(
    node: Node, sender: msg.Member, message: msg.SealRequest, now_s: float
) -> None:
    """Seal an epoch for its successor, and tell how long promises still last."""
    if message.epoch >= message.newer_epoch:
        return
    seal(node, message.domain, message.newer_epoch - 1)
    given = node.state(Promises).promised.get((message.domain, message.epoch), {})
    remaining_s = {name: until_s - now_s for name, until_s in given.items()}
    node.send(sender.name, msg.Sealed(message.domain, message.epoch, remaining_s))
