"""Model the succession of leaders where loading is slow: some term serves at last.

One leader at a time loads its records in equal parts of PART_TICKS each. The
other processes judge at each tick whether it is lost, and then replace it at once; its
successor begins to load from the start. A leader can also die, a limited number of
times. Only time and progress are modelled; that a claim is unique is not.

The liveness check asks that from every reachable state some term can still serve. A
mutant judges loss in another way and must get into a state from which none can.
"""

import typing as t

import minicheck

from bulrushspur_kernel import plugins
from bulrushspur_scheduler.leadership import MAX_TIMEOUT_FACTOR, timeout_factor
from models.run import LIVENESS, Spec

PARTS: t.Final = 6
PART_TICKS: t.Final = 3
TIMEOUT_TICKS: t.Final = 1
MAX_DEATHS: t.Final = 2

BY_AGE: t.Final = "loss is judged by the age of the load"
BY_AGE_WITH_BACKOFF: t.Final = "the age of the load is judged, with longer timeouts"
NO_BACKOFF: t.Final = "no term gets more time than the one before"
UNCOUNTED: t.Final = "a claim does not count the terms before it"


class SuccessionState(t.NamedTuple):
    """The present leader's load, and what is left to go wrong.

    ``age_ticks`` counts from the claim, ``stalled_ticks`` from the last part loaded.
    """

    loaded_parts: int = 0
    age_ticks: int = 0
    stalled_ticks: int = 0
    unstable_terms: int = 0
    deaths_left: int = MAX_DEATHS
    is_alive: bool = True


def is_lost(state: SuccessionState, mutant: str) -> bool:
    """Return whether the other processes replace the leader now."""
    if not state.is_alive:
        return True
    timeout_ticks = TIMEOUT_TICKS
    if mutant not in (BY_AGE, NO_BACKOFF):
        timeout_ticks *= timeout_factor(state.unstable_terms)
    if mutant in (BY_AGE, BY_AGE_WITH_BACKOFF):
        return state.age_ticks > timeout_ticks
    return state.stalled_ticks > timeout_ticks


def succeed(state: SuccessionState, mutant: str) -> SuccessionState:
    """Return the state after a claim that replaces the leader."""
    unstable_terms = state.unstable_terms + 1
    if mutant == UNCOUNTED:
        unstable_terms = 0
    # More do not lengthen the timeout any further.
    unstable_terms = min(unstable_terms, MAX_TIMEOUT_FACTOR)
    return SuccessionState(unstable_terms=unstable_terms, deaths_left=state.deaths_left)


def tick(state: SuccessionState) -> SuccessionState:
    """Return the state one tick later, with a part more if its time has come."""
    age_ticks, stalled_ticks = state.age_ticks + 1, state.stalled_ticks + 1
    if stalled_ticks < PART_TICKS:
        return state._replace(age_ticks=age_ticks, stalled_ticks=stalled_ticks)
    return state._replace(
        loaded_parts=state.loaded_parts + 1, age_ticks=age_ticks, stalled_ticks=0
    )


def make_protocol(mutant: str = "") -> minicheck.Protocol:
    """Make the protocol, or the mutant of that name."""

    def transitions(values: tuple[t.Any, ...]) -> list[tuple[str, t.Any]]:
        state = SuccessionState(*values)
        if state.loaded_parts == PARTS:
            return []
        # In the worst case another process claims before anything else happens.
        if is_lost(state, mutant):
            return [("another process claims", tuple(succeed(state, mutant)))]
        successors = [("a tick passes", tuple(tick(state)))]
        if state.deaths_left:
            dead = state._replace(is_alive=False, deaths_left=state.deaths_left - 1)
            successors.append(("the leader dies", tuple(dead)))
        return successors

    return minicheck.Protocol(
        name="succession",
        candidate=False,
        fields=SuccessionState._fields,
        initial=tuple(SuccessionState()),
        transitions=transitions,
        invariants={
            "the timeouts have a limit": lambda fields: (
                timeout_factor(fields["unstable_terms"]) <= MAX_TIMEOUT_FACTOR
            ),
        },
        goal=lambda fields: fields["loaded_parts"] == PARTS,
    )


@plugins.register("model", "succession")
def make_spec() -> Spec:
    """Make the protocol and the mutants that must fail to make a term serve."""
    mutants = (BY_AGE, BY_AGE_WITH_BACKOFF, NO_BACKOFF, UNCOUNTED)
    return Spec(
        make_protocol(),
        {f"{name} / {LIVENESS}": (make_protocol(name), LIVENESS) for name in mutants},
    )
