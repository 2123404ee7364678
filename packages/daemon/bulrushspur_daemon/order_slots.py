"""Limit how many orders to one worker are in flight at a time.

Orders come in, and each waits until it has a slot. Stops get a free slot before all
starts that wait, so that the runs of a cancelled job end soon; apart from that, orders
of a kind keep their order.
"""

import asyncio
import collections
import contextlib
import dataclasses
import typing as t

Turns = collections.deque[asyncio.Future[None]]


@dataclasses.dataclass
class OrderSlots:
    """The slots of one worker, and the orders that wait for one."""

    free_count: int
    waiting_stops: Turns = dataclasses.field(default_factory=collections.deque)
    waiting_starts: Turns = dataclasses.field(default_factory=collections.deque)

    @contextlib.asynccontextmanager
    async def take_for_start(self) -> t.AsyncIterator[None]:
        """Hold a slot for a start."""
        await self._acquire(self.waiting_starts)
        try:
            yield
        finally:
            self._release()

    @contextlib.asynccontextmanager
    async def take_for_stop(self) -> t.AsyncIterator[None]:
        """Hold a slot for a stop."""
        await self._acquire(self.waiting_stops)
        try:
            yield
        finally:
            self._release()

    async def _acquire(self, waiting: Turns) -> None:
        if self.free_count > 0:
            self.free_count -= 1
            return
        turn = asyncio.get_running_loop().create_future()
        waiting.append(turn)
        try:
            await turn
        except asyncio.CancelledError:
            if turn.done() and not turn.cancelled():
                # It had got the slot already.
                self._release()
            raise

    def _release(self) -> None:
        for waiting in (self.waiting_stops, self.waiting_starts):
            while waiting:
                turn = waiting.popleft()
                if not turn.done():
                    turn.set_result(None)
                    return
        self.free_count += 1
