"""Ends requests at the door whose deadline passes before their answer begins."""

import heapq
import typing as t

from bulrushspur_core.door import Door, ran_so_far, withdraw
from bulrushspur_core.node import Node, every
from bulrushspur_kernel.errors import ErrorKind, Refusal

SWEEP_S: t.Final = 0.05
ENDED_AT_MOST: t.Final = 1000


@every(SWEEP_S)
def sweep_deadlines(node: Node, now_s: float) -> None:
    """End the requests whose deadline passed before their answer began."""
    door = node.state(Door)
    sentence = "The deadline passed before the answer began."
    if len(door.deadlines) > ENDED_AT_MOST + 2 * len(door.open):
        # Most of these have ended; their entries would stay until their deadline.
        door.deadlines = [(one.deadline_s, one.ticket) for one in door.open.values()]
        heapq.heapify(door.deadlines)
    while door.deadlines and door.deadlines[0][0] <= now_s:
        _, ticket = heapq.heappop(door.deadlines)
        request = door.open.get(ticket)
        if request is None or request.answering:
            continue
        ran = ran_so_far(request)
        refusal = Refusal(ErrorKind.DEADLINE_PASSED, sentence, ran, 1.0)
        withdraw(node, request, refusal, now_s)
