"""Send calls for placement advice through the VMs of the cell."""

import asyncio
import dataclasses
import typing as t

from bulrushspur_daemon.clock import monotonic_s
from bulrushspur_kernel.logs import EventLog
from bulrushspur_kernel.messages import AdviceReply, AdviceRequest
from bulrushspur_kernel.metrics import Metrics
from bulrushspur_scheduler.advice import (
    Lane,
    apply_advice,
    choose_lane,
    count_free_long_call_lanes,
)
from bulrushspur_scheduler.cell import AdviceCall, Cell

# A lane that has not answered by this much after the estimate has lost the call.
CALL_TIMEOUT_MARGIN_S: t.Final = 1.0


@dataclasses.dataclass
class AdviceDispatcher:
    """Calls for advice under way, by lane."""

    cell: Cell
    log: EventLog
    metrics: Metrics
    send: t.Callable[[str, AdviceRequest], bool]
    lane_names: t.Callable[[], list[str]]
    request_plan: t.Callable[[], None]
    lanes: dict[str, Lane] = dataclasses.field(default_factory=dict)
    in_flight: dict[int, tuple[AdviceCall, Lane, float]] = dataclasses.field(
        default_factory=dict
    )
    next_request_id: int = 1

    def dispatch(self) -> None:
        """Send all calls that were decided, urgent ones first."""
        asks, self.cell.advice_calls = self.cell.advice_calls, []
        if not asks:
            return
        asks.sort(key=lambda one: (one.priority, one.expected_call_s))
        for ask in asks:
            self._dispatch(ask)

    def update_free_long_lanes(self) -> None:
        """Tell the planner how many long calls can begin now."""
        free = count_free_long_call_lanes(self._open_lanes(), monotonic_s())
        self.cell.free_long_call_lanes = free

    def _open_lanes(self) -> list[Lane]:
        names = set(self.lane_names())
        for name in names - self.lanes.keys():
            self.lanes[name] = Lane(name)
        return [one for name, one in self.lanes.items() if name in names]

    def _dispatch(self, ask: AdviceCall) -> None:
        now_s = monotonic_s()
        lane = choose_lane(self._open_lanes(), ask.expected_call_s, now_s)
        number = self.next_request_id
        self.next_request_id += 1
        key = ask.step
        message = AdviceRequest(
            number, key.job, key.occurrence, key.step, list(ask.worker_ids)
        )
        if lane is None or not self.send(lane.name, message):
            apply_advice(self.cell, key, ask.worker_ids, None, 0.0, now_s)
            return
        lane.busy_until_s = max(lane.busy_until_s, now_s) + ask.expected_call_s
        lane.queued_calls += 1
        self.in_flight[number] = (ask, lane, now_s)
        wait_s = lane.busy_until_s - now_s + CALL_TIMEOUT_MARGIN_S
        asyncio.get_running_loop().call_later(wait_s, self._expire, number)

    def _expire(self, number: int) -> None:
        if number in self.in_flight:
            self.metrics.count("advice_lost")
            self.handle_reply(AdviceReply(number, None))

    def handle_reply(self, answer: AdviceReply) -> None:
        """Take in the answer of a lane."""
        found = self.in_flight.pop(answer.request_id, None)
        if found is None:
            return
        ask, lane, sent_s = found
        now_s = monotonic_s()
        lane.queued_calls -= 1
        if not lane.queued_calls:
            lane.busy_until_s = now_s
        if answer.approved is not None:
            self.metrics.record_duration("advice", now_s - sent_s)
        apply_advice(
            self.cell,
            ask.step,
            ask.worker_ids,
            answer.approved,
            answer.valid_ms / 1000,
            now_s,
        )
        self.request_plan()
