"""Send calls for placement advice through the VMs of the cell."""

import asyncio
import dataclasses
import typing as t

from bulrushspur_daemon.clock import steady_s
from bulrushspur_kernel.logs import EventLog
from bulrushspur_kernel.messages import Advised, AskAdvice
from bulrushspur_kernel.metrics import Metrics
from bulrushspur_scheduler.advice import (
    Lane,
    choose_lane,
    count_free_long_lanes,
    note_advice,
)
from bulrushspur_scheduler.cell import AdviceAsk, Cell

# A lane that has not answered by this much after the estimate has lost the call.
LOST_S: t.Final = 1.0


@dataclasses.dataclass
class AdviceLanes:
    """Calls for advice under way, by lane."""

    cell: Cell
    log: EventLog
    metrics: Metrics
    send: t.Callable[[str, AskAdvice], bool]
    lane_names: t.Callable[[], list[str]]
    poke: t.Callable[[], None]
    lanes: dict[str, Lane] = dataclasses.field(default_factory=dict)
    asked: dict[int, tuple[AdviceAsk, Lane, float]] = dataclasses.field(
        default_factory=dict
    )
    next_ask: int = 1

    def dispatch(self) -> None:
        """Send all calls that were decided, urgent ones first."""
        asks, self.cell.asks = self.cell.asks, []
        if not asks:
            return
        asks.sort(key=lambda one: (one.priority, one.call_s))
        for ask in asks:
            self._dispatch(ask)

    def note_free(self) -> None:
        """Tell the planner how many long calls can begin now."""
        free = count_free_long_lanes(self._open_lanes(), steady_s())
        self.cell.free_long_lanes = free

    def _open_lanes(self) -> list[Lane]:
        names = set(self.lane_names())
        for name in names - self.lanes.keys():
            self.lanes[name] = Lane(name)
        return [one for name, one in self.lanes.items() if name in names]

    def _dispatch(self, ask: AdviceAsk) -> None:
        now_s = steady_s()
        lane = choose_lane(self._open_lanes(), ask.call_s, now_s)
        number = self.next_ask
        self.next_ask += 1
        key = ask.step
        message = AskAdvice(
            number, key.job, key.occurrence, key.step, list(ask.workers)
        )
        if lane is None or not self.send(lane.name, message):
            note_advice(self.cell, key, ask.workers, None, 0.0, now_s)
            return
        lane.busy_until_s = max(lane.busy_until_s, now_s) + ask.call_s
        lane.waiting += 1
        self.asked[number] = (ask, lane, now_s)
        wait_s = lane.busy_until_s - now_s + LOST_S
        asyncio.get_running_loop().call_later(wait_s, self._expire, number)

    def _expire(self, number: int) -> None:
        if number in self.asked:
            self.metrics.count("advice_lost")
            self.finish(Advised(number, None))

    def finish(self, answer: Advised) -> None:
        """Take in the answer of a lane."""
        found = self.asked.pop(answer.ask, None)
        if found is None:
            return
        ask, lane, sent_s = found
        now_s = steady_s()
        lane.waiting -= 1
        if not lane.waiting:
            lane.busy_until_s = now_s
        if answer.good is not None:
            self.metrics.record_s("advice", now_s - sent_s)
        note_advice(
            self.cell,
            ask.step,
            ask.workers,
            answer.good,
            answer.valid_ms / 1000,
            now_s,
        )
        self.poke()
