"""Judge observations by all clauses."""

import typing as t

from oracle import limits, refused, twice, unasked
from oracle.observations import Bounds, Observations, Violation

Clause = t.Callable[[Observations, Bounds], list[Violation]]

CLAUSES: t.Final[dict[str, Clause]] = {
    f"{module.RULE} ({name})": clause
    for module in (unasked, refused, twice, limits)
    for name, clause in module.CLAUSES.items()
}


# Those that need only what workers saw.
WORKER_CLAUSES: t.Final = {
    name: CLAUSES[name]
    for name in ("TWICE (parallel)", "TWICE (done)", "LIMIT (overcommitted)")
}


def find_violations(
    observations: Observations,
    bounds: Bounds | None = None,
    clauses: dict[str, Clause] = CLAUSES,
) -> list[Violation]:
    """Return the broken ones of some clauses, each with a sentence."""
    bounds = bounds or Bounds()
    return [
        violation
        for clause in clauses.values()
        for violation in clause(observations, bounds)
    ]
