"""What this process may do in its failure domain by the newest roster."""

from bulrushspur_core.cell import Roster
from bulrushspur_core.log_reader import cell_of
from bulrushspur_core.node import Node
from bulrushspur_core.promises import lease_until_s
from bulrushspur_core.takeover import settled_epoch
from bulrushspur_kernel.messages import Member


def own_roster(node: Node) -> Roster | None:
    """Return the newest roster of this failure domain, if this process is in it."""
    roster = cell_of(node).roster(node.me.domain)
    return roster if node.me.member in roster.members else None


def holds_lease(node: Node, now_s: float) -> bool:
    """Tell whether this process has authority under the newest roster now."""
    roster = own_roster(node)
    return roster is not None and now_s < lease_until_s(node, roster.epoch)


def are_older_epochs_over(node: Node, now_s: float) -> bool:
    """Tell whether nobody has authority under an older roster any more."""
    roster = own_roster(node)
    return roster is not None and settled_epoch(node, now_s) >= roster.epoch - 1


def limit_holder(node: Node) -> Member | None:
    """Name the limit holder of this failure domain: the first member of its roster."""
    members = cell_of(node).roster(node.me.domain).members
    return members[0] if members else None


def is_limit_holder(node: Node) -> bool:
    """Tell whether this process is the limit holder of its domain."""
    return limit_holder(node) == node.me.member
