"""Measures which work starts next: waits, shares, packing, refusals, cost.

Every row comes from the same seeded arrivals; the baselines stand beside it.
"""

import dataclasses
import gc
import os
import random
import time
import typing as t

from bench import baselines
from bench import policy_figures as pf
from bench.arrivals import (
    ESCAUT,
    HEDGEROW,
    BenchKind,
    Deployment,
    Job,
    add_burst,
    make_arrivals,
    make_vms,
    number,
)
from bench.figures import figure, print_frame, print_table
from bench.policy_cell import PolicyCell, Run, granted_authority, make_bench_node
from bulrushspur_core import effects as fx
from bulrushspur_core import events, placement
from bulrushspur_core.workers import Workers, WorkerView
from bulrushspur_kernel.text import convert_text
from bulrushspur_kernel.work import Policy, Room, Size, Vm, Work

SEED: t.Final = 20261
FILLED_BY: t.Final = 25_000
COLUMNS: t.Final = [
    "scenario", "policy", "small p50", "small p99", "mid p99", "heavy p99",
    "share 10s %", "share 60s %", "slots used %", "refused", "late", "moved",
]  # fmt: skip


def measure(quick: bool) -> None:
    """Run all scenarios and print their figures."""
    print_frame(SEED, 1)
    duration_s = 30.0 if quick else 40.0
    rows: list[list[t.Any]] = []
    with granted_authority():
        measure_decisions(*((2000, 12_000) if quick else (8000, FILLED_BY)))
        measure_cancel_wave()
        results = [
            measure_cell(cell, duration_s, quick, rows)
            for cell in ((HEDGEROW,) if quick else (HEDGEROW, ESCAUT))
        ]
    print_table("Waits in seconds, shares, and use of the cell", COLUMNS, rows)
    print_worst(results)


@dataclasses.dataclass
class CellResult:
    """Figures of one deployment."""

    to_ideal: float
    to_fcfs: float
    share_error: float
    share_error_minute: float | None
    packing: float
    false_refusals: int
    told: int
    near: int
    urgent_p99_s: float


def print_worst(results: list[CellResult]) -> None:
    """Print the figures, the worst of all deployments."""
    figure("small_wait_p99_to_ideal_ratio", max(r.to_ideal for r in results), "ratio")
    figure("small_wait_p99_to_fcfs_ratio", max(r.to_fcfs for r in results), "ratio")
    figure("share_error_percent", max(r.share_error for r in results), "% of the cell")
    minutes = [
        r.share_error_minute for r in results if r.share_error_minute is not None
    ]
    if minutes:
        figure("share_error_minute_percent", max(minutes), "% of the cell")
    figure("packing_to_ideal_percent", min(r.packing for r in results), "%")
    figure("false_refusals", sum(r.false_refusals for r in results), "count")
    told = sum(r.told for r in results)
    near = 100 * sum(r.near for r in results) / max(told, 1)
    figure("predicted_wait_within_25_percent", near, "%")
    figure("predicted_waits_told", told, "count")
    figure("urgent_start_p99_s", max(r.urgent_p99_s for r in results), "s")


def run_policy(
    cell: Deployment,
    jobs: list[Job],
    until_s: float,
    bad_workers: t.Container[str] = (),
    lose: tuple[str, float] | None = None,
) -> Run:
    """Run arrivals through the nodes."""
    one = PolicyCell(cell, SEED, bad_workers)
    if lose is not None:
        at_s = one.now_s + 2.5 + lose[1]
        one.at(at_s, lambda: one.lose_domain(lose[0]))
    return one.drive(jobs, until_s)


def row_of(
    scenario: str, name: str, cell: Deployment, run: Run, from_s: float
) -> list[t.Any]:
    """Make a row of the table."""

    def p(size: Size, part: float) -> float:
        return pf.percentile(pf.waits_of(run, size, from_s=from_s), part)

    refused = pf.refusals_by_kind(run)
    late = refused.pop("deadline_passed", 0)
    error = pf.share_error_percent(cell, run, 10.0)
    minute = pf.share_error_percent(cell, run, 60.0)
    rows = [sum(s.used.values()) for s in run.samples if s.at_s >= from_s]
    return [
        f"{cell.name} {scenario}", name, p(Size.SMALL, 0.5), p(Size.SMALL, 0.99),
        p(Size.MIDDLING, 0.99), p(Size.HEAVY, 0.99),
        "-" if error is None else error, "-" if minute is None else minute,
        100 * sum(rows) / max(len(rows), 1) / cell.slots,
        sum(refused.values()), late, run.moved,
    ]  # fmt: skip


def measure_cell(
    cell: Deployment, duration_s: float, quick: bool, rows: list[list[t.Any]]
) -> CellResult:
    """Run all scenarios of a deployment."""
    from_s = min(10.0, duration_s / 3)
    steady = make_arrivals(cell, SEED, duration_s, 0.9)
    run = run_policy(cell, steady, duration_s)
    ideal = baselines.run_baseline(cell, steady, duration_s)
    fcfs = baselines.run_baseline(
        cell, steady, duration_s, order=baselines.arrival_order
    )
    others = [("ideal", ideal), ("fcfs", fcfs)]
    if not quick:
        others += more_baselines(cell, steady, duration_s)
    rows.append(row_of("steady 90%", "bulrushspur", cell, run, from_s))
    rows.extend(row_of("steady 90%", k, cell, v, from_s) for k, v in others)
    told, near = pf.predictions(run)
    small = [
        pf.percentile(pf.waits_of(one, Size.SMALL, from_s=from_s), 0.99)
        for one in (run, ideal, fcfs)
    ]
    false = pf.false_refusals(run, ideal)

    over = make_arrivals(cell, SEED + 1, duration_s, 1.5)
    over_run = run_policy(cell, over, duration_s)
    over_ideal = baselines.run_baseline(cell, over, duration_s)
    rows.append(row_of("overload 1.5x", "bulrushspur", cell, over_run, from_s))
    rows.append(row_of("overload 1.5x", "ideal", cell, over_ideal, from_s))
    false += pf.false_refusals(over_run, over_ideal)
    over_told, over_near = pf.predictions(over_run)
    if not quick:
        unlent = baselines.run_baseline(
            cell, over, duration_s, order=baselines.unlent_order
        )
        rows.append(row_of("overload 1.5x", "no lending", cell, unlent, from_s))
        draw(cell, over_run, over_ideal)

    urgent_run = measure_urgent(cell, min(duration_s, 60.0))
    rows.append(row_of("urgent, full", "bulrushspur", cell, urgent_run, from_s))
    urgent = pf.waits_of(urgent_run, policy=Policy.URGENT)
    if not quick:
        false += measure_faults(cell, duration_s, rows)
    return CellResult(
        small[0] / max(small[1], 1e-3),
        small[0] / max(small[2], 1e-3),
        pf.share_error_percent(cell, over_run, 10.0) or 0.0,
        pf.share_error_percent(cell, over_run, 60.0),
        pf.packing_percent(over_run, over_ideal, from_s),
        false,
        told + over_told,
        near + over_near,
        pf.percentile(urgent, 0.99),
    )


def more_baselines(
    cell: Deployment, jobs: list[Job], until_s: float
) -> list[tuple[str, Run]]:
    """Run the arrivals through the other baselines."""
    place = baselines.make_random_place(SEED)
    run = baselines.run_baseline
    return [
        ("random placement", run(cell, jobs, until_s, place=place)),
        ("no lending", run(cell, jobs, until_s, order=baselines.unlent_order)),
        ("no backfill", run(cell, jobs, until_s, order=baselines.strict_order)),
    ]


def measure_urgent(cell: Deployment, duration_s: float) -> Run:
    """Run urgent work into a cell that is full of heavy work and batch."""
    rng = random.Random(SEED + 2)
    jobs = make_arrivals(cell, SEED + 2, duration_s, 1.3)
    batch = BenchKind("batch", Size.HEAVY, cell.kinds[1].room, 40.0, 0.0, 600.0)
    for i in range(cell.slots // 2):
        jobs.append(Job(0, 0.01 * i, "f", batch, 40.0, i % cell.entries, Policy.BATCH))
    for kind, second in ((cell.kinds[1], s) for s in range(5, int(duration_s) - 5)):
        at_s = second + rng.random()
        door = rng.randrange(cell.entries)
        jobs.append(Job(0, at_s, "e", kind, kind.run_time_s, door, Policy.URGENT))
    return run_policy(cell, number(jobs), duration_s)


def measure_faults(cell: Deployment, duration_s: float, rows: list[list[t.Any]]) -> int:
    """Run the scenarios with faults; return the number of false refusals."""
    from_s, false = 10.0, 0
    jobs = make_arrivals(cell, SEED + 3, duration_s, 0.7)
    jobs = add_burst(cell, jobs, SEED, duration_s / 3, 6000, "a")
    wrong = make_arrivals(cell, SEED + 4, duration_s, 0.9, true_factor=3.0)
    plain = make_arrivals(cell, SEED + 5, duration_s, 0.7)
    bad = {make_vms(cell)[0].name}
    scenarios: list[tuple[str, list[Job], dict[str, t.Any]]] = [
        ("burst of 6000", jobs, {}),
        ("wrong times x3", wrong, {}),
        ("domain lost", plain, {"lose": (cell.domains[0], duration_s / 3)}),
        ("bad worker", plain, {"bad_workers": bad}),
    ]
    for name, arrivals, options in scenarios:
        run = run_policy(cell, arrivals, duration_s, **options)
        ideal = baselines.run_baseline(cell, arrivals, duration_s)
        rows.append(row_of(name, "bulrushspur", cell, run, from_s))
        rows.append(row_of(name, "ideal", cell, ideal, from_s))
        if not options:
            false += pf.false_refusals(run, ideal)
        told, near = pf.predictions(run)
        tried_bad = sum(
            fate.worker in bad and fate.ended_s is None for fate in run.fates
        )
        print(
            f"{cell.name} {name}: refused {pf.refusals_by_kind(run)}, told {told}, "
            f"near {near}, starts {sum(f.starts for f in run.fates)}, "
            f"set apart {run.set_apart}, ended at a bad worker {tried_bad}, "
            f"control {1e6 * run.control_s / max(len(run.fates), 1):.0f} us a request"
        )
    return false


def draw(cell: Deployment, run: Run, ideal: Run) -> None:
    """Draw waits and shares where the plotting library is installed."""
    from bench.plots import draw_run

    os.makedirs("out", exist_ok=True)
    draw_run(cell, run, ideal, f"out/policy-{cell.name}.png")


def make_large_node(seed: int, workers: int, teams: int) -> t.Any:
    """Make a node that owns many workers and knows many teams."""
    rows = [
        {"name": f"t{i}", "share": 1 + i % 7, "limit_tasks": 10_000,
         "queue_requests": 20_000}
        for i in range(teams)
    ]  # fmt: skip
    data = {"cell": "large", "domains": [{"name": "one", "region": "r"}], "teams": rows}
    node = make_bench_node("n0", "one", seed, convert_text(data).unwrap(), {})
    room = Room(8, 32.0, 131_072, 2)
    plain = Room(8, 16.0, 32_768, 0)
    for i in range(workers):
        vm = Vm(f"w{i}", "worker", "one", "", room=room if i % 3 else plain)
        node.state(Workers).views[vm.name] = WorkerView(vm, owned=True, epoch=1)
    placement.refresh(node, 0.0)
    return node


def make_work(rng: random.Random, number: int, teams: int) -> Work:
    """Make a request of a random team and size."""
    size = rng.choice(list(Size))
    accelerators = 1 if rng.random() < 0.2 else 0
    return Work(
        f"r{number}", f"t{rng.randrange(teams)}", "s", size.value, Policy.REQUEST,
        size, True, 600.0, 1.0, Room(1, 1.0 + rng.randrange(3), 2048, accelerators),
    )  # fmt: skip


def measure_decisions(count: int, queued: int = FILLED_BY) -> None:
    """Time decisions with 2,000 workers and 180 teams at 1,000 starts a second."""
    rng = random.Random(SEED)
    node = make_large_node(SEED, 2000, 180)
    took: dict[str, list[float]] = {"free": [], "full": []}
    running: list[fx.StartTask] = []
    now_s, numbered = 0.0, 0

    def timed(state: str, call: t.Callable[..., t.Any], *args: t.Any) -> None:
        began_s = time.perf_counter()
        effects = call(*args, now_s)
        took[state].append(time.perf_counter() - began_s)
        running.extend(one for one in effects if isinstance(one, fx.StartTask))

    def submit(state: str) -> None:
        nonlocal numbered
        numbered += 1
        event = events.Submitted(f"r{numbered}", make_work(rng, numbered, 180))
        timed(state, node.handle, event)

    def end(state: str) -> None:
        one = running.pop(rng.randrange(len(running)))
        ended = events.TaskEnded(
            one.worker, one.task.task_id, one.ticket, "done", 200, 1.0
        )
        timed(state, node.handle, ended)

    gc.collect()
    for i in range(count):
        now_s += 0.001
        submit("free")
        if len(running) > 1000:
            end("free")
        if i % 50 == 0:
            timed("free", node.run_timers)
    took["filling"] = []
    for _ in range(queued):
        submit("filling")
    for i in range(count):
        now_s += 0.001
        submit("full")
        end("full")
        if i % 50 == 0:
            timed("full", node.run_timers)
    rows = [
        [state, len(one), *(1e3 * pf.percentile(one, p) for p in (0.5, 0.99, 1.0))]
        for state, one in took.items()
    ]
    print_table(
        "Milliseconds of one decision, 2,000 workers and 180 teams in view",
        ["cell", "count", "p50", "p99", "max"],
        rows,
    )
    worst = max(pf.percentile(took[state], 0.99) for state in ("free", "full"))
    figure("decision_p99_ms", 1e3 * worst, "ms")
    both = took["free"] + took["full"]
    figure("decision_mean_us", 1e6 * sum(both) / len(both), "us")


def measure_cancel_wave() -> None:
    """Cancel 10,000 queued requests and time the longest step of the loop."""
    rng = random.Random(SEED)
    node = make_large_node(SEED, 20, 180)
    now_s = 1.0
    tickets = [f"r{i}" for i in range(10_400)]
    for i, ticket in enumerate(tickets):
        node.handle(events.Submitted(ticket, make_work(rng, i, 180)), now_s)
    longest_s, began_s = 0.0, time.perf_counter()
    for i, ticket in enumerate(tickets[-10_000:]):
        now_s += 0.00002
        step_s = time.perf_counter()
        node.handle(events.CancelAsked(ticket), now_s)
        longest_s = max(longest_s, time.perf_counter() - step_s)
        if i % 500 == 0:
            step_s = time.perf_counter()
            node.run_timers(now_s)
            longest_s = max(longest_s, time.perf_counter() - step_s)
    total_s = time.perf_counter() - began_s
    figure("cancel_wave_pause_ms", 1e3 * longest_s, "ms")
    figure("cancel_wave_total_ms", 1e3 * total_s, "ms")
