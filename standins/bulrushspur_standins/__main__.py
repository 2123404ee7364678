"""Run a store and workers on this machine: ``python -m bulrushspur_standins``."""

import asyncio

import fire

from bulrushspur_standins.store import StoreStandin
from bulrushspur_standins.worker import RunOracle, WorkerStandin


async def _serve(port: int, workers: int) -> None:
    store = StoreStandin()
    await store.start(port)
    ledger = RunOracle()
    for index in range(workers):
        worker = WorkerStandin(f"w{index}", oracle=ledger)
        await worker.start()
        store.put("keyed.servers", worker.id, worker.encode_entry())
    await asyncio.Event().wait()


def serve(port: int = 7000, workers: int = 2) -> None:
    """Serve a store at a port of 127.0.0.1, with workers of one service."""
    asyncio.run(_serve(port, workers))


if __name__ == "__main__":
    fire.Fire(serve)
