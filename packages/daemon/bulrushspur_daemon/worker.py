"""Adapter to the workers.

Nothing outside this module knows the workers' paths, headers or status codes.
"""

import asyncio
import dataclasses
import socket
import typing as t

import msgspec

from bulrushspur_core.promises import TRANSIT_S
from bulrushspur_kernel.http_client import (
    Call,
    LostError,
    NotSentError,
    fetch,
    open_call,
)
from bulrushspur_kernel.states import TaskAction
from bulrushspur_kernel.work import TaskInfo, Work

CONNECT_S: t.Final = 1.0
UNACKNOWLEDGED_S: t.Final = 0.8 * TRANSIT_S
ASK_S: t.Final = 2.0
IDLE_CALLS_AT_MOST: t.Final = 8
ENDED_OK: t.Final = 200
STARTED_DETACHED: t.Final = 202

Headers = list[tuple[str, str]]


class _Running(msgspec.Struct):
    running: list[TaskInfo]
    ended: dict[str, str]


class _Renewed(msgspec.Struct):
    missing: list[str]


_running_decoder = msgspec.json.Decoder(_Running)
_renewed_decoder = msgspec.json.Decoder(_Renewed)


@dataclasses.dataclass
class WorkerPool:
    """Connections to workers, by address: a bounded number, those idle kept open."""

    connections: int
    idle: dict[str, list[Call]] = dataclasses.field(default_factory=dict)
    open: dict[str, int] = dataclasses.field(default_factory=dict)

    async def take(self, address: str) -> Call:
        """Take an idle connection or open one; raises NotSentError."""
        calls = self.idle.get(address, [])
        while calls:
            call = calls.pop()
            if not call.reader.at_eof() and not call.writer.is_closing():
                return call
            self.drop(address, call)
        if self.open.get(address, 0) >= self.connections:
            raise NotSentError(f"{address} has {self.connections} connections already")
        self.open[address] = self.open.get(address, 0) + 1
        try:
            call = await open_call(address, CONNECT_S)
        except BaseException:
            self._count_closed(address)
            raise
        bound_transit(call)
        return call

    def give_back(self, address: str, call: Call) -> None:
        """Keep a connection whose answer was read whole."""
        calls = self.idle.setdefault(address, [])
        if len(calls) < IDLE_CALLS_AT_MOST and call.reusable():
            calls.append(call)
        else:
            self.drop(address, call)

    def drop(self, address: str, call: Call) -> None:
        """Close a connection at once."""
        call.abort()
        self._count_closed(address)

    def _count_closed(self, address: str) -> None:
        left = self.open.get(address, 0) - 1
        if left > 0:
            self.open[address] = left
        else:
            self.open.pop(address, None)


def bound_transit(call: Call) -> None:
    """Let the connection break when what was sent is not acknowledged in time.

    Else the kernel goes on repeating a start until a cut heals, long after a successor
    has taken the worker over.
    """
    sock = call.writer.get_extra_info("socket")
    if sock is not None and hasattr(socket, "TCP_USER_TIMEOUT"):
        sock.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, int(UNACKNOWLEDGED_S * 1000)
        )


def make_pool(connections: int) -> WorkerPool:
    """Make a pool with at most so many connections to each worker."""
    return WorkerPool(connections)


async def send_start(
    call: Call,
    address: str,
    task: TaskInfo,
    work: Work,
    lease_s: float,
    body: bytes | None = None,
    answer_bytes: int = 64,
) -> None:
    """Send a start, whole where its ``body`` is given, else its head.

    Raises LostError when it may have arrived.
    """
    head = {
        "info": task,
        "request_id": work.request_id,
        "lease_s": lease_s,
        "idempotent": work.idempotent,
        "detached": work.detached,
        "run_time_s": work.run_time_s,
        "answer_bytes": answer_bytes,
    }
    rows = [("host", address), ("x-task", msgspec.json.encode(head).decode())]
    path = f"/tasks/{task.task_id}"
    if body is not None:
        await call.send_whole("POST", path, rows, body)
        return
    rows.append(("transfer-encoding", "chunked"))
    await call.send_head("POST", path, rows)


async def list_tasks(
    address: str,
) -> tuple[list[TaskInfo], dict[str, str]] | None:
    """Ask what a worker runs and what ended there; None where it does not answer."""
    answer = await _ask("GET", address, "/tasks")
    if answer is None:
        return None
    try:
        rv = _running_decoder.decode(answer)
    except (msgspec.DecodeError, msgspec.ValidationError):
        return None
    return rv.running, rv.ended


async def act(address: str, task_id: str, action: TaskAction) -> bool:
    """Ask something of a task that runs; tell whether the worker heard."""
    return await _ask("POST", address, f"/tasks/{task_id}/{action}") is not None


async def renew(address: str, task_ids: list[str], lease_s: float) -> list[str] | None:
    """Renew leases; return the tasks that are gone, None where it does not answer."""
    body = msgspec.json.encode({"task_ids": task_ids, "lease_s": lease_s})
    answer = await _ask("POST", address, "/renew", body)
    if answer is None:
        return None
    try:
        return _renewed_decoder.decode(answer).missing
    except (msgspec.DecodeError, msgspec.ValidationError):
        return None


async def _ask(method: str, address: str, path: str, body: bytes = b"") -> bytes | None:
    try:
        status, answer = await fetch(method, address, path, body, wait_s=ASK_S)
    except (NotSentError, LostError, asyncio.IncompleteReadError):
        return None
    return answer if status == ENDED_OK else None
