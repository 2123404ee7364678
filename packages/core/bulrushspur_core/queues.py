"""The queues of an owner: one for each team, in lanes by weight and room.

A cancelled offer is only marked and skipped later, so that a wave of cancellations
costs each time the same. Teams stand in a heap for each rank and room; a key is
recomputed when it comes up, so that the cost of a start does not grow with the teams
that wait.
"""

import collections
import dataclasses
import enum
import heapq
import itertools
import typing as t

from bulrushspur_core.node import Node, register_state
from bulrushspur_kernel import plugins
from bulrushspur_kernel.work import Policy, Room, Size, Work

PASSED_FACTOR: t.Final = 4.0
PASSED_FACTOR_SMALL: t.Final = 8.0
PASSED_AFTER_S: t.Final = 5.0
DEAD_AT_MOST: t.Final = 64
KEY_SLACK: t.Final = 1e-6


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


POLICY: t.Final = "policy.lane"


@plugins.register(POLICY, Policy.URGENT)
def urgent_lane(work: Work) -> Lane:
    """Put urgent work before all else."""
    return Lane.URGENT


@plugins.register(POLICY, Policy.BATCH)
def batch_lane(work: Work) -> Lane:
    """Put batch behind all else."""
    return Lane.BATCH


@plugins.register(POLICY, Policy.GANG)
@plugins.register(POLICY, Policy.SERVICE)
def heavy_lane(work: Work) -> Lane:
    """Put work that runs long with the heavy requests."""
    return Lane.HEAVY


@plugins.register(POLICY, Policy.REQUEST)
def request_lane(work: Work) -> Lane:
    """Put a request by its size."""
    return _LANES[work.size]


def lane_of(work: Work) -> Lane:
    """Ask the policy of a class of work for the lane."""
    return plugins.lookup(POLICY, work.policy)(work)


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


@dataclasses.dataclass(slots=True)
class Line:
    """Offers of one lane and room, the oldest first; ``live`` of them still wait."""

    offers: collections.deque[QueuedOffer] = dataclasses.field(
        default_factory=collections.deque
    )
    live: int = 0

    def first(self) -> QueuedOffer | None:
        """Return the oldest offer that still waits."""
        offers = self.offers
        while offers and not offers[0].live:
            offers.popleft()
        return offers[0] if offers else None


Place = tuple[Rank, Room]
Entry = tuple[float, int, "TeamQueue"]
KeyOf = t.Callable[[str], float]


@dataclasses.dataclass(slots=True)
class TeamQueue:
    """Offers of one team; ``passed_s`` sums the slot time that passed heavier work."""

    name: str
    lines: dict[tuple[Lane, Room], Line] = dataclasses.field(default_factory=dict)
    counts: dict[Lane, int] = dataclasses.field(default_factory=dict)
    work_s: float = 0.0
    length: int = 0
    passed_s: float = 0.0
    entries: dict[Place, int] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass
class Queues:
    """All that waits, by team and by ticket."""

    teams: dict[str, TeamQueue] = dataclasses.field(default_factory=dict)
    offers: dict[str, QueuedOffer] = dataclasses.field(default_factory=dict)
    heaps: dict[Rank, dict[Room, list[Entry]]] = dataclasses.field(
        default_factory=lambda: {rank: {} for rank in Rank}
    )
    counter: t.Iterator[int] = dataclasses.field(default_factory=itertools.count)
    work_s: float = 0.0
    lane_work_s: dict[Lane, float] = dataclasses.field(default_factory=dict)


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
        line = queue.lines[offer.lane, offer.room] = Line()
    line.offers.append(offer)
    queues.offers[offer.ticket] = offer
    _count(queues, queue, line, offer, 1)
    for rank in _RANKS[offer.lane]:
        if (rank, offer.room) not in queue.entries:
            enter(queues, queue, rank, offer.room, key)


def pop(queues: Queues, ticket: str) -> QueuedOffer | None:
    """Take an offer out of its queue."""
    offer = queues.offers.pop(ticket, None)
    if offer is None:
        return None
    queue = queues.teams[offer.work.team]
    place = (offer.lane, offer.room)
    line = queue.lines[place]
    offer.live = False
    _count(queues, queue, line, offer, -1)
    if not line.live:
        del queue.lines[place]
    elif len(line.offers) > DEAD_AT_MOST + 2 * line.live:
        line.offers = collections.deque(one for one in line.offers if one.live)
    return offer


def _count(
    queues: Queues, queue: TeamQueue, line: Line, offer: QueuedOffer, sign: int
) -> None:
    line.live += sign
    queue.length += sign
    queue.counts[offer.lane] = queue.counts.get(offer.lane, 0) + sign
    work_s = sign * slot_time_s(offer)
    queue.work_s += work_s
    queues.work_s += work_s
    queues.lane_work_s[offer.lane] = queues.lane_work_s.get(offer.lane, 0.0) + work_s


def enter(queues: Queues, queue: TeamQueue, rank: Rank, room: Room, key: float) -> None:
    """Put a team into a heap; an older entry of it there counts no more."""
    number = next(queues.counter)
    queue.entries[rank, room] = number
    heapq.heappush(queues.heaps[rank].setdefault(room, []), (key, number, queue))


def enter_again(queues: Queues, team: str, key: float) -> None:
    """Put a team that is owed more than before into its heaps again."""
    queue = queues.teams.get(team)
    if queue is None:
        return
    for rank, room in list(queue.entries):
        enter(queues, queue, rank, room, key)


@dataclasses.dataclass(slots=True)
class Parked:
    """Teams that cannot start in this pass, and their entries taken off the heaps."""

    teams: set[str] = dataclasses.field(default_factory=set)
    entries: list[tuple[Rank, Room, Entry]] = dataclasses.field(default_factory=list)


def unpark(queues: Queues, parked: Parked) -> None:
    """Put the entries back that a pass took off the heaps."""
    for rank, room, entry in parked.entries:
        heapq.heappush(queues.heaps[rank].setdefault(room, []), entry)


def find_first(
    queues: Queues,
    rank: Rank,
    fits: t.Callable[[Room], bool],
    key_of: KeyOf,
    parked: Parked | None = None,
) -> TeamQueue | None:
    """Find the team that is owed most among those with work of a rank that fits."""
    best: tuple[float, TeamQueue] | None = None
    heaps = queues.heaps[rank]
    for room in list(heaps):
        if not fits(room):
            continue
        top = _find_top(queues, rank, room, key_of, parked)
        if top is not None and (best is None or top[0] < best[0]):
            best = top
        if not heaps[room]:
            del heaps[room]
    return None if best is None else best[1]


def _find_top(
    queues: Queues, rank: Rank, room: Room, key_of: KeyOf, parked: Parked | None
) -> tuple[float, TeamQueue] | None:
    heap = queues.heaps[rank][room]
    while heap:
        key, number, queue = heap[0]
        if queue.entries.get((rank, room)) != number:
            heapq.heappop(heap)
        elif not has_work(queue, rank, room):
            heapq.heappop(heap)
            del queue.entries[rank, room]
        elif parked is not None and queue.name in parked.teams:
            parked.entries.append((rank, room, heapq.heappop(heap)))
        else:
            true_key = key_of(queue.name)
            if true_key <= key + KEY_SLACK:
                return true_key, queue
            heapq.heapreplace(heap, (true_key, number, queue))
    return None


_RANK_LANES: t.Final = {
    Rank.URGENT: (Lane.URGENT,),
    Rank.SMALL: (Lane.SMALL,),
    Rank.SHARE: (Lane.SMALL, Lane.MIDDLING, Lane.HEAVY),
    Rank.BATCH: (Lane.BATCH,),
}


def lanes_of(rank: Rank) -> tuple[Lane, ...]:
    """Tell the lanes whose work may start in a rank."""
    return _RANK_LANES[rank]


def has_work(queue: TeamQueue, rank: Rank, room: Room) -> bool:
    """Tell whether a team has offers of a rank and room."""
    return any((lane, room) in queue.lines for lane in _RANK_LANES[rank])


def heads(queue: TeamQueue, rank: Rank, now_s: float) -> list[QueuedOffer]:
    """List the first offer of each line of a rank, in the order to try them."""
    lanes = _RANK_LANES[rank]
    rv = []
    for (lane, _), line in queue.lines.items():
        first = line.first() if lane in lanes else None
        if first is not None:
            rv.append(first)
    if len(rv) < 2:
        return rv
    rv.sort(key=lambda one: (one.lane, one.queued_s))
    if rank is Rank.SHARE and has_been_passed(queue, now_s):
        oldest = min(rv, key=lambda one: (one.queued_s, -one.lane))
        rv.remove(oldest)
        rv.insert(0, oldest)
    return rv


def has_been_passed(
    queue: TeamQueue, now_s: float, factor: float = PASSED_FACTOR
) -> bool:
    """Tell whether so many times its own slot time has passed heavier work."""
    if not queue.passed_s:
        return False
    for (lane, _), line in queue.lines.items():
        first = line.first() if lane in (Lane.MIDDLING, Lane.HEAVY) else None
        if first is not None and now_s - first.queued_s > PASSED_AFTER_S:
            return queue.passed_s >= factor * slot_time_s(first)
    return False


def slot_time_s(offer: QueuedOffer) -> float:
    """Estimate the slot seconds of an offer."""
    return offer.run_time_s * max(offer.room.slots, 1)


def note_started(queue: TeamQueue, offer: QueuedOffer) -> None:
    """Count the slot time of starts that passed heavier work of the same team."""
    heavier = any(
        queue.counts.get(lane, 0)
        for lane in (Lane.MIDDLING, Lane.HEAVY)
        if lane > offer.lane
    )
    queue.passed_s = queue.passed_s + slot_time_s(offer) if heavier else 0.0
