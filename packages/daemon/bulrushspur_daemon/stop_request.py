"""Learn that a process must stop, and when its grace period has begun at the latest.

SIGTERM and SIGINT come in. A signal is seen late if the VM is slow or was suspended; so
it counts from the last time at which the process certainly ran.
"""

import asyncio
import dataclasses
import signal
import types
import typing as t

from bulrushspur_daemon.clock import boottime_s

CHECK_INTERVAL_S: t.Final = 0.5
# An event loop that has not turned for this long is held up, not idle.
MAX_TURN_AGE_S: t.Final = 2 * CHECK_INTERVAL_S


@dataclasses.dataclass
class StopRequest:
    """Whether a process must stop, and since when; times count suspension."""

    requested: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)
    requested_s: float = 0.0
    last_turn_s: float = dataclasses.field(default_factory=boottime_s)
    is_recorded: bool = False

    def request(self) -> None:
        """Stop the process from within."""
        self._record()
        self.requested.set()

    def handle_signals(self) -> None:
        """Stop the process at SIGTERM and SIGINT; needs a running event loop.

        The handlers run between two instructions, also while the event loop is late.
        """
        loop = asyncio.get_running_loop()

        def handle_signal(number: int, frame: types.FrameType | None) -> None:
            self._record()
            if not loop.is_closed():
                loop.call_soon_threadsafe(self.requested.set)

        for number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(number, handle_signal)
            # System calls go on after the handler, as with those of asyncio.
            signal.siginterrupt(number, False)

    async def watch_turns(self) -> None:
        """Record when the event loop turns, for as long as it runs."""
        while True:
            self.last_turn_s = boottime_s()
            await asyncio.sleep(CHECK_INTERVAL_S)

    def _record(self) -> None:
        if self.is_recorded:
            return
        self.is_recorded = True
        now_s = boottime_s()
        is_held_up = now_s - self.last_turn_s > MAX_TURN_AGE_S
        self.requested_s = self.last_turn_s if is_held_up else now_s
