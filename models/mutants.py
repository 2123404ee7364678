"""Make mutants of a protocol, to show that its invariants detect known faults.

Takes a factory of protocols and, for each invariant, the names of the mutants that must
violate it. Returns protocols that check this invariant alone and whose search ends at
the first violation.
"""

import dataclasses
import typing as t

import minicheck

State = tuple[t.Any, ...]
Transition = tuple[str, State]


def stop_at_violation(
    protocol: minicheck.Protocol, invariant: str
) -> minicheck.Protocol:
    """Make a protocol with one invariant whose search ends at its first violation.

    The search is breadth first, so the counterexample is still the shortest one.
    """
    holds = protocol.invariants[invariant]
    violations: list[State] = []

    def transitions(state: State) -> list[Transition]:
        if violations:
            return []
        successors = protocol.transitions(state)
        violations.extend(
            successor for _, successor in successors if not holds(protocol.d(successor))
        )
        return successors

    invariants = {invariant: holds}
    return dataclasses.replace(protocol, transitions=transitions, invariants=invariants)


def make_mutants(
    make_protocol: t.Callable[[str], minicheck.Protocol],
    mutants_by_invariant: dict[str, list[str]],
) -> dict[str, tuple[minicheck.Protocol, str]]:
    """Make mutants; the result has each with the invariant that it must violate.

    The key is the name of the mutant and the invariant.
    """
    return {
        f"{name} / {invariant}": (
            stop_at_violation(make_protocol(name), invariant),
            invariant,
        )
        for invariant, names in mutants_by_invariant.items()
        for name in names
    }
