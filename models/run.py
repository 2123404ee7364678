"""Check every specification and every mutant; exit 1 where one is not as it must be.

A specification is a module of this package that registers a factory under "model".
"""

import importlib
import sys
import time
import typing as t

import minicheck

from bulrushspur_kernel import plugins

MODULES: t.Final[list[str]] = [
    "takeover",
]

MAX_STATES: t.Final = 5_000_000

_VERDICTS: t.Final = {True: "holds", False: "REFUTED", None: "NOT EXHAUSTIVE"}


class Spec(t.NamedTuple):
    """A protocol, and mutants of it by name with the invariant each must break."""

    protocol: minicheck.Protocol
    mutants: dict[str, tuple[minicheck.Protocol, str]]


def check_spec(spec: Spec) -> tuple[int, int, int]:
    """Check a specification; returns states, refuted invariants, surviving mutants."""
    started_s = time.monotonic()
    found = minicheck.check_safety(spec.protocol, max_states=MAX_STATES)
    took_s = time.monotonic() - started_s
    print(f"{spec.protocol.name}: {found['reachable_states']} states, {took_s:.1f} s")
    refuted = 0
    for name, one in found["properties"].items():
        print(f"  {name}: {_VERDICTS[one['holds']]}")
        if not one["holds"]:
            refuted += 1
            _print_trace(one["counterexample"] or [])
    return found["reachable_states"], refuted, _check_mutants(spec)


def _check_mutants(spec: Spec) -> int:
    surviving = 0
    for name, (mutant, invariant) in spec.mutants.items():
        found = minicheck.check_safety(mutant, max_states=MAX_STATES)
        one = found["properties"][invariant]
        if one["holds"] is not False:
            surviving += 1
            print(f"  mutant {name}: SURVIVES {invariant}, {_VERDICTS[one['holds']]}")
        else:
            steps = len(one["counterexample"]) - 1
            print(f"  mutant {name}: refuted by {invariant} in {steps} steps")
            _print_trace(one["counterexample"])
    return surviving


def _print_trace(trace: list[dict[str, t.Any]]) -> None:
    print("    " + " > ".join(str(step["label"] or "start") for step in trace))


def main() -> int:
    """Check all specifications and print the figures."""
    totals = [0, 0, 0]
    for name in MODULES:
        importlib.import_module(f"models.{name}")
    for make_spec in plugins.list_plugins("model").values():
        totals = [a + b for a, b in zip(totals, check_spec(make_spec()), strict=True)]
    states, refuted, surviving = totals
    print(f"python {sys.version.split()[0]}, 1 process")
    print(f"figure model_states {states} count")
    print(f"figure model_invariants_refuted {refuted} count")
    print(f"figure model_mutants_surviving {surviving} count")
    return 1 if refuted or surviving or not states else 0


if __name__ == "__main__":
    sys.exit(main())
