"""Serve a simulated store and workers: ``python -m bulrushspur_standins``.

Takes the port of the store and the number of workers as flags. The workers listen at
free ports of 127.0.0.1 and register themselves in the store. Runs until it is killed.
"""

import asyncio

import fire

from bulrushspur_standins.store import StoreStandin
from bulrushspur_standins.worker import RunOracle, WorkerStandin


async def _serve(port: int, worker_count: int) -> None:
    store = StoreStandin()
    await store.start(port)
    oracle = RunOracle()
    for index in range(worker_count):
        worker = WorkerStandin(f"w{index}", oracle=oracle)
        await worker.start()
        store.put("keyed.servers", worker.id, worker.encode_entry())
    await asyncio.Event().wait()


def serve(port: int = 7000, workers: int = 2) -> None:
    """Serve a store at a port of 127.0.0.1, and workers of one service."""
    asyncio.run(_serve(port, workers))


if __name__ == "__main__":
    fire.Fire(serve)
