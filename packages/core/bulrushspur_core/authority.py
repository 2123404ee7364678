"""Who may start tasks on a worker: gains and drops workers of this process.

A process is the effective owner of a worker while the newest roster names it, its lease
lasts, all earlier owners are over, and it has heard from the worker what runs there.
"""

import dataclasses
import typing as t

from bulrushspur_core import events
from bulrushspur_core.adoption import ask_for_tasks
from bulrushspur_core.cell import Roster
from bulrushspur_core.log_reader import cell_of
from bulrushspur_core.node import Node, every, on, register_state
from bulrushspur_core.promises import lease_until_s
from bulrushspur_core.takeover import earlier_rosters, is_cleared, owner_in
from bulrushspur_core.workers import Workers, WorkerView
from bulrushspur_kernel import messages as msg
from bulrushspur_kernel.work import TaskInfo

SHARE_OUT_S: t.Final = 0.1


@dataclasses.dataclass
class Authority:
    """The newest epoch for which the workers of others were released."""

    released_epoch: int = 0


@register_state(Authority)
def make_authority(node: Node) -> Authority:
    """Make the state of a process that owns nothing."""
    return Authority()


def owner_of(node: Node, worker: str) -> str | None:
    """Name the process that owns a worker under the newest roster, or None."""
    owner = owner_in(node, cell_of(node).roster(node.me.domain), worker)
    return None if owner is None else owner.name


def may_start(node: Node, worker: str, epoch: int, now_s: float) -> bool:
    """Tell whether this process may start a task on a worker under ``epoch`` now.

    Ask with a fresh reading of the clock, right before each start.
    """
    view = node.state(Workers).views.get(worker)
    if view is None or not view.owned or view.epoch != epoch:
        return False
    if view.vm.leaving or view.gone:
        # It may have been listed so after the decision, while the body was awaited.
        return False
    return now_s < lease_until_s(node, epoch)


@every(SHARE_OUT_S)
def share_out_workers(node: Node, now_s: float) -> None:
    """Gain, keep and drop workers as rosters, leases and earlier owners change."""
    newest = cell_of(node).roster(node.me.domain)
    if newest.epoch > node.state(Authority).released_epoch:
        _release(node, newest, now_s)
    leased = lease_until_s(node, newest.epoch) > now_s
    me = node.me.member
    for view in list(node.state(Workers).views.values()):
        mine = not view.gone and owner_in(node, newest, view.vm.name) == me
        # Most workers are as they should be: that has to cost little.
        kept = mine and leased and view.owned and view.epoch == newest.epoch
        if not kept and (mine or view.owned or view.ready_s is not None):
            _review(node, view, newest, mine, mine and leased, now_s)


def _review(
    node: Node, view: WorkerView, newest: Roster, mine: bool, leased: bool, now_s: float
) -> None:
    ready = leased and is_cleared(node, newest, view.vm.name, now_s)
    if view.owned and (not mine or lease_until_s(node, view.epoch) <= now_s):
        drop(node, view, now_s)
    elif view.owned and ready:
        # The lease never lapsed, so nobody else had the worker in between.
        view.epoch = newest.epoch
    if ready and not view.owned:
        ask_for_tasks(node, view, newest.epoch, now_s)
    elif not view.owned:
        view.ready_s = None


@on(events.WorkerGone)
def on_worker_gone(node: Node, event: events.WorkerGone, now_s: float) -> None:
    """Ask a VM that comes under the name of this one afresh."""
    view = node.state(Workers).views[event.worker]
    if view.owned:
        drop(node, view, now_s)


def drop(node: Node, view: WorkerView, now_s: float) -> None:
    """Stop being the effective owner of a worker."""
    view.owned = False
    view.ready_s = None
    node.metrics.count("authority.dropped")
    node.signal(events.WorkerDropped(view.vm.name), now_s)


def _release(node: Node, newest: Roster, now_s: float) -> None:
    """Give up the workers that a newer roster gives to others, and tell these."""
    node.state(Authority).released_epoch = newest.epoch
    earlier = earlier_rosters(node)
    by_owner: dict[str, dict[str, list[TaskInfo]]] = {}
    for name, view in node.state(Workers).views.items():
        owner = owner_in(node, newest, name)
        was_mine = any(owner_in(node, one, name) == node.me.member for one in earlier)
        if owner is None or owner == node.me.member or not was_mine:
            continue
        by_owner.setdefault(owner.name, {})[name] = list(view.tasks.values())
        if view.owned:
            drop(node, view, now_s)
    for owner_name, tasks in by_owner.items():
        released = msg.Released(node.me.domain, newest.epoch, tasks)
        node.send(owner_name, released)
