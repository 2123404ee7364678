"""Simulate the platform's placement advice service.

A request names a step and candidate workers; the answer lists the approved workers,
each with a ticket, and the validity of the tickets. Calls are served one at a time.
"""

import asyncio
import dataclasses
import random
import zlib

import msgspec

from bulrushspur_kernel.http_exchange import Request
from bulrushspur_kernel.http_server import HttpServer
from bulrushspur_standins.serving import Faults, StatusAndBody, json_answer, make_server


@dataclasses.dataclass
class AdviceStandin:
    """Serve advice that approves ``approved_share`` (0 to 1) of the workers of a step.

    Workers in ``always_approved`` are approved for every step.
    """

    base_call_s: float = 0.01
    approved_share: float = 0.6
    valid_s: float = 2.5
    always_approved: set[str] = dataclasses.field(default_factory=set)
    faults: Faults = dataclasses.field(default_factory=Faults)
    rng: random.Random = dataclasses.field(default_factory=lambda: random.Random(1))
    call_count: int = 0
    server: HttpServer | None = None
    call_lock: asyncio.Lock = dataclasses.field(default_factory=asyncio.Lock)

    async def start(self) -> str:
        """Listen at a free port of 127.0.0.1 and return the address."""
        self.server = make_server(self._handle, self.faults, self.rng)
        await self.server.listen("127.0.0.1", 0)
        return f"127.0.0.1:{self.server.port}"

    def is_approved(self, step: str, worker: str) -> bool:
        """Return whether a worker may run a step; the result never changes."""
        return zlib.crc32(f"{step}/{worker}".encode()) % 100 < self.approved_share * 100

    async def _handle(self, request: Request, body: bytes) -> StatusAndBody:
        data = msgspec.json.decode(body)
        async with self.call_lock:
            await asyncio.sleep(self.base_call_s)
        self.call_count += 1
        step = data["step"]
        approved = [
            [worker, f"t-{self.call_count}"]
            for worker in data["workers"]
            if worker in self.always_approved or self.is_approved(step, worker)
        ]
        return json_answer(200, {"good": approved, "valid_ms": self.valid_s * 1000})
