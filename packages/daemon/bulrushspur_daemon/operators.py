"""The operators' interface of a process: its status, its state, and explanations."""

import asyncio
import time
import typing as t

import msgspec

from bulrushspur_core.door import Door
from bulrushspur_core.explaining import explain
from bulrushspur_core.log_reader import cell_of, fresh_age_s
from bulrushspur_core.membership import Members
from bulrushspur_core.queues import Queues
from bulrushspur_core.workers import Workers
from bulrushspur_daemon.callers import send_refusal
from bulrushspur_daemon.plain import make_plain
from bulrushspur_kernel.errors import ErrorKind, Refusal
from bulrushspur_kernel.http_exchange import Exchange, HttpError, Request
from bulrushspur_kernel.http_server import HttpServer, make_http_server

if t.TYPE_CHECKING:
    from bulrushspur_daemon.process import Process

FRESH_AT_MOST_S: t.Final = 1e9


def make_operators(process: "Process") -> HttpServer:
    """Make the server for operators."""

    async def handle(request: Request, exchange: Exchange) -> None:
        if request.path == "/dump":
            await send_dump(process, request.query.get("part", ""), exchange)
        elif request.path == "/status":
            await exchange.answer(200, msgspec.json.encode(make_status(process)))
        elif request.path == "/explain":
            name = request.query.get("id", "")
            reasons = explain(process.node, name, time.monotonic())
            await exchange.answer(200, msgspec.json.encode(reasons))
        else:
            sentence = f"There is no {request.path}."
            raise HttpError(Refusal(ErrorKind.UNKNOWN_PATH, sentence))

    return make_http_server(handle, send_refusal, process.settings.bounds)


def make_status(process: "Process") -> dict[str, t.Any]:
    """Summarise this process and what it knows of the cell."""
    node = process.node
    now_s = time.monotonic()
    cell = cell_of(node)
    members = node.state(Members)
    return {
        "name": node.me.name,
        "boot": node.me.boot,
        "domain": node.me.domain,
        "uptime_s": now_s - process.started_s,
        "stopping": process.stopping.is_set(),
        "version": cell.version,
        "next_offset": cell.next_offset,
        "fresh_age_s": min(fresh_age_s(node, now_s), FRESH_AT_MOST_S),
        "roster_epoch": cell.roster(node.me.domain).epoch,
        "open_requests": len(node.state(Door).open),
        "queued": len(node.state(Queues).offers),
        "load": {
            one: getattr(members.load, one) for one in members.load.__struct_fields__
        },
        "peers": {
            name: {
                "domain": peer.info.domain,
                "lost": peer.lost,
                "seen_s_ago": now_s - peer.seen_s,
                "operators_address": peer.info.operators_address,
            }
            for name, peer in sorted(members.peers.items())
        },
        "workers": {
            name: {
                "owned": view.owned,
                "leaving": view.vm.leaving,
                "tasks": len(view.tasks),
                "free": make_plain(view.free),
            }
            for name, view in sorted(node.state(Workers).views.items())
        },
        "metrics": node.metrics.dump(),
    }


async def send_dump(process: "Process", part: str, exchange: Exchange) -> None:
    """Send the whole state of this process, or of one part, as JSON.

    Each part is told as it stands at one moment; other work goes on between parts.
    """
    states = {cls.__name__: state for cls, state in process.node.states.items()}
    if part and part not in states:
        sentence = f"There is no part {part}; there are {', '.join(sorted(states))}."
        raise HttpError(Refusal(ErrorKind.UNKNOWN_PATH, sentence))
    head = {
        "status": make_status(process),
        "settings": make_plain(process.settings),
        "streams": process.streams.counts(),
    }
    headers = [
        (b"content-type", b"application/json"),
        (b"transfer-encoding", b"chunked"),
    ]
    await exchange.start(200, headers)
    await exchange.send_data(msgspec.json.encode(head)[:-1] + b',"state":{')
    for i, name in enumerate([part] if part else sorted(states)):
        comma = b"," if i else b""
        data = msgspec.json.encode(make_plain(states[name]))
        await exchange.send_data(comma + msgspec.json.encode(name) + b":" + data)
        await asyncio.sleep(0)
    await exchange.send_data(b"}}")
    await exchange.end()
