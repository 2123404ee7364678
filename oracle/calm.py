"""Find the times without disruption near, by which rules with a time bound count.

Takes the disruptions that were recorded. A stretch is steady from ``contact_s`` after
the end of the last disruption until the next one begins.
"""

import math
import typing as t

from oracle.observations import Bounds, Disruption, Observations

Span = tuple[float, float]


def is_calm(disruptions: t.Iterable[Disruption], from_s: float, until_s: float) -> bool:
    """Return whether no disruption touches a span of time."""
    return not any(
        row.from_s <= until_s and row.until_s >= from_s for row in disruptions
    )


def list_steady_stretches(observations: Observations, bounds: Bounds) -> list[Span]:
    """List the steady stretches in order of time; the last one is open."""
    stretches = []
    begin_s = -math.inf
    for row in sorted(observations.disruptions, key=lambda row: row.from_s):
        if row.from_s > begin_s:
            stretches.append((begin_s, row.from_s))
        begin_s = max(begin_s, row.until_s + bounds.contact_s)
    if begin_s < math.inf:
        stretches.append((begin_s, math.inf))
    return stretches


def find_waited_s(
    waits: t.Iterable[Span], stretches: t.Iterable[Span], wait_s: float
) -> float:
    """Return when waits have lasted ``wait_s`` of steady state together, or infinity.

    Waits may overlap; what overlaps counts once.
    """
    stretches = list(stretches)
    waited_s, counted_upto_s = 0.0, -math.inf
    for from_s, until_s in sorted(waits):
        for begin_s, end_s in stretches:
            low_s = max(from_s, begin_s, counted_upto_s)
            high_s = min(until_s, end_s)
            if high_s <= low_s:
                continue
            if waited_s + high_s - low_s >= wait_s:
                return low_s + wait_s - waited_s
            waited_s += high_s - low_s
            counted_upto_s = high_s
    return math.inf
