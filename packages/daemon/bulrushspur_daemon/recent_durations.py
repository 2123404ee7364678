"""Tell how long the last answers took, to know whether one more comes in time.

Durations go in with the time at which they ended; the longest of the last few comes
out. Times and durations are seconds; times are on one clock, whichever it is.
"""

import collections
import dataclasses
import typing as t

MAX_DURATIONS: t.Final = 16
# Older ones say little about what the store takes now.
MAX_AGE_S: t.Final = 10.0


@dataclasses.dataclass
class RecentDurations:
    """The last durations, each with the time at which it ended."""

    durations: collections.deque[tuple[float, float]] = dataclasses.field(
        default_factory=lambda: collections.deque(maxlen=MAX_DURATIONS)
    )

    def add(self, duration_s: float, now_s: float) -> None:
        """Add a duration that has ended now."""
        self.durations.append((now_s, duration_s))

    def find_longest_s(self, now_s: float) -> float:
        """Return the longest of the last durations; 0 if none is recent."""
        recent = (s for ended_s, s in self.durations if now_s - ended_s < MAX_AGE_S)
        return max(recent, default=0.0)
