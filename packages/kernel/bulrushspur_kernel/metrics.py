"""Collect counters and histograms of durations for one process."""

import dataclasses
import typing as t

from hdrh.histogram import HdrHistogram

MIN_DURATION_US: t.Final = 10
MAX_DURATION_US: t.Final = 3_600_000_000
SIGNIFICANT_DIGITS: t.Final = 2


@dataclasses.dataclass
class Metrics:
    """Counters and histograms by name, created on first use."""

    counters: dict[str, int] = dataclasses.field(default_factory=dict)
    histograms: dict[str, HdrHistogram] = dataclasses.field(default_factory=dict)

    def count(self, name: str, amount: int = 1) -> None:
        """Add an amount to a counter."""
        self.counters[name] = self.counters.get(name, 0) + amount

    def record_duration(self, name: str, duration_s: float) -> None:
        """Record a duration in seconds."""
        histogram = self.histograms.get(name)
        if histogram is None:
            histogram = HdrHistogram(
                MIN_DURATION_US, MAX_DURATION_US, SIGNIFICANT_DIGITS
            )
            self.histograms[name] = histogram
        histogram.record_value(max(int(duration_s * 1e6), MIN_DURATION_US))

    def dump(self) -> dict[str, t.Any]:
        """Return all counters and a summary in ms of each histogram."""
        return {
            "counters": dict(sorted(self.counters.items())),
            "histograms_ms": {
                name: _summarise(histogram)
                for name, histogram in sorted(self.histograms.items())
            },
        }


def _summarise(histogram: HdrHistogram) -> dict[str, float]:
    return {
        "count": histogram.get_total_count(),
        "p50": histogram.get_value_at_percentile(50) / 1000,
        "p99": histogram.get_value_at_percentile(99) / 1000,
        "max": histogram.get_max_value() / 1000,
    }
