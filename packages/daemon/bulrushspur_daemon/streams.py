"""Bodies and answers on their way between a door and an owner, with bounded buffers.

A receiver gives the sender credit as its consumer reads, so that at most one buffer of
each stream is under way, whatever its size. Each stream knows the process at its other
end and breaks when that one is lost, or when nothing moves for too long.
"""

import asyncio
import dataclasses
import typing as t

from bulrushspur_kernel import messages as msg
from bulrushspur_kernel.settings import Bounds

CREDIT_STEP_SHARE: t.Final = 4
EARLY_PARTS_AT_MOST: t.Final = 1000
STALL_S: t.Final = 60.0


class StreamBrokenError(Exception):
    """Tell that a stream ended before its last part."""


@dataclasses.dataclass
class Inflow:
    """Parts that arrived and were not read yet; ``due_bytes`` of credit is due.

    A stream is ``taken`` once all of it was read at once.
    """

    peer: str = ""
    parts: list[bytes] = dataclasses.field(default_factory=list)
    next_sequence: int = 0
    early: dict[int, tuple[bytes, bool]] = dataclasses.field(default_factory=dict)
    ended: bool = False
    broken: bool = False
    taken: bool = False
    head: msg.AnswerHead | None = None
    due_bytes: int = 0
    changed: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)

    def add(self, sequence: int, data: bytes, last: bool) -> None:
        """Add a part, in whatever order the parts arrive."""
        if sequence < self.next_sequence or self.broken:
            return
        self.early[sequence] = (data, last)
        while self.next_sequence in self.early:
            part, ends = self.early.pop(self.next_sequence)
            self.next_sequence += 1
            if part:
                self.parts.append(part)
            self.ended = self.ended or ends
        if len(self.early) > EARLY_PARTS_AT_MOST:
            self.broken = True
        self.changed.set()

    def break_off(self) -> None:
        """Let the reader know that no more will come."""
        self.broken = not self.ended
        self.changed.set()

    def begun(self) -> bool:
        """Tell whether the first part, or the end, has arrived."""
        return self.next_sequence > 0

    async def wait(self, wait_s: float = STALL_S) -> None:
        """Wait for a change; raises StreamBrokenError when none comes."""
        try:
            async with asyncio.timeout(wait_s):
                await self.changed.wait()
        except TimeoutError as exc:
            raise StreamBrokenError from exc
        self.changed.clear()


@dataclasses.dataclass
class Outflow:
    """Credit of a stream that this process sends."""

    credit_bytes: int
    peer: str = ""
    sequence: int = 0
    broken: bool = False
    on_break: t.Callable[[], None] | None = None
    changed: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)

    def break_off(self) -> None:
        """Let the writer know that nobody reads any more."""
        if self.on_break is not None and not self.broken:
            self.on_break()
        self.broken = True
        self.changed.set()


@dataclasses.dataclass
class Streams:
    """All streams of this process; bodies arrive at owners, answers at doors."""

    bounds: Bounds
    bodies_in: dict[str, Inflow] = dataclasses.field(default_factory=dict)
    answers_in: dict[str, Inflow] = dataclasses.field(default_factory=dict)
    bodies_out: dict[str, Outflow] = dataclasses.field(default_factory=dict)
    answers_out: dict[str, Outflow] = dataclasses.field(default_factory=dict)

    def take(self, sender: str, message: msg.Message) -> bool:
        """Take a message that belongs to a stream; tell whether it did."""
        taker = _TAKERS.get(type(message))
        if taker is None:
            return False
        taker(self, sender, message)
        return True

    def withdraw(self, sender: str, ticket: str) -> None:
        """Let go of what a door withdrew."""
        inflow = self.bodies_in.get(ticket)
        if inflow is not None and inflow.peer == sender:
            inflow.break_off()
        outflow = self.answers_out.get(ticket)
        if outflow is not None and outflow.peer == sender:
            outflow.break_off()

    def break_peer(self, peer: str) -> None:
        """Break every stream from and to a process that was lost."""
        for flows in (self.bodies_in, self.answers_in):
            for inflow in flows.values():
                if inflow.peer == peer:
                    inflow.break_off()
        for flows in (self.bodies_out, self.answers_out):
            for outflow in flows.values():
                if outflow.peer == peer:
                    outflow.break_off()

    def counts(self) -> dict[str, int]:
        """Count the open streams by direction."""
        return {
            "bodies_in": len(self.bodies_in),
            "answers_in": len(self.answers_in),
            "bodies_out": len(self.bodies_out),
            "answers_out": len(self.answers_out),
        }


def _take_body(streams: Streams, sender: str, message: msg.BodyChunk) -> None:
    _add(streams.bodies_in, sender, message)


def _take_answer(streams: Streams, sender: str, message: msg.AnswerChunk) -> None:
    _add(streams.answers_in, sender, message)


def _take_head(streams: Streams, sender: str, message: msg.AnswerHead) -> None:
    inflow = streams.answers_in.get(message.ticket)
    if inflow is not None and inflow.peer == sender:
        inflow.head = message
        inflow.changed.set()


def _take_credit(streams: Streams, sender: str, message: msg.Credit) -> None:
    flows = streams.bodies_out if message.of_body else streams.answers_out
    flow = flows.get(message.ticket)
    if flow is not None and flow.peer == sender:
        flow.credit_bytes += message.bytes_more
        flow.changed.set()


def _add(
    flows: dict[str, Inflow], sender: str, message: msg.BodyChunk | msg.AnswerChunk
) -> None:
    inflow = flows.get(message.ticket)
    if inflow is not None and inflow.peer == sender:
        inflow.add(message.sequence, message.data, message.last)


_TAKERS: t.Final[dict[type, t.Callable[[Streams, str, t.Any], None]]] = {
    msg.BodyChunk: _take_body,
    msg.AnswerChunk: _take_answer,
    msg.AnswerHead: _take_head,
    msg.Credit: _take_credit,
}

Sender = t.Callable[[str, msg.Message], None]


async def read_inflow(
    inflow: Inflow, ticket: str, of_body: bool, send: Sender, bounds: Bounds
) -> t.AsyncIterator[bytes]:
    """Yield the parts of a stream and give credit for them.

    Raises StreamBrokenError.
    """
    step_bytes = bounds.buffer_bytes // CREDIT_STEP_SHARE
    while True:
        while inflow.parts:
            part = inflow.parts.pop(0)
            yield part
            inflow.due_bytes += len(part)
            if inflow.due_bytes >= step_bytes:
                send(inflow.peer, msg.Credit(ticket, of_body, inflow.due_bytes))
                inflow.due_bytes = 0
        if inflow.ended:
            return
        if inflow.broken:
            raise StreamBrokenError
        await inflow.wait()


async def spend_credit(
    flow: Outflow, amount_bytes: int, wait_s: float = STALL_S
) -> None:
    """Wait until there is credit, then spend it; raises StreamBrokenError."""
    while flow.credit_bytes <= 0 and not flow.broken:
        flow.changed.clear()
        try:
            async with asyncio.timeout(wait_s):
                await flow.changed.wait()
        except TimeoutError as exc:
            raise StreamBrokenError from exc
    if flow.broken:
        raise StreamBrokenError
    flow.credit_bytes -= amount_bytes


def make_streams(bounds: Bounds) -> Streams:
    """Make the streams of a process that has none yet."""
    return Streams(bounds)
