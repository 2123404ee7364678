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
from bulrushspur_core.workers import Workers, WorkerView
from bulrushspur_kernel.work import Room

CONNECTIONS_KEPT: t.Final = 12
COMPARED_AT_MOST: t.Final = 6
REFRESH_S: t.Final = 0.5
KEPT_FOR_S: t.Final = 30.0


@dataclasses.dataclass
class Kept:
    """A worker kept for work that fits nowhere yet, until a time."""

    worker: str
    ticket: str
    until_s: float


@dataclasses.dataclass
class Bins:
    """Workers that may take work, by free slots; and rooms that fit nowhere now."""

    plain: dict[int, dict[str, None]] = dataclasses.field(default_factory=dict)
    accelerated: dict[int, dict[str, None]] = dataclasses.field(default_factory=dict)
    place: dict[str, tuple[bool, int]] = dataclasses.field(default_factory=dict)
    misfits: set[Room] = dataclasses.field(default_factory=set)
    largest: list[Room] = dataclasses.field(default_factory=list)
    kept: Kept | None = None


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
    if freed:
        bins.misfits.clear()
    place = None
    if is_usable(view, now_s):
        place = (view.vm.room.accelerators > 0, view.free.slots)
    old = bins.place.get(name)
    if old == place:
        return
    if old is not None:
        _side(bins, old[0])[old[1]].pop(name, None)
        del bins.place[name]
    if place is not None:
        _side(bins, place[0]).setdefault(place[1], {})[name] = None
        bins.place[name] = place


def _side(bins: Bins, accelerated: bool) -> dict[int, dict[str, None]]:
    return bins.accelerated if accelerated else bins.plain


@every(REFRESH_S)
def refresh(node: Node, now_s: float) -> None:
    """Take over what others changed about workers: owners, leaving, rooms."""
    total = Room()
    largest: dict[Room, None] = {}
    for view in node.state(Workers).views.values():
        note_changed(node, view, now_s, freed=False)
        if view.owned and not view.gone:
            total = total.plus(view.vm.room)
            largest[view.vm.room] = None
    bins = node.state(Bins)
    bins.misfits.clear()
    bins.largest = list(largest)
    if bins.kept is not None and bins.kept.until_s <= now_s:
        bins.kept = None
    shares.set_total(node, total, now_s)


@on(events.WorkerGained)
def on_worker_gained(node: Node, event: events.WorkerGained, now_s: float) -> None:
    """Use a worker from now on."""
    refresh(node, now_s)


@on(events.WorkerDropped)
def on_worker_dropped(node: Node, event: events.WorkerDropped, now_s: float) -> None:
    """Use a worker no more."""
    refresh(node, now_s)


def note_started(node: Node, view: WorkerView, ticket: str, now_s: float) -> None:
    """Put a worker into its bin after a start, and keep it for nobody any more."""
    bins = node.state(Bins)
    if bins.kept is not None and bins.kept.ticket == ticket:
        bins.kept = None
        bins.misfits.clear()
    note_changed(node, view, now_s, freed=False)


def has_free_slot(bins: Bins) -> bool:
    """Tell whether any worker that may be used has a free slot."""
    return any(
        slots > 0 and names
        for side in (bins.plain, bins.accelerated)
        for slots, names in side.items()
    )


def place(node: Node, room: Room, now_s: float, ticket: str = "") -> WorkerView | None:
    """Choose the worker that a task fits best, or None."""
    bins = node.state(Bins)
    if _is_misfit(bins, room) and (bins.kept is None or bins.kept.ticket != ticket):
        return None
    sides = (bins.accelerated,) if room.accelerators else (bins.plain, bins.accelerated)
    for side in sides:
        view = _place_in(node, bins, side, room, now_s, ticket)
        if view is not None:
            return view
    bins.misfits.add(room)
    return None


def _is_misfit(bins: Bins, room: Room) -> bool:
    if room in bins.misfits:
        return True
    # Plain work is kept off accelerators, so its misfits say nothing of the others.
    return any(
        room.holds(one) and bool(one.accelerators) == bool(room.accelerators)
        for one in bins.misfits
    )


def _place_in(
    node: Node,
    bins: Bins,
    side: dict[int, dict[str, None]],
    room: Room,
    now_s: float,
    ticket: str,
) -> WorkerView | None:
    views = node.state(Workers).views
    kept = bins.kept
    for slots in sorted(side):
        if slots < room.slots or not side[slots]:
            continue
        best, best_left, compared = None, 0.0, 0
        for name in list(side[slots]):
            view = views[name]
            if kept is not None and kept.worker == name and kept.ticket != ticket:
                continue
            if not _fits(node, view, room, now_s):
                continue
            left = _left(view, room)
            if best is None or left < best_left:
                best, best_left = view, left
            compared += 1
            if compared >= COMPARED_AT_MOST:
                break
        if best is not None:
            return best
    return None


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
    return may_start(node, view.vm.name, view.epoch, now_s)


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
