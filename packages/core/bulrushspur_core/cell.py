"""The cell as the log defines it: text, keys, rosters and parts of upper limits.

Folding is the same for every process: what a record is worth depends on nothing but
the records before it.
"""

import dataclasses
import typing as t

import msgspec

from bulrushspur_kernel import records as rec
from bulrushspur_kernel.messages import Member
from bulrushspur_kernel.text import Text, convert_text


class Key(msgspec.Struct, array_like=True):
    """A key that is in force; only its hash is kept."""

    team: str
    key_hash: str


class Roster(msgspec.Struct, array_like=True):
    """The entry processes that share the workers of a failure domain."""

    epoch: int = 0
    members: list[Member] = []
    voters: list[Member] = []
    settled: int = 0
    ids_not_before_s: float = 0.0


@dataclasses.dataclass
class Cell:
    """State of the fold; ``next_offset`` is the offset it has not seen yet.

    ``parts`` and ``debts`` are by team and failure domain: a debt is what a lowered
    limit took from a domain that may not have read so yet. ``moves`` counts the
    records of moved parts by their giver.
    """

    next_offset: int = 0
    version: int = 0
    text: Text | None = None
    raw_text: dict[str, t.Any] = dataclasses.field(default_factory=dict)
    keys: dict[str, Key] = dataclasses.field(default_factory=dict)
    withdrawn: dict[str, int] = dataclasses.field(default_factory=dict)
    rosters: dict[str, list[Roster]] = dataclasses.field(default_factory=dict)
    parts: dict[str, dict[str, int]] = dataclasses.field(default_factory=dict)
    debts: dict[str, dict[str, int]] = dataclasses.field(default_factory=dict)
    moves: dict[str, int] = dataclasses.field(default_factory=dict)
    outcomes: dict[str, bool] = dataclasses.field(default_factory=dict)
    changed_at: int = 0

    def roster(self, domain: str) -> Roster:
        """Return the newest roster of a failure domain."""
        rosters = self.rosters.get(domain)
        return rosters[-1] if rosters else Roster()

    def part(self, team: str, domain: str) -> int:
        """Return the part of a team's upper limit that a failure domain has."""
        return self.parts.get(team, {}).get(domain, 0)


OUTCOMES_KEPT: t.Final = 2000
WITHDRAWN_KEPT: t.Final = 2000
DEBTORS_KEPT: t.Final = 1000


def fold(cell: Cell, entry: rec.Entry) -> bool:
    """Fold one entry; tell whether its record took effect."""
    if entry.offset < cell.next_offset:
        return False
    cell.next_offset = entry.offset + 1
    record = entry.record
    took = _FOLDERS[type(record)](cell, entry.offset, record)
    if took:
        cell.changed_at = entry.offset
    if record.token:
        cell.outcomes[record.token] = took
        while len(cell.outcomes) > OUTCOMES_KEPT:
            del cell.outcomes[next(iter(cell.outcomes))]
    return took


def _fold_published(cell: Cell, offset: int, record: rec.Published) -> bool:
    if record.base != cell.version:
        return False
    parsed = convert_text(record.text)
    if parsed.is_err():
        return False
    cell.text = parsed.unwrap()
    cell.raw_text = record.text
    # Offset 0 would be no version at all.
    cell.version = offset + 1
    _split_limits(cell, cell.text)
    return True


def _fold_key_given(cell: Cell, offset: int, record: rec.KeyGiven) -> bool:
    if record.key_id in cell.keys or record.key_id in cell.withdrawn:
        return False
    cell.keys[record.key_id] = Key(record.team, record.key_hash)
    return True


def _fold_key_withdrawn(cell: Cell, offset: int, record: rec.KeyWithdrawn) -> bool:
    cell.withdrawn[record.key_id] = offset
    while len(cell.withdrawn) > WITHDRAWN_KEPT:
        del cell.withdrawn[next(iter(cell.withdrawn))]
    return cell.keys.pop(record.key_id, None) is not None


def _fold_roster(cell: Cell, offset: int, record: rec.RosterSet) -> bool:
    newest = cell.roster(record.domain)
    if record.epoch != newest.epoch + 1:
        return False
    roster = Roster(
        record.epoch,
        record.members,
        record.voters,
        max(record.settled, newest.settled),
        max(record.ids_not_before_s, newest.ids_not_before_s),
    )
    rosters = cell.rosters.setdefault(record.domain, [])
    rosters.append(roster)
    # Rosters that are settled have no say in anything any more.
    cell.rosters[record.domain] = [
        one for one in rosters if one.epoch >= roster.settled
    ]
    return True


def _fold_parts(cell: Cell, offset: int, record: rec.PartsMoved) -> bool:
    if record.epoch != cell.roster(record.giver).epoch:
        return False
    if record.sequence != cell.moves.get(record.giver, 0) + 1:
        return False
    # The first record of a sequence uses it up even if it is void, so that a copy of
    # it that lands later never takes effect.
    cell.moves[record.giver] = record.sequence
    enough = all(
        cell.part(team, record.giver) >= count > 0
        for team, count in record.parts.items()
    )
    known = cell.text is not None and any(
        one.name == record.taker for one in cell.text.domains
    )
    if not enough or not known or record.giver == record.taker:
        return False
    for team, count in record.parts.items():
        held = cell.parts[team]
        held[record.giver] -= count
        held[record.taker] = held.get(record.taker, 0) + count
    return True


def _fold_debts_paid(cell: Cell, offset: int, record: rec.DebtsPaid) -> bool:
    if record.epoch != cell.roster(record.domain).epoch:
        return False
    if record.version != cell.version:
        return False
    for team, count in record.left.items():
        debts = cell.debts.get(team, {})
        if 0 <= count < debts.get(record.domain, 0):
            debts[record.domain] = count
        if not any(debts.values()):
            cell.debts.pop(team, None)
    return True


def _fold_snapshot(cell: Cell, offset: int, record: rec.Snapshot) -> bool:
    # Only a process that missed records learns from it: see snapshots.
    return False


_FOLDERS: dict[type, t.Callable[[Cell, int, t.Any], bool]] = {
    rec.Published: _fold_published,
    rec.KeyGiven: _fold_key_given,
    rec.KeyWithdrawn: _fold_key_withdrawn,
    rec.RosterSet: _fold_roster,
    rec.PartsMoved: _fold_parts,
    rec.DebtsPaid: _fold_debts_paid,
    rec.Snapshot: _fold_snapshot,
}


def _split_limits(cell: Cell, text: Text) -> None:
    """Split each limit over the domains, near to how it was split before."""
    domains = sorted(one.name for one in text.domains)
    limits = {team.name: team.limit_tasks for team in text.teams}
    for team in sorted(limits.keys() | cell.parts.keys()):
        held = cell.parts.get(team, {})
        debts = cell.debts.pop(team, {})
        parts = {domain: held.get(domain, 0) for domain in domains}
        _split_limit(parts, debts, limits.get(team, 0))
        for domain in held.keys() - parts.keys():
            debts[domain] = debts.get(domain, 0) + held[domain]
        debts = {domain: count for domain, count in debts.items() if count}
        if debts:
            cell.debts[team] = debts
        cell.parts[team] = parts
    for team in cell.parts.keys() - limits.keys():
        del cell.parts[team]
    while len(cell.debts) > DEBTORS_KEPT:
        del cell.debts[next(iter(cell.debts))]


def _split_limit(parts: dict[str, int], debts: dict[str, int], limit: int) -> None:
    """Change parts and debts in place until the parts add up to the limit."""
    spare = limit - sum(parts.values())
    # What was taken from a domain comes back to it first: it may run it still.
    for domain in sorted(parts):
        back = min(max(spare, 0), debts.get(domain, 0))
        parts[domain] += back
        debts[domain] = debts.get(domain, 0) - back
        spare -= back
    while spare > 0:
        spare -= _raise_poorest(parts, spare)
    while spare < 0:
        spare += _lower_richest(parts, debts, -spare)


def _raise_poorest(parts: dict[str, int], spare: int) -> int:
    """Raise the smallest parts to the next larger one; return how much that took."""
    lowest = min(parts.values())
    poor = sorted(domain for domain in parts if parts[domain] == lowest)
    above = [count - lowest for count in parts.values() if count > lowest]
    step = min([spare // len(poor), *above])
    for domain in poor:
        parts[domain] += step
    if step:
        return step * len(poor)
    for domain in poor[:spare]:
        parts[domain] += 1
    return min(spare, len(poor))


def _lower_richest(parts: dict[str, int], debts: dict[str, int], excess: int) -> int:
    """Lower the largest parts to the next smaller one; return how much that took."""
    highest = max(parts.values())
    rich = sorted(domain for domain in parts if parts[domain] == highest)
    below = [highest - count for count in parts.values() if count < highest]
    step = min([excess // len(rich), *below])
    lowered = rich if step else rich[:excess]
    for domain in lowered:
        parts[domain] -= step or 1
        debts[domain] = debts.get(domain, 0) + (step or 1)
    return (step or 1) * len(lowered)
