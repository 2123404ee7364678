"""Upper limits as an owner of workers meets them: a permit for each running task.

Permits come from the limit holder of the failure domain (see permits). Idle ones go
back to it. What runs on the workers of this process always counts, with or without
enough permits: nothing is started then until there are enough.
"""

import dataclasses
import typing as t

from bulrushspur_core import events
from bulrushspur_core.authority import owner_of
from bulrushspur_core.debts import usable_part
from bulrushspur_core.log_reader import cell_of
from bulrushspur_core.node import Node, every, on, register_state
from bulrushspur_core.roles import limit_holder, own_roster
from bulrushspur_core.workers import Workers
from bulrushspur_kernel import messages as msg

FLUSH_S: t.Final = 0.05
ASK_SOON_S: t.Final = 0.02
ASK_AGAIN_S: t.Final = 0.5
WANT_S: t.Final = 2.0
REPORT_S: t.Final = 1.0
EXCESS_S: t.Final = 3.0


@dataclasses.dataclass
class Want:
    """Permits that work waits for; times are monotonic."""

    count: int
    changed_s: float
    asked: int = 0
    asked_s: float = float("-inf")


@dataclasses.dataclass
class Limits:
    """Permits of this owner by team, under the newest epoch of its domain.

    ``held`` counts all permits, ``used`` those of tasks that run, ``lowest_idle`` the
    fewest idle ones since the last report. ``excess`` has how many tasks the domain
    wants to end here, and until when it said so. With ``recount`` the tasks have to be
    counted anew; ``others_run`` tells that tasks are known on workers of others.
    """

    epoch: int = 0
    held: dict[str, int] = dataclasses.field(default_factory=dict)
    used: dict[str, int] = dataclasses.field(default_factory=dict)
    lowest_idle: dict[str, int] = dataclasses.field(default_factory=dict)
    wants: dict[str, Want] = dataclasses.field(default_factory=dict)
    excess: dict[str, tuple[int, float]] = dataclasses.field(default_factory=dict)
    grant_sequence: int = 0
    report_sequence: int = 0
    settled: bool = False
    recount: bool = True
    others_run: bool = False


@register_state(Limits)
def make_limits(node: Node) -> Limits:
    """Make the state of a process that holds nothing."""
    return Limits()


def available(node: Node, team: str) -> int:
    """Tell how many more tasks of a team this process may start now."""
    limits = _synced(node)
    if own_roster(node) is None:
        return 0
    used = limits.used.get(team, 0)
    part = usable_part(cell_of(node), team, node.me.domain)
    return max(min(limits.held.get(team, 0), part) - used, 0)


def want(node: Node, team: str, count: int, now_s: float) -> None:
    """Tell that work of a team waits for ``count`` permits; repeat it while it does."""
    missing = count - available(node, team)
    wants = node.state(Limits).wants
    if missing <= 0:
        wants.pop(team, None)
        return
    one = wants.setdefault(team, Want(0, now_s))
    one.count, one.changed_s = missing, now_s
    if now_s - one.asked_s >= ASK_SOON_S:
        _ask(node, now_s)


def take(node: Node, team: str, count: int, now_s: float) -> bool:
    """Take permits for tasks that are added to a worker at once, or none.

    Where there are too few they are asked for.
    """
    idle = available(node, team)
    if idle < count:
        old = node.state(Limits).wants.get(team)
        also = old.count + idle if old is not None and old.changed_s == now_s else 0
        want(node, team, also + count, now_s)
        return False
    limits = node.state(Limits)
    limits.used[team] = limits.used.get(team, 0) + count
    idle = limits.held.get(team, 0) - limits.used[team]
    limits.lowest_idle[team] = min(limits.lowest_idle.get(team, idle), idle)
    return True


def give_back(node: Node, team: str, count: int, now_s: float) -> None:
    """Give back the permits of tasks that have ended and left their worker's view."""
    limits = _synced(node)
    if limits.others_run:
        # It may have ended on a worker that is no longer counted here.
        limits.recount = True
    else:
        limits.used[team] = max(limits.used.get(team, 0) - count, 0)
    _pay_excess(node, team)


def excess(node: Node, team: str) -> int:
    """Tell how many tasks of a team are to end here, for its limit was lowered."""
    return node.state(Limits).excess.get(team, (0, 0.0))[0]


def _pay_excess(node: Node, team: str) -> None:
    limits = _synced(node)
    if team not in limits.excess:
        return
    count, until_s = limits.excess[team]
    paid = _give_up_idle(limits, team, count)
    if count - paid > 0:
        limits.excess[team] = (count - paid, until_s)
    else:
        del limits.excess[team]


def _give_up_idle(limits: Limits, team: str, count: int) -> int:
    idle = limits.held.get(team, 0) - limits.used.get(team, 0)
    given = max(min(idle, count), 0)
    limits.held[team] = limits.held.get(team, 0) - given
    return given


def _synced(node: Node) -> Limits:
    """Return the state as of the newest roster, with all tasks counted."""
    limits = node.state(Limits)
    epoch = cell_of(node).roster(node.me.domain).epoch
    if epoch != limits.epoch:
        limits.epoch = epoch
        limits.grant_sequence = 0
        limits.settled = False
        limits.recount = True
        limits.excess.clear()
    if limits.recount:
        _count_tasks(node, limits)
    return limits


def _count_tasks(node: Node, limits: Limits) -> None:
    """Count what runs on the workers of this process, also while its lease lapsed.

    Permits follow the tasks: they come and go with a worker. Idle permits stay.
    """
    limits.recount = False
    limits.others_run = False
    counts: dict[str, int] = {}
    for name, view in node.state(Workers).views.items():
        if not view.tasks:
            continue
        if not view.owned and (view.gone or owner_of(node, name) != node.me.name):
            limits.others_run = True
            continue
        for task in view.tasks.values():
            counts[task.team] = counts.get(task.team, 0) + 1
    member = own_roster(node) is not None
    for team in limits.held.keys() | limits.used.keys() | counts.keys():
        idle = max(limits.held.get(team, 0) - limits.used.get(team, 0), 0)
        limits.used[team] = counts.get(team, 0)
        limits.held[team] = limits.used[team] + (idle if member else 0)


@on(events.WorkerGained)
@on(events.WorkerDropped)
def on_tasks_changed(node: Node, event: t.Any, now_s: float) -> None:
    """Count the tasks anew when they are needed."""
    node.state(Limits).recount = True


@on(events.TextChanged)
def on_text_changed(node: Node, event: events.TextChanged, now_s: float) -> None:
    """Give up the idle permits of teams whose part here was lowered."""
    limits = _synced(node)
    cell = cell_of(node)
    for team in list(limits.held):
        if cell.debts.get(team, {}).get(node.me.domain):
            _give_up_idle(limits, team, limits.held[team])
    _report(node)


@on(events.RosterChanged)
def on_roster_changed(node: Node, event: events.RosterChanged, now_s: float) -> None:
    """Report under the new epoch at once."""
    if event.domain == node.me.domain:
        node.state(Limits).recount = True
        _report(node)


@every(FLUSH_S)
def ask_for_permits(node: Node, now_s: float) -> None:
    """Ask for what grew since it was asked for, and for what did not come."""
    limits = node.state(Limits)
    for team, one in list(limits.wants.items()):
        if now_s - one.changed_s > WANT_S:
            del limits.wants[team]
    grown = any(one.count > one.asked for one in limits.wants.values())
    late = any(now_s - one.asked_s > ASK_AGAIN_S for one in limits.wants.values())
    if grown or late:
        _ask(node, now_s)


def _ask(node: Node, now_s: float) -> None:
    limits = _synced(node)
    holder = limit_holder(node)
    if holder is None or own_roster(node) is None:
        return
    wanted = {}
    for team, one in limits.wants.items():
        wanted[team] = one.asked = one.count
        one.asked_s = now_s
    node.send(holder.name, msg.PermitRequest(limits.epoch, wanted))


@on(msg.PermitGrant)
def on_permit_grant(
    node: Node, sender: msg.Member, message: msg.PermitGrant, now_s: float
) -> None:
    """Hold granted permits; a grant that comes late or twice is none."""
    limits = _synced(node)
    if message.epoch != limits.epoch or sender != limit_holder(node):
        return
    if message.sequence <= limits.grant_sequence:
        node.metrics.count("permits.late_grants")
        return
    limits.grant_sequence = message.sequence
    if message.version < cell_of(node).version:
        # It was dealt from parts that may be lower by now; the holder will ask again.
        node.metrics.count("permits.old_grants")
        _report(node)
        return
    for team, count in message.granted.items():
        limits.held[team] = limits.held.get(team, 0) + count
        limits.wants.pop(team, None)
        limits.excess.pop(team, None)
    if message.granted:
        node.signal(events.PermitsArrived(sorted(message.granted)), now_s)
    else:
        _report(node)


@on(msg.PermitRecall)
def on_permit_recall(
    node: Node, sender: msg.Member, message: msg.PermitRecall, now_s: float
) -> None:
    """Give idle permits back at once, and in excess also those of ending tasks."""
    limits = _synced(node)
    if message.epoch != limits.epoch or sender != limit_holder(node):
        return
    for team, count in message.teams.items():
        left = count - _give_up_idle(limits, team, count)
        if message.excess and left > 0:
            limits.excess[team] = (left, now_s + EXCESS_S)
    _report(node)


@every(REPORT_S)
def report_regularly(node: Node, now_s: float) -> None:
    """Give up what was idle for a whole period, and report what is held."""
    limits = _synced(node)
    for team in [k for k, (_, until_s) in limits.excess.items() if until_s < now_s]:
        del limits.excess[team]
    for team in list(limits.held):
        idle = limits.held[team] - limits.used.get(team, 0)
        lowest = min(limits.lowest_idle.get(team, 0), idle)
        if lowest > 0 and team not in limits.wants:
            limits.held[team] -= lowest
        limits.lowest_idle[team] = idle - max(lowest, 0)
        if not limits.held[team] and not limits.used.get(team, 0):
            for rows in (limits.held, limits.used, limits.lowest_idle):
                rows.pop(team, None)
    _report(node)


def _has_all_workers(node: Node) -> bool:
    workers = node.state(Workers)
    return bool(workers.listed) and all(
        view.owned or view.gone or owner_of(node, name) != node.me.name
        for name, view in workers.views.items()
    )


def _report(node: Node) -> None:
    limits = _synced(node)
    holder = limit_holder(node)
    if holder is None or own_roster(node) is None:
        return
    limits.settled = limits.settled or _has_all_workers(node)
    limits.report_sequence += 1
    held = {team: count for team, count in limits.held.items() if count}
    report = msg.PermitReport(
        limits.epoch,
        limits.report_sequence,
        limits.grant_sequence,
        held,
        limits.settled,
    )
    node.send(holder.name, report)
