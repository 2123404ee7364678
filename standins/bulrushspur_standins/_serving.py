"""What both stand-ins share: serving, faults and refusals."""

import asyncio
import typing as t

import msgspec

from bulrushspur_kernel.errors import Refusal
from bulrushspur_kernel.http_exchange import Exchange
from bulrushspur_kernel.http_server import Handler, make_http_server
from bulrushspur_kernel.settings import Bounds, split_address


async def send_refusal(exchange: Exchange, refusal: Refusal) -> None:
    """Answer with the refusal as JSON."""
    await exchange.answer(refusal.row.status, msgspec.json.encode(refusal))


async def send_json(exchange: Exchange, obj: t.Any, status: int = 200) -> None:
    """Answer with an object as JSON."""
    await exchange.answer(status, msgspec.json.encode(obj))


async def serve(address: str, handler: Handler) -> None:
    """Serve until cancelled, and say on standard output when ready."""
    bounds = Bounds(connections=10_000, head_wait_s=3600.0, body_wait_s=600.0)
    server = make_http_server(handler, send_refusal, bounds)
    await server.listen(*split_address(address))
    print(f"ready {address}", flush=True)  # noqa: T201
    await asyncio.Event().wait()
