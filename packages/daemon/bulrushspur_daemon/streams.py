"""Bodies and answers on their way between a door and an owner, with bounded buffers.

A receiver gives the sender credit as its consumer reads, so that at most one buffer of
each stream is under way, whatever its size.
"""

import asyncio
import dataclasses
import typing as t

from bulrushspur_kernel import messages as msg
from bulrushspur_kernel.errors import Refusal
from bulrushspur_kernel.settings import Bounds

CREDIT_STEP_SHARE: t.Final = 4


class StreamBrokenError(Exception):
    """Tell that a stream ended before its last part."""


@dataclasses.dataclass
class Inflow:
    """Parts that arrived and were not read yet; ``unread_bytes`` of credit is due."""

    parts: list[bytes] = dataclasses.field(default_factory=list)
    next_sequence: int = 0
    early: dict[int, tuple[bytes, bool]] = dataclasses.field(default_factory=dict)
    ended: bool = False
    broken: bool = False
    head: msg.AnswerHead | None = None
    refusal: Refusal | None = None
    due_bytes: int = 0
    changed: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)

    def add(self, sequence: int, data: bytes, last: bool) -> None:
        """Add a part, in whatever order the parts arrive."""
        if sequence < self.next_sequence:
            return
        self.early[sequence] = (data, last)
        while self.next_sequence in self.early:
            part, ends = self.early.pop(self.next_sequence)
            self.next_sequence += 1
            if part:
                self.parts.append(part)
            self.ended = self.ended or ends
        self.changed.set()

    def break_off(self) -> None:
        """Let the reader know that no more will come."""
        self.broken = True
        self.changed.set()

    async def wait(self) -> None:
        """Wait for a change."""
        await self.changed.wait()
        self.changed.clear()


@dataclasses.dataclass
class Outflow:
    """Credit of a stream that this process sends."""

    credit_bytes: int
    sequence: int = 0
    broken: bool = False
    changed: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)


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
        if isinstance(message, msg.BodyChunk):
            _add(self.bodies_in, message)
        elif isinstance(message, msg.AnswerChunk):
            _add(self.answers_in, message)
        elif isinstance(message, msg.AnswerHead):
            inflow = self.answers_in.get(message.ticket)
            if inflow is not None:
                inflow.head = message
                inflow.changed.set()
        elif isinstance(message, msg.Credit):
            self._add_credit(message)
        else:
            return False
        return True

    def _add_credit(self, message: msg.Credit) -> None:
        flows = self.bodies_out if message.of_body else self.answers_out
        flow = flows.get(message.ticket)
        if flow is not None:
            flow.credit_bytes += message.bytes_more
            flow.changed.set()


def _add(flows: dict[str, Inflow], message: msg.BodyChunk | msg.AnswerChunk) -> None:
    inflow = flows.get(message.ticket)
    if inflow is not None:
        inflow.add(message.sequence, message.data, message.last)


Sender = t.Callable[[str, msg.Message], None]


async def read_inflow(
    inflow: Inflow, ticket: str, of_body: bool, to: str, send: Sender, bounds: Bounds
) -> t.AsyncIterator[bytes]:
    """Yield the parts of a stream and give credit for them; raises StreamBrokenError.

    ``to`` is the process that sends the stream.
    """
    step_bytes = bounds.buffer_bytes // CREDIT_STEP_SHARE
    while True:
        while inflow.parts:
            part = inflow.parts.pop(0)
            yield part
            inflow.due_bytes += len(part)
            if inflow.due_bytes >= step_bytes:
                send(to, msg.Credit(ticket, of_body, inflow.due_bytes))
                inflow.due_bytes = 0
        if inflow.ended:
            return
        if inflow.broken or inflow.refusal is not None:
            raise StreamBrokenError
        await inflow.wait()


async def spend_credit(flow: Outflow, amount_bytes: int) -> None:
    """Wait until there is credit, then spend it; raises StreamBrokenError."""
    while flow.credit_bytes <= 0 and not flow.broken:
        flow.changed.clear()
        await flow.changed.wait()
    if flow.broken:
        raise StreamBrokenError
    flow.credit_bytes -= amount_bytes


def make_streams(bounds: Bounds) -> Streams:
    """Make the streams of a process that has none yet."""
    return Streams(bounds)
