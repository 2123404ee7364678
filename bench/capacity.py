"""``make capacity``: slopes of what each role costs, and what follows for the target.

Each sweep varies one size of a small cell and fits a line through the points.
"""

import dataclasses
import sys
import time
import typing as t

from bench.capacity_cell import (
    CellSize,
    Usage,
    instrument,
    is_in_force,
    make_small_cell,
    run_load,
    state_bytes,
)
from bench.figures import figure, print_frame, print_table

SEED: t.Final = 3
WARM_UP_S: t.Final = 25.0
LOADED_WARM_UP_S: t.Final = 3.0
WINDOW_S: t.Final = 10.0
RUN_AT_MOST_S: t.Final = 230.0

BASE: t.Final = CellSize()
TARGET: t.Final = {
    "processes": 40,
    "workers": 2000,
    "teams": 180,
    "tasks": 47_000,
    "starts_per_s": 1000,
    "changes_per_h": 1500 / 24,
}


WHOLE: t.Final = CellSize(
    processes=32,
    domains=8,
    workers=2000,
    teams=180,
    tasks=47_000,
    starts_per_s=1000.0,
    changes_per_h=1500 / 24,
)


@dataclasses.dataclass
class Sweep:
    """One size that varies, what stays, and the points."""

    field: str
    points: list[float]
    base: CellSize = dataclasses.field(default_factory=CellSize)


SWEEPS: t.Final = [
    Sweep("processes", [4, 8, 20, 40]),
    Sweep("workers", [24, 200, 800, 2000], CellSize(processes=16, domains=8)),
    Sweep("teams", [6, 30, 90, 180], CellSize(starts_per_s=50.0, workers=48)),
    Sweep(
        "tasks",
        [200, 2000, 10_000, 47_000],
        CellSize(processes=16, domains=8, workers=1600),
    ),
    Sweep("starts_per_s", [10, 100, 300, 1000], CellSize(workers=200)),
    Sweep("changes_per_h", [0, 360, 3600, 14_400]),
]


def measure_point(size: CellSize, cpu_s: dict[str, float]) -> dict[str, float]:
    """Run a cell of a size and return what one process used, on average."""
    cell = make_small_cell(size, SEED)
    cell.advance(WARM_UP_S)
    if not is_in_force(cell) or cell.owned() != size.workers:
        raise RuntimeError(f"{cell.owned()} of {size.workers} workers have an owner")
    run_load(cell, LOADED_WARM_UP_S)
    cell.usage = usage = Usage()
    cpu_s.clear()
    run_load(cell, WINDOW_S)
    count = size.processes
    each_s = count * WINDOW_S
    rv = {f"cpu_{role}": one * 1e3 / each_s for role, one in sorted(cpu_s.items())}
    rv["cpu_wire"] = usage.cpu_s["wire"] * 1e3 / each_s
    rv["cpu"] = sum(rv.values())
    rv["appends_all"] = float(cell.log.next_offset)
    rv["messages"] = sum(usage.messages.values()) / each_s
    # A byte is sent by one process and received by another.
    rv["peer_kb"] = 2 * sum(usage.peer_bytes.values()) / each_s / 1e3
    rv["peer_kb_max"] = max(usage.sent_bytes.values(), default=0) / WINDOW_S / 1e3
    rv["platform_kb"] = usage.platform_bytes / each_s / 1e3
    rv["list_kb"] = cell.list_bytes / 1e3
    rv["worker_kb"] = usage.worker_bytes / each_s / 1e3
    rv["state_kb"] = state_bytes(cell) / 1e3
    rv["appends"] = sum(usage.appends.values()) / WINDOW_S
    rv["starts"] = usage.starts / WINDOW_S
    rv["refused"] = sum(usage.ends.values()) / WINDOW_S
    rv["owned"] = cell.owned()
    if usage.ends:
        print(f"refused at {size}: {dict(usage.ends)}")
    return rv


def fit_line(xs: list[float], ys: list[float]) -> tuple[float, float, float]:
    """Fit ``y = a + b x`` by least squares; return a, b and R squared."""
    n = len(xs)
    mean_x, mean_y = sum(xs) / n, sum(ys) / n
    xx = sum((x - mean_x) ** 2 for x in xs)
    b = sum((x - mean_x) * (y - mean_y) for x, y in zip(xs, ys, strict=True)) / xx
    a = mean_y - b * mean_x
    total = sum((y - mean_y) ** 2 for y in ys)
    left = sum((y - a - b * x) ** 2 for x, y in zip(xs, ys, strict=True))
    return a, b, 1.0 - left / total if total > 0 else 1.0


SHOWN: t.Final = [
    "cpu", "messages", "peer_kb", "peer_kb_max", "platform_kb", "worker_kb",
    "state_kb", "appends", "appends_all", "starts", "refused", "owned",
]  # fmt: skip
FITTED: t.Final = [
    "cpu", "messages", "peer_kb", "platform_kb", "worker_kb", "state_kb", "appends"
]  # fmt: skip

UNITS: t.Final = {
    "cpu": "ms/s",
    "messages": "1/s",
    "peer_kb": "KB/s",
    "platform_kb": "KB/s",
    "worker_kb": "KB/s",
    "state_kb": "KB",
    "appends": "1/s",
}


def run_sweep(sweep: Sweep, cpu_s: dict[str, float]) -> None:
    """Measure the points of a sweep and print them with their fits."""
    rows = []
    for value in sweep.points:
        kind = type(getattr(sweep.base, sweep.field))
        size = dataclasses.replace(sweep.base, **{sweep.field: kind(value)})
        if sweep.field == "processes":
            size.domains = max(min(8, int(value) // 4), 1)
        rows.append(measure_point(size, cpu_s))
    base = dataclasses.asdict(sweep.base)
    base.pop(sweep.field)
    title = f"{sweep.field} (others: {base}); per process and second, cpu in ms"
    print_table(
        title,
        [sweep.field, *SHOWN],
        [
            [value, *(row[name] for name in SHOWN)]
            for value, row in zip(sweep.points, rows, strict=True)
        ],
    )
    roles = sorted({name for row in rows for name in row if name.startswith("cpu_")})
    print_table(
        "cpu by role, ms",
        [sweep.field, *(name.removeprefix("cpu_") for name in roles)],
        [
            [value, *(row.get(name, 0.0) for name in roles)]
            for value, row in zip(sweep.points, rows, strict=True)
        ],
    )
    for name in [*FITTED, *roles]:
        ys = [row.get(name, 0.0) for row in rows]
        a, b, r2 = fit_line(sweep.points, ys)
        at = TARGET[sweep.field]
        print(
            f"fit {name} = {a:.4g} + {b:.4g} * {sweep.field}, R2 {r2:.3f}; "
            f"at {at:g}: {a + b * at:.4g}"
        )
        if name in FITTED:
            figure(f"capacity_{sweep.field}_{name}_slope", b, f"{UNITS[name]} each")


def run_whole(cpu_s: dict[str, float]) -> None:
    """Measure one cell of the size of the target, to check the fits against."""
    row = measure_point(WHOLE, cpu_s)
    print_table(
        f"the whole: {WHOLE}; per process and second, cpu in ms",
        ["what", "measured"],
        [[name, value] for name, value in row.items()],
    )
    for name in FITTED:
        figure(f"capacity_whole_{name}", row[name], UNITS[name])


def main() -> int:
    """Measure all sweeps, or those named."""
    began_s = time.monotonic()
    print_frame(SEED, 1)
    cpu_s = instrument()
    for sweep in SWEEPS:
        if sys.argv[1:] and sweep.field not in sys.argv[1:]:
            continue
        if time.monotonic() - began_s > RUN_AT_MOST_S:
            print(f"not run for want of time: {sweep.field}")
            continue
        started_s = time.monotonic()
        run_sweep(sweep, cpu_s)
        print(f"{sweep.field} took {time.monotonic() - started_s:.1f} s", flush=True)
    if not sys.argv[1:] or "whole" in sys.argv[1:]:
        run_whole(cpu_s)
    print(f"all took {time.monotonic() - began_s:.1f} s")
    return 0


if __name__ == "__main__":
    sys.exit(main())
