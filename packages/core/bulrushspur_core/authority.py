"""Who may start tasks on a worker.

Thin first form: the live processes of the domain share the workers by rendezvous
hashing, without leases. docs/DESIGN.md has the protocol that replaces this.
"""

from bulrushspur_core import events
from bulrushspur_core.hashing import choose
from bulrushspur_core.membership import live_in_domain
from bulrushspur_core.node import Node, every
from bulrushspur_core.workers import Workers


def owner_of(node: Node, worker: str) -> str | None:
    """Name the process of this domain that owns a worker, or None."""
    return choose(live_in_domain(node), worker)


def may_start(node: Node, worker: str, epoch: int, now_s: float) -> bool:
    """Tell whether this process may start a task on a worker under ``epoch`` now."""
    return owner_of(node, worker) == node.me.name


@every(0.5)
def share_out_workers(node: Node, now_s: float) -> None:
    """Gain and drop workers as the live processes of the domain change."""
    for view in node.state(Workers).views.values():
        mine = owner_of(node, view.vm.name) == node.me.name
        if mine and not view.owned:
            view.owned = True
            node.signal(events.WorkerGained(view.vm.name), now_s)
        elif not mine and view.owned:
            view.owned = False
            node.signal(events.WorkerDropped(view.vm.name), now_s)
