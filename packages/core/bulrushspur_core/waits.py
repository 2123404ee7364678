"""How long work will wait: predictions, certain bounds, and times to come back."""

import dataclasses
import typing as t

from bulrushspur_core import estimates
from bulrushspur_core.membership import live_peers
from bulrushspur_core.node import Node, register_state
from bulrushspur_core.queues import Lane, QueuedOffer, Queues, TeamQueue
from bulrushspur_core.shares import Shares

GAIN: t.Final = 0.05
FIRST_GAINS: t.Final = 20
STALE_S: t.Final = 30.0
LEAST_COUNT: t.Final = 3
RETRY_AT_LEAST_S: t.Final = 0.2
RETRY_AT_MOST_S: t.Final = 120.0
SPREAD: t.Final = 0.5
DRAINED_PART: t.Final = 0.25


@dataclasses.dataclass(slots=True)
class Pace:
    """Seconds between starts of a team's lane while more of it waited."""

    gap_s: float = 0.0
    count: int = 0
    last_s: float = 0.0
    waiting: bool = False


@dataclasses.dataclass
class Waits:
    """Pace of each lane by team."""

    paces: dict[tuple[str, Lane], Pace] = dataclasses.field(default_factory=dict)


@register_state(Waits)
def make_waits(node: Node) -> Waits:
    """Make the state of an owner that has started nothing."""
    return Waits()


def note_started(
    node: Node, offer: QueuedOffer, queue: TeamQueue, now_s: float
) -> None:
    """Learn from a start, and from how true its prediction was."""
    note_left(node, offer, queue, now_s)
    if offer.predicted_s is not None:
        true_s = now_s - offer.queued_s
        off_s = abs(true_s - offer.predicted_s)
        near = off_s <= max(0.25 * true_s, 0.1)
        node.metrics.count("predicted.near" if near else "predicted.off")


def note_left(node: Node, offer: QueuedOffer, queue: TeamQueue, now_s: float) -> None:
    """Learn the pace at which offers leave a lane: started, or moved elsewhere."""
    paces = node.state(Waits).paces
    pace = paces.setdefault((offer.work.team, offer.lane), Pace())
    if pace.waiting:
        pace.count += 1
        gain = max(GAIN, 1 / min(pace.count, FIRST_GAINS))
        pace.gap_s += gain * (now_s - pace.last_s - pace.gap_s)
    pace.last_s = now_s
    pace.waiting = queue.counts.get(offer.lane, 0) > 0


def predict_s(node: Node, offer: QueuedOffer, now_s: float) -> float:
    """Predict the wait of an offer that was just queued, in seconds."""
    queues = node.state(Queues)
    queue = queues.teams[offer.work.team]
    ahead = queue.counts.get(offer.lane, 0)
    pace = node.state(Waits).paces.get((offer.work.team, offer.lane))
    if pace is None or pace.count < LEAST_COUNT or now_s - pace.last_s > STALE_S:
        slots = max(node.state(Shares).total.slots, 1)
        return _work_before_s(queues, offer.lane) / slots
    return max(ahead * pace.gap_s - (now_s - pace.last_s), 0.0)


def _work_before_s(queues: Queues, lane: Lane) -> float:
    """Sum the slot time of all that waits in a lane or a lighter one."""
    work = queues.lane_work_s.items()
    return max(sum(work_s for one, work_s in work if one <= lane), 0.0)


def least_wait_s(node: Node, queue: TeamQueue | None, lane: Lane) -> float:
    """Tell a wait that is certain: all that goes before, on the whole cell at once."""
    if queue is None:
        return 0.0
    least_s = 0.0
    for (one, room), line in queue.lines.items():
        first = line.first() if one == lane else None
        if first is not None:
            # A line has one room, and mostly one kind.
            run_s = estimates.least_run_time_s(node, first.work)
            least_s += line.live * run_s * room.slots
    return least_s / max(cell_slots(node), 1)


def cell_slots(node: Node) -> int:
    """Count the slots of all owners that are known."""
    peers = sum(peer.load.total_slots for peer in live_peers(node))
    return peers + node.state(Shares).total.slots


def retry_after_s(node: Node, team: str, lane: Lane, now_s: float) -> float:
    """Tell when to come back: when a part of the queue has drained, spread out."""
    queue = node.state(Queues).teams.get(team)
    length = 0 if queue is None else queue.length
    pace = node.state(Waits).paces.get((team, lane))
    gap_s = pace.gap_s if pace is not None and pace.count else 0.0
    if gap_s <= 0 and queue is not None and length:
        gap_s = queue.work_s / length / max(node.state(Shares).total.slots, 1)
    drain_s = max(DRAINED_PART * length * gap_s, RETRY_AT_LEAST_S)
    spread = 1 + SPREAD * node.rng.random()
    return min(drain_s * spread, RETRY_AT_MOST_S)
