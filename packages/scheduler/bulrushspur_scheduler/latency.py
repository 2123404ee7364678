"""Estimate how long answers usually take, to know when one is late."""

import dataclasses
import typing as t

MEAN_GAIN: t.Final = 1 / 8
DEVIATION_GAIN: t.Final = 1 / 4
# An answer is late beyond the mean and this many mean deviations.
LATE_DEVIATIONS: t.Final = 4.0
MIN_MARGIN_S: t.Final = 0.05


@dataclasses.dataclass
class LatencyEstimate:
    """The moving mean and mean deviation of a latency, limited to ``max_s``."""

    max_s: float
    mean_s: float = 0.0
    deviation_s: float = 0.05

    def observe(self, latency_s: float) -> None:
        """Add the latency of one answer."""
        latency_s = min(latency_s, self.max_s)
        self.deviation_s += DEVIATION_GAIN * (
            abs(latency_s - self.mean_s) - self.deviation_s
        )
        self.mean_s += MEAN_GAIN * (latency_s - self.mean_s)

    @property
    def late_s(self) -> float:
        """Return the time after which an answer is late."""
        margin_s = max(LATE_DEVIATIONS * self.deviation_s, MIN_MARGIN_S)
        return min(self.mean_s + margin_s, self.max_s)
