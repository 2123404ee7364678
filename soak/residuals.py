"""Tell apart the violations that follow from starts which no bound covers.

A run that has ended, or was stopped, in one incarnation of a worker is free to start
again elsewhere. A copy of its start that is carried out late by a later incarnation
starts it once more: that incarnation knows of no end. An acknowledgement that a later
incarnation carries out late makes it forget an end. Both are known faults
(KNOWN-RED.txt) and are counted apart from all others.
"""

import dataclasses
import math
import typing as t

from oracle.observations import Observations
from oracle.rules import find_violations
from oracle.runs import Run

if t.TYPE_CHECKING:
    from soak.run import Soak

# Job, path of the task, number of the run, worker.
LogKey = tuple[str, str, int, str]


@dataclasses.dataclass
class Logged:
    """What the leaders logged; times are those of the logs."""

    ends: set[LogKey] = dataclasses.field(default_factory=set)
    # When a run was taken for lost first.
    losses: dict[LogKey, float] = dataclasses.field(default_factory=dict)
    # By worker and incarnation: when a leader learnt of it first.
    incarnations: dict[tuple[str, int], float] = dataclasses.field(default_factory=dict)


def judge(soak: "Soak") -> tuple[list[str], list[str]]:
    """Return the violations, and those that follow from known faults."""
    observations = soak.observations
    everything = [str(violation) for violation in find_violations(observations)]
    if not everything:
        return [], []
    logged = read_logged(soak)
    known = list_known_starts(observations, logged)
    runs = [
        _drop_late_note(run, logged) for run in observations.runs if run not in known
    ]
    others = dataclasses.replace(observations, runs=runs)
    violations = [str(violation) for violation in find_violations(others)]
    return violations, [row for row in everything if row not in violations]


def _drop_late_note(run: Run, logged: Logged) -> Run:
    """Return a run without its note if the leader did not know of its end.

    An acknowledgement for a former incarnation, carried out late, made the worker
    forget it: the leader took the run for lost.
    """
    if run.noted_s == math.inf or make_log_key(run) not in logged.losses:
        return run
    return dataclasses.replace(run, noted_s=math.inf)


def list_known_starts(observations: Observations, logged: Logged) -> list[Run]:
    """List the late starts of runs that an earlier incarnation had ended or stopped.

    A leader has to have known of that before it knew of the later incarnation.
    """
    starts = [run for run in observations.runs if run.is_late]
    return [
        run
        for run in starts
        if _has_ended_before(run, observations, logged)
        or _was_stopped_before(run, observations, logged)
    ]


def _has_ended_before(run: Run, observations: Observations, logged: Logged) -> bool:
    return any(
        (other.task, other.number, other.worker) == (run.task, run.number, run.worker)
        and other.incarnation < run.incarnation
        and other.outcome != "lost"
        and (other.noted_s < math.inf or make_log_key(other) in logged.ends)
        for other in observations.runs
    )


def _was_stopped_before(run: Run, observations: Observations, logged: Logged) -> bool:
    """Return whether an earlier incarnation stopped a run, and its answer counted."""
    seen_s = logged.incarnations.get((run.worker, run.incarnation), math.inf)
    lost_s = logged.losses.get(make_log_key(run), math.inf)
    if lost_s == math.inf or lost_s > seen_s:
        return False
    [(began_s, _), *_] = observations.capacities[run.worker, run.incarnation]
    return any(
        (stop.task, stop.number, stop.worker) == (run.task, run.number, run.worker)
        and stop.told_s < began_s
        for stop in observations.stops
    )


def make_log_key(run: Run) -> LogKey:
    """Return what names a run in the logs."""
    job, occurrence, step, index = run.task
    return job, f"{occurrence}.{step}.{index}", run.number, run.worker


def read_logged(soak: "Soak") -> Logged:
    """Read what the leaders logged of ends, losses and incarnations."""
    logged = Logged()
    rows = [row for entry in soak.cluster.entries for row in entry.read_log_rows()]
    for row in rows:
        if row["event"] == "end":
            logged.ends.add(_make_row_key(row))
        elif row["event"] == "run_lost":
            _keep_first(logged.losses, _make_row_key(row), row["t"])
        elif row["event"] in ("worker_restarted", "worker_reached"):
            key = row["worker"], row["incarnation_ms"]
            _keep_first(logged.incarnations, key, row["t"])
    return logged


def _make_row_key(row: dict[str, t.Any]) -> LogKey:
    return row["job"], row["task"], row["run"], row["worker"]


def _keep_first(times_s: dict[t.Any, float], key: t.Any, time_s: float) -> None:
    times_s[key] = min(times_s.get(key, math.inf), time_s)
