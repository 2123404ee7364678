"""The queues of an owner: one for each team, in lanes by weight and room.

A cancelled offer is only marked and skipped later, so that a wave of cancellations
costs each time the same. Teams stand in a heap for each rank; a key is recomputed when
it comes up, so that the cost of a start does not grow with the teams that wait.
"""

import collections
import dataclasses
import enum
import heapq
import itertools
import typing as t

from bulrushspur_core.node import Node, register_state
from bulrushspur_kernel.work import Policy, Room, Size, Work

PASSES_AT_MOST: t.Final = 32
PASSED_AFTER_S: t.Final = 5.0
BATCH_STARVES_S: t.Final = 60.0


class Lane(enum.IntEnum):
    """Order inside a team: the lighter first."""

    URGENT = 0
    SMALL = 1
    MIDDLING = 2
    HEAVY = 3
    BATCH = 4


_LANES: t.Final = {
    Size.SMALL: Lane.SMALL,
    Size.MIDDLING: Lane.MIDDLING,
    Size.HEAVY: Lane.HEAVY,
}


def lane_of(work: Work) -> Lane:
    """Tell the lane of work."""
    if work.policy is Policy.URGENT:
        return Lane.URGENT
    if work.policy is Policy.BATCH:
        return Lane.BATCH
    if work.policy is Policy.GANG:
        return Lane.HEAVY
    return _LANES[work.size]


class Rank(enum.IntEnum):
    """Order between teams: all of a rank before the next."""

    URGENT = 0
    SMALL = 1
    SHARE = 2
    BATCH = 3


_RANKS: t.Final = {
    Lane.URGENT: (Rank.URGENT,),
    # Small work has a second chance by share where its team is above its own.
    Lane.SMALL: (Rank.SMALL, Rank.SHARE),
    Lane.MIDDLING: (Rank.SHARE,),
    Lane.HEAVY: (Rank.SHARE,),
    Lane.BATCH: (Rank.BATCH,),
}


def ranks_of(lane: Lane) -> tuple[Rank, ...]:
    """Tell the ranks in which work of a lane may start."""
    return _RANKS[lane]


@dataclasses.dataclass(slots=True)
class QueuedOffer:
    """An offer that waits for room; times are monotonic."""

    ticket: str
    door: str
    work: Work
    room: Room
    lane: Lane
    queued_s: float
    deadline_s: float
    run_time_s: float
    waited_s: float = 0.0
    predicted_s: float | None = None
    live: bool = True


Line = collections.deque[QueuedOffer]


@dataclasses.dataclass(slots=True)
class TeamQueue:
    """Offers of one team; ``passes`` counts starts that passed a heavier one."""

    name: str
    lines: dict[tuple[Lane, Room], Line] = dataclasses.field(default_factory=dict)
    counts: dict[Lane, int] = dataclasses.field(default_factory=dict)
    work_s: float = 0.0
    length: int = 0
    dead: int = 0
    passes: int = 0
    entries: dict[Rank, int] = dataclasses.field(default_factory=dict)


Entry = tuple[float, int, str]


@dataclasses.dataclass
class Queues:
    """All that waits, by team and by ticket."""

    teams: dict[str, TeamQueue] = dataclasses.field(default_factory=dict)
    offers: dict[str, QueuedOffer] = dataclasses.field(default_factory=dict)
    heaps: dict[Rank, list[Entry]] = dataclasses.field(
        default_factory=lambda: {rank: [] for rank in Rank}
    )
    counter: t.Iterator[int] = dataclasses.field(default_factory=itertools.count)
    work_s: float = 0.0


@register_state(Queues)
def make_queues(node: Node) -> Queues:
    """Make the state of an owner for whom nothing waits."""
    return Queues()


def length_of(queues: Queues, team: str) -> int:
    """Tell how many offers of a team wait."""
    queue = queues.teams.get(team)
    return 0 if queue is None else queue.length


def push(queues: Queues, offer: QueuedOffer, key: float) -> None:
    """Queue an offer; ``key`` is the rank key of its team."""
    name = offer.work.team
    queue = queues.teams.get(name)
    if queue is None:
        queue = queues.teams[name] = TeamQueue(name)
    line = queue.lines.get((offer.lane, offer.room))
    if line is None:
        line = queue.lines[offer.lane, offer.room] = collections.deque()
    line.append(offer)
    queues.offers[offer.ticket] = offer
    _count(queues, queue, offer, 1)
    for rank in _RANKS[offer.lane]:
        if rank not in queue.entries:
            enter(queues, queue, rank, key)


def pop(queues: Queues, ticket: str) -> QueuedOffer | None:
    """Take an offer out of its queue."""
    offer = queues.offers.pop(ticket, None)
    if offer is None:
        return None
    queue = queues.teams[offer.work.team]
    offer.live = False
    queue.dead += 1
    _count(queues, queue, offer, -1)
    if queue.dead > 64 and queue.dead > 4 * queue.length:
        _compact(queue)
    return offer


def _count(queues: Queues, queue: TeamQueue, offer: QueuedOffer, sign: int) -> None:
    queue.length += sign
    queue.counts[offer.lane] = queue.counts.get(offer.lane, 0) + sign
    work_s = sign * offer.run_time_s * max(offer.room.slots, 1)
    queue.work_s += work_s
    queues.work_s += work_s


def _compact(queue: TeamQueue) -> None:
    queue.dead = 0
    for key, line in list(queue.lines.items()):
        kept = collections.deque(one for one in line if one.live)
        if kept:
            queue.lines[key] = kept
        else:
            del queue.lines[key]


def enter(queues: Queues, queue: TeamQueue, rank: Rank, key: float) -> None:
    """Put a team into the heap of a rank; an older entry of it counts no more."""
    number = next(queues.counter)
    queue.entries[rank] = number
    heapq.heappush(queues.heaps[rank], (key, number, queue.name))


def enter_again(queues: Queues, team: str, key: float) -> None:
    """Put a team that is owed more than before into its heaps again."""
    queue = queues.teams.get(team)
    if queue is None:
        return
    for rank in list(queue.entries):
        enter(queues, queue, rank, key)


def take_first(
    queues: Queues, rank: Rank, key_of: t.Callable[[str], float]
) -> TeamQueue | None:
    """Take the team that is owed most out of the heap of a rank."""
    heap = queues.heaps[rank]
    while heap:
        key, number, name = heapq.heappop(heap)
        queue = queues.teams[name]
        if queue.entries.get(rank) != number:
            continue
        del queue.entries[rank]
        if not has_work(queue, rank):
            continue
        true_key = key_of(name)
        if heap and true_key > heap[0][0] and true_key > key + 1e-9:
            enter(queues, queue, rank, true_key)
            continue
        return queue
    return None


def has_work(queue: TeamQueue, rank: Rank) -> bool:
    """Tell whether a team has offers of a rank."""
    counts = queue.counts
    if rank is Rank.URGENT:
        return counts.get(Lane.URGENT, 0) > 0
    if rank is Rank.SMALL:
        return counts.get(Lane.SMALL, 0) > 0
    if rank is Rank.BATCH:
        return counts.get(Lane.BATCH, 0) > 0
    return queue.length > counts.get(Lane.URGENT, 0) + counts.get(Lane.BATCH, 0)


_RANK_LANES: t.Final = {
    Rank.URGENT: (Lane.URGENT, Lane.URGENT),
    Rank.SMALL: (Lane.SMALL, Lane.SMALL),
    Rank.SHARE: (Lane.SMALL, Lane.HEAVY),
    Rank.BATCH: (Lane.BATCH, Lane.BATCH),
}


def heads(queue: TeamQueue, rank: Rank, now_s: float) -> list[QueuedOffer]:
    """List the first offer of each line of a rank, in the order to try them."""
    first, last = _RANK_LANES[rank]
    rv = []
    for key, line in list(queue.lines.items()):
        if not first <= key[0] <= last:
            continue
        while line and not line[0].live:
            line.popleft()
            queue.dead -= 1
        if line:
            rv.append(line[0])
        else:
            del queue.lines[key]
    if len(rv) < 2:
        return rv
    rv.sort(key=lambda one: (one.lane, one.queued_s))
    if rank is Rank.SHARE and has_been_passed(queue, now_s):
        oldest = min(rv, key=lambda one: (one.queued_s, -one.lane))
        rv.remove(oldest)
        rv.insert(0, oldest)
    return rv


def has_been_passed(queue: TeamQueue, now_s: float) -> bool:
    """Tell whether lighter work of a team has passed heavier often enough."""
    if queue.passes < PASSES_AT_MOST:
        return False
    return any(
        line[0].lane in (Lane.MIDDLING, Lane.HEAVY)
        and now_s - line[0].queued_s > PASSED_AFTER_S
        for line in queue.lines.values()
        if line
    )


def note_started(queue: TeamQueue, offer: QueuedOffer) -> None:
    """Count the starts that passed heavier work of the same team."""
    heavier = any(
        queue.counts.get(lane, 0)
        for lane in (Lane.MIDDLING, Lane.HEAVY)
        if lane > offer.lane
    )
    queue.passes = queue.passes + 1 if heavier else 0
