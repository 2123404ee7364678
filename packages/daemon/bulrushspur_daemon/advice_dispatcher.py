"""Distribute calls to the placement advice service over the VMs of the cell.

The service approves workers for a step. It handles one call at a time from each VM, so
a VM is a lane: its entry process makes the calls that it gets one by one. The input is
the calls that the scheduler has added to the cell; the queue of ``lanes.py`` decides
which lane makes which, and replies are applied to the cell. A call that gets no reply
from any lane counts as failed, so that the planner can request it again.
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
    ATTEMPT_TIMEOUT_MARGIN_S,
    AdviceQueue,
    Attempt,
)

REQUEST_IDS_PER_TERM: t.Final = 1 << 32
# How often to look which entry processes can make calls.
LANES_REFRESH_INTERVAL_S: t.Final = 0.1
# So that a timer does not fire just before what it waits for.
TIMER_SLACK_S: t.Final = 0.005


@dataclasses.dataclass
class AdviceDispatcher:
    """Send advice calls to lanes, and apply the replies.

    ``send`` takes the name of a lane and returns whether the message was queued;
    ``lane_names`` returns the lanes that can make calls now. The request ids of a term
    are its own, so that a late reply to another term finds no call. The id 0 is not
    used: entry processes send it in an empty reply, to show that they can make calls.
    """

    cell: Cell
    log: EventLog
    metrics: Metrics
    send: t.Callable[[str, AdviceRequest], bool]
    lane_names: t.Callable[[], list[str]]
    request_plan: t.Callable[[], None]
    queue: AdviceQueue = dataclasses.field(default_factory=AdviceQueue)
    lanes_refreshed_s: float = -1e9

    def __post_init__(self) -> None:
        self.queue.next_request_id = self.cell.fencing_token * REQUEST_IDS_PER_TERM + 1

    def stop(self) -> None:
        """Drop all calls, so that the lanes are free for the next term."""
        self.queue = AdviceQueue(self.queue.next_request_id)

    def dispatch(self) -> None:
        """Queue the calls that were added to the cell, and send those that can go."""
        calls, self.cell.advice_calls = self.cell.advice_calls, []
        self.queue.drop_unwanted(self._is_wanted)
        for call in calls:
            self.queue.add(call)
        self._send_waiting()

    def _is_wanted(self, call: AdviceCall) -> bool:
        """Return whether the step that made the call still waits for its reply."""
        step = self.cell.find_step(call.step)
        return step is not None and call in step.in_flight_advice_calls

    def update_free_long_call_lanes(self) -> None:
        """Set the number of long calls that the planner may request now.

        Only a part of the lanes makes long calls, so that short ones do not wait for
        them.
        """
        self._refresh_lanes()
        free_count = self.queue.count_free_long_call_lanes(monotonic_s())
        self.cell.free_long_call_lanes = free_count

    def _refresh_lanes(self) -> None:
        now_s = monotonic_s()
        if now_s - self.lanes_refreshed_s > LANES_REFRESH_INTERVAL_S:
            self.lanes_refreshed_s = now_s
            self.queue.set_available(self.lane_names())

    def _send_waiting(self) -> None:
        """Send waiting calls to free lanes, and look again when a reply is late."""
        self._refresh_lanes()
        while attempts := self.queue.take_sendable(monotonic_s()):
            for attempt in attempts:
                if self.send(attempt.lane.name, _make_request(attempt)):
                    self._watch(attempt)
                else:
                    self._end_attempt(attempt.request_id, None, 0.0)

    def _watch(self, attempt: Attempt) -> None:
        loop, now_s = asyncio.get_running_loop(), monotonic_s()
        for due_s in (
            self.queue.late_at_s(attempt),
            attempt.due_s + ATTEMPT_TIMEOUT_MARGIN_S,
        ):
            loop.call_later(due_s - now_s + TIMER_SLACK_S, self._check_late)

    def _check_late(self) -> None:
        """Send late calls to another lane, and apply the lost ones as failed."""
        for call in self.queue.check_late(monotonic_s()):
            self.metrics.count("advice_lost")
            self._apply(call, None, 0.0)
        self._send_waiting()

    def handle_reply(self, reply: AdviceReply) -> None:
        """Apply the reply of a lane; ignore one to an unknown or answered call.

        A reply without ``approved`` stands for a failed call.
        """
        self._end_attempt(reply.request_id, reply.approved, reply.valid_ms / 1000)
        self._send_waiting()

    def _end_attempt(
        self, request_id: int, approved: list[tuple[str, str]] | None, valid_s: float
    ) -> None:
        attempt = self.queue.attempts.get(request_id)
        if attempt is None:
            return
        now_s = monotonic_s()
        if approved is not None:
            self.metrics.record_duration("advice", now_s - attempt.sent_s)
        call = self.queue.handle_reply(request_id, approved is not None, now_s)
        if call is not None:
            self._apply(call, approved, valid_s)

    def _apply(
        self,
        call: AdviceCall,
        approved: list[tuple[str, str]] | None,
        valid_s: float,
    ) -> None:
        apply_advice(self.cell, call, approved, valid_s, monotonic_s())
        self.request_plan()


def _make_request(attempt: Attempt) -> AdviceRequest:
    call = attempt.queued.call
    return AdviceRequest(
        attempt.request_id,
        call.step.job,
        call.step.occurrence,
        call.step.step,
        list(call.worker_ids),
        round((call.expected_call_s + ATTEMPT_TIMEOUT_MARGIN_S) * 1000),
    )
