"""Simulate the platform's list of machines.

A request names the page by its token; the answer is a page of machines, each with the
id of its worker, and the token of the next page, which is empty on the last page.
"""

import dataclasses
import random

from bulrushspur_kernel.http_exchange import Request
from bulrushspur_kernel.http_server import HttpServer
from bulrushspur_standins.serving import Faults, StatusAndBody, json_answer, make_server


@dataclasses.dataclass
class MachinesStandin:
    """Serve the list; ``worker_by_machine`` maps a machine to its worker's id."""

    worker_by_machine: dict[str, str] = dataclasses.field(default_factory=dict)
    page_size: int = 2
    faults: Faults = dataclasses.field(default_factory=Faults)
    rng: random.Random = dataclasses.field(default_factory=lambda: random.Random(1))
    server: HttpServer | None = None

    async def start(self) -> str:
        """Listen at a free port of 127.0.0.1 and return the address."""
        self.server = make_server(self._handle, self.faults, self.rng)
        await self.server.listen("127.0.0.1", 0)
        return f"127.0.0.1:{self.server.port}"

    async def _handle(self, request: Request, body: bytes) -> StatusAndBody:
        page_start = int(request.query.get("page_token", 0))
        machines = sorted(self.worker_by_machine.items())
        page = machines[page_start : page_start + self.page_size]
        next_start = page_start + self.page_size
        return json_answer(
            200,
            {
                "machines": [
                    {"machine": name, "pool": "coursework", "state": "up", "id": worker}
                    for name, worker in page
                ],
                "next_token": str(next_start) if next_start < len(machines) else "",
            },
        )
