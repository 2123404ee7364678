"""Measures how soon the workers of a killed entry process start work again.

The cell of this module also serves the tests of takeover with real processes.
"""

import asyncio
import dataclasses
import time
import typing as t

import msgspec

from bench import cluster as cl
from bench.figures import figure, print_frame, print_table
from bench.load import Result, send_one
from bulrushspur_kernel.http_client import fetch
from bulrushspur_kernel.work import Room

SEED: t.Final = 0
ENTRIES: t.Final = {"n1": "north", "n2": "north", "n3": "north", "s1": "south"}
WORKERS: t.Final = 6
ROOM: t.Final = Room(2, 4.0, 8_192, 0)
# More requests at once than slots, so that each worker that is served is busy.
SENDERS: t.Final = 24
TAKEOVER_WAIT_S: t.Final = 20.0

TEXT: t.Final = {
    "cell": "takeover",
    "domains": [
        {"name": "north", "region": "midlands"},
        {"name": "south", "region": "midlands"},
    ],
    "teams": [{"name": "a", "share": 1, "limit_tasks": 1000}],
    "services": [
        {
            "name": "coursework",
            "team": "a",
            "kinds": [{"name": "place", "size": "small", "run_time_s": 0.1}],
        }
    ],
}


@dataclasses.dataclass
class Busy:
    """A cell under load, and what its callers saw."""

    cluster: cl.Cluster
    key: str = ""
    doors: list[str] = dataclasses.field(default_factory=list)
    results: list[tuple[str, Result]] = dataclasses.field(default_factory=list)
    senders: list[asyncio.Task[None]] = dataclasses.field(default_factory=list)

    def send_from(self, doors: list[str]) -> None:
        """Keep all slots busy with requests at these doors until ended."""
        self.doors = doors
        self.senders = [
            asyncio.create_task(self._send(i, self.cluster)) for i in range(SENDERS)
        ]

    async def _send(self, i: int, cluster: cl.Cluster) -> None:
        while True:
            door = self.doors[i % len(self.doors)]
            address = cluster.entries[door].address
            result = await send_one(
                address, "coursework", "place", self.key, b"x", wait_s=30.0
            )
            self.results.append((door, result))
            if result.refusal is not None and result.refusal["kind"] == "stopping":
                # As a balancer does: docs/ops/rolling-restart.md, step 2.
                self.doors = [one for one in self.doors if one != door]
            elif not result.whole:
                await asyncio.sleep(0.1)

    async def end(self) -> None:
        """End the load."""
        for sender in self.senders:
            sender.cancel()
        await asyncio.gather(*self.senders, return_exceptions=True)

    async def owners(self) -> dict[str, str]:
        """Name the owner of each worker as the processes themselves see it."""
        rv = {}
        for name, entry in self.cluster.entries.items():
            if entry.popen.poll() is None and name in self.doors:
                status = await cl.get_status(entry)
                for worker, row in status["workers"].items():
                    if row["owned"]:
                        rv[worker] = name
        return rv

    async def starts(self, worker: str) -> int:
        """Read how many tasks a worker has started."""
        address = self.cluster.workers[worker].address
        _, body = await fetch("GET", address, "/report")
        return msgspec.json.decode(body)["starts"]

    async def started_again_s(self, workers: list[str]) -> float:
        """Wait until each worker starts work again; return for how long."""
        began_s = time.monotonic()
        # What the old owner sent just before may still arrive.
        await asyncio.sleep(0.2)
        before = {worker: await self.starts(worker) for worker in workers}

        async def all_started() -> bool:
            rows = [await self.starts(one) > before[one] for one in workers]
            return all(rows)

        if not await cl.wait_until(all_started, TAKEOVER_WAIT_S):
            raise TimeoutError(f"nobody started anything on {workers}")
        return time.monotonic() - began_s


async def start_cell(entries: dict[str, str] = ENTRIES) -> Busy:
    """Start a cell whose workers are all owned."""
    cluster = cl.make_cluster()
    try:
        await cl.start_platform(cluster)
        for i in range(WORKERS):
            await cl.start_worker(cluster, f"w{i}", "north", f"r{i}", ROOM)
        plan = cl.plan_entries(cluster, entries)
        await asyncio.gather(*(cl.start_entry(cluster, one) for one in plan.values()))
        await cl.publish(cluster, TEXT, 0)
        _, key = await cl.give_key(cluster, "a")
        busy = Busy(cluster, key, list(entries))

        async def shared_out() -> bool:
            owners = await busy.owners()
            members = [one for one, domain in entries.items() if domain == "north"]
            return len(owners) == WORKERS and set(owners.values()) == set(members)

        if not await cl.wait_until(shared_out):
            raise TimeoutError(f"workers are not shared out: {await busy.owners()}")
    except BaseException:
        cluster.stop()
        raise
    return busy


async def _measure_kill() -> float:
    busy = await start_cell()
    try:
        busy.send_from(["n2", "n3"])
        await asyncio.sleep(1.0)
        owners = await busy.owners()
        busy.doors = ["n2", "n3"]
        workers = [f"w{i}" for i in range(WORKERS) if owners.get(f"w{i}") is None]
        victim = busy.cluster.entries["n1"]
        victim.popen.kill()
        took_s = await busy.started_again_s(workers)
        await busy.end()
        for report in await cl.worker_reports(busy.cluster):
            if report["violations"]:
                raise AssertionError(f"violations: {report}")
        return took_s
    finally:
        await busy.end()
        busy.cluster.stop()


def measure(quick: bool) -> None:
    """Kill an owner of workers under load, a few times."""
    print_frame(SEED, len(ENTRIES))
    rows = [asyncio.run(_measure_kill()) for _ in range(1 if quick else 5)]
    print_table(
        "Kill of an entry process until all of its workers start work again",
        ["run", "seconds"],
        [[i + 1, took_s] for i, took_s in enumerate(rows)],
    )
    figure("takeover_s", max(rows), "s")
