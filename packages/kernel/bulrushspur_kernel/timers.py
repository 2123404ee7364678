"""Call back once after a delay or periodically, on a real or a fake clock.

Callbacks run in order of their due times, and those due at the same time in order of
their registration. Missed periods of a periodic timer are skipped.
"""

import asyncio
import dataclasses
import heapq
import itertools
import time
import typing as t

Clock = t.Callable[[], float]
Callback = t.Callable[[float], None]


@dataclasses.dataclass(order=True)
class _TimerEntry:
    due_s: float
    sequence: int
    name: str = dataclasses.field(compare=False)
    period_s: float | None = dataclasses.field(compare=False)
    callback: Callback = dataclasses.field(compare=False)
    cancelled: bool = dataclasses.field(default=False, compare=False)


@dataclasses.dataclass
class Timers:
    """A heap of timers by due time; ``clock`` returns monotonic seconds."""

    clock: Clock
    entries: list[_TimerEntry] = dataclasses.field(default_factory=list)
    counter: t.Iterator[int] = dataclasses.field(default_factory=itertools.count)

    def every(self, name: str, period_s: float, callback: Callback) -> _TimerEntry:
        """Call back every ``period_s`` seconds until the entry is cancelled."""
        return self._schedule(name, period_s, period_s, callback)

    def after(self, name: str, delay_s: float, callback: Callback) -> _TimerEntry:
        """Call back once after ``delay_s`` seconds unless the entry is cancelled."""
        return self._schedule(name, delay_s, None, callback)

    def _schedule(
        self, name: str, delay_s: float, period_s: float | None, callback: Callback
    ) -> _TimerEntry:
        due_s = self.clock() + delay_s
        entry = _TimerEntry(due_s, next(self.counter), name, period_s, callback)
        heapq.heappush(self.entries, entry)
        return entry

    def run_due(self) -> float | None:
        """Run all due callbacks; return the seconds until the next one, or None."""
        now_s = self.clock()
        while self.entries and self.entries[0].due_s <= now_s:
            entry = heapq.heappop(self.entries)
            if entry.cancelled:
                continue
            if entry.period_s is not None:
                # Skip periods that were missed: the next period starts now.
                entry.due_s = now_s + entry.period_s
                heapq.heappush(self.entries, entry)
            entry.callback(now_s)
        if not self.entries:
            return None
        return max(self.entries[0].due_s - now_s, 0.0)


def make_timers(clock: Clock = time.monotonic) -> Timers:
    """Make an empty set of timers on the given clock."""
    return Timers(clock)


# Limits the delay of a timer that is added while run_timers sleeps.
MAX_SLEEP_S: t.Final = 0.05


async def run_timers(timers: Timers) -> None:
    """Run timers on the event loop until cancelled."""
    while True:
        wait_s = timers.run_due()
        await asyncio.sleep(MAX_SLEEP_S if wait_s is None else min(wait_s, MAX_SLEEP_S))
