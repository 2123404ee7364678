"""Serve a simulated service over HTTP, with faults injected between it and the caller.

A service is a handler from a request and its body to a status and a JSON body. Faults
are read at each request, and a test can set and clear them while the server runs.
"""

import asyncio
import contextvars
import dataclasses
import random
import time
import typing as t

import msgspec

from bulrushspur_kernel.errors import Refusal
from bulrushspur_kernel.http_exchange import CallerDisconnectedError, Exchange, Request
from bulrushspur_kernel.http_server import HttpServer, make_http_server
from bulrushspur_kernel.settings import Bounds

StatusAndBody = tuple[int, bytes]

# A request that is handled so long after it has arrived is handled late.
LATE_S: t.Final = 0.1
UNRESPONSIVE_S: t.Final = 30.0
# When the request had arrived that is being handled, on the monotonic clock.
_arrived_s: contextvars.ContextVar[float] = contextvars.ContextVar("arrived_s")


@dataclasses.dataclass
class Faults:
    """Faults of a simulated service; shares are 0 to 1, times in seconds.

    ``down`` aborts the connection, ``unresponsive`` does so after 30 s without an
    answer, and ``forced_status`` answers every request with that status (0 is off).
    ``lost_answer_share`` of the POST requests are executed without an answer;
    ``late_execution_share`` are executed ``late_execution_delay_s`` after the
    connection was aborted, or after they came if ``is_late_unanswered`` is set: these
    get no answer, on an open connection.
    """

    down: bool = False
    unresponsive: bool = False
    forced_status: int = 0
    delay_s: float = 0.0
    lost_answer_share: float = 0.0
    late_execution_share: float = 0.0
    late_execution_delay_s: float = 1.0
    is_late_unanswered: bool = False
    refused_peers: set[str] = dataclasses.field(default_factory=set)


async def send_refusal(exchange: Exchange, refusal: Refusal) -> None:
    """Answer a request that the HTTP server refused, with its status and no details."""
    await exchange.send_json(refusal.details.status, b"{}")


def json_answer(status: int, body: t.Any = None) -> StatusAndBody:
    """Encode an answer; without a body it is an empty JSON object."""
    return status, b"{}" if body is None else msgspec.json.encode(body)


def find_arrival_s(now_s: float) -> float:
    """Return when the present request had arrived, if it is handled late; or now."""
    arrived_s = _arrived_s.get(now_s)
    return arrived_s if now_s - arrived_s > LATE_S else now_s


def make_server(
    handle: t.Callable[[Request, bytes], t.Awaitable[StatusAndBody]],
    faults: Faults,
    rng: random.Random,
) -> HttpServer:
    """Make a server that passes requests to a handler and applies the faults."""

    async def execute_late(request: Request, body: bytes) -> None:
        # A service that has ended since does nothing; the next one is another server.
        if server.server is not None and server.server.is_serving():
            await handle(request, body)

    async def serve(request: Request, exchange: Exchange) -> None:
        body = await request.read_full_body(4_000_000)
        _arrived_s.set(time.monotonic())
        if faults.down:
            raise CallerDisconnectedError
        if faults.unresponsive:
            await asyncio.sleep(UNRESPONSIVE_S)
            raise CallerDisconnectedError
        if faults.forced_status:
            await exchange.send_json(faults.forced_status, b"{}")
            return
        if faults.delay_s:
            await asyncio.sleep(faults.delay_s)
        if request.method == "POST" and rng.random() < faults.late_execution_share:
            asyncio.get_running_loop().call_later(
                faults.late_execution_delay_s,
                lambda: asyncio.ensure_future(execute_late(request, body)),
            )
            if faults.is_late_unanswered:
                await asyncio.sleep(UNRESPONSIVE_S)
            raise CallerDisconnectedError
        status, answer_body = await handle(request, body)
        if request.method == "POST" and rng.random() < faults.lost_answer_share:
            raise CallerDisconnectedError
        await exchange.send_json(status, answer_body)

    bounds = Bounds(
        connections=500,
        body_bytes=4_000_000,
        bodies_bytes=400_000_000,
        buffer_bytes=65_536,
        idle_wait_s=120.0,
    )
    server = make_http_server(serve, send_refusal, bounds)
    return server
