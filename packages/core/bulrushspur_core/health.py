"""Sets workers apart that fail everything, and tries them again carefully.

A failure weighs as much as the same kind of work succeeds on other workers: a job that
fails everywhere condemns nobody. A worker is tried again with one task at a time, after
a time that doubles with each relapse.
"""

import dataclasses
import typing as t

from bulrushspur_core.node import Node, register_state
from bulrushspur_core.workers import Workers, WorkerView
from bulrushspur_kernel.work import Work

SUSPECT_AT: t.Final = 2.5
UNPROVEN_WEIGHT: t.Final = 0.5
UNPROVEN_AT_MOST: t.Final = 1.5
TRIAL_SUSPICION: t.Final = 2.0
APART_S: t.Final = 5.0
APART_AT_MOST_S: t.Final = 300.0
KINDS_KEPT: t.Final = 500


@dataclasses.dataclass(slots=True)
class WorkerHealth:
    """How suspect a worker is, and how often it was set apart in a row."""

    suspicion: float = 0.0
    times_apart: int = 0
    on_trial: bool = False


@dataclasses.dataclass
class Health:
    """Health by worker, and the last outcome of each kind by worker."""

    workers: dict[str, WorkerHealth] = dataclasses.field(default_factory=dict)
    kinds: dict[tuple[str, str], dict[str, bool]] = dataclasses.field(
        default_factory=dict
    )


@register_state(Health)
def make_health(node: Node) -> Health:
    """Make the state of an owner that suspects nobody."""
    return Health()


def may_take(node: Node, view: WorkerView, now_s: float) -> bool:
    """Tell whether a worker is trusted with one more task."""
    if view.set_apart_until_s > now_s:
        return False
    health = node.state(Health).workers.get(view.vm.name)
    return health is None or not health.on_trial or not view.tasks


def note_success(node: Node, worker: str, work: Work) -> None:
    """Trust a worker again."""
    _outcomes(node, work)[worker] = True
    node.state(Health).workers.pop(worker, None)


def note_failure(node: Node, view: WorkerView, work: Work | None, now_s: float) -> None:
    """Suspect a worker, or set it apart; without ``work`` the worker alone failed."""
    state = node.state(Health)
    worker = view.vm.name
    health = state.workers.setdefault(worker, WorkerHealth())
    if work is None:
        health.suspicion += 1.0
    else:
        weight, at_most = _weigh(node, worker, work)
        if health.suspicion < at_most:
            health.suspicion = min(health.suspicion + weight, at_most)
    if health.suspicion >= SUSPECT_AT and view.set_apart_until_s <= now_s:
        _set_apart(node, view, health, now_s)


def _weigh(node: Node, worker: str, work: Work) -> tuple[float, float]:
    outcomes = _outcomes(node, work)
    outcomes[worker] = False
    others = [well for name, well in outcomes.items() if name != worker]
    if not others:
        return UNPROVEN_WEIGHT, UNPROVEN_AT_MOST
    weight = sum(others) / len(others)
    return weight, float("inf") if weight else UNPROVEN_AT_MOST


def _set_apart(
    node: Node, view: WorkerView, health: WorkerHealth, now_s: float
) -> None:
    views = [one for one in node.state(Workers).views.values() if one.owned]
    apart = sum(one.set_apart_until_s > now_s for one in views)
    # Where most fail the fault is not theirs.
    if 2 * (apart + 1) > max(len(views), 2):
        return
    apart_s = min(APART_S * 2**health.times_apart, APART_AT_MOST_S)
    view.set_apart_until_s = now_s + apart_s
    health.times_apart += 1
    health.suspicion = TRIAL_SUSPICION
    health.on_trial = True
    node.metrics.count("workers.set_apart")


def _outcomes(node: Node, work: Work) -> dict[str, bool]:
    kinds = node.state(Health).kinds
    key = (work.service, work.kind)
    outcomes = kinds.get(key)
    if outcomes is None:
        while len(kinds) >= KINDS_KEPT:
            del kinds[next(iter(kinds))]
        outcomes = kinds[key] = {}
    return outcomes
