"""A timer service that parts subscribe to, on a real or a fake clock."""

import asyncio
import dataclasses
import heapq
import itertools
import time
import typing as t

Clock = t.Callable[[], float]
Callback = t.Callable[[float], None]


@dataclasses.dataclass(order=True)
class _Entry:
    due_s: float
    order: int
    name: str = dataclasses.field(compare=False)
    period_s: float | None = dataclasses.field(compare=False)
    callback: Callback = dataclasses.field(compare=False)
    cancelled: bool = dataclasses.field(default=False, compare=False)


@dataclasses.dataclass
class Timers:
    """Subscriptions in order of their due time; ``clock`` gives monotonic seconds."""

    clock: Clock
    entries: list[_Entry] = dataclasses.field(default_factory=list)
    counter: t.Iterator[int] = dataclasses.field(default_factory=itertools.count)

    def every(self, name: str, period_s: float, callback: Callback) -> _Entry:
        """Call back every ``period_s`` seconds until cancelled."""
        return self._push(name, period_s, period_s, callback)

    def after(self, name: str, delay_s: float, callback: Callback) -> _Entry:
        """Call back once after ``delay_s`` seconds unless cancelled."""
        return self._push(name, delay_s, None, callback)

    def _push(
        self, name: str, delay_s: float, period_s: float | None, callback: Callback
    ) -> _Entry:
        due_s = self.clock() + delay_s
        entry = _Entry(due_s, next(self.counter), name, period_s, callback)
        heapq.heappush(self.entries, entry)
        return entry

    def run_due(self) -> float | None:
        """Call all that is due; return the seconds until the next, or None."""
        now_s = self.clock()
        while self.entries and self.entries[0].due_s <= now_s:
            entry = heapq.heappop(self.entries)
            if entry.cancelled:
                continue
            if entry.period_s is not None:
                # A late call is not made up for: periods restart from now.
                entry.due_s = now_s + entry.period_s
                heapq.heappush(self.entries, entry)
            entry.callback(now_s)
        if not self.entries:
            return None
        return max(self.entries[0].due_s - now_s, 0.0)


def make_timers(clock: Clock = time.monotonic) -> Timers:
    """Make a timer service on the given clock."""
    return Timers(clock)


MAX_SLEEP_S: t.Final = 0.05


async def run_timers(timers: Timers) -> None:
    """Drive the service on the event loop until cancelled."""
    while True:
        wait_s = timers.run_due()
        await asyncio.sleep(MAX_SLEEP_S if wait_s is None else min(wait_s, MAX_SLEEP_S))
