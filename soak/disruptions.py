"""Record when which part of the cluster was disrupted, for the oracle.

The subject of a disruption is the name of an entry process, a worker's machine or a
link, or the store.
"""

import asyncio
import contextlib
import time
import typing as t

from oracle.observations import Disruption, Observations

STORE: t.Final = "store"
# The name of a disruption that is planned work: it excuses no request.
STOP: t.Final = "stop"
# What a link held back arrives within this time of the end of its fault.
LINK_FLUSH_S: t.Final = 0.6
LAG_INTERVAL_S: t.Final = 0.1
MAX_LAG_S: t.Final = 0.5


class Disruptions:
    """The disruptions of a run, by subject; they are recorded as observations too."""

    def __init__(self, observations: Observations) -> None:
        self.observations = observations
        self.by_subject: dict[str, list[Disruption]] = {}

    @contextlib.contextmanager
    def record(self, name: str, *subjects: str) -> t.Iterator[None]:
        """Record a disruption of the subjects for as long as the context lasts."""
        begun_s = time.monotonic()
        disruption = self.observations.record_disruption(begun_s, name=name)
        for subject in subjects:
            self.by_subject.setdefault(subject, []).append(disruption)
        try:
            yield
        finally:
            disruption.until_s = time.monotonic()

    def record_moment(self, name: str, *subjects: str) -> None:
        """Record a disruption that is over at once."""
        with self.record(name, *subjects):
            pass

    def is_disrupted(self, subject: str, from_s: float, until_s: float) -> bool:
        """Return whether a subject was disrupted at any moment of a span of time."""
        return any(
            row.from_s <= until_s and row.until_s >= from_s
            for row in self.by_subject.get(subject, ())
        )


async def watch_lag(disruptions: Disruptions, subjects: t.Sequence[str]) -> None:
    """Record when this process, and so likely the machine, was held up for long."""
    while True:
        before_s = time.monotonic()
        await asyncio.sleep(LAG_INTERVAL_S)
        lag_s = time.monotonic() - before_s - LAG_INTERVAL_S
        if lag_s > MAX_LAG_S:
            disruptions.record_moment(f"lag of {lag_s:.2f} s", *subjects)
