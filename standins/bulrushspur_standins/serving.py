"""Serve a stand-in over HTTP, with faults on request."""

import asyncio
import dataclasses
import random
import typing as t

import msgspec

from bulrushspur_kernel.errors import Refusal
from bulrushspur_kernel.http_exchange import CallerDisconnectedError, Exchange, Request
from bulrushspur_kernel.http_server import HttpServer, make_http_server
from bulrushspur_kernel.settings import Bounds

StatusAndBody = tuple[int, bytes]


@dataclasses.dataclass
class Faults:
    """Faults of a stand-in; shares are 0 to 1, times in seconds."""

    down: bool = False
    unresponsive: bool = False
    forced_status: int = 0
    delay_s: float = 0.0
    lost_answer_share: float = 0.0
    late_execution_share: float = 0.0
    late_execution_delay_s: float = 1.0
    refused_peers: set[str] = dataclasses.field(default_factory=set)


async def send_refusal(exchange: Exchange, refusal: Refusal) -> None:
    """Answer what HTTP alone can refuse."""
    await exchange.send_json(refusal.details.status, b"{}")


def json_answer(status: int, body: t.Any = None) -> StatusAndBody:
    """Make an answer of JSON."""
    return status, b"{}" if body is None else msgspec.json.encode(body)


def make_server(
    handle: t.Callable[[Request, bytes], t.Awaitable[StatusAndBody]],
    faults: Faults,
    rng: random.Random,
) -> HttpServer:
    """Make a server whose answers suffer the faults that are set."""

    async def serve(request: Request, exchange: Exchange) -> None:
        body = await request.read_full_body(4_000_000)
        if faults.down:
            raise CallerDisconnectedError
        if faults.unresponsive:
            await asyncio.sleep(30)
            raise CallerDisconnectedError
        if faults.forced_status:
            await exchange.send_json(faults.forced_status, b"{}")
            return
        if faults.delay_s:
            await asyncio.sleep(faults.delay_s)
        if request.method == "POST" and rng.random() < faults.late_execution_share:
            asyncio.get_running_loop().call_later(
                faults.late_execution_delay_s,
                lambda: asyncio.ensure_future(handle(request, body)),
            )
            raise CallerDisconnectedError
        status, data = await handle(request, body)
        if request.method == "POST" and rng.random() < faults.lost_answer_share:
            raise CallerDisconnectedError
        await exchange.send_json(status, data)

    bounds = Bounds(connections=500, body_bytes=4_000_000, idle_wait_s=120.0)
    return make_http_server(serve, send_refusal, bounds)
