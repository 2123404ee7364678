"""Sends requests as callers do, and checks that each answer is whole and its own."""

import asyncio
import dataclasses
import hashlib
import random
import sys
import time
import typing as t

import msgspec

from bulrushspur_kernel.http_client import Call, LostError, NotSentError, open_call

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


@dataclasses.dataclass
class Session:
    """A caller that keeps its connection to one address open."""

    address: str
    call: Call | None = None

    async def post(
        self, path: str, body: bytes, headers: dict[str, str]
    ) -> tuple[int, bytes]:
        """Send one request and read its whole answer; raises LostError."""
        if self.call is None:
            self.call = await open_call(self.address, CONNECT_S)
        call = self.call
        rows = [("host", self.address), ("content-length", str(len(body)))]
        try:
            await call.send_head("POST", path, [*rows, *headers.items()])
            if body:
                await call.send_body(body)
            await call.end_body()
            status = await call.read_head()
            answer = await call.read_all()
        except BaseException:
            self.close()
            raise
        if not call.reusable():
            self.close()
        return status, answer

    def close(self) -> None:
        """Close the connection."""
        if self.call is not None:
            self.call.abort()
            self.call = None


class Offered(msgspec.Struct):
    """What a run of ``offer_load`` saw: times of whole answers, and failures."""

    times_s: list[float]
    failed: int
    first_failure: str = ""


async def offer_load(
    address: str, path: str, key: str, rate: float, duration_s: float, seed: int
) -> Offered:
    """Send requests at random times, whatever the answers take.

    Times count from when a request was due, so that a late sender hides nothing.
    """
    rng = random.Random(seed)
    rv = Offered([], 0)
    idle: list[Session] = []
    jobs: set[asyncio.Task[None]] = set()

    async def send(due_s: float, body: bytes) -> None:
        session = idle.pop() if idle else Session(address)
        try:
            status, answer = await session.post(
                path, body, {"authorization": f"Bearer {key}"}
            )
        except (LostError, NotSentError) as exc:
            rv.failed += 1
            rv.first_failure = rv.first_failure or repr(exc)
            return
        idle.append(session)
        if status == 200 and is_own_answer(body, answer):
            rv.times_s.append(time.monotonic() - due_s)
        else:
            rv.failed += 1
            rv.first_failure = rv.first_failure or repr((status, answer[:200]))

    due_s = time.monotonic()
    until_s = due_s + duration_s
    while due_s < until_s:
        due_s += rng.expovariate(rate)
        await asyncio.sleep(max(due_s - time.monotonic(), 0))
        job = asyncio.create_task(send(due_s, rng.randbytes(40)))
        jobs.add(job)
        job.add_done_callback(jobs.discard)
    if jobs:
        await asyncio.wait(jobs, timeout=5.0)
    for session in idle:
        session.close()
    return rv


def main() -> None:
    """Offer load as the arguments say, and print what was seen as JSON."""
    address, path, key, rate, duration_s, seed = sys.argv[1:]
    job = offer_load(address, path, key, float(rate), float(duration_s), int(seed))
    print(msgspec.json.encode(asyncio.run(job)).decode())


if __name__ == "__main__":
    main()
