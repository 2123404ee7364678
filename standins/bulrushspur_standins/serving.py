"""Serve a stand-in over HTTP, with faults on request."""

import asyncio
import dataclasses
import random
import typing as t

import msgspec

from bulrushspur_kernel.errors import Refusal
from bulrushspur_kernel.http_exchange import CallerGoneError, Exchange, Request
from bulrushspur_kernel.http_server import HttpServer, make_http_server
from bulrushspur_kernel.settings import Bounds

Answer = tuple[int, bytes]


@dataclasses.dataclass
class Faults:
    """Faults of a stand-in; shares are 0 to 1, times in seconds."""

    down: bool = False
    silent: bool = False
    status: int = 0
    delay_s: float = 0.0
    lost_share: float = 0.0
    late_share: float = 0.0
    late_s: float = 1.0
    refused_peers: set[str] = dataclasses.field(default_factory=set)


async def send_refusal(exchange: Exchange, refusal: Refusal) -> None:
    """Answer what HTTP alone can refuse."""
    await exchange.answer(refusal.row.status, b"{}")


def json_answer(status: int, body: t.Any = None) -> Answer:
    """Make an answer of JSON."""
    return status, b"{}" if body is None else msgspec.json.encode(body)


def make_server(
    handle: t.Callable[[Request, bytes], t.Awaitable[Answer]],
    faults: Faults,
    rng: random.Random,
) -> HttpServer:
    """Make a server whose answers suffer the faults that are set."""

    async def serve(request: Request, exchange: Exchange) -> None:
        body = await request.read_all(4_000_000)
        if faults.down:
            raise CallerGoneError
        if faults.silent:
            await asyncio.sleep(30)
            raise CallerGoneError
        if faults.status:
            await exchange.answer(faults.status, b"{}")
            return
        if faults.delay_s:
            await asyncio.sleep(faults.delay_s)
        if request.method == "POST" and rng.random() < faults.late_share:
            asyncio.get_running_loop().call_later(
                faults.late_s, lambda: asyncio.ensure_future(handle(request, body))
            )
            raise CallerGoneError
        status, data = await handle(request, body)
        if request.method == "POST" and rng.random() < faults.lost_share:
            raise CallerGoneError
        await exchange.answer(status, data)

    bounds = Bounds(connections=500, body_bytes=4_000_000, idle_wait_s=120.0)
    return make_http_server(serve, send_refusal, bounds)
