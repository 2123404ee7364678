"""Extend the leases of workers, and declare their runs lost once a lease has expired.

A worker stops its runs when its lease expires, so runs can be restarted elsewhere after
that even if the worker does not answer. The input is a lease to send, or the time of
the last store confirmation; the result is the expiry to send, or released runs whose
steps are planned again.
"""

import typing as t

from bulrushspur_scheduler.cell import Cell, TimingLimits
from bulrushspur_scheduler.crashes import record_crash
from bulrushspur_scheduler.jobs import Run
from bulrushspur_scheduler.open_starts import list_open_starts
from bulrushspur_scheduler.orphans import await_confirmation, remove_lost_orphan
from bulrushspur_scheduler.progress import requeue_step
from bulrushspur_scheduler.runs import release_run
from bulrushspur_scheduler.workers import (
    LEASE_MARGIN_MS,
    MIN_CLOCK_RATE,
    RunKey,
    Worker,
)

UNLISTED_GRACE_S: t.Final = 1.0


def extend_lease(cell: Cell, worker: Worker, now_s: float, lease_s: float) -> int:
    """Extend a lease by ``lease_s``; return its end in ms on the worker's clock.

    The end is recorded before it is sent, because the worker may receive it even if no
    answer comes. Until ``record_answered_lease`` the order is open: it may be carried
    out late, by the next incarnation, too.
    """
    lease_until_ms = worker.clock.estimated_ms(now_s) + int(lease_s * 1000)
    worker.lease_until_ms = max(worker.lease_until_ms, lease_until_ms)
    worker.open_lease_times_s.append(now_s)
    return lease_until_ms


def max_hold_s(limits: TimingLimits) -> float:
    """Return for how long after an order was sent a lease by it may hold.

    That is in any incarnation of the worker, also in one that carries it out late.
    """
    longest_s = limits.max_lease_s / MIN_CLOCK_RATE + LEASE_MARGIN_MS / 1000
    return limits.max_order_delay_s + longest_s


def assume_longest_lease(
    cell: Cell, worker: Worker, clock_ms: int, read_s: float, now_s: float
) -> None:
    """Assume that a worker gets the longest lease as late as it may.

    That is when the last open order is carried out, or now: who sent the order may have
    reckoned with the clock of a former incarnation. A worker shortens a lease that ends
    too late to the longest one. Its clock showed ``clock_ms`` at ``read_s`` or later.
    """
    limits = cell.timing_limits
    carried_out_s = max(now_s, worker.last_open_lease_s + limits.max_order_delay_s)
    _assume_lease(worker, clock_ms, carried_out_s - read_s + limits.max_lease_s)


def assume_first_lease(
    cell: Cell,
    worker: Worker,
    clock_ms: int,
    has_runs: bool,
    read_s: float,
    now_s: float,
) -> None:
    """Assume the lease that a worker may have got before its first report.

    No leader has sent orders to a new one; but if it crashes under its first run, that
    is seen, and counted, only after the 2 s that a start grants.
    """
    if worker.is_recovered or worker.last_report_s or has_runs:
        assume_longest_lease(cell, worker, clock_ms, read_s, now_s)
    else:
        _assume_lease(worker, clock_ms, cell.timing_limits.lease_s)


def _assume_lease(worker: Worker, clock_ms: int, lease_s: float) -> None:
    lease_until_ms = clock_ms + int(lease_s * 1000)
    worker.lease_until_ms = max(worker.lease_until_ms, lease_until_ms)


def mark_restarted(
    cell: Cell, worker: Worker, clock_ms: int, read_s: float, now_s: float
) -> None:
    """Forget what is known of the former incarnation of a worker; it has to report.

    The clock of the present one showed ``clock_ms`` at ``read_s`` or later.
    """
    worker.has_reported = False
    worker.clock.is_known = False
    worker.lease_until_ms = 0
    assume_longest_lease(cell, worker, clock_ms, read_s, now_s)


def mark_run_lost(cell: Cell, run: Run, reason: str) -> None:
    """Release a run that certainly is not running but reported no end; requeue it."""
    task, worker = run.task, cell.workers.get(run.worker_id)
    release_run(cell, run)
    if run.adopted:
        # An earlier leader may know that it does not run, too.
        adopted = cell.adopted_usage[task.step.job.account]
        adopted.subtract(task.step.spec.resources)
    cell.log(
        "run_lost",
        task.key.job,
        task=task.key.path,
        run=run.number,
        worker=run.worker_id,
        reason=reason,
        open_start=worker is not None and run.key in worker.open_starts,
        checkpoint=bool(task.checkpoint),
        crashes=task.crash_count,
    )
    requeue_step(cell, task.step)


def mark_worker_lost(
    cell: Cell,
    worker: Worker,
    reason: str,
    seen_s: float | None = None,
    kept: t.Container[RunKey] = (),
) -> None:
    """Declare all runs lost on a worker whose lease or incarnation has ended.

    Those in ``kept`` may be at work in a later incarnation. ``seen_s`` is when its end
    was seen, unless the store has shown since that there is no later term. Before its
    end the worker may have reported to a later term, so the tasks wait until the store
    confirms that there was none.
    """
    lost = [run for run in worker.runs.values() if run.key not in kept]
    lost_orphans = [key for key in worker.orphan_runs if key not in kept]
    if lost or lost_orphans:
        cell.log(
            "worker_lost",
            worker=worker.id,
            reason=reason,
            runs=len(lost),
            incarnation_ms=worker.incarnation_start_ms,
            lease_until_ms=worker.lease_until_ms,
            clock_ms=worker.clock.value_ms,
            open_starts=len(worker.open_starts),
        )
    for run in lost:
        if seen_s is not None and not run.task.done:
            await_confirmation(cell, run.task, seen_s)
        mark_run_lost(cell, run, reason)
    for key in lost_orphans:
        remove_lost_orphan(cell, worker, key, seen_s)
    cell.worker_end_seen_s = max(cell.worker_end_seen_s, seen_s or 0.0)
    cell.unobserved_workers.discard(worker.id)


def mark_incarnation_ended(
    cell: Cell,
    worker: Worker,
    reason: str,
    seen_s: float,
    *,
    is_final: bool = False,
) -> None:
    """Declare the runs lost of a worker whose incarnation was seen to have ended.

    One that comes back under its id may carry the open starts out, unless ``is_final``.
    """
    if not worker.ended:
        record_crash(cell, worker, reason, seen_s)
    worker.ended = True
    kept = () if is_final else list_open_starts(cell, worker, seen_s)
    mark_worker_lost(cell, worker, reason, seen_s, kept)
    worker.lease_until_ms = 0


def expire_leases(cell: Cell, confirmed_s: float) -> None:
    """Declare runs lost on workers that did not answer until their lease expired.

    ``confirmed_s`` is the send time of the last store request that showed no later
    term. Leases are judged at that time, because a later term may have extended them
    since. Its open starts may have begun runs in a later incarnation.
    """
    for worker in cell.workers.values():
        if _has_runs_to_lose(cell, worker, confirmed_s):
            kept = _find_kept_runs(cell, worker, confirmed_s)
            mark_worker_lost(cell, worker, "lease over", kept=kept)


def _has_runs_to_lose(cell: Cell, worker: Worker, now_s: float) -> bool:
    """Return whether a silent worker certainly has not some of its runs any more."""
    if not (worker.runs or worker.orphan_runs) or not worker.is_lease_expired(now_s):
        return False
    kept = _find_kept_runs(cell, worker, now_s)
    return any(key not in kept for key in (*worker.runs, *worker.orphan_runs))


def _find_kept_runs(cell: Cell, worker: Worker, now_s: float) -> t.Container[RunKey]:
    """List the runs that an incarnation after the one that reported last may have.

    Orders that are carried out late may have granted it the longest lease.
    """
    if now_s > worker.last_open_lease_s + max_hold_s(cell.timing_limits):
        return ()
    return worker.open_starts.keys()


def is_run_waited_for(cell: Cell, worker: Worker, key: RunKey, now_s: float) -> bool:
    """Return whether a silent worker may still have a run, so that its task waits."""
    if not worker.is_lease_expired(now_s):
        return True
    return key in _find_kept_runs(cell, worker, now_s)


def awaits_confirmation(cell: Cell, confirmed_s: float, now_s: float) -> bool:
    """Return whether a confirmation by the store would release runs now.

    Leases expired, or runs disappeared, since the last one at ``confirmed_s``.
    """
    return bool(cell.unconfirmed_losses) or any(
        _has_runs_to_lose(cell, worker, now_s)
        and not _has_runs_to_lose(cell, worker, confirmed_s)
        for worker in cell.workers.values()
    )


def list_expired_workers(cell: Cell, confirmed_s: float, now_s: float) -> list[Worker]:
    """List the unlisted workers on which nothing can run any more.

    One that comes back under its id holds no lease by an earlier order any more.
    """
    hold_s = max_hold_s(cell.timing_limits)
    return [
        worker
        for worker in cell.workers.values()
        if not worker.listed
        and not worker.runs
        and not worker.orphan_runs
        and worker.id not in cell.unobserved_workers
        and worker.is_lease_expired(confirmed_s)
        and confirmed_s > worker.last_open_lease_s + hold_s
        and now_s - worker.unlisted_s > UNLISTED_GRACE_S
    ]
