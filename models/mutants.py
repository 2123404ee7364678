"""Mutants of a protocol: a search of one ends as soon as its invariant is broken."""

import dataclasses
import typing as t

import minicheck

State = tuple[t.Any, ...]
Transition = tuple[str, State]


def stop_at_violation(
    protocol: minicheck.Protocol, invariant: str
) -> minicheck.Protocol:
    """Make a protocol that goes no further once a state breaks an invariant.

    The search is breadth first, so the trace is the shortest all the same.
    """
    holds = protocol.invariants[invariant]
    broken: list[State] = []

    def transitions(state: State) -> list[Transition]:
        if broken:
            return []
        rows = protocol.transitions(state)
        broken.extend(new for _, new in rows if not holds(protocol.d(new)))
        return rows

    kept = {invariant: holds}
    return dataclasses.replace(protocol, transitions=transitions, invariants=kept)


def make_mutants(
    make_protocol: t.Callable[[str], minicheck.Protocol],
    mutants_by_invariant: dict[str, list[str]],
) -> dict[str, tuple[minicheck.Protocol, str]]:
    """Make the mutants of a protocol, given by the invariant that each must break."""
    return {
        f"{name} / {invariant}": (
            stop_at_violation(make_protocol(name), invariant),
            invariant,
        )
        for invariant, names in mutants_by_invariant.items()
        for name in names
    }
