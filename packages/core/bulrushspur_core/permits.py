"""The limit holder of a failure domain: deals permits to the owners of its workers.

What an owner may hold is what it reported last and every grant since that its report
does not cover. A new holder deals nothing before each member has reported under the
new epoch with all its workers taken over: the tasks of the dead are counted by then.
"""

import dataclasses
import typing as t

from bulrushspur_core import events
from bulrushspur_core.debts import pay_debts, usable_part
from bulrushspur_core.log_reader import cell_of
from bulrushspur_core.node import Node, every, on, register_state
from bulrushspur_core.parts_reserved import reserved
from bulrushspur_core.roles import is_limit_holder, own_roster
from bulrushspur_kernel import messages as msg

LOOK_S: t.Final = 0.5
ASK_KEPT_S: t.Final = 2.0
RECALL_S: t.Final = 0.3
CONFIRM_S: t.Final = 1.5
SLACK_RATIO: t.Final = 4


@dataclasses.dataclass
class Account:
    """What one owner holds and asks for; times are monotonic.

    ``granted`` has the grants that its last report does not cover, by sequence, and
    ``on_the_way`` their sums by team.
    """

    held: dict[str, int] = dataclasses.field(default_factory=dict)
    report_sequence: int = 0
    settled: bool = False
    sequence: int = 0
    granted: dict[int, dict[str, int]] = dataclasses.field(default_factory=dict)
    granted_s: float = 0.0
    on_the_way: dict[str, int] = dataclasses.field(default_factory=dict)
    asked: dict[str, tuple[int, float]] = dataclasses.field(default_factory=dict)

    def holds(self, team: str) -> int:
        """Give the most that this owner may hold."""
        return self.held.get(team, 0) + self.on_the_way.get(team, 0)


@dataclasses.dataclass
class Dealer:
    """Accounts of the members of the newest roster, and recalls of idle permits."""

    epoch: int = 0
    accounts: dict[msg.Member, Account] = dataclasses.field(default_factory=dict)
    recalled_s: dict[str, float] = dataclasses.field(default_factory=dict)


@register_state(Dealer)
def make_dealer(node: Node) -> Dealer:
    """Make the state of a process that has dealt nothing."""
    return Dealer()


def dealer_of(node: Node) -> Dealer | None:
    """Return the accounts of the newest epoch where this process is its holder."""
    if not is_limit_holder(node):
        return None
    dealer = node.state(Dealer)
    epoch = cell_of(node).roster(node.me.domain).epoch
    if dealer.epoch != epoch:
        dealer.epoch = epoch
        dealer.accounts = {}
    return dealer


def is_ready(node: Node, dealer: Dealer) -> bool:
    """Tell whether every member has told all that it holds."""
    roster = own_roster(node)
    return roster is not None and all(
        one in dealer.accounts and dealer.accounts[one].settled
        for one in roster.members
    )


def dealt(dealer: Dealer, team: str) -> int:
    """Sum up the most that all owners may hold of a team."""
    return sum(one.holds(team) for one in dealer.accounts.values())


def free(node: Node, dealer: Dealer, team: str) -> int:
    """Tell how many permits of a team nobody holds; negative after a lowered limit."""
    part = usable_part(cell_of(node), team, node.me.domain)
    return part - reserved(node, team) - dealt(dealer, team)


def _above(node: Node, dealer: Dealer, team: str) -> int:
    """Tell how many permits of a team are held above the whole part."""
    part = cell_of(node).part(team, node.me.domain)
    return dealt(dealer, team) + reserved(node, team) - part


def unmet(dealer: Dealer) -> dict[str, int]:
    """Sum up what owners ask for and did not get, by team."""
    rv: dict[str, int] = {}
    for account in dealer.accounts.values():
        for team, (count, _) in account.asked.items():
            rv[team] = rv.get(team, 0) + count
    return rv


@on(msg.PermitRequest)
def on_permit_request(
    node: Node, sender: msg.Member, message: msg.PermitRequest, now_s: float
) -> None:
    """Grant what is free, and recall what is idle elsewhere."""
    dealer = dealer_of(node)
    account = _account(node, dealer, sender, message.epoch)
    if dealer is None or account is None:
        return
    for team, count in message.wanted.items():
        account.asked[team] = (count, now_s + ASK_KEPT_S)
    deal(node, list(message.wanted), now_s)


def _account(
    node: Node, dealer: Dealer | None, sender: msg.Member, epoch: int
) -> Account | None:
    roster = own_roster(node)
    if dealer is None or roster is None or epoch != dealer.epoch:
        return None
    if sender not in roster.members:
        return None
    return dealer.accounts.setdefault(sender, Account())


def deal(node: Node, teams: t.Iterable[str], now_s: float) -> None:
    """Grant what is free of some teams to the owners that ask for it."""
    dealer = dealer_of(node)
    if dealer is None or not is_ready(node, dealer):
        return
    grants: dict[msg.Member, dict[str, int]] = {}
    short: dict[str, int] = {}
    for team in teams:
        missing = _share_out(node, dealer, team, grants)
        if missing:
            short[team] = missing
    for member, granted in grants.items():
        _grant(node, member, dealer.accounts[member], granted, now_s)
    recall_idle(node, dealer, short, now_s)


def _share_out(
    node: Node,
    dealer: Dealer,
    team: str,
    grants: dict[msg.Member, dict[str, int]],
) -> int:
    """Add to grants what each asker gets of a team; return how much is missing."""
    askers = sorted(
        (account.asked[team][0], member.name, member)
        for member, account in dealer.accounts.items()
        if team in account.asked
    )
    spare = max(free(node, dealer, team), 0)
    missing = 0
    for i, (count, _, member) in enumerate(askers):
        # The small ones first: what they leave is there for the large ones.
        given = min(count, -(-spare // (len(askers) - i)))
        spare -= given
        missing += count - given
        asked = dealer.accounts[member].asked
        until_s = asked.pop(team)[1]
        if given < count:
            asked[team] = (count - given, until_s)
        if given:
            grants.setdefault(member, {})[team] = given
    if not missing and askers:
        _add_slack(dealer, team, spare, grants)
    return missing


def _add_slack(
    dealer: Dealer,
    team: str,
    spare: int,
    grants: dict[msg.Member, dict[str, int]],
) -> None:
    """Grant somewhat more than was asked, for the next start is likely soon."""
    share = spare // SLACK_RATIO // len(dealer.accounts)
    for granted in grants.values():
        if team in granted:
            granted[team] += min(share, granted[team])


def _grant(
    node: Node,
    member: msg.Member,
    account: Account,
    granted: dict[str, int],
    now_s: float,
) -> None:
    account.sequence += 1
    if not account.granted:
        account.granted_s = now_s
    account.granted[account.sequence] = granted
    for team, count in granted.items():
        account.on_the_way[team] = account.on_the_way.get(team, 0) + count
    epoch = node.state(Dealer).epoch
    version = cell_of(node).version
    grant = msg.PermitGrant(epoch, account.sequence, granted, version)
    node.send(member.name, grant)


def recall_idle(
    node: Node, dealer: Dealer, short: dict[str, int], now_s: float
) -> None:
    """Ask the owners that hold permits of teams for those they do not use."""
    due = {
        team: count
        for team, count in short.items()
        if now_s - dealer.recalled_s.get(team, float("-inf")) >= RECALL_S
    }
    for team in due:
        dealer.recalled_s[team] = now_s
    for member, account in dealer.accounts.items():
        teams = {
            team: count
            for team, count in due.items()
            if account.holds(team) and team not in account.asked
        }
        if teams:
            node.send(member.name, msg.PermitRecall(dealer.epoch, teams))


@on(msg.PermitReport)
def on_permit_report(
    node: Node, sender: msg.Member, message: msg.PermitReport, now_s: float
) -> None:
    """Replace what an owner was known to hold."""
    dealer = dealer_of(node)
    account = _account(node, dealer, sender, message.epoch)
    if account is None or message.sequence <= account.report_sequence:
        return
    account.report_sequence = message.sequence
    account.held = message.held
    account.settled = account.settled or message.settled
    covered = [one for one in account.granted if one <= message.grant_sequence]
    for sequence in covered:
        for team, count in account.granted.pop(sequence).items():
            account.on_the_way[team] -= count
            if not account.on_the_way[team]:
                del account.on_the_way[team]
    if covered:
        account.granted_s = now_s
    if dealer is not None:
        deal(node, list(unmet(dealer)), now_s)


@on(events.PartsChanged)
@on(events.TextChanged)
def on_parts_changed(node: Node, event: t.Any, now_s: float) -> None:
    """Deal what the log brought."""
    dealer = dealer_of(node)
    if dealer is not None:
        deal(node, list(unmet(dealer)), now_s)


@every(LOOK_S)
def look_after_accounts(node: Node, now_s: float) -> None:
    """Forget old requests, replace lost grants, and call back what is too much."""
    dealer = dealer_of(node)
    if dealer is None:
        return
    for member, account in dealer.accounts.items():
        for team in [k for k, (_, until_s) in account.asked.items() if until_s < now_s]:
            del account.asked[team]
        if account.granted and now_s - account.granted_s > CONFIRM_S:
            # A later grant, if an empty one, makes what was lost be counted no more.
            account.granted_s = now_s
            _grant(node, member, account, {}, now_s)
            account.granted_s = now_s
    if is_ready(node, dealer):
        _recall_excess(node, dealer)
        pay_debts(node, lambda team: dealt(dealer, team) + reserved(node, team), now_s)


def _recall_excess(node: Node, dealer: Dealer) -> None:
    teams = {team for one in dealer.accounts.values() for team in one.held}
    recalls: dict[msg.Member, dict[str, int]] = {}
    for team in sorted(teams):
        over = _above(node, dealer, team)
        holders = sorted(
            dealer.accounts, key=lambda one: -dealer.accounts[one].held.get(team, 0)
        )
        for member in holders:
            count = min(over, dealer.accounts[member].held.get(team, 0))
            if count > 0:
                recalls.setdefault(member, {})[team] = count
                over -= count
    for member, counts in recalls.items():
        node.send(member.name, msg.PermitRecall(dealer.epoch, counts, True))
