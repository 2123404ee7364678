"""Distribute calls to the placement advice service over the VMs of the cell.

The service approves workers for a step. It handles one call at a time from each VM, so
a VM is a lane: its entry process makes the calls that it gets one by one. The input is
the calls that the scheduler has added to the cell; each is sent to a lane, and its
reply is applied to the cell. Of the calls sent together urgent ones go first, then
those expected to be short. A call that no lane takes, or that gets no reply in time,
counts as failed, so that the planner can request it again.
"""

import asyncio
import dataclasses
import typing as t

from bulrushspur_daemon.clock import monotonic_s
from bulrushspur_kernel.logs import EventLog
from bulrushspur_kernel.messages import AdviceReply, AdviceRequest
from bulrushspur_kernel.metrics import Metrics
from bulrushspur_scheduler.advice import apply_advice
from bulrushspur_scheduler.cell import AdviceCall, Cell
from bulrushspur_scheduler.lanes import (
    Lane,
    LaneGroups,
    choose_lane,
    count_free_long_call_lanes,
    split_lanes,
)

# A call without a reply this long after its expected end counts as lost. The expected
# end allows for the calls queued before it in its lane.
CALL_TIMEOUT_MARGIN_S: t.Final = 1.0
REQUEST_IDS_PER_TERM: t.Final = 1 << 32
# How often to look which entry processes can make calls.
LANES_REFRESH_INTERVAL_S: t.Final = 0.2


@dataclasses.dataclass
class AdviceDispatcher:
    """Send advice calls to lanes, and apply the replies.

    ``send`` takes the name of a lane and returns whether the message was queued;
    ``lane_names`` returns the lanes that can make calls now. ``in_flight`` maps a
    request id to the call, its lane and the time when it was sent. The ids of a term
    are its own, so that a late reply to another term finds no call. The id 0 is not
    used: entry processes send it in an empty reply, to show that they can make calls.
    """

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
    next_request_id: int = 0
    lane_groups: LaneGroups = dataclasses.field(default_factory=lambda: split_lanes([]))
    lanes_refreshed_s: float = -1e9

    def __post_init__(self) -> None:
        self.next_request_id = self.cell.fencing_token * REQUEST_IDS_PER_TERM + 1

    def dispatch(self) -> None:
        """Send all calls that were added to the cell, urgent ones first."""
        calls, self.cell.advice_calls = self.cell.advice_calls, []
        if not calls:
            return
        calls.sort(key=lambda call: (call.priority, call.expected_call_s))
        for call in calls:
            self._send_call(call)

    def update_free_long_call_lanes(self) -> None:
        """Set the number of long calls that the planner may request now.

        Only a part of the lanes makes long calls, so that short ones do not wait for
        them.
        """
        now_s = monotonic_s()
        free_count = count_free_long_call_lanes(self._available_lanes(now_s), now_s)
        self.cell.free_long_call_lanes = free_count

    def _available_lanes(self, now_s: float) -> LaneGroups:
        """Return the lanes available now; the others are kept with their backlog."""
        if now_s - self.lanes_refreshed_s > LANES_REFRESH_INTERVAL_S:
            self.lanes_refreshed_s = now_s
            available_names = self.lane_names()
            for name in available_names:
                if name not in self.lanes:
                    self.lanes[name] = Lane(name)
            self.lane_groups = split_lanes([self.lanes[n] for n in available_names])
        return self.lane_groups

    def _send_call(self, call: AdviceCall) -> None:
        """Send a call to a lane, or apply it as failed if no lane takes it."""
        now_s = monotonic_s()
        lanes = self._available_lanes(now_s)
        lane = choose_lane(lanes, call.expected_call_s, now_s)
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
        """Apply a call as failed if it has had no reply.

        It no longer counts for its lane, although the lane may still be making it.
        """
        if request_id in self.in_flight:
            self.metrics.count("advice_lost")
            self.handle_reply(AdviceReply(request_id, None))

    def handle_reply(self, reply: AdviceReply) -> None:
        """Apply the reply of a lane; ignore one to an expired call.

        A reply without ``approved`` stands for a failed call.
        """
        in_flight_call = self.in_flight.pop(reply.request_id, None)
        if in_flight_call is None:
            return
        call, lane, sent_s = in_flight_call
        now_s = monotonic_s()
        lane.queued_calls -= 1
        # A lane whose calls have all ended is free now, not at their expected end.
        if not lane.queued_calls:
            lane.busy_until_s = now_s
        # The duration includes the time that the call was queued in its lane.
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
