"""The budget of retries, so that a fault does not multiply its load.

Each first attempt of a team earns a part of a retry; each retry costs one.
"""

import dataclasses
import typing as t

from bulrushspur_core.node import Node, register_state
from bulrushspur_kernel.work import Work

ATTEMPTS_AT_MOST: t.Final = 3
EARNED: t.Final = 0.125
SAVED_AT_FIRST: t.Final = 10.0
SAVED_AT_MOST: t.Final = 100.0


@dataclasses.dataclass
class Retries:
    """Retries that each team may still make."""

    saved: dict[str, float] = dataclasses.field(default_factory=dict)


@register_state(Retries)
def make_retries(node: Node) -> Retries:
    """Make the state of a door that has retried nothing."""
    return Retries()


def note_first_attempt(node: Node, work: Work) -> None:
    """Earn a part of a retry."""
    saved = node.state(Retries).saved
    now = saved.get(work.team, SAVED_AT_FIRST)
    saved[work.team] = min(now + EARNED, SAVED_AT_MOST)


def may_retry(node: Node, work: Work, attempts: int, now_s: float) -> bool:
    """Tell whether work that was tried ``attempts`` times may be tried again."""
    if attempts >= ATTEMPTS_AT_MOST:
        return False
    saved = node.state(Retries).saved
    left = saved.get(work.team, SAVED_AT_FIRST)
    if left < 1:
        node.metrics.count("retries.refused")
        return False
    saved[work.team] = left - 1
    return True
