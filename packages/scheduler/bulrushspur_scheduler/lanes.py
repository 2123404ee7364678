"""Choose which VM makes a call of the placement advice service, and when.

The service handles one call at a time from each calling VM, so every VM is a lane.
Calls wait in one queue and go to a lane only when it is free: a lane that dies or is
cut off holds up one call at most. A call without a reply after the usual time is sent
to another lane, too, and the first reply counts. Long calls use only a part of the
lanes.

The load that this answers is short calls of urgent steps beside long ones, while VMs
stop, restart or are cut off. Points in time are seconds on the monotonic clock.
"""

import dataclasses
import math
import typing as t

from bulrushspur_scheduler.cell import AdviceCall
from bulrushspur_scheduler.latency import LatencyEstimate

MIN_LONG_CALL_S: t.Final = 0.25
LONG_CALL_LANE_SHARE: t.Final = 0.5
# An attempt without a reply this long after its expected end counts as lost.
ATTEMPT_TIMEOUT_MARGIN_S: t.Final = 1.0
MAX_ATTEMPTS: t.Final = 3
# A call is sent to another lane at the latest this long after its expected end.
MAX_LATE_S: t.Final = 0.6
# A lane that lost or failed an attempt is left alone for this long, twice as long
# after each further one, while other lanes can make calls.
MIN_PAUSE_S: t.Final = 0.25
MAX_PAUSE_S: t.Final = 2.0


@dataclasses.dataclass(slots=True, eq=False)
class QueuedCall:
    """A call that has no reply yet; those with the lowest order are sent first."""

    call: AdviceCall
    order: tuple[int, int]
    attempt_count: int = 0
    live_attempts: int = 0
    is_queued: bool = False
    is_answered: bool = False


@dataclasses.dataclass(slots=True, eq=False)
class Lane:
    """A VM that can call the service, and the attempt that it is making."""

    name: str
    makes_long_calls: bool = True
    attempt: "Attempt | None" = None
    pause_s: float = 0.0
    paused_until_s: float = 0.0

    def record_result(self, succeeded: bool, now_s: float) -> None:
        """Pause the lane after a failure, and forget earlier ones after a success."""
        if succeeded:
            self.pause_s = self.paused_until_s = 0.0
            return
        self.pause_s = min(max(self.pause_s * 2, MIN_PAUSE_S), MAX_PAUSE_S)
        self.paused_until_s = now_s + self.pause_s


@dataclasses.dataclass(slots=True, eq=False)
class Attempt:
    """A call that was sent to a lane; ``is_late`` if it was sent to another since."""

    request_id: int
    queued: QueuedCall
    lane: Lane
    sent_s: float
    is_late: bool = False

    @property
    def due_s(self) -> float:
        """Return when the reply is expected."""
        return self.sent_s + self.queued.call.expected_call_s


@dataclasses.dataclass
class AdviceQueue:
    """The calls that wait for a lane or a reply, and the lanes."""

    next_request_id: int = 1
    lanes: dict[str, Lane] = dataclasses.field(default_factory=dict)
    available: list[Lane] = dataclasses.field(default_factory=list)
    waiting: list[QueuedCall] = dataclasses.field(default_factory=list)
    attempts: dict[int, Attempt] = dataclasses.field(default_factory=dict)
    # How much later than expected replies come.
    delay: LatencyEstimate = dataclasses.field(
        default_factory=lambda: LatencyEstimate(MAX_LATE_S)
    )
    call_count: int = 0

    def set_available(self, names: t.Iterable[str]) -> None:
        """Set the lanes that can make calls now; the others keep their attempt."""
        self.available = [
            self.lanes.setdefault(name, Lane(name)) for name in sorted(names)
        ]

    def _usable_lanes(self, now_s: float) -> list[Lane]:
        """Return the lanes that are not paused, or all; a part makes long calls."""
        usable = [lane for lane in self.available if lane.paused_until_s <= now_s]
        usable = usable or self.available
        split = math.ceil(len(usable) * LONG_CALL_LANE_SHARE)
        for index, lane in enumerate(usable):
            lane.makes_long_calls = index < split
        return usable

    def add(self, call: AdviceCall) -> None:
        """Queue a call behind those of its priority."""
        self.call_count += 1
        self._enqueue(QueuedCall(call, (call.priority, self.call_count)))

    def _enqueue(self, queued: QueuedCall) -> None:
        queued.is_queued = True
        self.waiting.append(queued)

    def drop_unwanted(self, is_wanted: t.Callable[[AdviceCall], bool]) -> None:
        """Drop the waiting calls whose step has ended or was cancelled."""
        for queued in self.waiting:
            queued.is_queued = is_wanted(queued.call)
        self.waiting = [queued for queued in self.waiting if queued.is_queued]

    def count_free_long_call_lanes(self, now_s: float) -> int:
        """Return how many long calls can be sent now beside those that wait."""
        free = sum(
            lane.makes_long_calls and lane.attempt is None
            for lane in self._usable_lanes(now_s)
        )
        waiting = sum(is_long(queued.call) for queued in self.waiting)
        return max(free - waiting, 0)

    def take_sendable(self, now_s: float) -> list[Attempt]:
        """Assign waiting calls to free lanes; return the attempts to send.

        Short calls prefer the lanes that make no long ones.
        """
        if not self.waiting:
            return []
        free = [lane for lane in self._usable_lanes(now_s) if lane.attempt is None]
        self.waiting.sort(key=lambda queued: queued.order)
        kept: list[QueuedCall] = []
        rv: list[Attempt] = []
        for queued in self.waiting:
            lane = _choose_lane(free, queued.call)
            if lane is None:
                kept.append(queued)
                continue
            free.remove(lane)
            rv.append(self._begin_attempt(queued, lane, now_s))
        self.waiting = kept
        return rv

    def _begin_attempt(self, queued: QueuedCall, lane: Lane, now_s: float) -> Attempt:
        attempt = Attempt(self.next_request_id, queued, lane, now_s)
        self.next_request_id += 1
        queued.is_queued = False
        queued.attempt_count += 1
        queued.live_attempts += 1
        lane.attempt = attempt
        self.attempts[attempt.request_id] = attempt
        return attempt

    def handle_reply(
        self, request_id: int, succeeded: bool, now_s: float
    ) -> AdviceCall | None:
        """End an attempt; return its call if this decides it, None otherwise.

        The first reply that succeeded decides a call, or the last one that failed.
        """
        attempt = self.attempts.get(request_id)
        if attempt is None:
            return None
        if succeeded:
            self.delay.observe(now_s - attempt.due_s)
        return self._end_attempt(attempt, succeeded, now_s)

    def _end_attempt(
        self, attempt: Attempt, succeeded: bool, now_s: float
    ) -> AdviceCall | None:
        queued = attempt.queued
        del self.attempts[attempt.request_id]
        queued.live_attempts -= 1
        attempt.lane.attempt = None
        attempt.lane.record_result(succeeded, now_s)
        if queued.is_answered:
            return None
        if not succeeded:
            self._queue_again(queued)
            if queued.live_attempts or queued.is_queued:
                return None
        queued.is_answered = True
        if queued.is_queued:
            queued.is_queued = False
            self.waiting.remove(queued)
        return queued.call

    def check_late(self, now_s: float) -> list[AdviceCall]:
        """Queue the calls again whose replies are late; return those that are lost."""
        lost: list[AdviceCall] = []
        for attempt in list(self.attempts.values()):
            if now_s > attempt.due_s + ATTEMPT_TIMEOUT_MARGIN_S:
                call = self._end_attempt(attempt, False, now_s)
                if call is not None:
                    lost.append(call)
            elif now_s > self.late_at_s(attempt) and not attempt.is_late:
                attempt.is_late = True
                self._queue_again(attempt.queued)
        return lost

    def _queue_again(self, queued: QueuedCall) -> None:
        if queued.is_answered or queued.is_queued:
            return
        if queued.attempt_count < MAX_ATTEMPTS:
            self._enqueue(queued)

    def late_at_s(self, attempt: Attempt) -> float:
        """Return when the reply to an attempt counts as late."""
        return attempt.due_s + self.delay.late_s


def is_long(call: AdviceCall) -> bool:
    """Return whether a call is expected to take long."""
    return call.expected_call_s > MIN_LONG_CALL_S


def _choose_lane(free: list[Lane], call: AdviceCall) -> Lane | None:
    if is_long(call):
        return next((lane for lane in free if lane.makes_long_calls), None)
    return min(free, key=lambda lane: lane.makes_long_calls, default=None)
