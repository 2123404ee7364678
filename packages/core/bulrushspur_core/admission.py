"""Refuses at the door what will certainly never run, or must not now."""

from bulrushspur_core.log_reader import cell_of, check_keys
from bulrushspur_core.node import Node
from bulrushspur_kernel.errors import ErrorKind, Refusal
from bulrushspur_kernel.work import Work


def check_admission(node: Node, work: Work, now_s: float) -> Refusal | None:
    """Return why work is refused, or None where it is admitted."""
    text = cell_of(node).text
    if text is None:
        return Refusal(ErrorKind.NO_TEXT, "No text is in force yet.", retry_after_s=5.0)
    kind = text.find_kind(work.service, work.kind)
    is_open = kind is not None and kind.open
    return None if is_open else check_keys(node, now_s)
