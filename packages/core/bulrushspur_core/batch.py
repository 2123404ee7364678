"""Batch work: runs in what is left over, yields to urgent work, and never starves.

Batch starts when nothing else that waits fits. Where urgent work has waited a moment
without room, batch tasks on one worker are told to checkpoint, no more than needed; the
door offers them again. Batch that has waited long stands with heavy work from then on.
"""

import typing as t

from bulrushspur_core import effects as fx
from bulrushspur_core import placement, queues
from bulrushspur_core.node import Node, every
from bulrushspur_core.owner import Owner, RunningOffer, team_key
from bulrushspur_core.queues import Lane, QueuedOffer, Queues
from bulrushspur_core.workers import Workers, WorkerView
from bulrushspur_kernel.states import TaskAction
from bulrushspur_kernel.work import Policy, Room

YIELD_CHECK_S: t.Final = 0.25
YIELD_AFTER_S: t.Final = 0.5
STARVES_S: t.Final = 60.0
PROMOTE_S: t.Final = 1.0


@every(YIELD_CHECK_S)
def make_room_for_urgent(node: Node, now_s: float) -> None:
    """Checkpoint batch tasks where urgent work has waited without room."""
    waiting = node.state(Queues)
    if not any(one.counts.get(Lane.URGENT) for one in waiting.teams.values()):
        return
    running = node.state(Owner).running.values()
    # Room that is about to come is not asked for twice.
    coming = sum(one.yielding for one in running)
    for offer in _urgent_offers(waiting, now_s):
        if coming > 0:
            coming -= 1
            continue
        for victim in choose_victims(node, offer.room, now_s):
            victim.yielding = True
            node.emit(
                fx.ActOnTask(victim.worker, victim.task_id, TaskAction.CHECKPOINT)
            )
            node.metrics.count("batch.checkpointed")


def _urgent_offers(waiting: Queues, now_s: float) -> list[QueuedOffer]:
    return [
        offer
        for queue in waiting.teams.values()
        for (lane, _), line in queue.lines.items()
        if lane is Lane.URGENT
        for offer in line.offers
        if offer.live and now_s - offer.queued_s >= YIELD_AFTER_S
    ]


def choose_victims(node: Node, room: Room, now_s: float) -> list[RunningOffer]:
    """Choose the fewest batch tasks of one worker that make room; none where none do.

    Among as few, those that were started last lose the least.
    """
    by_worker: dict[str, list[RunningOffer]] = {}
    for one in node.state(Owner).running.values():
        yields = one.work.policy is Policy.BATCH and one.work.idempotent
        if yields and not (one.yielding or one.withdrawn or one.detached):
            by_worker.setdefault(one.worker, []).append(one)
    views = node.state(Workers).views
    found: list[list[RunningOffer]] = []
    for name, batch in by_worker.items():
        view = views.get(name)
        if view is not None and placement.is_usable(view, now_s):
            found.append(_enough(view, batch, room))
    found = [one for one in found if one]
    return min(found, key=lambda one: (len(one), -one[0].started_s), default=[])


def _enough(
    view: WorkerView, batch: list[RunningOffer], room: Room
) -> list[RunningOffer]:
    free = view.free
    rv = []
    for one in sorted(batch, key=lambda one: -one.started_s):
        task = view.tasks.get(one.task_id)
        if task is None:
            continue
        free = free.plus(task.room)
        rv.append(one)
        if free.holds(room):
            return rv
    return []


@every(PROMOTE_S)
def promote_starving(node: Node, now_s: float) -> None:
    """Let batch that has waited long stand with heavy work."""
    waiting = node.state(Queues)
    starving = [
        first
        for queue in waiting.teams.values()
        for (lane, _), line in queue.lines.items()
        if lane is Lane.BATCH
        and (first := line.first()) is not None
        and now_s - first.queued_s >= STARVES_S
    ]
    for offer in starving:
        queues.pop(waiting, offer.ticket)
        offer.lane, offer.live = Lane.HEAVY, True
        queues.push(waiting, offer, team_key(node, offer.work.team, now_s))
