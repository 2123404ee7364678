"""Refuses at the door what will certainly never run, or must not now."""

from bulrushspur_core import estimates
from bulrushspur_core.log_reader import cell_of, fresh_age_s
from bulrushspur_core.node import Node
from bulrushspur_core.workers import Workers
from bulrushspur_kernel.errors import ErrorKind, Refusal
from bulrushspur_kernel.text import Text
from bulrushspur_kernel.work import Room, Work


def check_admission(node: Node, work: Work, now_s: float) -> Refusal | None:
    """Return why work is refused, or None where it is admitted."""
    text = cell_of(node).text
    if text is None:
        return Refusal(ErrorKind.NO_TEXT, "No text is in force yet.", retry_after_s=5.0)
    return (
        check_keys(node, text, work, now_s)
        or check_limit(text, work)
        or check_size(node, text, work)
        or check_run_time(node, work)
    )


def check_keys(node: Node, text: Text, work: Work, now_s: float) -> Refusal | None:
    """Refuse keyed work when withdrawals may have been missed for too long."""
    age_s = fresh_age_s(node, now_s)
    if work.team == text.policy.open_team or age_s <= text.policy.keys_fresh_s:
        return None
    sentence = (
        "The log was not heard of for so long that withdrawn keys may be missed here."
    )
    return Refusal(ErrorKind.KEYS_STALE, sentence, retry_after_s=5.0)


def check_limit(text: Text, work: Work) -> Refusal | None:
    """Refuse work of more tasks than its team may ever run."""
    team = next((one for one in text.teams if one.name == work.team), None)
    limit = 0 if team is None else team.limit_tasks
    if work.tasks <= limit:
        return None
    sentence = (
        f"Team {work.team} may run {limit} tasks at once, and this needs {work.tasks}."
    )
    return Refusal(ErrorKind.NEVER_FITS, sentence)


def check_size(node: Node, text: Text, work: Work) -> Refusal | None:
    """Refuse a task that no worker of the cell could ever hold."""
    rooms = largest_rooms(node, text)
    if not rooms or any(room.holds(work.room) for room in rooms):
        return None
    room = work.room
    sentence = (
        f"No worker holds {room.slots} slots, {room.cores:g} cores, "
        f"{room.memory_mb} MB and {room.accelerators} accelerators at once."
    )
    return Refusal(ErrorKind.NEVER_FITS, sentence)


def largest_rooms(node: Node, text: Text) -> list[Room]:
    """List the rooms of workers to compare with; none where nothing is known."""
    if text.policy.largest_worker is not None:
        return [text.policy.largest_worker]
    listed = node.state(Workers).listed.values()
    return list({vm.room for vm in listed if vm.role == "worker"})


def check_run_time(node: Node, work: Work) -> Refusal | None:
    """Refuse a deadline shorter than half of the shortest run that was ever seen."""
    least_s = estimates.least_run_time_s(node, work)
    if work.deadline_s >= least_s:
        return None
    sentence = (
        f"The deadline is {work.deadline_s:.3g} s, and {work.service}/{work.kind} "
        f"has never run in under {2 * least_s:.3g} s."
    )
    return Refusal(ErrorKind.DEADLINE_UNREACHABLE, sentence)
