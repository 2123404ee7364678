"""The operators' interface of a process: its state dump and its status."""

import time
import typing as t

import msgspec

from bulrushspur_core.door import Door
from bulrushspur_core.log_reader import cell_of, fresh_age_s
from bulrushspur_core.membership import Members
from bulrushspur_core.owner import Owner
from bulrushspur_core.workers import Workers
from bulrushspur_daemon.callers import send_refusal
from bulrushspur_kernel.errors import ErrorKind, Refusal
from bulrushspur_kernel.http_server import (
    Exchange,
    HttpError,
    HttpServer,
    Request,
    make_http_server,
)

if t.TYPE_CHECKING:
    from bulrushspur_daemon.process import Process


def make_operators(process: "Process") -> HttpServer:
    """Make the server for operators."""

    async def handle(request: Request, exchange: Exchange) -> None:
        if request.path == "/dump":
            await exchange.answer(200, msgspec.json.encode(dump(process)))
        elif request.path == "/status":
            await exchange.answer(200, msgspec.json.encode(status(process)))
        else:
            sentence = f"There is no {request.path}."
            raise HttpError(Refusal(ErrorKind.UNKNOWN_PATH, sentence))

    return make_http_server(handle, send_refusal, process.settings.bounds)


def status(process: "Process") -> dict[str, t.Any]:
    """Summarise this process and what it knows of the cell."""
    node = process.node
    now_s = time.monotonic()
    cell = cell_of(node)
    return {
        "name": node.me.name,
        "boot": node.me.boot,
        "domain": node.me.domain,
        "version": cell.version,
        "next_offset": cell.next_offset,
        "fresh_age_s": min(fresh_age_s(node, now_s), 1e9),
        "open_requests": len(node.state(Door).open),
        "queued": len(node.state(Owner).queue),
        "load": node.state(Members).load,
        "peers": {
            name: {
                "domain": peer.info.domain,
                "lost": peer.lost,
                "seen_s_ago": now_s - peer.seen_s,
                "operators_address": peer.info.operators_address,
            }
            for name, peer in sorted(node.state(Members).peers.items())
        },
        "workers": {
            name: {
                "owned": view.owned,
                "leaving": view.vm.leaving,
                "tasks": len(view.tasks),
                "free": view.free,
            }
            for name, view in sorted(node.state(Workers).views.items())
        },
        "metrics": node.metrics.dump(),
    }


def dump(process: "Process") -> dict[str, t.Any]:
    """Return the whole state of this process; keys appear as hashes only."""
    node = process.node
    return {
        "status": status(process),
        "uptime_s": time.monotonic() - process.started_s,
        "settings": process.settings,
        "state": {cls.__name__: plain(state) for cls, state in node.states.items()},
    }


def plain(state: t.Any) -> t.Any:
    """Turn the state of a part into what JSON can carry."""
    return msgspec.to_builtins(state, str_keys=True, enc_hook=str)
