"""Chooses the worker for a task: best fit over unlike workers.

Workers stand in bins by their free slots. Of the fullest that fit, the one that is
left with the least room is taken. Accelerators are kept for work that needs them, and
one worker at a time is kept for work that fits nowhere yet.
"""

import dataclasses
import typing as t

from bulrushspur_core import events, health, shares
from bulrushspur_core.authority import may_start
from bulrushspur_core.node import Node, every, on, register_state
from bulrushspur_core.queues import Queues
from bulrushspur_core.workers import Workers, WorkerView
from bulrushspur_kernel.work import Room

CONNECTIONS_KEPT: t.Final = 12
COMPARED_AT_MOST: t.Final = 6
FREED_AT_MOST: t.Final = 64
REFRESH_S: t.Final = 0.05
REFRESHED_AT_ONCE: t.Final = 200
KEPT_FOR_S: t.Final = 30.0


@dataclasses.dataclass
class Kept:
    """A worker kept for work that fits nowhere yet, until a time."""

    worker: str
    ticket: str
    until_s: float


@dataclasses.dataclass
class Bins:
    """Workers that may take work, by free slots.

    ``misfits`` are rooms that fitted nowhere when all was searched, each with the
    workers on which room was freed since.
    """

    plain: dict[int, dict[str, None]] = dataclasses.field(default_factory=dict)
    accelerated: dict[int, dict[str, None]] = dataclasses.field(default_factory=dict)
    place: dict[str, tuple[bool, int]] = dataclasses.field(default_factory=dict)
    misfits: dict[Room, dict[str, None]] = dataclasses.field(default_factory=dict)
    largest: list[Room] = dataclasses.field(default_factory=list)
    kept: Kept | None = None
    denied: bool = False
    todo: list[str] = dataclasses.field(default_factory=list)
    sum: Room = dataclasses.field(default_factory=Room)
    sum_rooms: dict[Room, None] = dataclasses.field(default_factory=dict)


@register_state(Bins)
def make_bins(node: Node) -> Bins:
    """Make the state of an owner without workers."""
    return Bins()


def is_usable(view: WorkerView, now_s: float) -> bool:
    """Tell whether a worker may get anything new."""
    return (
        view.owned
        and not view.vm.leaving
        and not view.gone
        and view.set_apart_until_s <= now_s
        and view.calls < view.vm.connections - CONNECTIONS_KEPT
    )


def note_changed(node: Node, view: WorkerView, now_s: float, freed: bool) -> None:
    """Put a worker into the bin that its free slots belong to."""
    bins = node.state(Bins)
    name = view.vm.name
    place = None
    if is_usable(view, now_s):
        place = (view.vm.room.accelerators > 0, view.free.slots)
    old = bins.place.get(name)
    if place is not None and (freed or old is None or place[1] > old[1]):
        _note_freed(bins, view)
    if old == place:
        return
    if old is not None:
        _side(bins, old[0])[old[1]].pop(name, None)
        del bins.place[name]
    if place is not None:
        _side(bins, place[0]).setdefault(place[1], {})[name] = None
        bins.place[name] = place


def _note_freed(bins: Bins, view: WorkerView) -> None:
    free = view.free
    for room, workers in list(bins.misfits.items()):
        if free.holds(room):
            workers[view.vm.name] = None
            if len(workers) > FREED_AT_MOST:
                del bins.misfits[room]


def _side(bins: Bins, accelerated: bool) -> dict[int, dict[str, None]]:
    return bins.accelerated if accelerated else bins.plain


@every(REFRESH_S)
def refresh_some(node: Node, now_s: float) -> None:
    """Take over what others changed about workers, some at a time."""
    bins = node.state(Bins)
    views = node.state(Workers).views
    if not bins.todo:
        _end_round(node, bins, now_s)
        bins.todo = list(views)
    for name in bins.todo[-REFRESHED_AT_ONCE:]:
        view = views.get(name)
        if view is None:
            continue
        note_changed(node, view, now_s, freed=False)
        if view.owned and not view.gone:
            bins.sum = bins.sum.plus(view.vm.room)
            bins.sum_rooms[view.vm.room] = None
    del bins.todo[-REFRESHED_AT_ONCE:]
    if bins.denied:
        # The authority may be back, and then what fitted nowhere may fit.
        bins.denied = False
        bins.misfits.clear()
    over = bins.kept is not None and (
        bins.kept.until_s <= now_s or bins.kept.ticket not in node.state(Queues).offers
    )
    if over and bins.kept is not None:
        kept = views.get(bins.kept.worker)
        bins.kept = None
        if kept is not None:
            _note_freed(bins, kept)


def _end_round(node: Node, bins: Bins, now_s: float) -> None:
    if bins.sum.slots or not any(
        one.owned for one in node.state(Workers).views.values()
    ):
        bins.largest = list(bins.sum_rooms)
        shares.set_total(node, bins.sum, now_s)
    bins.sum = Room()
    bins.sum_rooms = {}


def refresh(node: Node, now_s: float) -> None:
    """Take over what others changed about all workers, now."""
    bins = node.state(Bins)
    bins.sum = Room()
    bins.sum_rooms = {}
    bins.todo = list(node.state(Workers).views)
    while bins.todo:
        refresh_some(node, now_s)
    _end_round(node, bins, now_s)


@on(events.WorkerGained)
def on_worker_gained(node: Node, event: events.WorkerGained, now_s: float) -> None:
    """Use a worker from now on."""
    view = node.state(Workers).views[event.worker]
    total = node.state(shares.Shares).total
    shares.set_total(node, total.plus(view.vm.room), now_s)
    note_changed(node, view, now_s, freed=True)


@on(events.WorkerDropped)
def on_worker_dropped(node: Node, event: events.WorkerDropped, now_s: float) -> None:
    """Use a worker no more; the next round counts the rest."""
    view = node.state(Workers).views.get(event.worker)
    if view is not None:
        note_changed(node, view, now_s, freed=False)


def note_started(node: Node, view: WorkerView, ticket: str, now_s: float) -> None:
    """Put a worker into its bin after a start, and keep it for nobody any more."""
    bins = node.state(Bins)
    if bins.kept is not None and bins.kept.ticket == ticket:
        bins.kept = None
        _note_freed(bins, view)
    note_changed(node, view, now_s, freed=False)


def free_slots(bins: Bins) -> int:
    """Count the free slots of the workers that may be used."""
    return sum(
        slots * len(names)
        for side in (bins.plain, bins.accelerated)
        for slots, names in side.items()
        if slots > 0
    )


def bounded_room(node: Node, room: Room, declared: Room) -> Room:
    """Return a corrected room, or the declared where no worker is as large."""
    if room is declared or any(one.holds(room) for one in node.state(Bins).largest):
        return room
    return declared


def may_fit(bins: Bins, room: Room) -> bool:
    """Tell whether a search for a room may find a worker."""
    freed = bins.misfits.get(room)
    return freed is None or bool(freed)


def place_on(node: Node, worker: str, room: Room, now_s: float) -> WorkerView | None:
    """Return a worker if a task fits there, or None."""
    view = node.state(Workers).views.get(worker)
    if view is not None and _fits(node, view, room, now_s):
        return view
    return None


def place(
    node: Node, room: Room, now_s: float, brief: bool = False
) -> WorkerView | None:
    """Choose the worker that a task fits best, or None.

    Only ``brief`` work may use the worker that is kept for other work.
    """
    bins = node.state(Bins)
    freed = bins.misfits.get(room)
    if freed is not None:
        view = _best_of(node, bins, freed, room, now_s, brief)
        if view is None:
            freed.clear()
        return view
    sides = (bins.accelerated,) if room.accelerators else (bins.plain, bins.accelerated)
    for side in sides:
        for slots in sorted(side):
            if slots >= room.slots and side[slots]:
                view = _best_of(node, bins, side[slots], room, now_s, brief)
                if view is not None:
                    return view
    bins.misfits[room] = {}
    return None


def _best_of(
    node: Node,
    bins: Bins,
    names: t.Iterable[str],
    room: Room,
    now_s: float,
    brief: bool,
) -> WorkerView | None:
    """Choose the worker with the least room left among the first few that fit."""
    views = node.state(Workers).views
    kept = bins.kept
    best, best_left, compared = None, 0.0, 0
    for name in names:
        view = views[name]
        if kept is not None and kept.worker == name and not brief:
            continue
        if not _fits(node, view, room, now_s):
            continue
        left = _left(view, room)
        if best is None or left < best_left:
            best, best_left = view, left
        compared += 1
        if compared >= COMPARED_AT_MOST:
            break
    return best


def _fits(node: Node, view: WorkerView, room: Room, now_s: float) -> bool:
    free = view.free
    if not free.holds(room) or not is_usable(view, now_s):
        return False
    if not health.may_take(node, view, now_s):
        return False
    # Work without accelerators leaves a slot for each accelerator that is free.
    plain = not room.accelerators
    if plain and free.accelerators and free.slots - room.slots < free.accelerators:
        return False
    if may_start(node, view.vm.name, view.epoch, now_s):
        return True
    node.state(Bins).denied = True
    return False


def _left(view: WorkerView, room: Room) -> float:
    """Measure the room that is left, each resource as a part of the worker."""
    total, free = view.vm.room, view.free
    return (free.cores - room.cores) / max(total.cores, 1e-9) + (
        free.memory_mb - room.memory_mb
    ) / max(total.memory_mb, 1)


def keep_worker(node: Node, room: Room, ticket: str, now_s: float) -> None:
    """Keep the worker that lacks least for work that fits nowhere yet."""
    bins = node.state(Bins)
    if bins.kept is not None and bins.kept.until_s > now_s:
        return
    views = [
        view
        for view in node.state(Workers).views.values()
        if is_usable(view, now_s) and view.vm.room.holds(room)
    ]
    best = max(
        views, key=lambda view: (view.free.slots, view.free.memory_mb), default=None
    )
    if best is not None:
        bins.kept = Kept(best.vm.name, ticket, now_s + KEPT_FOR_S)
