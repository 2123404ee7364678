"""Sends requests as callers do, and checks that each answer is whole and its own."""

import asyncio
import dataclasses
import hashlib
import time
import typing as t

import msgspec

from bulrushspur_kernel.http_client import LostError, NotSentError, open_call

CONNECT_S: t.Final = 2.0


@dataclasses.dataclass
class Result:
    """What a caller saw of one request."""

    team: str
    kind: str
    status: int
    total_s: float
    whole: bool
    refusal: dict[str, t.Any] | None = None
    error: str = ""


def is_own_answer(body: bytes, answer: bytes) -> bool:
    """Tell whether an answer of the worker's stand-in belongs to a body."""
    pattern = hashlib.sha256(body).hexdigest().encode()
    if len(answer) < len(pattern):
        return False
    repeats = len(answer) // len(pattern) + 1
    return (pattern * repeats)[: len(answer)] == answer


async def send_one(
    address: str,
    service: str,
    kind: str,
    key: str,
    body: bytes,
    headers: dict[str, str] | None = None,
    wait_s: float = 120.0,
    team: str = "",
) -> Result:
    """Send one request and read its whole answer."""
    started_s = time.monotonic()

    def end(status: int, whole: bool, **more: t.Any) -> Result:
        took_s = time.monotonic() - started_s
        return Result(team, kind, status, took_s, whole, **more)

    rows = [("host", address), ("content-length", str(len(body)))]
    if key:
        rows.append(("authorization", f"Bearer {key}"))
    rows += list((headers or {}).items())
    try:
        call = await open_call(address, CONNECT_S)
    except NotSentError as exc:
        return end(0, False, error=f"not sent: {exc}")
    try:
        async with asyncio.timeout(wait_s):
            await call.send_head("POST", f"/v1/run/{service}/{kind}", rows)
            await call.send_body(body)
            await call.end_body()
            status = await call.read_head()
            answer = await call.read_all()
    except (LostError, TimeoutError) as exc:
        return end(0, False, error=f"lost: {exc}")
    finally:
        call.close()
    if status == 200:
        return end(status, is_own_answer(body, answer))
    return end(status, False, refusal=msgspec.json.decode(answer))
