"""Refuses at the door what will certainly never run, or must not now."""

from bulrushspur_core.log_reader import cell_of
from bulrushspur_core.node import Node
from bulrushspur_kernel.errors import ErrorKind, Refusal
from bulrushspur_kernel.work import Work


def check_admission(node: Node, work: Work, now_s: float) -> Refusal | None:
    """Return why work is refused, or None where it is admitted."""
    if cell_of(node).text is None:
        return Refusal(ErrorKind.NO_TEXT, "No text is in force yet.", retry_after_s=5.0)
    return None
