"""Tells which owners have a worker that could ever hold a room.

Everybody knows the listed workers and the rosters, so everybody can work out who owns
which worker. Most rooms fit all workers; then nothing is worked out.
"""

import dataclasses

from bulrushspur_core.hashing import choose
from bulrushspur_core.log_reader import cell_of
from bulrushspur_core.node import Node, register_state
from bulrushspur_core.workers import Workers
from bulrushspur_kernel.work import Room, Vm


@dataclasses.dataclass
class Capable:
    """Owners by the room of their workers, worked out from a list of VMs."""

    listed: dict[str, Vm] = dataclasses.field(default_factory=dict)
    epochs: dict[str, int] = dataclasses.field(default_factory=dict)
    owner_of: dict[str, str] = dataclasses.field(default_factory=dict)
    owners: dict[Room, set[str]] = dataclasses.field(default_factory=dict)


@register_state(Capable)
def make_capable(node: Node) -> Capable:
    """Make the state of a process that knows no list."""
    return Capable()


def capable_owners(node: Node, room: Room) -> set[str] | None:
    """Name the owners with a worker as large as a room; None where all have one."""
    capable = node.state(Capable)
    _update(node, capable)
    fitting = [one for one in capable.owners if one.holds(room)]
    if len(fitting) == len(capable.owners):
        return None
    rv: set[str] = set()
    for one in fitting:
        rv |= capable.owners[one]
    return rv


def _update(node: Node, capable: Capable) -> None:
    listed = node.state(Workers).listed
    cell = cell_of(node)
    epochs = {domain: rosters[-1].epoch for domain, rosters in cell.rosters.items()}
    if listed is capable.listed and epochs == capable.epochs:
        return
    changed = {one for one in epochs if capable.epochs.get(one) != epochs[one]}
    old = {} if changed else capable.owner_of
    capable.listed, capable.epochs = listed, epochs
    capable.owner_of, capable.owners = {}, {}
    for vm in listed.values():
        if vm.role != "worker" or vm.leaving:
            continue
        name = old.get(vm.name)
        if name is None:
            members = cell.roster(vm.domain).members
            name = choose((one.name for one in members), vm.name) or ""
        capable.owner_of[vm.name] = name
        capable.owners.setdefault(vm.room, set()).add(name)
