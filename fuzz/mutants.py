"""Break one mechanism at a time and see the fuzzing find it.

Run it as ``python -m fuzz.mutants``, with names of mutants to run only these.

An oracle that cannot fail proves nothing. Each mutant names the points of the oracle
that it must break, and is run until it has, at most STEPS steps.
"""

import sys
import typing as t
from unittest import mock

from bulrushspur_core import (
    authority,
    cell,
    debts,
    door,
    ids,
    limits,
    permits,
    takeover,
    workers,
)
from bulrushspur_kernel import plugins
from bulrushspur_kernel import records as rec
from bulrushspur_kernel.errors import Ran
from bulrushspur_kernel.states import RequestState
from fuzz.machine import totals
from fuzz.run import run_round

STEPS: t.Final = 10_000
FIRST_SEED: t.Final = 500

note_worker = workers._note_worker

Patch = t.Callable[[], t.Any]


def replace(obj: t.Any, name: str, new: t.Any) -> Patch:
    """Make a patch of an attribute."""
    return lambda: mock.patch.object(obj, name, new)


def replace_folder(record: type, new: t.Callable[..., bool]) -> Patch:
    """Make a patch of the folding of a record."""
    return lambda: mock.patch.dict(cell._FOLDERS, {record: new})


def publish_anything(folded: cell.Cell, offset: int, record: rec.Published) -> bool:
    """Fold a text whatever it was edited from."""
    record.base = folded.version
    return cell._fold_published(folded, offset, record)


def claim_freely(node: t.Any, ticket: str, *rest: t.Any) -> None:
    """Settle each claim as the first."""
    node.signal(door.events.IdSettled(ticket, True), rest[-1])


def note_as_staying(node: t.Any, vm: t.Any, now_s: float) -> None:
    """Note a worker as if it stayed."""
    vm.leaving = False
    note_worker(node, vm, now_s)


def start_whatever_the_epoch(node: t.Any, worker: str, *rest: t.Any) -> bool:
    """Start on any worker that is known."""
    return worker in node.state(workers.Workers).views


MUTANTS: t.Final[dict[str, tuple[Patch, set[str]]]] = {
    "takeover does not wait": (
        replace(takeover, "over_s", lambda *args: float("-inf")),
        {"overcommit", "limit"},
    ),
    "no check before a start": (
        replace(authority, "may_start", start_whatever_the_epoch),
        {"overcommit", "limit", "leaving"},
    ),
    "a worker counts as empty": (
        replace(workers.WorkerView, "free", property(lambda view: view.vm.room)),
        {"overcommit"},
    ),
    "each owner has the whole limit": (
        replace(limits, "available", lambda *args: 100),
        {"limit"},
    ),
    "permits without reports": (
        replace(permits, "is_ready", lambda node, dealer: bool(dealer.accounts)),
        {"limit"},
    ),
    "no reserve for a lowered limit": (
        replace(debts, "debts_of", lambda *args: {}),
        {"limit"},
    ),
    "claims are not made": (
        replace(ids, "claim", claim_freely),
        {"at most once"},
    ),
    "ids are freed whatever happened": (
        replace(door, "state_of", lambda ran: RequestState.NOT_RUN),
        {"at most once"},
    ),
    "maybe is told as no": (
        replace(door, "ran_so_far", lambda request: Ran.NO),
        {"not run"},
    ),
    "earlier attempts are forgotten": (
        replace(door, "worse", lambda one, other: one),
        {"not run"},
    ),
    "deadlines are not swept": (
        lambda: mock.patch.dict(
            plugins._registry["core.timer"],
            {"bulrushspur_core.deadlines.sweep_deadlines": (1.0, lambda *args: None)},
        ),
        {"own answer"},
    ),
    "leaving is not noted": (
        replace(workers, "_note_worker", note_as_staying),
        {"leaving"},
    ),
    "withdrawn keys stay": (
        replace_folder(rec.KeyWithdrawn, lambda *args: False),
        {"key"},
    ),
    "the last of racing texts wins": (
        replace_folder(rec.Published, publish_anything),
        {"config", "limit"},
    ),
}


def run_mutant(patch: Patch, points: set[str]) -> tuple[str, int] | None:
    """Run a mutant until a violation; returns its sentence and the steps, or None."""
    before, seed = totals["steps"], FIRST_SEED
    while totals["steps"] - before < STEPS:
        with patch():
            found = run_round(seed, shrink=False)
        seed += 1
        if found is None:
            continue
        sentence = found.splitlines()[0].partition(": ")[2]
        if sentence.partition(":")[0] in points:
            return sentence, totals["steps"] - before
        print(f"  not the point looked for: {sentence}", flush=True)
    return None


def main() -> int:
    """Run every mutant, or those named, and print which point each breaks."""
    surviving = 0
    for name in sys.argv[1:] or MUTANTS:
        patch, points = MUTANTS[name]
        found = run_mutant(patch, points)
        if found is None:
            surviving += 1
            print(f"mutant {name}: SURVIVES {STEPS} steps", flush=True)
        else:
            sentence, steps = found
            print(f"mutant {name}: {sentence} ({steps} steps)", flush=True)
    print(f"seeds from {FIRST_SEED}, 1 process")
    print(f"figure fuzz_mutants_surviving {surviving} count")
    return 1 if surviving else 0


if __name__ == "__main__":
    sys.exit(main())
