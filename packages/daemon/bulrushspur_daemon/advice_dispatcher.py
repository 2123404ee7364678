"""Distribute calls for placement advice over the VMs of the cell.

The calls that the planner left in the cell go in; each is sent to the entry process of
one VM (a lane), and its reply is applied to the cell. Urgent calls are sent first, then
those expected to be short. A call that no lane takes, or that gets no reply in time,
counts as a call without advice, so that the planner can request it again.
"""

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

# A call without a reply this long after its expected end counts as lost.
CALL_TIMEOUT_MARGIN_S: t.Final = 1.0


@dataclasses.dataclass
class AdviceDispatcher:
    """Lanes by name, and the calls in flight by request id."""

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
        """Send all calls that the planner has left in the cell, urgent ones first."""
        calls, self.cell.advice_calls = self.cell.advice_calls, []
        if not calls:
            return
        calls.sort(key=lambda call: (call.priority, call.expected_call_s))
        for call in calls:
            self._send_call(call)

    def update_free_long_lanes(self) -> None:
        """Set the number of long calls that the planner may request now."""
        free_count = count_free_long_call_lanes(self._available_lanes(), monotonic_s())
        self.cell.free_long_call_lanes = free_count

    def _available_lanes(self) -> list[Lane]:
        available_names = set(self.lane_names())
        for name in available_names - self.lanes.keys():
            self.lanes[name] = Lane(name)
        return [lane for name, lane in self.lanes.items() if name in available_names]

    def _send_call(self, call: AdviceCall) -> None:
        now_s = monotonic_s()
        lane = choose_lane(self._available_lanes(), call.expected_call_s, now_s)
        request_id = self.next_request_id
        self.next_request_id += 1
        step_key = call.step
        message = AdviceRequest(
            request_id,
            step_key.job,
            step_key.occurrence,
            step_key.step,
            list(call.worker_ids),
        )
        if lane is None or not self.send(lane.name, message):
            apply_advice(self.cell, step_key, call.worker_ids, None, 0.0, now_s)
            return
        lane.busy_until_s = max(lane.busy_until_s, now_s) + call.expected_call_s
        lane.queued_calls += 1
        self.in_flight[request_id] = (call, lane, now_s)
        timeout_s = lane.busy_until_s - now_s + CALL_TIMEOUT_MARGIN_S
        asyncio.get_running_loop().call_later(timeout_s, self._expire_call, request_id)

    def _expire_call(self, request_id: int) -> None:
        if request_id in self.in_flight:
            self.metrics.count("advice_lost")
            self.handle_reply(AdviceReply(request_id, None))

    def handle_reply(self, reply: AdviceReply) -> None:
        """Apply the reply of a lane; ignore one to an expired call."""
        entry = self.in_flight.pop(reply.request_id, None)
        if entry is None:
            return
        call, lane, sent_s = entry
        now_s = monotonic_s()
        lane.queued_calls -= 1
        if not lane.queued_calls:
            lane.busy_until_s = now_s
        if reply.approved is not None:
            self.metrics.record_duration("advice", now_s - sent_s)
        apply_advice(
            self.cell,
            call.step,
            call.worker_ids,
            reply.approved,
            reply.valid_ms / 1000,
            now_s,
        )
        self.request_plan()
