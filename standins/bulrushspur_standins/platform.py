"""Stand-in for the platform: append-only log with offsets, and the list of VMs.

Run it as ``python -m bulrushspur_standins.platform --address 127.0.0.1:7000``.
Its faults are set with ``PUT /faults``; a fault says nothing false, it only delays,
drops or refuses.
"""

import asyncio
import collections
import dataclasses
import hashlib
import time
import typing as t

import fire
import msgspec

from bulrushspur_kernel.http_exchange import CallerGoneError, Exchange, Request
from bulrushspur_kernel.work import Vm
from bulrushspur_standins._serving import send_json, serve

BODY_BYTES: t.Final = 16 * 1024 * 1024
PAGE_RECORDS: t.Final = 1000


class Faults(msgspec.Struct, forbid_unknown_fields=True):
    """What goes wrong now."""

    down: bool = False
    slow_s: float = 0.0
    lose_append_answers: bool = False
    list_lag_s: float = 0.0


class StoredRecord(msgspec.Struct):
    """A record as the log keeps it."""

    offset: int
    at_s: float
    data: msgspec.Raw


@dataclasses.dataclass
class Platform:
    """State of the stand-in."""

    retention_s: float
    appends_per_s: float
    faults: Faults = dataclasses.field(default_factory=Faults)
    records: collections.deque[StoredRecord] = dataclasses.field(
        default_factory=collections.deque
    )
    next_offset: int = 0
    credit: float = 0.0
    credit_at_s: float = 0.0
    vms: dict[str, Vm] = dataclasses.field(default_factory=dict)
    shown: list[tuple[float, list[Vm]]] = dataclasses.field(default_factory=list)
    appends: int = 0

    def append(self, data: bytes, now_s: float) -> int | None:
        """Append a record and return its offset; None above the rate limit."""
        earned = (now_s - self.credit_at_s) * self.appends_per_s
        self.credit = min(self.credit + earned, self.appends_per_s)
        self.credit_at_s = now_s
        if self.credit < 1:
            return None
        self.credit -= 1
        offset = self.next_offset
        self.records.append(StoredRecord(offset, now_s, msgspec.Raw(data)))
        self.next_offset += 1
        self.appends += 1
        return offset

    def read(self, from_offset: int, now_s: float) -> list[StoredRecord]:
        """Read a page of records from an offset on, after dropping expired ones."""
        while self.records and self.records[0].at_s < now_s - self.retention_s:
            self.records.popleft()
        if not self.records:
            return []
        skip = max(from_offset - self.records[0].offset, 0)
        rows = [self.records[i] for i in range(skip, len(self.records))]
        return rows[:PAGE_RECORDS]

    def list_vms(self, now_s: float) -> list[Vm]:
        """List VMs as they were ``list_lag_s`` ago."""
        rv: list[Vm] = []
        for at_s, vms in self.shown:
            if at_s <= now_s - self.faults.list_lag_s:
                rv = vms
        return rv

    def note_vms(self, now_s: float) -> None:
        """Keep the list as it stands now for readers that lag."""
        copies = [msgspec.structs.replace(vm) for vm in self.vms.values()]
        self.shown.append((now_s, copies))
        del self.shown[:-200]


def make_handler(
    platform: Platform,
) -> t.Callable[[Request, Exchange], t.Awaitable[None]]:
    """Make the handler of all paths."""

    async def handle(request: Request, exchange: Exchange) -> None:
        body = await request.read_all(BODY_BYTES)
        if request.path == "/faults":
            await set_faults(request, exchange, body)
            return
        if platform.faults.down:
            raise CallerGoneError
        if platform.faults.slow_s:
            await asyncio.sleep(platform.faults.slow_s)
        if request.path == "/log" and request.method == "POST":
            await append(exchange, body)
        elif request.path == "/log":
            await read(request, exchange)
        elif request.path.startswith("/vms"):
            await vms(request, exchange, body)
        else:
            await send_json(exchange, {"error": "no such path"}, 404)

    async def set_faults(request: Request, exchange: Exchange, body: bytes) -> None:
        if request.method == "PUT":
            platform.faults = msgspec.json.decode(body, type=Faults)
        await send_json(
            exchange, {"faults": platform.faults, "appends": platform.appends}
        )

    async def append(exchange: Exchange, body: bytes) -> None:
        offset = platform.append(body, time.monotonic())
        if platform.faults.lose_append_answers:
            raise CallerGoneError
        if offset is None:
            await send_json(exchange, {"error": "too many appends"}, 429)
        else:
            await send_json(exchange, {"offset": offset})

    async def read(request: Request, exchange: Exchange) -> None:
        from_offset = int(request.query.get("from", "0"))
        rows = platform.read(from_offset, time.monotonic())
        first = platform.records[0].offset if platform.records else platform.next_offset
        await send_json(
            exchange, {"first": first, "next": platform.next_offset, "records": rows}
        )

    async def vms(request: Request, exchange: Exchange, body: bytes) -> None:
        name = request.path.removeprefix("/vms").strip("/")
        if request.method == "PUT":
            platform.vms[name] = msgspec.json.decode(body, type=Vm)
            platform.note_vms(time.monotonic())
        elif request.method == "DELETE":
            platform.vms.pop(name, None)
            platform.note_vms(time.monotonic())
        data = msgspec.json.encode(platform.list_vms(time.monotonic()))
        tag = hashlib.blake2b(data, digest_size=8).hexdigest()
        if request.headers.get("if-none-match") == tag:
            await exchange.answer_whole(304, [], [(b"etag", tag.encode())])
        else:
            await exchange.answer(200, data, [(b"etag", tag.encode())])

    return handle


def main(
    address: str = "127.0.0.1:7000",
    retention_s: float = 3600.0,
    appends_per_s: float = 300.0,
) -> None:
    """Serve the platform's stand-in."""
    platform = Platform(retention_s, appends_per_s, credit=appends_per_s)
    platform.credit_at_s = time.monotonic()
    asyncio.run(serve(address, make_handler(platform)))


if __name__ == "__main__":
    fire.Fire(main)
