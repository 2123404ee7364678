"""The budget of retries, so that a fault does not multiply its load."""

import typing as t

from bulrushspur_core.node import Node
from bulrushspur_kernel.work import Work

ATTEMPTS_AT_MOST: t.Final = 3


def may_retry(node: Node, work: Work, attempts: int, now_s: float) -> bool:
    """Tell whether work that was tried ``attempts`` times may be tried again."""
    return attempts < ATTEMPTS_AT_MOST
