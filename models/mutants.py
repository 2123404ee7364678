"""Mutants of a protocol: a search of one ends as soon as its invariant is broken."""

import dataclasses
import typing as t

import minicheck

State = tuple[t.Any, ...]
Step = tuple[str, State]


def stop_when_broken(
    protocol: minicheck.Protocol, invariant: str
) -> minicheck.Protocol:
    """Make a protocol that goes no further once a state breaks an invariant.

    The search is breadth first, so the trace is the shortest all the same.
    """
    holds = protocol.invariants[invariant]
    broken: list[State] = []

    def transitions(state: State) -> list[Step]:
        if broken:
            return []
        rows = protocol.transitions(state)
        broken.extend(new for _, new in rows if not holds(protocol.d(new)))
        return rows

    kept = {invariant: holds}
    return dataclasses.replace(protocol, transitions=transitions, invariants=kept)


def make_mutants(
    make_protocol: t.Callable[[str], minicheck.Protocol], breaks: dict[str, list[str]]
) -> dict[str, tuple[minicheck.Protocol, str]]:
    """Make the mutants of a protocol, given by the invariant that each must break."""
    return {
        f"{name} / {invariant}": (
            stop_when_broken(make_protocol(name), invariant),
            invariant,
        )
        for invariant, names in breaks.items()
        for name in names
    }
