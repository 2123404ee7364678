"""Decide until when a process that stops answers, and what it refuses at once.

The grace period goes in, and when the process was told to stop. All times are seconds
on the clock that counts suspension, as the grace period does.
"""

import dataclasses
import math
import typing as t

# The process has ended before the rest, as it may have learned late that it must stop.
MAX_GRACE_SHARE: t.Final = 5 / 6
# For the last answers to be read, and the connections to be closed.
CLOSE_TIME_S: t.Final = 1.2
# A request that comes with less time left is not begun.
MIN_HANDLING_TIME_S: t.Final = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class StopSchedule:
    """The times of one stop; at ``answers_due_s`` each request read is answered."""

    began_s: float
    answers_due_s: float
    ends_s: float

    def remaining_s(self, now_s: float) -> float:
        """Return the time left until answers are due; 0 once it is over."""
        return max(self.answers_due_s - now_s, 0.0)

    def must_refuse(self, expected_s: float, now_s: float) -> bool:
        """Return whether a request comes too late that takes ``expected_s``."""
        needed_s = max(expected_s, MIN_HANDLING_TIME_S)
        return self.remaining_s(now_s) < needed_s


def make_stop_schedule(
    grace_s: float, now_s: float, max_drain_s: float = math.inf
) -> StopSchedule:
    """Make the schedule of a stop that begins now, and is killed after ``grace_s``.

    Answers are due after ``max_drain_s`` at the latest.
    """
    duration_s = grace_s * MAX_GRACE_SHARE
    drain_s = min(max(duration_s - CLOSE_TIME_S, 0.0), max_drain_s)
    return StopSchedule(now_s, now_s + drain_s, now_s + duration_s)
