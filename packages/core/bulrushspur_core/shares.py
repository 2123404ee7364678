"""Shares of teams when the cell is full: weighted dominant share.

The use of a team is the largest part that it has of any one resource of the workers
that this process owns, divided by its share of the text. Its score adds to this the
same use over the last seconds, with a decay. The team with the lowest score goes first.
A team that comes back starts level with those that wait: it gets what it is owed from
now on, not what it left unused.
"""

import dataclasses
import math
import typing as t

from bulrushspur_core import events
from bulrushspur_core.log_reader import cell_of
from bulrushspur_core.node import Node, on, register_state
from bulrushspur_kernel.work import Room

MEMORY_S: t.Final = 5.0
NOW_S: t.Final = 2.0
LIGHT_SLOTS: t.Final = 2
SMALLEST_SHARE: t.Final = 1e-3
SMALLEST_SCORE: t.Final = 1e-9


@dataclasses.dataclass(slots=True)
class TeamUse:
    """What a team uses now, and its decayed use in the past (seconds)."""

    weight: float = SMALLEST_SHARE
    slots: float = 0.0
    cores: float = 0.0
    memory_mb: float = 0.0
    accelerators: float = 0.0
    light_slots: int = 0
    use: float = 0.0
    past_s: float = 0.0
    at_s: float = 0.0


@dataclasses.dataclass
class Shares:
    """Use of each team, and the room of all workers that are owned."""

    teams: dict[str, TeamUse] = dataclasses.field(default_factory=dict)
    total: Room = dataclasses.field(default_factory=Room)
    weights: float = 0.0
    level_s: float = 0.0
    level_at_s: float = 0.0


@register_state(Shares)
def make_shares(node: Node) -> Shares:
    """Make the state of a process on whose workers nothing runs."""
    return Shares()


@on(events.TextChanged)
def on_text_changed(node: Node, event: events.TextChanged, now_s: float) -> None:
    """Take over the shares of the text."""
    shares = node.state(Shares)
    shares.weights = 0.0
    for name, team in shares.teams.items():
        _decay(team, now_s)
        team.weight = weight_of(node, name)


def weight_of(node: Node, name: str) -> float:
    """Look up the share of a team."""
    text = cell_of(node).text
    teams = text.teams if text is not None else ()
    share = next((one.share for one in teams if one.name == name), 0.0)
    return max(share, SMALLEST_SHARE)


def find_team(node: Node, name: str, now_s: float) -> TeamUse:
    """Return the use of a team."""
    teams = node.state(Shares).teams
    team = teams.get(name)
    if team is None:
        team = teams[name] = TeamUse(weight_of(node, name), at_s=now_s)
    return team


def add_light(node: Node, name: str, slots: int, now_s: float) -> None:
    """Count slots that small work of a team takes, or frees (below 0)."""
    find_team(node, name, now_s).light_slots += slots


def may_pass(node: Node, name: str, now_s: float) -> bool:
    """Tell whether small work of a team may pass all others.

    It may while the small work alone has no more slots than the share of the team, or
    one: what it takes is charged to the team all the same.
    """
    shares = node.state(Shares)
    if not shares.weights:
        text = cell_of(node).text
        shares.weights = sum(one.share for one in text.teams) if text else 1.0
    team = find_team(node, name, now_s)
    due = team.weight / shares.weights * shares.total.slots
    return team.light_slots < max(due, LIGHT_SLOTS)


def set_total(node: Node, total: Room, now_s: float) -> None:
    """Set the room that shares are parts of."""
    shares = node.state(Shares)
    if total == shares.total:
        return
    shares.total = total
    for team in shares.teams.values():
        _decay(team, now_s)
        team.use = _dominant(team, total)


def add_use(node: Node, name: str, room: Room, sign: int, now_s: float) -> None:
    """Count room that a task of a team takes (1) or frees (-1)."""
    team = find_team(node, name, now_s)
    _decay(team, now_s)
    team.slots += sign * room.slots
    team.cores += sign * room.cores
    team.memory_mb += sign * room.memory_mb
    team.accelerators += sign * room.accelerators
    team.use = _dominant(team, node.state(Shares).total)


def score(team: TeamUse, now_s: float) -> float:
    """Score a team: the lower, the more it is owed."""
    _decay(team, now_s)
    return (team.use * NOW_S + team.past_s) / team.weight


def rank_key(team: TeamUse, now_s: float) -> float:
    """Score a team so that the key of an unchanged team never falls with time."""
    return math.log(max(score(team, now_s), SMALLEST_SCORE)) + now_s / MEMORY_S


def note_served(node: Node, team: TeamUse, now_s: float) -> None:
    """Note the past use of the team that goes first among those that wait."""
    shares = node.state(Shares)
    shares.level_s = team.past_s / team.weight
    shares.level_at_s = now_s


def start_level(node: Node, name: str, now_s: float) -> None:
    """Level a team that begins to wait with those that have waited before it."""
    shares = node.state(Shares)
    team = find_team(node, name, now_s)
    _decay(team, now_s)
    level_s = shares.level_s * math.exp((shares.level_at_s - now_s) / MEMORY_S)
    team.past_s = max(team.past_s, level_s * team.weight)


def _decay(team: TeamUse, now_s: float) -> None:
    passed_s = now_s - team.at_s
    if passed_s <= 0:
        return
    kept = math.exp(-passed_s / MEMORY_S)
    team.past_s = team.past_s * kept + team.use * MEMORY_S * (1 - kept)
    team.at_s = now_s


def _dominant(team: TeamUse, total: Room) -> float:
    return max(
        team.slots / total.slots if total.slots else 0.0,
        team.cores / total.cores if total.cores else 0.0,
        team.memory_mb / total.memory_mb if total.memory_mb else 0.0,
        team.accelerators / total.accelerators if total.accelerators else 0.0,
        0.0,
    )
