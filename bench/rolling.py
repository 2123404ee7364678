"""Restarts 8 entry processes one after the other under load, as operators do.

``measure`` prints what callers saw and for how long a stop and a start took.
"""

import asyncio
import random
import signal
import sys
import time
import typing as t

from bench import cluster as cl
from bench.demo import (
    STOP_WAIT_S,
    Demo,
    drive_load,
    make_text,
    probe,
    set_up,
    tell,
    wait_exit,
    wait_ready,
)
from bench.figures import figure, print_frame
from bulrushspur_kernel.http_client import fetch

SEED: t.Final = 11
DOMAINS: t.Final = {
    f"{domain[0]}{i}": domain for domain in ("north", "south") for i in range(1, 5)
}
QUICK_RESTARTS: t.Final = 2
BETWEEN_S: t.Final = 1.0


async def note_dump(demo: Demo, name: str) -> None:
    """Keep the state of a process that does not serve, for who looks into it."""
    address = demo.cluster.entries[name].settings["operators_address"]
    _, body = await fetch("GET", address, "/dump")
    (demo.cluster.folder / f"{name}.dump").write_bytes(body)


async def restart(demo: Demo, name: str) -> tuple[float, float]:
    """Stop a process gracefully and start it again; return the seconds of each."""
    began_s = time.monotonic()
    started = demo.cluster.entries[name]
    started.popen.send_signal(signal.SIGTERM)
    await asyncio.to_thread(wait_exit, started.popen)
    stopped_s = time.monotonic()
    if started.popen.returncode != 0:
        demo.faults.append(f"{name} ended with code {started.popen.returncode}")
    if name in demo.doors:
        demo.doors.remove(name)
    await cl.start_entry(demo.cluster, started.settings)

    async def serves() -> bool:
        address = demo.cluster.entries[name].address
        return await probe(demo, address, "handbook")

    if not await cl.wait_until(serves, STOP_WAIT_S):
        demo.faults.append(f"{name} does not serve after its restart")
        await note_dump(demo, name)
    demo.doors.append(name)
    demo.say(f"{name} is restarted")
    return stopped_s - began_s, time.monotonic() - stopped_s


async def run_rolling(demo: Demo, restarts: int) -> int:
    """Restart entry processes under load and return the number of faults."""
    await set_up(demo, DOMAINS)
    await wait_ready(demo)
    demo.started_s = time.monotonic()
    demo.load_s = float("inf")
    stops, starts = [], []
    async with asyncio.TaskGroup() as group:
        group.create_task(drive_load(demo))
        for name in list(DOMAINS)[:restarts]:
            stop_s, start_s = await restart(demo, name)
            stops.append(stop_s)
            starts.append(start_s)
            await asyncio.sleep(BETWEEN_S)
        demo.load_s = time.monotonic() - demo.started_s
    faults = await tell(demo)
    figure("rolling_restarts", restarts, "count")
    figure("rolling_stop_max_s", max(stops), "s")
    figure("rolling_start_max_s", max(starts), "s")
    figure("rolling_requests", len(demo.calls), "count")
    figure("rolling_whole", sum(one.whole for one in demo.calls), "count")
    figure("rolling_lost", sum(bool(one.error) for one in demo.calls), "count")
    figure("rolling_faults", len(faults), "count")
    return len(faults)


def measure(quick: bool) -> int:
    """Measure a rolling restart, of two processes where it must be quick."""
    print_frame(SEED, len(DOMAINS))
    demo = Demo(cl.make_cluster(), make_text(), random.Random(SEED))
    try:
        restarts = QUICK_RESTARTS if quick else len(DOMAINS)
        return asyncio.run(run_rolling(demo, restarts))
    finally:
        demo.cluster.stop()
        print(f"logs: {demo.cluster.folder}")


if __name__ == "__main__":
    sys.exit(1 if measure("quick" in sys.argv) else 0)
