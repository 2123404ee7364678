"""The callers' interface over HTTP. docs/CALLERS.md is its page."""

import asyncio
import dataclasses
import hashlib
import hmac
import typing as t

import msgspec

from bulrushspur_core import effects as fx
from bulrushspur_core import events
from bulrushspur_core.ids import make_id
from bulrushspur_core.log_reader import cell_of
from bulrushspur_daemon.streams import (
    Inflow,
    Outflow,
    StreamBrokenError,
    read_inflow,
    spend_credit,
)
from bulrushspur_kernel import messages as msg
from bulrushspur_kernel.errors import ErrorKind, Ran, Refusal
from bulrushspur_kernel.http_server import (
    CallerGoneError,
    Exchange,
    HttpError,
    HttpServer,
    Request,
    make_http_server,
)
from bulrushspur_kernel.keys import hash_key, split_key
from bulrushspur_kernel.text import Kind, Service
from bulrushspur_kernel.work import Work

if t.TYPE_CHECKING:
    from bulrushspur_daemon.process import Process

Doer = t.Callable[[t.Any], None]


@dataclasses.dataclass
class Pending:
    """A request on its way: its body, its answer, and what it was told."""

    ticket: str
    owner: str = ""
    body: list[bytes] = dataclasses.field(default_factory=list)
    answer: Inflow = dataclasses.field(default_factory=Inflow)


async def send_refusal(exchange: Exchange, refusal: Refusal) -> None:
    """Answer with a refusal: kind, sentence, whether it ran, when to come back."""
    row = refusal.row
    body = {
        "kind": refusal.kind.value,
        "sentence": refusal.sentence,
        "ran": refusal.ran.value,
        "advice": row.advice,
        "retry_after_s": refusal.retry_after_s,
    }
    headers = []
    if refusal.retry_after_s is not None:
        # Retry-After has whole seconds; the body has the exact time.
        value = str(max(1, round(refusal.retry_after_s))).encode()
        headers.append((b"retry-after", value))
    await exchange.answer(row.status, msgspec.json.encode(body), headers)


def find_team(process: "Process", request: Request, open_kind: bool) -> str:
    """Find the team of the key of a request; raises HttpError."""
    cell = cell_of(process.node)
    token = request.headers.get("authorization", "").removeprefix("Bearer ").strip()
    if not token and open_kind and cell.text is not None:
        return cell.text.policy.open_team
    parts = split_key(token)
    key = cell.keys.get(parts[0]) if parts else None
    given_hash = hash_key(token)
    if key is None or not hmac.compare_digest(key.key_hash, given_hash):
        sentence = "The key is not known, or was withdrawn."
        raise HttpError(Refusal(ErrorKind.UNKNOWN_KEY, sentence))
    return key.team


def find_kind(process: "Process", service: str, kind: str) -> tuple[Service, Kind]:
    """Find a kind of a service in the text in force; raises HttpError."""
    text = cell_of(process.node).text
    if text is None:
        raise HttpError(
            Refusal(ErrorKind.NO_TEXT, "No text is in force yet.", Ran.NO, 5)
        )
    found = text.find_service(service)
    if found is None:
        sentence = f"There is no service {service}."
        raise HttpError(Refusal(ErrorKind.UNKNOWN_SERVICE, sentence))
    found_kind = text.find_kind(service, kind)
    if found_kind is None:
        sentence = f"Service {service} has no kind {kind}."
        raise HttpError(Refusal(ErrorKind.UNKNOWN_KIND, sentence))
    return found, found_kind


def make_callers(process: "Process") -> tuple[HttpServer, Doer, Doer, Doer]:
    """Make the server for callers, and the doers of Resolve, Tell and SendBody."""
    pending: dict[str, Pending] = {}
    jobs: set[asyncio.Task[None]] = set()
    bounds = process.settings.bounds

    async def handle(request: Request, exchange: Exchange) -> None:
        parts = request.path.strip("/").split("/")
        if request.method == "POST" and parts == ["v1", "ids"]:
            await give_ids(exchange)
        elif (
            request.method == "POST" and len(parts) == 4 and parts[:2] == ["v1", "run"]
        ):
            await run(request, exchange, parts[2], parts[3])
        else:
            sentence = f"There is no {request.method} {request.path}."
            raise HttpError(Refusal(ErrorKind.UNKNOWN_PATH, sentence))

    async def give_ids(exchange: Exchange) -> None:
        now_s = process.timers.clock()
        body = {"ids": [make_id(process.node, now_s)]}
        await exchange.answer(200, msgspec.json.encode(body))

    async def run(
        request: Request, exchange: Exchange, service: str, kind: str
    ) -> None:
        _, found = find_kind(process, service, kind)
        team = find_team(process, request, found.open)
        ticket = process.node.make_token()
        one = Pending(ticket, body=[await request.read_all(bounds.body_bytes)])
        work = make_work(request, team, service, found, ticket)
        digest = hashlib.blake2b(b"".join(one.body), digest_size=16).hexdigest()
        pending[ticket] = one
        process.streams.answers_in[ticket] = one.answer
        try:
            process.handle(events.Submitted(ticket, work, digest))
            await relay(exchange, one)
        except CallerGoneError:
            process.handle(events.CancelAsked(ticket))
            raise
        finally:
            pending.pop(ticket, None)
            process.streams.answers_in.pop(ticket, None)

    def make_work(
        request: Request, team: str, service: str, kind: Kind, ticket: str
    ) -> Work:
        headers = request.headers
        return Work(
            headers.get("x-request-id", ticket),
            team,
            service,
            kind.name,
            kind.policy,
            kind.size,
            headers.get("x-idempotent", "yes") == "yes",
            float(headers.get("x-deadline-s", kind.deadline_s)),
            kind.run_time_s,
            kind.room,
        )

    async def relay(exchange: Exchange, one: Pending) -> None:
        inflow = one.answer
        while inflow.head is None and inflow.refusal is None:
            await inflow.wait()
        if inflow.refusal is not None:
            await send_refusal(exchange, inflow.refusal)
            return
        assert inflow.head is not None
        headers = [(k.encode(), v.encode("latin-1")) for k, v in inflow.head.headers]
        headers.append((b"transfer-encoding", b"chunked"))
        await exchange.start(inflow.head.status, headers)
        try:
            parts = read_inflow(
                inflow, one.ticket, False, one.owner, process.send, bounds
            )
            async for data in parts:
                await exchange.send_data(data)
        except StreamBrokenError as exc:
            # The head is out already: only a cut tells that the answer is not whole.
            raise CallerGoneError from exc
        process.handle(events.AnswerDelivered(one.ticket))
        await exchange.end()

    def resolve(effect: fx.Resolve) -> None:
        one = pending.get(effect.ticket)
        if one is not None:
            one.answer.refusal = effect.refusal
            one.answer.changed.set()

    def tell(effect: fx.Tell) -> None:
        process.node.metrics.count("told")

    def send_body(effect: fx.SendBody) -> None:
        one = pending.get(effect.ticket)
        if one is None:
            return
        one.owner = effect.owner
        job = asyncio.create_task(pump(one, effect.owner))
        jobs.add(job)
        job.add_done_callback(jobs.discard)

    async def pump(one: Pending, owner: str) -> None:
        flow = Outflow(bounds.buffer_bytes)
        process.streams.bodies_out[one.ticket] = flow
        try:
            for body in one.body:
                for start in range(0, len(body), CHUNK_BYTES):
                    data = body[start : start + CHUNK_BYTES]
                    await spend_credit(flow, len(data))
                    process.send(owner, msg.BodyChunk(one.ticket, flow.sequence, data))
                    flow.sequence += 1
            process.send(owner, msg.BodyChunk(one.ticket, flow.sequence, b"", True))
        except StreamBrokenError:
            pass
        finally:
            process.streams.bodies_out.pop(one.ticket, None)

    server = make_http_server(handle, send_refusal, bounds)
    return server, resolve, tell, send_body


CHUNK_BYTES: t.Final = 65_536
