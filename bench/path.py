"""Measures what the path adds to a request, what a process carries, and idling."""

import asyncio
import os
import pathlib
import statistics
import sys
import time
import typing as t

import msgspec

from bench import cluster as cl
from bench.figures import figure, print_frame, print_table
from bench.load import Offered, Session
from bulrushspur_kernel.work import Policy, Room, TaskInfo, Vm

SEED: t.Final = 7
ROOM: t.Final = Room(8, 16.0, 32_768, 0)
RUN_TIME_S: t.Final = 0.001
PATH: t.Final = "/v1/run/coursework/place"
LOW_RATE: t.Final = 40.0
SENDERS: t.Final = 3
TICKS_PER_S: t.Final = os.sysconf("SC_CLK_TCK")
DOMAINS: t.Final = ["north", "south", "east", "west"]

TEXT: t.Final = {
    "cell": "bench",
    "domains": [{"name": name, "region": "midlands"} for name in DOMAINS],
    "teams": [{"name": "a", "share": 1, "limit_tasks": 1000}],
    "services": [
        {
            "name": "coursework",
            "team": "a",
            "kinds": [{"name": "place", "size": "small", "run_time_s": RUN_TIME_S}],
        }
    ],
}


def measure(quick: bool) -> None:
    """Measure added time, rate of one process, and idle costs."""
    print_frame(SEED, 12)
    asyncio.run(_measure_path(quick))
    for peers in [9] if quick else [9, 4, 1]:
        asyncio.run(_measure_idle(peers, quick))


# Added time and rate.


async def _measure_path(quick: bool) -> None:
    cluster = cl.make_cluster()
    try:
        key = await _start_path(cluster)
        await _measure_added(cluster, key, 150 if quick else 1500)
        await _measure_rate(cluster, key, 0.8 if quick else 5.0)
    finally:
        cluster.stop()


async def _start_path(cluster: cl.Cluster) -> str:
    await cl.start_platform(cluster)
    names = [f"w{i}" for i in range(4)]
    await asyncio.gather(
        *(cl.start_worker(cluster, name, "north", "r1", ROOM) for name in names)
    )
    plan = cl.plan_entries(cluster, {"n1": "north", "s1": "south"})
    await asyncio.gather(*(cl.start_entry(cluster, one) for one in plan.values()))
    await cl.publish(cluster, TEXT, 0)
    _, key = await cl.give_key(cluster, "a")
    for entry in cluster.entries.values():
        if not await cl.wait_until(lambda one=entry: _answers(one, key)):
            raise RuntimeError(f"{entry.name} answers nothing")
    return key


async def _answers(entry: cl.Started, key: str) -> bool:
    session = Session(entry.address)
    status, _ = await session.post(PATH, b"", _bearer(key))
    session.close()
    return status == 200


def _bearer(key: str) -> dict[str, str]:
    return {"authorization": f"Bearer {key}"}


async def _measure_added(cluster: cl.Cluster, key: str, rounds: int) -> None:
    worker = cluster.workers["w0"].address
    ways = {
        "direct": Session(worker),
        "own": Session(cluster.entries["n1"].address),
        "remote": Session(cluster.entries["s1"].address),
    }
    times_ms: dict[str, list[float]] = {name: [] for name in ways}
    for i in range(rounds):
        for name, session in ways.items():
            headers = _start_headers(i) if name == "direct" else _bearer(key)
            path = f"/tasks/bench.{i}" if name == "direct" else PATH
            started_s = time.perf_counter()
            status, _ = await session.post(path, b"x" * 40, headers)
            times_ms[name].append((time.perf_counter() - started_s) * 1000)
            if status != 200:
                raise RuntimeError(f"{name} answered {status}")
        await asyncio.sleep(0.002)
    for session in ways.values():
        session.close()
    rows = [[name, *(_at(one, p) for p in (50, 99))] for name, one in times_ms.items()]
    print_table("request at low load (ms)", ["way", "p50", "p99"], rows)
    for name, prefix in (("own", "path_added"), ("remote", "path_added_remote")):
        for percent in (50, 99):
            added_ms = _at(times_ms[name], percent) - _at(times_ms["direct"], percent)
            figure(f"{prefix}_p{percent}_ms", added_ms, "ms")


def _start_headers(i: int) -> dict[str, str]:
    info = TaskInfo(f"bench.{i}", "a", "coursework", "place", Policy.REQUEST, Room(1))
    head = {
        "info": info,
        "request_id": f"bench.{i}",
        "lease_s": 10.0,
        "run_time_s": RUN_TIME_S,
    }
    return {"x-task": msgspec.json.encode(head).decode()}


def _at(values: list[float], percent: float) -> float:
    if len(values) < 2:
        return float("inf")
    return statistics.quantiles(values, n=1000, method="inclusive")[
        min(int(percent * 10) - 1, 998)
    ]


async def _measure_rate(cluster: cl.Cluster, key: str, step_s: float) -> None:
    entry = cluster.entries["n1"]
    low = await _offer(entry, key, LOW_RATE, step_s * 2)
    bound_ms = 2 * _at(low.times_s, 99) * 1000
    rows = [["low", LOW_RATE, _at(low.times_s, 99) * 1000, 0, 0]]
    best = 0.0
    for rate in (200, 400, 600, 800, 1000, 1200, 1400):
        before_s = _cpu_s(entry)
        seen = await _offer(entry, key, rate, step_s)
        cpu_share = (_cpu_s(entry) - before_s) / step_s
        p99_ms = _at(seen.times_s, 99) * 1000
        rows.append(["step", rate, p99_ms, cpu_share, seen.failed])
        if seen.failed or p99_ms > bound_ms:
            break
        best = float(rate)
    print_table(
        "load on one process", ["step", "rate", "p99 ms", "cores", "failed"], rows
    )
    figure("path_rate_low_p99_ms", bound_ms / 2, "ms")
    figure("path_rate_per_core", best, "requests/s")


async def _offer(
    entry: cl.Started, key: str, rate: float, duration_s: float
) -> Offered:
    """Offer load from processes of their own, so that they are not what is slow."""
    runs = []
    for i in range(SENDERS):
        args = [entry.address, PATH, key, rate / SENDERS, duration_s, SEED + i]
        run = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "bench.load",
            *map(str, args),
            stdout=asyncio.subprocess.PIPE,
        )
        runs.append(run)
    rv = Offered([], 0)
    for run in runs:
        out, _ = await run.communicate()
        seen = msgspec.json.decode(out, type=Offered)
        rv.times_s += seen.times_s
        rv.failed += seen.failed
        rv.first_failure = rv.first_failure or seen.first_failure
    if rv.first_failure:
        print(f"first failure at {rate}/s: {rv.first_failure}")
    return rv


# Idling.


async def _measure_idle(peers: int, quick: bool) -> None:
    cluster = cl.make_cluster()
    try:
        await cl.start_platform(cluster)
        entry = await _start_idle(cluster, peers)
        await asyncio.sleep(2.0 if quick else 6.0)
        window_s = 2.0 if quick else 30.0 if peers == 9 else 10.0
        before_s, before = _cpu_s(entry), await _wire_bytes(entry)
        started_s = time.monotonic()
        await asyncio.sleep(window_s)
        took_s = time.monotonic() - started_s
        cpu_percent = 100 * (_cpu_s(entry) - before_s) / took_s
        wire_kb_s = (await _wire_bytes(entry) - before) / took_s / 1000
    finally:
        rss_mb = _rss_mb(entry)
        cluster.stop()
    suffix = "" if peers == 9 else f"_{peers}_peers"
    for name, value, unit in (
        ("rss", rss_mb, "mb"),
        ("cpu", cpu_percent, "percent"),
        ("wire", wire_kb_s, "kb_s"),
    ):
        figure(f"idle_{name}{suffix}_{unit}", value, _UNITS[unit])


_UNITS: t.Final = {"mb": "MB", "percent": "% of a core", "kb_s": "KB/s"}


async def _start_idle(cluster: cl.Cluster, peers: int) -> cl.Started:
    names = {f"e{i}": DOMAINS[i % len(DOMAINS)] for i in range(peers + 1)}
    await cl.start_worker(cluster, "w", "none", "r1", ROOM)
    address = cluster.workers["w"].address
    for i in range(24):
        # One stand-in plays them all: none of them runs anything.
        domain = DOMAINS[i % len(DOMAINS)]
        vm = Vm(f"w{i}", "worker", domain, address, f"r{i // 6}", room=ROOM)
        await cl.list_vm(cluster, vm)
    await cl.publish(cluster, TEXT, 0)
    await cl.give_key(cluster, "a")
    plan = cl.plan_entries(cluster, names)
    await asyncio.gather(*(cl.start_entry(cluster, one) for one in plan.values()))
    return cluster.entries["e0"]


def _cpu_s(entry: cl.Started) -> float:
    stat = pathlib.Path(f"/proc/{entry.popen.pid}/stat").read_text()
    fields = stat.rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


def _rss_mb(entry: cl.Started) -> float:
    status = pathlib.Path(f"/proc/{entry.popen.pid}/status").read_text()
    line = next(one for one in status.splitlines() if one.startswith("VmRSS"))
    return int(line.split()[1]) * 1024 / 1e6


async def _wire_bytes(entry: cl.Started) -> int:
    counters = (await cl.get_status(entry))["metrics"]["counters"]
    return sum(value for name, value in counters.items() if name.startswith("wire."))
