"""Judge observations by all clauses."""

import typing as t

from oracle import limits, lost, refused, twice, unasked
from oracle.observations import Bounds, Observations, Violation

Clause = t.Callable[[Observations, Bounds], list[Violation]]

CLAUSES: t.Final[dict[str, Clause]] = {
    f"{module.RULE} ({name})": clause
    for module in (unasked, refused, twice, limits, lost)
    for name, clause in module.CLAUSES.items()
}


def find_violations(
    observations: Observations, bounds: Bounds | None = None
) -> list[Violation]:
    """Return all broken clauses, each with a sentence."""
    bounds = bounds or Bounds()
    return [
        violation
        for clause in CLAUSES.values()
        for violation in clause(observations, bounds)
    ]
