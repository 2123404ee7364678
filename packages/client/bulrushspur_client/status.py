"""The status of the cell, put together from its entry processes."""

import typing as t

from bulrushspur_client.entry_processes import EntryInfo
from bulrushspur_client.output import make_table


def format_cell_status(entries: list[EntryInfo]) -> list[str]:
    """Make the lines that tell a person how the cell does."""
    if not entries:
        return ["No entry process was found.", "Next: name some with --entries"]
    columns = ["entry process", "domain", "state", "version", "leader", "store s ago"]
    rows = [_entry_row(one) for one in entries]
    return [*make_table(columns, rows), "", *_cell_lines(entries)]


def _entry_row(entry: EntryInfo) -> list[t.Any]:
    status = entry.status
    if status is None:
        state = "no answer, but listed" if entry.registered else "no answer"
        return [entry.name, "-", state, "-", "-", "-"]
    state = "serves" if status["ready"] else "not ready"
    return [
        entry.name,
        status["domain"],
        "stopping" if status["stopping"] else state,
        status["config_version"] or "-",
        "leads" if status["leads"] else status["leader"] or "-",
        status["store_age_s"],
    ]


def _cell_lines(entries: list[EntryInfo]) -> list[str]:
    leaders = [one for one in entries if one.status and one.status["leads"]]
    if not leaders:
        return ["No leader answered."]
    assert leaders[0].status is not None
    cell = leaders[0].status["cell"]
    columns = ["worker", "state", "runs", "free cores", "free memory MB"]
    rows = [
        [
            name,
            _worker_state(one),
            one["runs"],
            one["free_cpu_milli"] / 1000,
            one["free_memory_mb"],
        ]
        for name, one in sorted(cell["workers"].items())
    ]
    return [
        f"Jobs under way: {len(cell['jobs'])}; steps that wait: "
        f"{cell['waiting_steps']}.",
        *make_table(columns, rows),
    ]


def _worker_state(row: dict[str, t.Any]) -> str:
    if not row["listed"]:
        return "gone"
    if row["draining"]:
        return "leaving"
    return "reached" if row["reached"] else "not reached"
