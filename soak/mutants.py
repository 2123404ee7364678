"""Run an entry process without one of its defences: a mutant of the product.

``python -m soak.mutants NAME SETTINGS.json`` patches functions of the scheduler, and
then runs the daemon. ``MUTANT=NAME AIM=... SEED=... make soak`` runs seeds whose entry
processes all lack the defence; the soak has to find a violation.
"""

import dataclasses
import inspect
import math
import signal
import sys
import types
import typing as t

# As the daemon does, before the imports that take long.
if __name__ == "__main__":
    signal.signal(signal.SIGHUP, signal.SIG_IGN)

from bench.processes import DAEMON_COMMAND
from bulrushspur_daemon import lifecycle, term_recovery, worker_orders
from bulrushspur_daemon.clock import monotonic_s
from bulrushspur_daemon.gateway import Gateway, Result
from bulrushspur_daemon.main import main as run_daemon
from bulrushspur_daemon.stop_schedule import StopSchedule
from bulrushspur_kernel import http_server
from bulrushspur_kernel.http_exchange import Exchange
from bulrushspur_kernel.http_refusals import make_stopping_refusal
from bulrushspur_kernel.http_server import HttpServer
from bulrushspur_scheduler import leases, reports
from bulrushspur_scheduler.cell import Cell, TimingLimits
from bulrushspur_scheduler.job_states import RunState
from bulrushspur_scheduler.jobs import Run
from bulrushspur_scheduler.leases import mark_run_lost
from bulrushspur_scheduler.orphans import await_confirmation
from bulrushspur_scheduler.runs import stop_run
from bulrushspur_scheduler.workers import Worker


def _replace(
    owner: types.ModuleType | type, name: str, function: t.Callable[..., t.Any]
) -> None:
    """Replace a function of a module, or a method of a class.

    Raises AttributeError if there is none, TypeError if it has other parameters.
    """
    replaced = inspect.signature(getattr(owner, name))
    if list(replaced.parameters) != list(inspect.signature(function).parameters):
        raise TypeError(f"{owner.__name__}.{name}{replaced} has other parameters")
    setattr(owner, name, function)


def forget_open_starts_in_silence() -> None:
    """End all runs of a silent worker with the lease that its last report bounds."""
    _replace(leases, "_find_kept_runs", lambda cell, worker, now_s: ())


def lose_unlisted_runs() -> None:
    """Take a run that a report lacks for lost, though a copy of its start is open."""

    def handle_open_start(cell: Cell, worker: Worker, run: Run, reason: str) -> None:
        if run.state is RunState.RUNNING:
            await_confirmation(cell, run.task, monotonic_s())
            mark_run_lost(cell, run, reason)
        else:
            stop_run(cell, run, reason)

    _replace(reports, "_handle_open_start", handle_open_start)


def assume_no_late_lease() -> None:
    """Assume the longest lease from when a restart is seen on, not from late orders."""

    def assume_longest_lease(
        cell: Cell, worker: Worker, clock_ms: int, read_s: float, now_s: float
    ) -> None:
        leases._assume_lease(worker, clock_ms, cell.timing_limits.max_lease_s)

    _replace(leases, "assume_longest_lease", assume_longest_lease)
    _replace(reports, "assume_longest_lease", assume_longest_lease)


def recover_after_usual_lease() -> None:
    """Let a new leader wait for the usual lease, as if no order were late."""

    def usual_hold_s(limits: TimingLimits) -> float:
        return limits.lease_s * 1.05

    _replace(term_recovery, "max_hold_s", usual_hold_s)


def believe_any_stop_answer() -> None:
    """Count the answer to a stop, whichever incarnation the worker is known to be."""
    _replace(
        worker_orders, "is_still_present", lambda worker, incarnation_start_ms: True
    )


def _limit_no_request_at_a_stop() -> None:
    """Handle requests of a process that stops as any others."""
    _replace(Gateway, "begin_stop", lambda self, schedule: None)


def wait_for_requests_without_limit() -> None:
    """Refuse nothing at a stop, and wait until callers have no connection any more."""
    _limit_no_request_at_a_stop()

    def make_endless_schedule(
        grace_s: float, now_s: float, max_drain_s: float = math.inf
    ) -> StopSchedule:
        return StopSchedule(now_s, math.inf, math.inf)

    _replace(lifecycle, "make_stop_schedule", make_endless_schedule)


def cut_requests_at_a_stop() -> None:
    """Refuse nothing at a stop, and cut what is under way at its end."""
    _limit_no_request_at_a_stop()
    _replace(HttpServer, "_end_requests", lambda self: None)


def drop_pipelined_requests() -> None:
    """Close a connection after the next response, whatever was received behind it."""
    _replace(Exchange, "has_next_request", lambda self: False)


def deny_interrupted_requests() -> None:
    """Say that a submission has not run when it was passed on and got no reply."""
    _replace(http_server, "make_interrupted_refusal", make_stopping_refusal)
    ask_leader = Gateway._ask_leader

    async def deny(
        self: Gateway,
        operation: str,
        make_request: t.Callable[[int], t.Any],
        deadline_s: float,
    ) -> Result:
        result = await ask_leader(self, operation, make_request, deadline_s)
        is_denied = self.stop_schedule is not None and result.outcome == "in_doubt"
        return dataclasses.replace(result, outcome="stopping") if is_denied else result

    _replace(Gateway, "_ask_leader", deny)


MUTANTS: t.Final = {
    "R1": forget_open_starts_in_silence,
    "R2": lose_unlisted_runs,
    "R3": assume_no_late_lease,
    "R4": recover_after_usual_lease,
    "R7": believe_any_stop_answer,
    "S1": wait_for_requests_without_limit,
    "S2": cut_requests_at_a_stop,
    "S3": deny_interrupted_requests,
    "S4": drop_pipelined_requests,
}


def make_daemon_command(mutant: str) -> tuple[str, ...]:
    """Return the command of an entry process, of a mutant if one is named."""
    if not mutant:
        return DAEMON_COMMAND
    return (sys.executable, "-m", "soak.mutants", mutant)


def main() -> None:
    """Run the mutant of the first argument with the settings of the second."""
    name = sys.argv.pop(1)
    MUTANTS[name]()
    run_daemon()


if __name__ == "__main__":
    main()
