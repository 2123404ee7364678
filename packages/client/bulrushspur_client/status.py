"""Format the status of the cell for people.

Takes the statuses of the entry processes; the workers and jobs are those that the
leader among them reports.
"""

import typing as t

from bulrushspur_client.entry_processes import EntryInfo
from bulrushspur_client.output import format_table


def format_cell_status(entries: list[EntryInfo]) -> list[str]:
    """Format the status of the entry processes and of the leader's cell as lines."""
    if not entries:
        return ["No entry process was found.", "Next: name some with --entries"]
    columns = ["entry process", "domain", "state", "version", "leader", "store s ago"]
    rows = [_entry_row(entry) for entry in entries]
    return [*format_table(columns, rows), "", *_cell_lines(entries)]


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
    leaders = [entry for entry in entries if entry.status and entry.status["leads"]]
    if not leaders:
        return ["No leader answered."]
    assert leaders[0].status is not None
    cell = leaders[0].status["cell"]
    columns = ["worker", "state", "runs", "free cores", "free memory MB"]
    rows = [
        [
            name,
            _worker_state(worker),
            worker["runs"],
            worker["free_cpu_milli"] / 1000,
            worker["free_memory_mb"],
        ]
        for name, worker in sorted(cell["workers"].items())
    ]
    evacuations = [
        f"Evacuated: {domain} ({runs} runs left). Next: bulrushspur restore {domain}"
        for domain, runs in cell["runs_in_evacuated_domains"].items()
    ]
    return [
        f"Jobs under way: {len(cell['jobs'])}; steps that wait: "
        f"{cell['waiting_steps']}.",
        *evacuations,
        *_past_use_lines(cell["past_use"]),
        *format_table(columns, rows),
    ]


def _past_use_lines(rows: list[dict[str, t.Any]]) -> list[str]:
    if not rows:
        return []
    columns = ["account", "past use, s of the cell", "level"]
    return format_table(
        columns, [[row["account"], row["use_s"], row["level"]] for row in rows]
    )


def _worker_state(worker: dict[str, t.Any]) -> str:
    if not worker["listed"]:
        return "gone"
    if worker["draining"]:
        return "leaving"
    return "reached" if worker["reached"] else "not reached"
