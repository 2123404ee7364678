"""Keeps as many slots for small work as it needs on average.

A small request is over in a moment, but where heavy work has taken every slot it would
wait for one of those to end. The slots kept are few and seldom idle, for small work
comes all the time when they are kept at all.
"""

import dataclasses
import math
import typing as t

from bulrushspur_core.node import Node, register_state
from bulrushspur_core.queues import Lane, QueuedOffer, Queues, slot_time_s

MEMORY_S: t.Final = 5.0
KEPT_PART: t.Final = 0.25
LEAST_MEAN: t.Final = 0.2
PRESSED_S: t.Final = 1.0
MORE_SLOTS: t.Final = 0.5


@dataclasses.dataclass
class Express:
    """Slots in use by small work, and its decayed slot time (seconds)."""

    running: int = 0
    slot_time_s: float = 0.0
    at_s: float = 0.0


@register_state(Express)
def make_express(node: Node) -> Express:
    """Make the state of an owner that has seen no small work."""
    return Express()


def note_arrival(node: Node, offer: QueuedOffer, now_s: float) -> None:
    """Count small work that came."""
    if offer.lane is Lane.SMALL:
        express = node.state(Express)
        _decay(express, now_s)
        express.slot_time_s += slot_time_s(offer)


def kept_slots(node: Node, total: int, now_s: float) -> int:
    """Tell how many free slots are kept now, of ``total`` slots of this owner."""
    express = node.state(Express)
    _decay(express, now_s)
    mean = express.slot_time_s / MEMORY_S
    if mean < LEAST_MEAN:
        return 0
    # Where work queues for long, packing counts for more than the odd wait.
    pressed = node.state(Queues).work_s > PRESSED_S * total
    more = 0.0 if pressed else MORE_SLOTS * math.sqrt(mean)
    wanted = min(math.ceil(mean + more), int(KEPT_PART * total))
    return max(wanted - express.running, 0)


def _decay(express: Express, now_s: float) -> None:
    passed_s = now_s - express.at_s
    if passed_s > 0:
        express.slot_time_s *= math.exp(-passed_s / MEMORY_S)
        express.at_s = now_s
