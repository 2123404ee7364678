"""Limit the lines of a log per second, with a reserve for decisive ones.

A token bucket: tokens come at the average rate, first to the reserve, then to the share
of all lines. So a flood of ordinary lines leaves decisive ones the whole rate, and a
flood of decisive ones keeps to it.
"""

import dataclasses
import time
import typing as t

from bulrushspur_kernel.log_importance import Importance

# Capacity of the bucket that all lines share, in seconds at the average rate.
BURST_S: t.Final = 2.0
# Capacity of the reserve, in seconds at the average rate.
RESERVE_S: t.Final = 0.5


@dataclasses.dataclass(slots=True)
class LineBudget:
    """The tokens of a log; each line takes one."""

    lines_per_s: float
    # Negative after many lines that are exempt from the limit.
    shared_tokens: float = dataclasses.field(init=False)
    reserved_tokens: float = dataclasses.field(init=False)
    last_refill_s: float = dataclasses.field(default_factory=time.monotonic)

    def __post_init__(self) -> None:
        self.shared_tokens = self.lines_per_s * BURST_S
        self.reserved_tokens = self.lines_per_s * RESERVE_S

    def take(self, importance: Importance, now_s: float, is_exempt: bool) -> bool:
        """Take the token of a line; return False if there is none for it.

        An exempt line always has one, and leaves the reserve as it is.
        """
        self._refill(now_s)
        if is_exempt or self.shared_tokens >= 1:
            self.shared_tokens -= 1
            return True
        if importance is Importance.DECISIVE and self.reserved_tokens >= 1:
            self.reserved_tokens -= 1
            return True
        return False

    def _refill(self, now_s: float) -> None:
        refill = (now_s - self.last_refill_s) * self.lines_per_s
        self.last_refill_s = now_s
        missing = self.lines_per_s * RESERVE_S - self.reserved_tokens
        to_reserve = min(refill, missing)
        self.reserved_tokens += to_reserve
        self.shared_tokens = min(
            self.shared_tokens + refill - to_reserve, self.lines_per_s * BURST_S
        )
