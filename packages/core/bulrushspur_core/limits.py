"""Upper limits of teams.

Thin first form: each process counts its own. docs/DESIGN.md has the protocol of parts
and permits that replaces this.
"""

import dataclasses

from bulrushspur_core.log_reader import cell_of
from bulrushspur_core.node import Node, register_state


@dataclasses.dataclass
class Limits:
    """Permits that are taken, by team."""

    taken: dict[str, int] = dataclasses.field(default_factory=dict)


@register_state(Limits)
def make_limits(node: Node) -> Limits:
    """Make the state of a process that holds nothing."""
    return Limits()


def available(node: Node, team: str) -> int:
    """Tell how many more tasks of a team this process may start now."""
    text = cell_of(node).text
    if text is None:
        return 0
    limit = next((one.limit_tasks for one in text.teams if one.name == team), 0)
    return max(limit - node.state(Limits).taken.get(team, 0), 0)


def want(node: Node, team: str, count: int, now_s: float) -> None:
    """Tell that work of a team waits for ``count`` permits."""


def take(node: Node, team: str, count: int, now_s: float) -> bool:
    """Take permits for tasks to be started, or none."""
    if available(node, team) < count:
        return False
    taken = node.state(Limits).taken
    taken[team] = taken.get(team, 0) + count
    return True


def adopt(node: Node, team: str, count: int, now_s: float) -> None:
    """Count tasks that run already, found when a worker was taken over."""
    taken = node.state(Limits).taken
    taken[team] = taken.get(team, 0) + count


def give_back(node: Node, team: str, count: int, now_s: float) -> None:
    """Give back the permits of tasks that have ended."""
    taken = node.state(Limits).taken
    taken[team] = max(taken.get(team, 0) - count, 0)
