"""Requests on their way: body in, attempts, answer out."""

import asyncio
import dataclasses
import hashlib
import typing as t

from bulrushspur_core import effects as fx
from bulrushspur_core import events
from bulrushspur_daemon.kept import KeptAnswer, KeptAnswers
from bulrushspur_daemon.streams import (
    Inflow,
    Outflow,
    StreamBrokenError,
    read_inflow,
    spend_credit,
)
from bulrushspur_kernel import messages as msg
from bulrushspur_kernel.errors import ErrorKind, Ran, Refusal
from bulrushspur_kernel.http_exchange import (
    CallerGoneError,
    Exchange,
    HttpError,
    Request,
)
from bulrushspur_kernel.states import RequestState, state_of
from bulrushspur_kernel.work import Work

if t.TYPE_CHECKING:
    from bulrushspur_daemon.process import Process

CHUNK_BYTES: t.Final = 65_536
FULL_RETRY_S: t.Final = 1.0


@dataclasses.dataclass
class Body:
    """The buffered start of a body, and ``rest`` where there is more."""

    first: bytes
    rest: t.AsyncIterator[bytes] | None = None


@dataclasses.dataclass
class Pending:
    """A request that has no final answer yet, as its caller sees it.

    ``changed`` is set when ``answer``, ``refusal``, ``accepted`` or ``gone`` changes.
    """

    ticket: str
    work: Work
    body: Body
    offer: str = ""
    answer: Inflow | None = None
    refusal: Refusal | None = None
    accepted: bool = False
    gone: bool = False
    ended: bool = False
    predicted_wait_s: float | None = None
    pump: asyncio.Task[None] | None = None
    changed: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)

    def note_gone(self) -> None:
        """Note that the caller closed its connection."""
        self.gone = True
        self._wake()

    def refuse(self, refusal: Refusal) -> None:
        """Note why there will be no whole answer."""
        self.refusal = refusal
        self._wake()

    def _wake(self) -> None:
        if self.answer is not None:
            self.answer.break_off()
        self.changed.set()

    def state(self) -> RequestState:
        """Name the state for callers."""
        return RequestState.RUNNING if self.offer else RequestState.WAITING


@dataclasses.dataclass
class Requests:
    """All pending requests of this door, and the answers that it keeps."""

    process: "Process"
    kept: KeptAnswers
    pending: dict[str, Pending] = dataclasses.field(default_factory=dict)
    by_id: dict[str, Pending] = dataclasses.field(default_factory=dict)
    jobs: set[asyncio.Task[None]] = dataclasses.field(default_factory=set)
    buffered_bytes: int = 0

    def spawn(self, job: t.Coroutine[t.Any, t.Any, None]) -> asyncio.Task[None]:
        """Run a job in the background."""
        task = asyncio.create_task(job)
        self.jobs.add(task)
        task.add_done_callback(self.jobs.discard)
        return task

    def submit(self, work: Work, body: Body, kept: bool = False) -> Pending:
        """Give a request to the decision code; raises HttpError where it is full."""
        self._check_room(len(body.first))
        one = Pending(self.process.node.make_token(), work, body)
        self.pending[one.ticket] = one
        self.by_id.setdefault(work.request_id, one)
        self.buffered_bytes += len(body.first)
        replayable = body.rest is None
        digest = make_digest(work, body)
        self.process.handle(
            events.Submitted(one.ticket, work, digest, replayable, kept)
        )
        return one

    def _check_room(self, body_bytes: int) -> None:
        bounds = self.process.settings.bounds
        full = len(self.pending) >= bounds.waiting_requests
        if full or self.buffered_bytes + body_bytes > bounds.buffered_body_bytes:
            sentence = "This entry process holds as many requests as it may."
            refusal = Refusal(ErrorKind.QUEUE_FULL, sentence, Ran.NO, FULL_RETRY_S)
            raise HttpError(refusal)

    def forget(self, one: Pending) -> None:
        """Drop a request that has ended, with its streams."""
        if self.pending.pop(one.ticket, None) is None:
            return
        if self.by_id.get(one.work.request_id) is one:
            del self.by_id[one.work.request_id]
        self.buffered_bytes -= len(one.body.first)
        self.process.streams.answers_in.pop(one.offer, None)
        if one.pump is not None:
            one.pump.cancel()

    def cancel(self, one: Pending) -> None:
        """Withdraw a request that has not ended."""
        if one.ended or one.refusal is not None:
            return
        self.process.handle(events.CancelAsked(one.ticket))

    # What the decision code asks for.

    def resolve(self, effect: fx.Resolve) -> None:
        """Give a request its final refusal."""
        one = self.pending.get(effect.ticket)
        if one is not None and one.refusal is None:
            one.refuse(effect.refusal)

    def tell(self, effect: fx.Tell) -> None:
        """Note the wait that an owner predicts."""
        one = self.pending.get(effect.ticket)
        if one is not None:
            one.predicted_wait_s = effect.predicted_wait_s

    def accept(self, effect: fx.Accept) -> None:
        """Let a caller that asks later know that its request is taken."""
        one = self.pending.get(effect.ticket)
        if one is not None:
            one.accepted = True
            one.changed.set()

    def send_body(self, effect: fx.SendBody) -> None:
        """Begin an attempt: open its answer stream and send the body."""
        one = self.pending.get(effect.ticket)
        if one is None:
            return
        streams = self.process.streams
        streams.answers_in.pop(one.offer, None)
        one.offer = effect.offer
        one.answer = Inflow(effect.owner, changed=one.changed)
        streams.answers_in[one.offer] = one.answer
        if one.body.rest is None and len(one.body.first) <= CHUNK_BYTES:
            chunk = msg.BodyChunk(one.offer, 0, one.body.first, True)
            self.process.send(effect.owner, chunk)
            return
        if one.pump is not None:
            one.pump.cancel()
        one.pump = self.spawn(self._pump(one, effect.owner))

    async def _pump(self, one: Pending, owner: str) -> None:
        flows = self.process.streams.bodies_out
        ticket = one.offer
        flow = flows[ticket] = Outflow(self.process.settings.bounds.buffer_bytes, owner)
        try:
            await self._send_parts(flow, ticket, one.body.first)
            if one.body.rest is not None:
                async for data in one.body.rest:
                    await self._send_parts(flow, ticket, data)
            self.process.send(owner, msg.BodyChunk(ticket, flow.sequence, b"", True))
        except StreamBrokenError:
            self.process.node.metrics.count("bodies.broken")
        except HttpError as exc:
            self._give_up(one, exc.refusal)
        except CallerGoneError:
            one.note_gone()
        finally:
            flows.pop(ticket, None)

    async def _send_parts(self, flow: Outflow, ticket: str, data: bytes) -> None:
        for start in range(0, len(data), CHUNK_BYTES):
            part = data[start : start + CHUNK_BYTES]
            await spend_credit(flow, len(part))
            chunk = msg.BodyChunk(ticket, flow.sequence, part)
            self.process.send(flow.peer, chunk)
            flow.sequence += 1

    def _give_up(self, one: Pending, refusal: Refusal) -> None:
        # The worker has a part of the body already, so it may have begun.
        self.cancel(one)
        one.refuse(Refusal(refusal.kind, refusal.sentence, Ran.MAYBE))

    # What becomes of the answer.

    async def wait_outcome(self, one: Pending) -> msg.AnswerHead:
        """Wait for the head of the answer; raises HttpError or CallerGoneError."""
        while True:
            if one.refusal is not None:
                raise HttpError(one.refusal)
            if one.answer is not None and one.answer.head is not None:
                return one.answer.head
            if one.gone:
                raise CallerGoneError
            await one.changed.wait()
            one.changed.clear()

    async def relay(self, one: Pending, exchange: Exchange) -> None:
        """Carry the answer to the caller; a cut tells that it is not whole."""
        head = await self.wait_outcome(one)
        inflow = one.answer
        assert inflow is not None
        offer = one.offer
        headers = [(k.encode(), v.encode("latin-1")) for k, v in head.headers]
        if inflow.ended and not inflow.broken:
            self._note_delivered(one, offer)
            await exchange.answer_whole(head.status, inflow.parts, headers)
            return
        self.process.handle(events.AnswerStarted(offer))
        headers.append((b"transfer-encoding", b"chunked"))
        await exchange.start(head.status, headers)
        async for data in self._answer_parts(one, inflow):
            await exchange.send_data(data)
        self._note_delivered(one, offer)
        await exchange.end()

    def _note_delivered(self, one: Pending, offer: str) -> None:
        one.ended = True
        self.process.handle(events.AnswerDelivered(offer))

    async def keep(self, one: Pending) -> None:
        """Keep how a request ends until it is asked for."""
        work = one.work
        try:
            answer = await self._collect(one)
        except HttpError as exc:
            state = state_of(exc.refusal.ran)
            answer = KeptAnswer(work.request_id, work.team, state, refusal=exc.refusal)
        except CallerGoneError:
            sentence = "The answer was cut on its way here."
            refusal = Refusal(ErrorKind.WORKER_LOST, sentence, Ran.YES)
            answer = KeptAnswer(
                work.request_id, work.team, RequestState.DONE, refusal=refusal
            )
        self.kept.keep(answer)
        self.cancel(one)
        self.forget(one)

    async def _collect(self, one: Pending) -> KeptAnswer:
        head = await self.wait_outcome(one)
        inflow = one.answer
        assert inflow is not None
        offer = one.offer
        self.process.handle(events.AnswerStarted(offer))
        most_bytes = self.process.settings.bounds.kept_answer_bytes
        body = bytearray()
        async for data in self._answer_parts(one, inflow):
            if len(body) <= most_bytes:
                body += data
        self._note_delivered(one, offer)
        if len(body) > most_bytes:
            sentence = (
                f"The answer is larger than the {most_bytes} bytes that are kept."
            )
            raise HttpError(Refusal(ErrorKind.ANSWER_TOO_LARGE, sentence, Ran.YES))
        work = one.work
        return KeptAnswer(
            work.request_id,
            work.team,
            RequestState.DONE,
            head.status,
            head.headers,
            bytes(body),
        )

    async def _answer_parts(
        self, one: Pending, inflow: Inflow
    ) -> t.AsyncIterator[bytes]:
        bounds = self.process.settings.bounds
        parts = read_inflow(inflow, one.offer, False, self.process.send, bounds)
        try:
            async for data in parts:
                yield data
                if one.refusal is not None or one.gone:
                    raise CallerGoneError
        except StreamBrokenError as exc:
            raise CallerGoneError from exc


async def read_body(request: Request, buffer_bytes: int) -> Body:
    """Read the start of a body, or all of it where it is small; raises HttpError."""
    chunks = request.chunks()
    first = bytearray()
    async for data in chunks:
        first += data
        if len(first) >= buffer_bytes:
            return Body(bytes(first), chunks)
    return Body(bytes(first))


def make_digest(work: Work, body: Body) -> str:
    """Name the team and the content of a request, as its home keeps it.

    A body that is larger than the buffer counts with its start.
    """
    digest = hashlib.blake2b(f"{work.service}/{work.kind}/".encode(), digest_size=16)
    digest.update(body.first)
    return f"{work.team}:{digest.hexdigest()}"


def team_of_digest(digest: str) -> str:
    """Return the team that a digest names."""
    return digest.partition(":")[0]


def make_requests(process: "Process") -> Requests:
    """Make the requests of a door that has none yet."""
    return Requests(process, KeptAnswers(process.settings.bounds))
