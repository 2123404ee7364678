"""The callers' interface over HTTP. docs/CALLERS.md is its page."""

import typing as t

import msgspec

from bulrushspur_core.ids import make_id
from bulrushspur_daemon.access import find_kind, find_team
from bulrushspur_daemon.headers import Asked, read_headers
from bulrushspur_daemon.inquiries import Inquiries
from bulrushspur_daemon.requests import Body, Pending, Requests, read_body
from bulrushspur_kernel.errors import ErrorKind, Refusal
from bulrushspur_kernel.http_exchange import Exchange, HttpError, Request
from bulrushspur_kernel.http_server import HttpServer, make_http_server
from bulrushspur_kernel.states import RequestAction

if t.TYPE_CHECKING:
    from bulrushspur_daemon.process import Process

IDS_AT_MOST: t.Final = 1000
ACCEPTED: t.Final = 202


async def send_refusal(exchange: Exchange, refusal: Refusal) -> None:
    """Answer with a refusal: kind, sentence, whether it ran, when to come back."""
    headers = []
    if refusal.retry_after_s is not None:
        # Retry-After has whole seconds; the body has the exact time.
        value = str(max(1, round(refusal.retry_after_s))).encode()
        headers.append((b"retry-after", value))
    body = msgspec.json.encode(show_refusal(refusal))
    await exchange.answer(refusal.row.status, body, headers)


def show_refusal(refusal: Refusal) -> dict[str, t.Any]:
    """Turn a refusal into what callers read."""
    return {
        "kind": refusal.kind.value,
        "sentence": refusal.sentence,
        "ran": refusal.ran.value,
        "advice": refusal.row.advice,
        "retry_after_s": refusal.retry_after_s,
    }


def make_callers(
    process: "Process", requests: Requests, inquiries: Inquiries
) -> HttpServer:
    """Make the server for callers."""
    bounds = process.settings.bounds

    async def handle(request: Request, exchange: Exchange) -> None:
        parts = request.path.split("/")[1:]
        match request.method, parts:
            case "POST", ["v1", "run", service, kind]:
                await run(request, exchange, service, kind)
            case "POST", ["v1", "ids"]:
                await give_ids(request, exchange)
            case "GET", ["v1", "requests", request_id]:
                await ask(request, exchange, request_id, RequestAction.STATE)
            case "GET", ["v1", "requests", request_id, "answer"]:
                await ask(request, exchange, request_id, RequestAction.ANSWER)
            case "POST", ["v1", "requests", request_id, "cancel"]:
                await ask(request, exchange, request_id, RequestAction.CANCEL)
            case _:
                sentence = f"There is no {request.method} {request.path[:200]}."
                raise HttpError(Refusal(ErrorKind.UNKNOWN_PATH, sentence))

    async def give_ids(request: Request, exchange: Exchange) -> None:
        count = request.query.get("count", "1")
        if not (count.isascii() and count.isdigit() and len(count) < 5):
            count = "0"
        if not 1 <= int(count) <= IDS_AT_MOST:
            sentence = f"Query count must be a whole number from 1 to {IDS_AT_MOST}."
            raise HttpError(Refusal(ErrorKind.BAD_REQUEST, sentence))
        now_s = process.timers.clock()
        made = [make_id(process.node, now_s) for _ in range(int(count))]
        await exchange.answer(200, msgspec.json.encode({"ids": made}))

    async def ask(
        request: Request, exchange: Exchange, request_id: str, action: RequestAction
    ) -> None:
        team = find_team(process, request, open_kind=True)
        await inquiries.ask(exchange, request_id, team, action)

    async def run(
        request: Request, exchange: Exchange, service: str, kind: str
    ) -> None:
        _, found = find_kind(process, service, kind)
        team = find_team(process, request, found.open)
        now_s = process.timers.clock()
        name = make_id(process.node, now_s)
        asked = read_headers(request.headers, team, service, found, name)
        check_id_given(asked)
        if asked.answer_later:
            body = Body(await request.read_all(bounds.kept_answer_bytes))
            await answer_later(exchange, requests.submit(asked.work, body, True))
            return
        body = await read_body(request, bounds.buffer_bytes)
        one = requests.submit(asked.work, body)
        exchange.on_gone(one.note_gone)
        try:
            await requests.relay(one, exchange)
        finally:
            exchange.on_gone(None)
            # Withdraws what has not ended, as when the caller went away.
            requests.cancel(one)
            requests.forget(one)

    async def answer_later(exchange: Exchange, one: Pending) -> None:
        while not one.accepted and one.refusal is None:
            await one.changed.wait()
            one.changed.clear()
        if not one.accepted and one.refusal is not None:
            requests.forget(one)
            raise HttpError(one.refusal)
        requests.spawn(requests.keep(one))
        path = f"/v1/requests/{one.work.request_id}"
        body = msgspec.json.encode({"id": one.work.request_id, "state": one.state()})
        await exchange.answer(ACCEPTED, body, [(b"location", path.encode())])

    return make_http_server(handle, send_refusal, bounds)


def check_id_given(asked: Asked) -> None:
    """Refuse work that must run at most once and came without an id."""
    if not asked.work.idempotent and not asked.has_id and not asked.answer_later:
        sentence = "A request that is not idempotent needs header X-Request-Id."
        raise HttpError(Refusal(ErrorKind.ID_NEEDED, sentence))
