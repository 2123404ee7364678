"""Decide when a leader that can't keep up hands over to a larger VM.

The input is how late the leader's own timer fires, and the other processes that could
lead. The load it answers: more submissions, reports and orders than the leader's
processor can handle, so that everything it does comes late and no caller knows why.
A short pause, such as loading records, does not count.
"""

import dataclasses
import math
import typing as t

# The mean is taken over about this time.
LATENESS_WINDOW_S: t.Final = 1.5
# Callers' shortest objectives are a few tenths of a second.
MAX_LATENESS_S: t.Final = 0.1
# A change of the leader costs callers more than a slightly larger VM gains.
MIN_SIZE_RATIO: t.Final = 1.5
# A term that begins has work to catch up on.
MIN_TERM_AGE_S: t.Final = 3.0
HAND_OVER_INTERVAL_S: t.Final = 20.0


@dataclasses.dataclass
class LeaderLoad:
    """The moving mean of how late a timer of the leader fires, in seconds."""

    lateness_s: float = 0.0
    last_hand_over_s: float = -1e9

    def observe(self, late_s: float, interval_s: float) -> None:
        """Add by how much a timer of an interval was late."""
        weight = 1 - math.exp(-(interval_s + late_s) / LATENESS_WINDOW_S)
        self.lateness_s += weight * (late_s - self.lateness_s)

    @property
    def is_overloaded(self) -> bool:
        """Return whether the leader does not keep up."""
        return self.lateness_s > MAX_LATENESS_S

    def should_hand_over(
        self, cores: float, successor_cores: float, term_age_s: float, now_s: float
    ) -> bool:
        """Return whether the successor is worth a change of the leader now."""
        return (
            self.is_overloaded
            and successor_cores >= MIN_SIZE_RATIO * cores
            and term_age_s > MIN_TERM_AGE_S
            and now_s - self.last_hand_over_s > HAND_OVER_INTERVAL_S
        )
