"""Check every model and its mutants: ``python -m models.run``.

Prints the verdict on each invariant, the counterexamples, and the totals. Exits with 1
if an invariant is refuted or not checked exhaustively, if a mutant is not refuted, or
if there is no model. A model is a module of this package, listed in ``MODEL_MODULES``,
that registers a factory of a ``Spec`` under "model".
"""

import importlib
import sys
import time
import typing as t

import minicheck

from bulrushspur_kernel import plugins

MODEL_MODULES: t.Final[list[str]] = [
    "takeover",
    "succession",
    "failures",
    "cancellation",
    "leases",
    "lease_takeover",
]

MAX_STATES: t.Final = 5_000_000
# Name of the check that every reachable state can reach a goal of the protocol.
LIVENESS: t.Final = "a goal stays in reach"

_VERDICTS: t.Final = {True: "holds", False: "REFUTED", None: "NOT EXHAUSTIVE"}


class Spec(t.NamedTuple):
    """A protocol, and its mutants by name with the check that each must fail.

    The check is an invariant, or LIVENESS for a protocol with a goal.
    """

    protocol: minicheck.Protocol
    mutants: dict[str, tuple[minicheck.Protocol, str]]


def check_spec(spec: Spec) -> tuple[int, int, int]:
    """Check a model and print the verdicts.

    Returns the numbers of states, of invariants that do not hold, and of mutants that
    survive (are not refuted).
    """
    started_s = time.monotonic()
    result = minicheck.check_safety(spec.protocol, max_states=MAX_STATES)
    took_s = time.monotonic() - started_s
    print(f"{spec.protocol.name}: {result['reachable_states']} states, {took_s:.1f} s")
    refuted = 0
    properties = dict(result["properties"])
    if spec.protocol.goal is not None:
        properties[LIVENESS] = minicheck.check_liveness(spec.protocol)
    for name, verdict in properties.items():
        print(f"  {name}: {_VERDICTS[verdict['holds']]}")
        if not verdict["holds"]:
            refuted += 1
            _print_trace(verdict.get("counterexample") or [])
    return result["reachable_states"], refuted, _check_mutants(spec)


def _check_mutants(spec: Spec) -> int:
    surviving = 0
    for name, (mutant, invariant) in spec.mutants.items():
        verdict = _check_mutant(mutant, invariant)
        if verdict["holds"] is not False:
            surviving += 1
            print(
                f"  mutant {name}: SURVIVES {invariant}, {_VERDICTS[verdict['holds']]}"
            )
        else:
            steps = len(verdict["counterexample"]) - 1
            print(f"  mutant {name}: refuted by {invariant} in {steps} steps")
            _print_trace(verdict["counterexample"])
    return surviving


def _check_mutant(mutant: minicheck.Protocol, check: str) -> dict[str, t.Any]:
    if check == LIVENESS:
        return minicheck.check_liveness(mutant)
    result = minicheck.check_safety(mutant, max_states=MAX_STATES)
    return result["properties"][check]


def _print_trace(trace: list[dict[str, t.Any]]) -> None:
    print("    " + " > ".join(str(step["label"] or "start") for step in trace))


def main() -> int:
    """Check all models, print the totals and return the exit code."""
    totals = [0, 0, 0]
    for name in MODEL_MODULES:
        importlib.import_module(f"models.{name}")
    for make_spec in plugins.list_plugins("model").values():
        totals = [
            total + count
            for total, count in zip(totals, check_spec(make_spec()), strict=True)
        ]
    states, refuted, surviving = totals
    print(f"python {sys.version.split()[0]}, 1 process")
    print(f"figure model_states {states} count")
    print(f"figure model_invariants_refuted {refuted} count")
    print(f"figure model_mutants_surviving {surviving} count")
    return 1 if refuted or surviving or not states else 0


if __name__ == "__main__":
    sys.exit(main())
