"""Profile the leader under a steady load, and print what each of its parts costs.

``make profile WORKERS=n JOBS=n SECONDS=n`` starts an entry process under cProfile, with
stand-ins in this process, and submits jobs of three tasks each at a constant rate. It
prints the processor time of the entry process and the share of each part. The profiler
slows short functions more than long ones, so shares are approximate.
"""

import asyncio
import os
import pathlib
import pstats
import resource
import time
import typing as t

import msgspec

from bench.processes import EntryProcess, ProcessCluster
from bulrushspur_kernel.http_pool import make_http_pool
from tests.cluster import API_KEY, CONFIG, HOST, job_id, make_job_body

TASKS_PER_JOB: t.Final = 3
RUN_TIME_MS: t.Final = 640
TOP_FUNCTIONS: t.Final = 25
# The part of a function, by the first pattern that its file's path contains.
PARTS: t.Final = (
    ("bulrushspur_scheduler", "decisions"),
    ("bulrushspur_platform", "adapter"),
    ("peer", "peers"),
    ("zmq", "peers"),
    ("h11", "HTTP"),
    ("http_", "HTTP"),
    ("asyncio/streams", "HTTP"),
    ("selector", "event loop"),
    ("asyncio", "event loop"),
    ("logs.py", "logs"),
    ("hdrh", "metrics"),
    ("metrics", "metrics"),
    ("bulrushspur_daemon", "daemon"),
)


class ProfiledEntry(EntryProcess):
    """An entry process that runs under cProfile and saves the profile at its end."""

    @property
    def profile_path(self) -> pathlib.Path:
        """Return the path of the saved profile."""
        return self.folder / f"{self.name}.profile"

    def command(self, settings_path: pathlib.Path) -> list[str]:
        """Return the command line of the process."""
        python, *args = super().command(settings_path)
        return [python, "-m", "cProfile", "-o", str(self.profile_path), *args]


async def submit_jobs(entry: EntryProcess, jobs_per_s: float, until_s: float) -> int:
    """Submit jobs at a constant rate; return how many were accepted."""
    pool = make_http_pool(entry.address)
    pool.host = HOST
    accepted = 0

    async def submit(number: int) -> None:
        nonlocal accepted
        body = make_job_body(count=TASKS_PER_JOB, run_time_ms=RUN_TIME_MS, cpu_milli=50)
        headers = [("bulrushspur-credential", API_KEY)]
        data = msgspec.json.encode(body)
        path = f"/assess/{job_id(number)}"
        answer = await pool.request("POST", path, data, headers, timeout_s=4.0)
        accepted += answer.status == 200

    began_s = time.monotonic()
    number = 0
    async with asyncio.TaskGroup() as group:
        while time.monotonic() < until_s:
            number += 1
            group.create_task(submit(number))
            due_s = began_s + number / jobs_per_s
            await asyncio.sleep(max(due_s - time.monotonic(), 0.0))
    return accepted


def print_profile(path: pathlib.Path, duration_s: float) -> None:
    """Print the share of each part and the functions that take the most time."""
    stats = pstats.Stats(str(path))
    rows = [
        (own_s, f"{file}:{line} {name}")
        for (file, line, name), (_, _, own_s, _, _) in stats.stats.items()
        if "select.epoll" not in name
    ]
    by_part: dict[str, float] = {}
    for own_s, where in rows:
        by_part[_part_of(where)] = by_part.get(_part_of(where), 0.0) + own_s
    total_s = sum(by_part.values())
    for part, own_s in sorted(by_part.items(), key=lambda row: -row[1]):
        print(f"{part:12} {own_s / total_s:6.1%} {own_s / duration_s:7.3f} cores")
    for own_s, where in sorted(rows, reverse=True)[:TOP_FUNCTIONS]:
        short = where.rpartition("site-packages/")[2].removeprefix(os.getcwd())
        print(f"  {own_s / total_s:6.1%} {short}")


def _part_of(where: str) -> str:
    return next((part for pattern, part in PARTS if pattern in where), "others")


async def run_profile(workers: int, jobs_per_s: float, duration_s: float) -> None:
    """Run the load, then print the profile."""
    cluster = ProcessCluster()
    try:
        await cluster.start(0, workers, "platform", CONFIG)
        base = cluster.make_entry("n0", "platform")
        entry = ProfiledEntry(base.name, base.settings, base.folder)
        cluster.entries.append(entry)
        await entry.start()
        await cluster.wait_ready()
        until_s = time.monotonic() + duration_s
        accepted = await submit_jobs(entry, jobs_per_s, until_s)
    finally:
        await cluster.stop()
    usage = resource.getrusage(resource.RUSAGE_CHILDREN)
    print(f"{accepted} jobs accepted, {len(cluster.oracle.starts)} starts")
    print(f"{(usage.ru_utime + usage.ru_stime) / duration_s:.3f} cores, profiled")
    print_profile(entry.profile_path, duration_s)


def main() -> None:
    """Read the sizes from the environment and run the profile."""
    workers = int(os.environ.get("WORKERS") or 60)
    jobs_per_s = float(os.environ.get("JOBS") or 30)
    duration_s = float(os.environ.get("SECONDS") or 12)
    asyncio.run(run_profile(workers, jobs_per_s, duration_s))


if __name__ == "__main__":
    main()
