"""The owner: queues offers and starts them where they fit; see endings for their end.

docs/POLICY.md tells the order. A pass ends as soon as no worker has a free slot.
"""

import dataclasses
import typing as t

from bulrushspur_core import effects as fx
from bulrushspur_core import (
    estimates,
    events,
    express,
    limits,
    placement,
    queues,
    shares,
    waits,
)
from bulrushspur_core.log_reader import cell_of
from bulrushspur_core.membership import Members
from bulrushspur_core.node import Node, every, on, register_state
from bulrushspur_core.queues import Lane, Parked, QueuedOffer, Queues, Rank, TeamQueue
from bulrushspur_core.workers import Workers, WorkerView
from bulrushspur_kernel import messages as msg
from bulrushspur_kernel.errors import ErrorKind, Ran, Refusal
from bulrushspur_kernel.states import TaskAction
from bulrushspur_kernel.work import Room, TaskInfo, Work

TASK_LEASE_S: t.Final = 10.0
DISPATCH_S: t.Final = 0.05
LATE_S: t.Final = 0.5
ROOM_KEPT_AFTER_S: t.Final = 5.0
WANTED_AT_MOST: t.Final = 64
BRIEF_S: t.Final = 0.2
FIRST_OFFER_S: t.Final = 0.1


@dataclasses.dataclass(slots=True)
class RunningOffer:
    """An offer whose task was started."""

    ticket: str
    door: str
    work: Work
    worker: str
    task_id: str
    started_s: float = 0.0
    withdrawn: bool = False
    yielding: bool = False
    detached: bool = False


@dataclasses.dataclass
class Owner:
    """Offers that run, by ticket; teams that wait for permits.

    ``unwatched`` has the tasks whose end no call tells, with the time from which a
    list without them proves that they have ended.
    """

    running: dict[str, RunningOffer] = dataclasses.field(default_factory=dict)
    unwatched: dict[str, float] = dataclasses.field(default_factory=dict)
    by_task: dict[str, str] = dataclasses.field(default_factory=dict)
    light: set[str] = dataclasses.field(default_factory=set)
    without_permit: set[str] = dataclasses.field(default_factory=set)
    task_count: int = 0


@register_state(Owner)
def make_owner(node: Node) -> Owner:
    """Make the state of an owner with nothing to do."""
    return Owner()


@on(msg.Offer)
def on_offer(node: Node, sender: msg.Member, message: msg.Offer, now_s: float) -> None:
    """Queue an offer and start what fits, or refuse it where that is certain."""
    work = message.work
    waiting = node.state(Queues)
    if message.ticket in waiting.offers or message.ticket in node.state(Owner).running:
        return
    first = message.waited_s <= FIRST_OFFER_S
    refusal = check_queue(node, work, first, now_s)
    if refusal is not None:
        node.metrics.count(f"owner.refused.{refusal.kind.value}")
        node.send(sender.name, msg.Refused(message.ticket, refusal))
        return
    offer = QueuedOffer(
        message.ticket,
        sender.name,
        work,
        placement.bounded_room(node, estimates.placed_room(node, work), work.room),
        queues.lane_of(work),
        now_s,
        now_s + work.deadline_s,
        estimates.run_time_s(node, work),
        message.waited_s,
    )
    if not queues.length_of(waiting, work.team):
        shares.start_level(node, work.team, now_s)
    queues.push(waiting, offer, team_key(node, work.team, now_s))
    express.note_arrival(node, offer, now_s)
    dispatch(node, now_s)
    if offer.live:
        offer.predicted_s = waits.predict_s(node, offer, now_s)
        position = queues.length_of(waiting, work.team)
        node.send(sender.name, msg.Queued(message.ticket, offer.predicted_s, position))


def check_queue(node: Node, work: Work, first: bool, now_s: float) -> Refusal | None:
    """Refuse what the queue of the team cannot hold or certainly not serve in time."""
    queue = node.state(Queues).teams.get(work.team)
    lane = queues.lane_of(work)
    length = 0 if queue is None else queue.length
    bound = queue_bound(node, work.team)
    if length >= bound:
        sentence = f"{length} requests of team {work.team} wait here already."
        retry_s = waits.retry_after_s(node, work.team, lane, now_s)
        return Refusal(ErrorKind.QUEUE_FULL, sentence, Ran.NO, retry_s)
    if not first:
        # It was admitted before: it is late now, not refused.
        return None
    least_s = waits.least_wait_s(node, queue, lane)
    if least_s > work.deadline_s:
        sentence = (
            f"The wait is over {least_s:.3g} s, "
            f"and the deadline {work.deadline_s:.3g} s."
        )
        retry_s = waits.retry_after_s(node, work.team, lane, now_s)
        return Refusal(ErrorKind.DEADLINE_UNREACHABLE, sentence, Ran.NO, retry_s)
    return None


def queue_bound(node: Node, name: str) -> int:
    """Look up how many requests of a team may wait at one owner."""
    text = cell_of(node).text
    teams = text.teams if text is not None else ()
    return next((one.queue_requests for one in teams if one.name == name), 1)


def team_key(node: Node, name: str, now_s: float) -> float:
    """Give the key by which teams are ranked: the lowest goes first."""
    return shares.rank_key(shares.find_team(node, name, now_s), now_s)


@on(msg.Withdraw)
def on_withdraw(
    node: Node, sender: msg.Member, message: msg.Withdraw, now_s: float
) -> None:
    """Drop an offer, or stop its task."""
    if queues.pop(node.state(Queues), message.ticket) is not None:
        return
    running = node.state(Owner).running.get(message.ticket)
    if running is not None and not running.withdrawn:
        running.withdrawn = True
        node.emit(fx.ActOnTask(running.worker, running.task_id, TaskAction.STOP))


@on(events.PermitsArrived)
def on_permits_arrived(node: Node, event: events.PermitsArrived, now_s: float) -> None:
    """Start work that waited for permits."""
    node.state(Owner).without_permit.difference_update(event.teams)
    dispatch(node, now_s)


@on(events.WorkerGained)
def on_worker_gained(node: Node, event: events.WorkerGained, now_s: float) -> None:
    """Count the tasks found on a worker as use of their teams."""
    view = node.state(Workers).views[event.worker]
    for task in view.tasks.values():
        shares.add_use(node, task.team, task.room, 1, now_s)
    dispatch(node, now_s)


@on(events.WorkerDropped)
def on_worker_dropped(node: Node, event: events.WorkerDropped, now_s: float) -> None:
    """Count the tasks on a worker no more."""
    view = node.state(Workers).views.get(event.worker)
    for task in view.tasks.values() if view is not None else ():
        shares.add_use(node, task.team, task.room, -1, now_s)


@every(DISPATCH_S)
def dispatch_regularly(node: Node, now_s: float) -> None:
    """Start what fits, for room may have come from elsewhere."""
    node.state(Owner).without_permit.clear()
    dispatch(node, now_s)
    node.state(Members).load = current_load(node, now_s)


def current_load(node: Node, now_s: float) -> msg.Load:
    """Tell how busy the workers of this process are now."""
    bins = node.state(placement.Bins)
    waiting = node.state(Queues)
    total = node.state(shares.Shares).total.slots
    free = placement.free_slots(bins)
    queued = len(waiting.offers)
    wait_s = waiting.work_s / total if total else 0.0
    return msg.Load(free, total, queued, waiting.work_s, wait_s)


@every(LATE_S)
def drop_late(node: Node, now_s: float) -> None:
    """Refuse the first offers of each line whose deadline has passed."""
    waiting = node.state(Queues)
    firsts = [
        line.first()
        for queue in waiting.teams.values()
        for line in queue.lines.values()
    ]
    late = [one for one in firsts if one is not None and one.deadline_s <= now_s]
    for offer in late:
        queues.pop(waiting, offer.ticket)
        sentence = "The deadline passed while it waited."
        refusal = Refusal(ErrorKind.DEADLINE_PASSED, sentence, Ran.NO, 1.0)
        node.send(offer.door, msg.Refused(offer.ticket, refusal))


def dispatch(node: Node, now_s: float) -> None:
    """Start queued offers in their order while there is room."""
    waiting = node.state(Queues)
    if not waiting.offers:
        return
    _start_kept(node, waiting, now_s)
    for rank in Rank:
        _dispatch_rank(node, waiting, rank, now_s)


def _dispatch_rank(node: Node, waiting: Queues, rank: Rank, now_s: float) -> None:
    bins = node.state(placement.Bins)
    parked = Parked()

    def key_of(name: str) -> float:
        return team_key(node, name, now_s)

    def fits(room: Room) -> bool:
        return placement.may_fit(bins, room)

    while True:
        left = spare_slots(node, now_s) if rank >= Rank.SHARE else None
        if left is not None and left <= 0:
            break
        queue = queues.find_first(waiting, rank, fits, key_of, parked)
        if queue is None:
            break
        passes = rank is not Rank.SMALL or _may_pass(node, queue, now_s)
        if not passes or not _start_one(node, queue, rank, left, now_s):
            parked.teams.add(queue.name)
    queues.unpark(waiting, parked)


def _may_pass(node: Node, queue: TeamQueue, now_s: float) -> bool:
    if queues.has_been_passed(queue, now_s, queues.PASSED_FACTOR_SMALL):
        return False
    return shares.may_pass(node, queue.name, now_s)


def _start_kept(node: Node, waiting: Queues, now_s: float) -> None:
    """Start the work that a worker is kept for, as soon as it fits there."""
    kept = node.state(placement.Bins).kept
    offer = waiting.offers.get(kept.ticket) if kept is not None else None
    if kept is None or offer is None:
        return
    view = placement.place_on(node, kept.worker, offer.room, now_s)
    if view is not None:
        _try_start(node, waiting.teams[offer.work.team], offer, view, now_s)


def spare_slots(node: Node, now_s: float) -> int:
    """Count the free slots that are not kept for small work."""
    total = node.state(shares.Shares).total.slots
    free = placement.free_slots(node.state(placement.Bins))
    return free - express.kept_slots(node, total, now_s)


def _start_one(
    node: Node, queue: TeamQueue, rank: Rank, left: int | None, now_s: float
) -> bool:
    """Start the first offer of a team that fits in ``left`` slots, if any does."""
    if queue.name in node.state(Owner).without_permit:
        return False
    for offer in queues.heads(queue, rank, now_s):
        if left is not None and offer.room.slots > left:
            _keep_room(node, offer, now_s)
            continue
        brief = offer.run_time_s <= BRIEF_S
        view = placement.place(node, offer.room, now_s, brief)
        if view is None:
            _keep_room(node, offer, now_s)
            continue
        if not _try_start(node, queue, offer, view, now_s):
            return False
        if rank is Rank.SHARE:
            shares.note_served(node, shares.find_team(node, queue.name, now_s), now_s)
        return True
    return False


def _try_start(
    node: Node, queue: TeamQueue, offer: QueuedOffer, view: WorkerView, now_s: float
) -> bool:
    if not limits.take(node, queue.name, 1, now_s):
        node.state(Owner).without_permit.add(queue.name)
        limits.want(node, queue.name, min(queue.length, WANTED_AT_MOST), now_s)
        return False
    queues.pop(node.state(Queues), offer.ticket)
    queues.note_started(queue, offer)
    waits.note_started(node, offer, queue, now_s)
    start(node, offer, view, now_s)
    return True


def _keep_room(node: Node, offer: QueuedOffer, now_s: float) -> None:
    large = offer.room.slots > 1 or offer.room.accelerators
    waited_s = now_s - offer.queued_s
    if large and offer.lane is not Lane.BATCH and waited_s > ROOM_KEPT_AFTER_S:
        placement.keep_worker(node, offer.room, offer.ticket, now_s)


def start(node: Node, offer: QueuedOffer, view: WorkerView, now_s: float) -> None:
    """Reserve room, ask the door for the body, and start the task."""
    owner = node.state(Owner)
    owner.task_count += 1
    work = offer.work
    task_id = f"{node.me.name}.{node.me.boot}.{owner.task_count}"
    task = TaskInfo(
        task_id, work.team, work.service, work.kind, work.policy, offer.room, view.epoch
    )
    view.add(task)
    view.calls += 1
    placement.note_started(node, view, offer.ticket, now_s)
    shares.add_use(node, work.team, offer.room, 1, now_s)
    owner.running[offer.ticket] = RunningOffer(
        offer.ticket, offer.door, work, view.vm.name, task_id, now_s
    )
    owner.by_task[task_id] = offer.ticket
    if offer.lane is Lane.SMALL:
        owner.light.add(task_id)
        shares.add_light(node, work.team, offer.room.slots, now_s)
        node.state(express.Express).running += offer.room.slots
    node.send(offer.door, msg.Granted(offer.ticket, view.vm.name, task_id))
    node.emit(
        fx.StartTask(
            view.vm.name,
            view.epoch,
            task,
            work,
            offer.door,
            offer.ticket,
            TASK_LEASE_S,
        )
    )
