"""Draw the size of a run, its load and its mix of faults from the seed.

Seeds in a row have the emphases in turn; every few seeds a run is large.
"""

import dataclasses
import enum
import random
import typing as t

# One seed of so many has the large cluster.
LARGE_RUN_INTERVAL: t.Final = 8


class Emphasis(enum.Enum):
    """What a run has most of."""

    # All faults alike.
    MIXED = "mixed"
    # Wide jobs, while workers do not answer.
    WIDE_JOBS = "wide jobs"
    # Submissions that are repeated or cancelled on their way, and cut links.
    REPEATS = "repeats"
    # Workers that restart under their id and hang soon, while long tasks work.
    RESTARTS = "restarts"


@dataclasses.dataclass(frozen=True)
class Profile:
    """Size, load and faults of a run; shares are 0 to 1."""

    emphasis: Emphasis
    entry_count: int = 3
    worker_count: int = 6
    client_count: int = 4
    wide_share: float = 0.1
    # Of jobs that are not wide: those with tasks that work for most of a lease.
    long_share: float = 0.02
    cancel_share: float = 0.3
    # Share of the cancelled jobs whose cancel is sent before their submission is
    # answered.
    early_cancel_share: float = 0.3
    repeat_share: float = 0.25
    # Share of the jobs that are submitted through an entry process that is suspended.
    suspended_share: float = 0.03
    max_pause_s: float = 0.4
    # Between signals, changes by operators and faults of the store.
    max_operation_interval_s: float = 1.5
    # Between faults of links and workers.
    max_failure_interval_s: float = 1.5


_PROFILES: t.Final = {
    Emphasis.MIXED: Profile(Emphasis.MIXED),
    Emphasis.WIDE_JOBS: Profile(
        Emphasis.WIDE_JOBS,
        entry_count=5,
        worker_count=12,
        wide_share=0.7,
        cancel_share=0.7,
        max_pause_s=1.0,
        # A leader that is left alone for a while counts as in contact.
        max_operation_interval_s=6.0,
        max_failure_interval_s=0.8,
    ),
    Emphasis.REPEATS: Profile(
        Emphasis.REPEATS,
        entry_count=4,
        cancel_share=0.6,
        early_cancel_share=0.7,
        repeat_share=0.6,
        suspended_share=0.06,
        max_operation_interval_s=2.5,
    ),
    Emphasis.RESTARTS: Profile(
        Emphasis.RESTARTS,
        long_share=0.3,
        cancel_share=0.1,
        # The leader changes about as often as workers are cut off.
        max_operation_interval_s=3.0,
        max_failure_interval_s=3.0,
    ),
}


def draw_profile(seed: int, rng: random.Random) -> Profile:
    """Return the profile of a seed."""
    emphases = list(Emphasis)
    profile = _PROFILES[emphases[seed % len(emphases)]]
    if rng.randrange(LARGE_RUN_INTERVAL):
        return profile
    return dataclasses.replace(profile, entry_count=8, worker_count=24)
