"""How long a text takes to be in force, and a key to be refused, in real processes."""

import asyncio
import copy
import time
import typing as t

from bench import cluster as cl
from bench.figures import figure, print_frame
from bench.load import send_one
from bulrushspur_kernel.work import Room

ENTRIES: t.Final = {"n1": "north", "n2": "north", "s1": "south", "s2": "south"}
ROUNDS: t.Final = 25
QUICK_ROUNDS: t.Final = 5
LOOK_S: t.Final = 0.02
GIVE_UP_S: t.Final = 20.0
SEED: t.Final = 0

TEXT: t.Final[dict[str, t.Any]] = {
    "cell": "bench",
    "domains": [{"name": one, "region": "midlands"} for one in ("north", "south")],
    "teams": [{"name": "a", "share": 1, "limit_tasks": 50}],
    "services": [
        {"name": "coursework", "team": "a", "kinds": [{"name": "place"}]},
    ],
}


def percentile(values: list[float], percent: float) -> float:
    """Return the smallest value that is not below ``percent`` of all."""
    rows = sorted(values)
    return rows[min(int(len(rows) * percent / 100), len(rows) - 1)]


async def _wait_all(check: t.Callable[[str], t.Awaitable[bool]]) -> float:
    """Return for how long some process still failed a check."""
    started_s = time.monotonic()

    async def wait(name: str) -> float:
        while not await check(name):
            if time.monotonic() - started_s > GIVE_UP_S:
                raise TimeoutError(f"{name} did not follow in {GIVE_UP_S} s")
            await asyncio.sleep(LOOK_S)
        return time.monotonic() - started_s

    return max(await asyncio.gather(*(wait(name) for name in ENTRIES)))


async def _measure(rounds: int) -> tuple[list[float], list[float]]:
    cluster = cl.make_cluster()
    try:
        await cl.start_platform(cluster)
        for name, domain in (("wn", "north"), ("ws", "south")):
            await cl.start_worker(cluster, name, domain, "r", Room(8, 16.0, 32_768))
        plan = cl.plan_entries(cluster, ENTRIES)
        await asyncio.gather(*(cl.start_entry(cluster, row) for row in plan.values()))
        in_force, withdrawn = [], []
        version = 0
        for i in range(rounds):
            text = copy.deepcopy(TEXT)
            text["teams"][0]["limit_tasks"] += i
            version = await cl.publish(cluster, text, version)
            in_force.append(await _wait_all(_has_version(cluster, version)))
            key_id, key = await cl.give_key(cluster, "a")
            await _wait_all(_takes_key(cluster, key, True))
            await cl.withdraw_key(cluster, key_id)
            withdrawn.append(await _wait_all(_takes_key(cluster, key, False)))
        return in_force, withdrawn
    finally:
        cluster.stop()


def _has_version(
    cluster: cl.Cluster, version: int
) -> t.Callable[[str], t.Awaitable[bool]]:
    async def check(name: str) -> bool:
        return (await cl.get_status(cluster.entries[name]))["version"] >= version

    return check


def _takes_key(
    cluster: cl.Cluster, key: str, wanted: bool
) -> t.Callable[[str], t.Awaitable[bool]]:
    async def check(name: str) -> bool:
        address = cluster.entries[name].address
        result = await send_one(address, "coursework", "place", key, b"x")
        kind = (result.refusal or {}).get("kind")
        return (kind != "unknown_key") is wanted

    return check


def measure(quick: bool) -> None:
    """Publish texts, give and withdraw keys, and print the slowest process's times."""
    rounds = QUICK_ROUNDS if quick else ROUNDS
    print_frame(SEED, len(ENTRIES))
    in_force, withdrawn = asyncio.run(_measure(rounds))
    print(f"config: {rounds} rounds, {len(ENTRIES)} processes, the slowest counts")
    figure("config_in_force_p50_s", percentile(in_force, 50), "s")
    figure("config_in_force_p99_s", percentile(in_force, 99), "s")
    figure("key_withdrawn_p50_s", percentile(withdrawn, 50), "s")
    figure("key_withdrawn_p99_s", percentile(withdrawn, 99), "s")
