"""What callers ask of requests that were taken before, through any door."""

import asyncio
import dataclasses
import typing as t

import msgspec

from bulrushspur_core import effects as fx
from bulrushspur_core import events
from bulrushspur_daemon.kept import KeptAnswer
from bulrushspur_daemon.requests import Pending, Requests, team_of_digest
from bulrushspur_daemon.streams import (
    Inflow,
    Outflow,
    StreamBrokenError,
    read_inflow,
    spend_credit,
)
from bulrushspur_kernel import messages as msg
from bulrushspur_kernel.errors import ErrorKind, Ran, Refusal
from bulrushspur_kernel.http_exchange import CallerGoneError, Exchange, HttpError
from bulrushspur_kernel.states import RequestAction, RequestState, ran_of, state_of

if t.TYPE_CHECKING:
    from bulrushspur_daemon.process import Process

TOLD_S: t.Final = 2.0
CHUNK_BYTES: t.Final = 65_536
ANSWER_STATUS: t.Final = 200
NOT_READY_STATUS: t.Final = 202


class Told(msgspec.Struct, omit_defaults=True):
    """What a caller is told of a request."""

    id: str
    state: str
    predicted_wait_s: float | None = None
    kind: str | None = None
    sentence: str | None = None
    ran: str | None = None


@dataclasses.dataclass
class Inquiries:
    """Questions to homes and to other doors that were not answered yet."""

    process: "Process"
    requests: Requests
    records: dict[str, asyncio.Future[fx.TellRecord]] = dataclasses.field(
        default_factory=dict
    )
    told: dict[str, asyncio.Future[msg.RequestTold]] = dataclasses.field(
        default_factory=dict
    )

    async def ask(
        self, exchange: Exchange, request_id: str, team: str, action: RequestAction
    ) -> None:
        """Answer a caller about a request that any door took; raises HttpError."""
        one = self.requests.by_id.get(request_id)
        kept = self.requests.kept.by_id.get(request_id)
        if one is not None:
            check_owner(one.work.team, team)
            await self._answer_pending(exchange, one, action)
        elif kept is not None:
            check_owner(kept.team, team)
            await self._answer_kept(exchange, kept, action)
        else:
            await self._ask_elsewhere(exchange, request_id, team, action)

    async def _answer_pending(
        self, exchange: Exchange, one: Pending, action: RequestAction
    ) -> None:
        if action == RequestAction.CANCEL:
            self.requests.cancel(one)
            await send_told(exchange, tell_refused(one.work.request_id, one.refusal))
            return
        told = Told(one.work.request_id, one.state(), one.predicted_wait_s)
        status = NOT_READY_STATUS if action == RequestAction.ANSWER else ANSWER_STATUS
        await send_told(exchange, told, status)

    async def _answer_kept(
        self, exchange: Exchange, kept: KeptAnswer, action: RequestAction
    ) -> None:
        if action != RequestAction.ANSWER:
            await send_told(exchange, tell_kept(kept))
        elif kept.refusal is not None:
            raise HttpError(kept.refusal)
        else:
            headers = [(k.encode(), v.encode("latin-1")) for k, v in kept.headers]
            await exchange.answer_whole(kept.status, [kept.body], headers)

    async def _ask_elsewhere(
        self, exchange: Exchange, request_id: str, team: str, action: RequestAction
    ) -> None:
        record = await self._find_record(request_id, team)
        door = record.door
        me = self.process.node.me.member
        if door == me or self.process.address_of(door.name) is None:
            await self._answer_record(exchange, record, action)
            return
        ticket = self.process.node.make_token()
        future = self.told[ticket] = asyncio.get_running_loop().create_future()
        inflow = self.process.streams.answers_in[ticket] = Inflow(door.name)
        try:
            self.process.send(
                door.name, msg.AskRequest(ticket, request_id, team, action)
            )
            async with asyncio.timeout(TOLD_S):
                told = await future
            await self._answer_told(exchange, request_id, told, ticket, inflow, action)
        except TimeoutError:
            await self._answer_record(exchange, record, action)
        finally:
            self.told.pop(ticket, None)
            self.process.streams.answers_in.pop(ticket, None)

    async def _find_record(self, request_id: str, team: str) -> msg.IdRecord:
        ticket = self.process.node.make_token()
        future = self.records[ticket] = asyncio.get_running_loop().create_future()
        try:
            self.process.handle(events.RecordAsked(ticket, request_id))
            async with asyncio.timeout(TOLD_S):
                found = await future
        except TimeoutError as exc:
            sentence = "The home of this request id did not answer."
            refusal = Refusal(ErrorKind.HOME_UNREACHABLE, sentence, Ran.MAYBE, 1.0)
            raise HttpError(refusal) from exc
        finally:
            self.records.pop(ticket, None)
        if found.refusal is not None:
            raise HttpError(found.refusal)
        if found.record is None:
            raise HttpError(_unknown(request_id))
        check_owner(team_of_digest(found.record.digest), team)
        return found.record

    async def _answer_record(
        self, exchange: Exchange, record: msg.IdRecord, action: RequestAction
    ) -> None:
        if action == RequestAction.STATE:
            await send_told(exchange, Told(record.request_id, record.state))
            return
        ran = ran_of(record.state)
        sentence = f"Its state is {record.state}; its door no longer has it."
        raise HttpError(Refusal(ErrorKind.PEER_LOST, sentence, ran))

    async def _answer_told(
        self,
        exchange: Exchange,
        request_id: str,
        told: msg.RequestTold,
        ticket: str,
        inflow: Inflow,
        action: RequestAction,
    ) -> None:
        if told.refusal is not None and action != RequestAction.STATE:
            raise HttpError(told.refusal)
        if action != RequestAction.ANSWER or told.state != RequestState.DONE:
            refused = told.refusal
            row = Told(request_id, told.state)
            if refused is not None:
                row = tell_refused(request_id, refused)
            status = (
                NOT_READY_STATUS if action == RequestAction.ANSWER else ANSWER_STATUS
            )
            await send_told(exchange, row, status)
            return
        await self._relay_kept(exchange, ticket, inflow)

    async def _relay_kept(
        self, exchange: Exchange, ticket: str, inflow: Inflow
    ) -> None:
        try:
            while inflow.head is None:
                await inflow.wait(TOLD_S)
        except StreamBrokenError:
            sentence = "The door that keeps this answer was lost."
            raise HttpError(Refusal(ErrorKind.PEER_LOST, sentence, Ran.YES)) from None
        head = inflow.head
        headers = [(k.encode(), v.encode("latin-1")) for k, v in head.headers]
        headers.append((b"transfer-encoding", b"chunked"))
        await exchange.start(head.status, headers)
        bounds = self.process.settings.bounds
        try:
            async for data in read_inflow(
                inflow, ticket, False, self.process.send, bounds
            ):
                await exchange.send_data(data)
        except StreamBrokenError as exc:
            raise CallerGoneError from exc
        await exchange.end()

    # What homes and other doors say.

    def tell_record(self, effect: fx.TellRecord) -> None:
        """Pass on the answer of a home."""
        _settle(self.records.get(effect.ticket), effect)

    def take_told(self, sender: str, message: msg.RequestTold) -> None:
        """Pass on the answer of another door."""
        _settle(self.told.get(message.ticket), message)

    def take_ask(self, sender: str, message: msg.AskRequest) -> None:
        """Answer another door about a request that this one took."""
        told, kept = self._find_here(message)
        self.process.send(sender, told)
        if (
            kept is not None
            and message.action == RequestAction.ANSWER
            and kept.refusal is None
        ):
            self.requests.spawn(self._send_kept(sender, message.ticket, kept))

    def _find_here(
        self, message: msg.AskRequest
    ) -> tuple[msg.RequestTold, KeptAnswer | None]:
        ticket, request_id = message.ticket, message.request_id
        one = self.requests.by_id.get(request_id)
        kept = self.requests.kept.by_id.get(request_id)
        owner = one.work.team if one is not None else kept.team if kept else ""
        if not owner:
            return msg.RequestTold(ticket, refusal=_unknown(request_id)), None
        if owner != message.team:
            return msg.RequestTold(ticket, refusal=_wrong_team()), None
        if one is not None:
            if message.action == RequestAction.CANCEL:
                self.requests.cancel(one)
                told = tell_refused(request_id, one.refusal)
                return msg.RequestTold(ticket, told.state), None
            return msg.RequestTold(ticket, one.state()), None
        assert kept is not None
        return msg.RequestTold(ticket, kept.state, kept.refusal), kept

    async def _send_kept(self, door: str, ticket: str, kept: KeptAnswer) -> None:
        flows = self.process.streams.answers_out
        buffer_bytes = self.process.settings.bounds.buffer_bytes
        flow = flows[ticket] = Outflow(buffer_bytes, door)
        send = self.process.send
        try:
            send(door, msg.AnswerHead(ticket, kept.status, kept.headers))
            for start in range(0, len(kept.body), CHUNK_BYTES):
                data = kept.body[start : start + CHUNK_BYTES]
                await spend_credit(flow, len(data))
                send(door, msg.AnswerChunk(ticket, flow.sequence, data))
                flow.sequence += 1
            send(door, msg.AnswerChunk(ticket, flow.sequence, b"", True))
        except StreamBrokenError:
            self.process.node.metrics.count("answers.broken")
        finally:
            flows.pop(ticket, None)


def check_owner(owner: str, team: str) -> None:
    """Refuse a team that asks for the request of another; raises HttpError."""
    if owner != team:
        raise HttpError(_wrong_team())


def _wrong_team() -> Refusal:
    sentence = "This request belongs to another team."
    return Refusal(ErrorKind.WRONG_TEAM, sentence, Ran.MAYBE)


def _unknown(request_id: str) -> Refusal:
    sentence = f"There is no request {request_id[:128]}."
    return Refusal(ErrorKind.UNKNOWN_REQUEST, sentence, Ran.MAYBE)


def tell_kept(kept: KeptAnswer) -> Told:
    """Tell how a request ended."""
    if kept.refusal is None:
        return Told(kept.request_id, kept.state)
    told = tell_refused(kept.request_id, kept.refusal)
    told.state = kept.state
    return told


def tell_refused(request_id: str, refusal: Refusal | None) -> Told:
    """Tell why a request has no answer."""
    if refusal is None:
        return Told(request_id, RequestState.DONE)
    return Told(
        request_id,
        state_of(refusal.ran),
        None,
        refusal.kind.value,
        refusal.sentence,
        refusal.ran.value,
    )


async def send_told(
    exchange: Exchange, told: Told, status: int = ANSWER_STATUS
) -> None:
    """Answer with what a caller is told."""
    await exchange.answer(status, msgspec.json.encode(told))


def _settle(future: asyncio.Future[t.Any] | None, value: t.Any) -> None:
    if future is not None and not future.done():
        future.set_result(value)


def make_inquiries(process: "Process", requests: Requests) -> Inquiries:
    """Make the inquiries of a door that was asked nothing yet."""
    return Inquiries(process, requests)
