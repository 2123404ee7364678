"""Figures of runs of the policy: waits, shares, packing, refusals, predictions."""

import typing as t

from bench.arrivals import Deployment
from bench.policy_cell import Fate, Run
from bulrushspur_kernel.errors import ErrorKind
from bulrushspur_kernel.work import Policy, Size

FULL_PART: t.Final = 0.95
SAMPLES_A_SECOND: t.Final = 4
NEAR_PART: t.Final = 0.25
NEAR_S: t.Final = 0.1
FALSE_PART: t.Final = 0.1


def percentile(values: list[float], part: float) -> float:
    """Return the value that ``part`` of all do not exceed; 0 of none."""
    if not values:
        return 0.0
    ordered = sorted(values)
    return ordered[min(int(len(ordered) * part), len(ordered) - 1)]


def waits_of(
    run: Run,
    size: Size | None = None,
    team: str | None = None,
    policy: Policy | None = None,
    from_s: float = 0.0,
) -> list[float]:
    """List the waits from submission to start, in seconds."""
    return [
        fate.started_s - fate.job.at_s
        for fate in run.fates
        if fate.started_s is not None
        and fate.job.at_s >= from_s
        and (size is None or fate.job.kind.size is size)
        and (team is None or fate.job.team == team)
        and (policy is None or fate.job.policy is policy)
    ]


def share_error_percent(cell: Deployment, run: Run, window_s: float) -> float | None:
    """Return the largest deviation of a team from its share in full windows.

    Only teams count that had waiting work all through a window; what the others used
    is taken off the cell first. None where no window was full.
    """
    length = int(window_s * SAMPLES_A_SECOND)
    worst = None
    for first in range(0, len(run.samples) - length + 1, length):
        window = run.samples[first : first + length]
        used = {
            team: sum(one.used.get(team, 0) for one in window) / length
            for team in cell.shares
        }
        waiting = [
            team
            for team in cell.shares
            if all(one.queued.get(team, 0) > 0 for one in window)
        ]
        if sum(used.values()) < FULL_PART * cell.slots or len(waiting) < 2:
            continue
        left = sum(used[team] for team in waiting)
        weight = sum(cell.shares[team] for team in waiting)
        for team in waiting:
            due = left * cell.shares[team] / weight
            error = 100 * abs(used[team] - due) / cell.slots
            worst = error if worst is None else max(worst, error)
    return worst


def packing_percent(run: Run, ideal: Run, from_s: float) -> float:
    """Compare the slots in use to those of the ideal packing."""

    def mean(one: Run) -> float:
        rows = [sum(s.used.values()) for s in one.samples if s.at_s >= from_s]
        return sum(rows) / max(len(rows), 1)

    return 100 * mean(run) / max(mean(ideal), 1e-9)


_CHANCES: t.Final = (
    ErrorKind.QUEUE_FULL,
    ErrorKind.DEADLINE_UNREACHABLE,
    ErrorKind.NEVER_FITS,
    ErrorKind.NO_OWNER,
)


def false_refusals(run: Run, ideal: Run) -> int:
    """Count refusals of what the ideal queue finished well inside its deadline."""
    ended = {fate.job.number: fate.ended_s for fate in ideal.fates}
    rv = 0
    for fate in run.fates:
        if fate.refusal is None or fate.refusal.kind not in _CHANCES:
            continue
        ended_s = ended[fate.job.number]
        bound_s = fate.job.at_s + (1 - FALSE_PART) * fate.job.kind.deadline_s
        rv += ended_s is not None and ended_s < bound_s
    return rv


def refusals_by_kind(run: Run) -> dict[str, int]:
    """Count refusals by kind."""
    rv: dict[str, int] = {}
    for fate in run.fates:
        if fate.refusal is not None:
            rv[fate.refusal.kind.value] = rv.get(fate.refusal.kind.value, 0) + 1
    return rv


def predictions(run: Run) -> tuple[int, int]:
    """Count the callers told a wait, and those of them that were told it well."""
    told = [
        fate for fate in run.fates
        if fate.told_s is not None and fate.started_s is not None
    ]  # fmt: skip
    return len(told), sum(_is_near(fate) for fate in told)


def _is_near(fate: Fate) -> bool:
    assert fate.started_s is not None and fate.told_s is not None
    true_s = max(fate.started_s - fate.told_s, 0.0)
    return abs(true_s - fate.predicted_s) <= max(NEAR_PART * true_s, NEAR_S)
