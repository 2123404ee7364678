"""Serve a simulated service over HTTP, with faults injected between it and the caller.

A service is a handler from a request and its body to a status and a JSON body. Faults
are read at each request, and a test can set and clear them while the server runs.
"""

import asyncio
import contextlib
import contextvars
import dataclasses
import math
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
    get no answer, on an open connection. If ``late_execution_max_delay_s`` is set, each
    delay is drawn between the two; ``late_paths`` limits the share to these paths, and
    ``late_executions_left`` how many requests are late.

    An order that is carried out late is lost if the service has restarted since. With
    ``survives_restart`` the incarnation that is up then carries it out. With
    ``keeps_connections`` a crash leaves the listening socket and the connections open:
    what arrives while the service is down waits for the next incarnation.
    ``loses_answers`` executes all requests and answers none, on open connections.
    """

    down: bool = False
    unresponsive: bool = False
    forced_status: int = 0
    delay_s: float = 0.0
    lost_answer_share: float = 0.0
    late_execution_share: float = 0.0
    late_execution_delay_s: float = 1.0
    late_execution_max_delay_s: float = 0.0
    is_late_unanswered: bool = False
    late_paths: frozenset[str] = frozenset()
    late_executions_left: float = math.inf
    survives_restart: bool = False
    keeps_connections: bool = False
    loses_answers: bool = False
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


async def leave_unanswered() -> t.NoReturn:
    """Leave a request without an answer, on an open connection."""
    await asyncio.sleep(UNRESPONSIVE_S)
    raise CallerDisconnectedError


def is_executed_late(faults: Faults, request: Request, rng: random.Random) -> bool:
    """Return whether a request is to be executed late."""
    if request.method != "POST" or faults.late_executions_left < 1:
        return False
    if faults.late_paths and request.path not in faults.late_paths:
        return False
    return rng.random() < faults.late_execution_share


def draw_late_delay_s(faults: Faults, rng: random.Random) -> float:
    """Return after what time a request is executed late."""
    delay_s = faults.late_execution_delay_s
    max_delay_s = faults.late_execution_max_delay_s
    return rng.uniform(delay_s, max_delay_s) if max_delay_s else delay_s


def make_server(
    handle: t.Callable[[Request, bytes], t.Awaitable[StatusAndBody]],
    faults: Faults,
    rng: random.Random,
    find_incarnation: t.Callable[[], int | None] | None = None,
) -> HttpServer:
    """Make a server that passes requests to a handler and applies the faults.

    ``find_incarnation`` returns the number of the present incarnation, None while the
    service is down; without it, a server is one incarnation.
    """

    def find_own_incarnation() -> int | None:
        is_serving = server.server is not None and server.server.is_serving()
        return 0 if is_serving else None

    find_present = find_incarnation or find_own_incarnation

    async def execute_late(
        request: Request, body: bytes, incarnation: int | None
    ) -> None:
        present = find_present()
        if present is None:
            return
        if present == incarnation or faults.survives_restart:
            # There is no caller any more that could get the answer.
            with contextlib.suppress(CallerDisconnectedError):
                await handle(request, body)

    async def serve(request: Request, exchange: Exchange) -> None:
        body = await request.read_full_body(4_000_000)
        _arrived_s.set(time.monotonic())
        if faults.down:
            raise CallerDisconnectedError
        if faults.unresponsive:
            await leave_unanswered()
        if faults.forced_status:
            await exchange.send_json(faults.forced_status, b"{}")
            return
        if faults.delay_s:
            await asyncio.sleep(faults.delay_s)
        if is_executed_late(faults, request, rng):
            faults.late_executions_left -= 1
            incarnation = find_present()
            asyncio.get_running_loop().call_later(
                draw_late_delay_s(faults, rng),
                lambda: asyncio.ensure_future(execute_late(request, body, incarnation)),
            )
            if faults.is_late_unanswered:
                await leave_unanswered()
            raise CallerDisconnectedError
        status, answer_body = await handle(request, body)
        if faults.loses_answers:
            await leave_unanswered()
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
