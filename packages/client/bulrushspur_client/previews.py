"""Format for people where a job would go that is not sent."""

import typing as t

# Further workers are counted only.
MAX_NAMED_WORKERS: t.Final = 6


def format_preview(preview: dict[str, t.Any]) -> list[str]:
    """Format an entry process's answer as lines."""
    if not preview["accepted"]:
        return [
            f"It would be rejected: {preview['rejection']}.",
            f"Callers are told to come back in {preview['retry_after_s']:g} s.",
        ]
    lines = [
        f"It would be accepted, with {preview['expected_s']:.1f} s of work and "
        f"{preview['objective_s']:.1f} s to be on time."
    ]
    if preview["past_use_level"]:
        level = preview["past_use_level"]
        lines.append(f"By the team's past use it goes after others: level {level}.")
    for step in preview["steps"]:
        lines += _format_step(step)
    return lines


def _format_step(step: dict[str, t.Any]) -> list[str]:
    name = f"Step {step['step']} ({step['tasks']} tasks)"
    if step["waits_for"]:
        lines = [f"{name} would wait for {step['waits_for']}."]
    else:
        lines = [f"{name} would start now on {_format_workers(step['workers'])}."]
        if step["needs_advice"]:
            lines.append("The advice service may leave some of these workers out.")
    if step["ahead"]:
        ahead = ", ".join(f"{row['account']} {row['steps']}" for row in step["ahead"])
        lines.append(f"Steps that go first, by team: {ahead}.")
    return lines


def _format_workers(workers: list[dict[str, t.Any]]) -> str:
    named = ", ".join(
        f"{row['worker']} ({row['tasks']}; {row['domain']}, rack {row['rack']}, "
        f"{row['free_cpu_milli'] / 1000:g} cores free, speed {row['speed']:g})"
        for row in workers[:MAX_NAMED_WORKERS]
    )
    further = len(workers) - MAX_NAMED_WORKERS
    return f"{named} and {further} more" if further > 0 else named
