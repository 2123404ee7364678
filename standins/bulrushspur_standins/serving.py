"""Serve a simulated service over HTTP, with faults injected between it and the caller.

A service is a handler from a request and its body to a status and a JSON body. Faults
are read at each request, and a test can set and clear them while the server runs.
"""

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
    """Faults of a simulated service; shares are 0 to 1, times in seconds.

    ``down`` aborts the connection, ``unresponsive`` does so after 30 s without an
    answer, and ``forced_status`` answers every request with that status (0 is off).
    ``lost_answer_share`` of the POST requests are executed without an answer;
    ``late_execution_share`` are executed ``late_execution_delay_s`` after the
    connection was aborted.
    """

    down: bool = False
    unresponsive: bool = False
    forced_status: int = 0
    delay_s: float = 0.0
    lost_answer_share: float = 0.0
    late_execution_share: float = 0.0
    late_execution_delay_s: float = 1.0
    refused_peers: set[str] = dataclasses.field(default_factory=set)


async def send_refusal(exchange: Exchange, refusal: Refusal) -> None:
    """Answer a request that the HTTP server refused, with its status and no details."""
    await exchange.send_json(refusal.details.status, b"{}")


def json_answer(status: int, body: t.Any = None) -> StatusAndBody:
    """Encode an answer; without a body it is an empty JSON object."""
    return status, b"{}" if body is None else msgspec.json.encode(body)


def make_server(
    handle: t.Callable[[Request, bytes], t.Awaitable[StatusAndBody]],
    faults: Faults,
    rng: random.Random,
) -> HttpServer:
    """Make a server that passes requests to a handler and applies the faults."""

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
        status, answer_body = await handle(request, body)
        if request.method == "POST" and rng.random() < faults.lost_answer_share:
            raise CallerDisconnectedError
        await exchange.send_json(status, answer_body)

    bounds = Bounds(connections=500, body_bytes=4_000_000, idle_wait_s=120.0)
    return make_http_server(serve, send_refusal, bounds)
