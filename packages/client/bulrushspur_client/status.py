"""The status of the cell, put together from its entry processes."""

import typing as t

from bulrushspur_client.entries import Entry
from bulrushspur_client.output import make_table

WAITS_SHOWN: t.Final = 20


def show_cell(entries: list[Entry]) -> list[str]:
    """Make the lines that tell a person how the cell does."""
    if not entries:
        return ["No entry process was found.", "Next: name some with --entries"]
    rows = [_entry_row(one) for one in entries]
    columns = ["entry process", "domain", "state", "version", "news s ago"]
    columns += ["open", "queued", "workers", "free slots", "silent peers"]
    return [*make_table(columns, rows), "", *_wait_lines(entries)]


def _entry_row(entry: Entry) -> list[t.Any]:
    status = entry.status
    if status is None:
        state = "no answer, but listed" if entry.listed else "no answer"
        return [entry.name, "-", state, *["-"] * 7]
    owned = [one for one in status["workers"].values() if one["owned"]]
    silent = [name for name, one in status["peers"].items() if one["lost"]]
    return [
        entry.name,
        status["domain"],
        "stopping" if status["stopping"] else "serves",
        status["version"],
        status["fresh_age_s"],
        status["open_requests"],
        status["queued"],
        len(owned),
        status["load"]["free_slots"],
        ", ".join(silent) or "-",
    ]


def _wait_lines(entries: list[Entry]) -> list[str]:
    rows = []
    for entry in entries:
        histograms = (entry.status or {}).get("metrics", {}).get("histograms_ms", {})
        rows += [
            [
                name.removeprefix("wait."),
                entry.name,
                one["count"],
                one["p50"],
                one["p99"],
            ]
            for name, one in histograms.items()
            if name.startswith("wait.")
        ]
    if not rows:
        return ["No request was started yet."]
    rows.sort(key=lambda row: -row[4])
    columns = ["longest waits of", "through", "requests", "p50 ms", "p99 ms"]
    return make_table(columns, rows[:WAITS_SHOWN])
