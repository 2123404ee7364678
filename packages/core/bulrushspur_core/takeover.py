"""When the authority of earlier owners is over.

For each epoch before the newest, its voters are asked to seal it. A majority of sealed
voters tells how long any promise under it can still last; after that, and after what
may be under way, no owner of that epoch starts anything. An owner may also release its
workers itself, which needs no wait.
"""

import dataclasses
import typing as t

from bulrushspur_core.cell import Roster
from bulrushspur_core.evidence import gone_since_s
from bulrushspur_core.hashing import choose
from bulrushspur_core.log_reader import cell_of
from bulrushspur_core.node import Node, every, on, register_state
from bulrushspur_core.promises import (
    DRIFT_S,
    LEASE_S,
    TRANSIT_S,
    find_roster,
    majority,
)
from bulrushspur_kernel import messages as msg
from bulrushspur_kernel.work import TaskInfo

LOOK_S: t.Final = 0.25
ASK_AGAIN_S: t.Final = 0.5

NEVER: t.Final = float("inf")


@dataclasses.dataclass
class EpochEnd:
    """Until when each sealed voter's promises last, by member name and this clock."""

    asked_s: float = float("-inf")
    until_s: dict[msg.Member, dict[str, float]] = dataclasses.field(
        default_factory=dict
    )


@dataclasses.dataclass
class Takeover:
    """Ends of earlier epochs, releases, and owners by epoch and worker.

    ``released`` has the epoch before which an owner gave up a worker; ``cleared`` the
    newest epoch for which all owners of a worker before it are known to be over;
    ``handed`` what a releasing owner had on a worker.
    """

    ends: dict[int, EpochEnd] = dataclasses.field(default_factory=dict)
    released: dict[tuple[msg.Member, str], int] = dataclasses.field(
        default_factory=dict
    )
    handed: dict[str, list[TaskInfo]] = dataclasses.field(default_factory=dict)
    owners: dict[int, dict[str, msg.Member | None]] = dataclasses.field(
        default_factory=dict
    )
    cleared: dict[str, int] = dataclasses.field(default_factory=dict)


@register_state(Takeover)
def make_takeover(node: Node) -> Takeover:
    """Make the state of a process that has taken over nothing."""
    return Takeover()


def owner_in(node: Node, roster: Roster, worker: str) -> msg.Member | None:
    """Name the member that owns a worker under a roster."""
    owners = node.state(Takeover).owners.setdefault(roster.epoch, {})
    if worker not in owners:
        by_name = {one.name: one for one in roster.members}
        name = choose(by_name, worker)
        owners[worker] = None if name is None else by_name[name]
    return owners[worker]


def earlier_rosters(node: Node) -> list[Roster]:
    """List the rosters before the newest whose owners may not have lapsed."""
    rosters = cell_of(node).rosters.get(node.me.domain, [])
    settled = rosters[-1].settled if rosters else 0
    return [one for one in rosters[:-1] if one.epoch > settled]


def over_s(node: Node, roster: Roster, owner: msg.Member) -> float:
    """Tell from when on, by this clock, an owner of an epoch starts nothing more."""
    end = node.state(Takeover).ends.get(roster.epoch, EpochEnd())
    untils = []
    for voter in roster.voters:
        sealed = end.until_s.get(voter)
        gone_s = gone_since_s(node, voter)
        if sealed is not None:
            untils.append(sealed.get(owner.name, float("-inf")))
        elif gone_s is not None:
            untils.append(gone_s + LEASE_S)
    needed = majority(roster)
    if len(untils) < needed:
        return NEVER
    # Any majority shares a voter with the one that the owner had its promises from.
    return sorted(untils)[needed - 1] + DRIFT_S + TRANSIT_S


def is_cleared(node: Node, newest: Roster, worker: str, now_s: float) -> bool:
    """Tell whether nobody else can start on a worker under an earlier epoch."""
    takeover = node.state(Takeover)
    if takeover.cleared.get(worker) == newest.epoch:
        return True
    for roster in earlier_rosters(node):
        owner = owner_in(node, roster, worker)
        if owner is None or owner == node.me.member:
            continue
        if takeover.released.get((owner, worker), 0) > roster.epoch:
            continue
        if over_s(node, roster, owner) > now_s:
            return False
    takeover.cleared[worker] = newest.epoch
    return True


def settled_epoch(node: Node, now_s: float) -> int:
    """Tell the newest epoch all of whose owners are known to have lapsed."""
    rv = cell_of(node).roster(node.me.domain).settled
    for roster in earlier_rosters(node):
        if any(over_s(node, roster, owner) > now_s for owner in roster.members):
            break
        rv = roster.epoch
    return rv


@every(LOOK_S)
def ask_for_seals(node: Node, now_s: float) -> None:
    """Ask the voters of earlier epochs to seal them, until a majority has."""
    takeover = node.state(Takeover)
    newest = cell_of(node).roster(node.me.domain)
    earlier = earlier_rosters(node)
    _forget(takeover, {one.epoch for one in earlier} | {newest.epoch}, newest.settled)
    if node.me.member not in newest.members:
        return
    for roster in earlier:
        end = takeover.ends.setdefault(roster.epoch, EpochEnd())
        if len(end.until_s) >= majority(roster) or now_s < end.asked_s + ASK_AGAIN_S:
            continue
        end.asked_s = now_s
        request = msg.SealRequest(node.me.domain, roster.epoch, newest.epoch)
        for voter in roster.voters:
            if voter not in end.until_s:
                node.send(voter.name, request)


def _forget(takeover: Takeover, epochs: set[int], settled: int) -> None:
    for rows in (takeover.ends, takeover.owners):
        for epoch in [one for one in rows if one not in epochs]:
            del rows[epoch]
    for key in [k for k, epoch in takeover.released.items() if epoch <= settled]:
        del takeover.released[key]


@on(msg.Sealed)
def on_sealed(
    node: Node, sender: msg.Member, message: msg.Sealed, now_s: float
) -> None:
    """Note until when the promises of a sealed voter last."""
    roster = find_roster(node, node.me.domain, message.epoch)
    if message.domain != node.me.domain or roster is None:
        return
    if sender not in roster.voters:
        return
    end = node.state(Takeover).ends.setdefault(message.epoch, EpochEnd())
    until_s = {name: now_s + left_s for name, left_s in message.remaining_s.items()}
    # The first answer is the earliest; a later one can only have waited longer.
    end.until_s.setdefault(sender, until_s)


@on(msg.Released)
def on_released(
    node: Node, sender: msg.Member, message: msg.Released, now_s: float
) -> None:
    """Note that an earlier owner gave up workers, and what it had on them."""
    if message.domain != node.me.domain:
        return
    takeover = node.state(Takeover)
    for worker, tasks in message.tasks.items():
        key = (sender, worker)
        takeover.released[key] = max(takeover.released.get(key, 0), message.epoch)
        takeover.handed[worker] = tasks
