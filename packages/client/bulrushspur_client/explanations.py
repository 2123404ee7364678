"""Format for people what a job waits for, or why it failed."""

import typing as t


def format_explanation(explanation: dict[str, t.Any]) -> list[str]:
    """Format what an entry process tells of a job as lines."""
    because = f": {explanation['reason']}" if "reason" in explanation else ""
    lines = [f"Job {explanation['job']} is {explanation['state']}{because}."]
    level = explanation.get("past_use_level", 0)
    if level:
        account = explanation["account"]
        lines.append(f"By its past use, {account} goes after others: level {level}.")
    for step in explanation.get("steps", []):
        lines.append(
            f"Step {step['step']}: {step['done']} of {step['tasks']} tasks done, "
            f"{step['running']} run; it waits for {step['waits_for']}."
        )
    return lines
