"""Draw the size of a run, its load and its mix of faults from the seed.

Seeds in a row have the emphases in turn; every few seeds a run is large. A run with an
aim has restarts that one defence is for, and nothing else disturbs its workers.
"""

import dataclasses
import enum
import random
import typing as t

from soak.restart_plans import FAR_CLOCK_MS, RestartMix

# One seed of so many has the large cluster.
LARGE_RUN_INTERVAL: t.Final = 8
# The aim of a run in which entry processes stop; no seed has it by itself.
STOPS_AIM: t.Final = "stops"


class Emphasis(enum.Enum):
    """What a run has most of."""

    # All faults alike.
    MIXED = "mixed"
    # Wide jobs, while workers do not answer.
    WIDE_JOBS = "wide jobs"
    # Submissions that are repeated or cancelled on their way, and cut links.
    REPEATS = "repeats"
    # Workers that restart under their id while orders are on their way and long tasks
    # work, and that are cut off soon.
    RESTARTS = "restarts"


@dataclasses.dataclass(frozen=True)
class Profile:
    """Size, load and faults of a run; shares are 0 to 1."""

    emphasis: Emphasis
    entry_count: int = 3
    worker_count: int = 6
    # So many of the workers restart under their id, also those that advice always
    # approves.
    kept_id_count: int = 2
    # The clocks of the first incarnations start here.
    first_clock_ms: int = 1000
    client_count: int = 4
    wide_share: float = 0.1
    # Of jobs that are not wide: those with tasks that work for most of a lease.
    long_share: float = 0.02
    long_cpus_milli: tuple[int, ...] = (500, 2000)
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
    run_s: float = 12.0
    # By when accepted jobs complete after all faults have ended.
    completion_s: float = 40.0
    restarts: RestartMix = dataclasses.field(default_factory=RestartMix)
    has_aim: bool = False
    # Entry processes stop in series, and nothing else disturbs the run.
    has_stops: bool = False

    @property
    def label(self) -> str:
        """Return what the run has most of, in a word or two."""
        return STOPS_AIM if self.has_stops else self.emphasis.value


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
        entry_count=4,
        worker_count=10,
        kept_id_count=8,
        first_clock_ms=FAR_CLOCK_MS,
        long_share=0.3,
        cancel_share=0.1,
        max_pause_s=1.5,
        # The leader changes about as often as workers are cut off.
        max_operation_interval_s=5.0,
        max_failure_interval_s=3.0,
        # Leases, and the bound until which late orders may extend them, expire.
        run_s=40.0,
        # A successor waits 34 s for what a worker that is gone may have been told; a
        # task may then need three attempts of 12 s.
        completion_s=80.0,
    ),
}


_QUIET: t.Final = RestartMix(
    late_share=0.0,
    late_after_share=0.0,
    late_stops_share=0.0,
    kept_share=0.0,
    lost_answers_share=0.0,
    jitter_share=0.0,
    twice_share=0.0,
    killed_leader_share=0.0,
    cut_share=1.0,
    held_back_share=0.0,
    late_entry_share=0.0,
    moved_share=0.0,
    clocks=("low",),
    max_worker_share=0.35,
)
# By name: the restarts that a defence is for.
AIMS: t.Final = {
    # The next incarnation carries starts out over connections of the former one, and
    # none of its answers arrives.
    "kept": dataclasses.replace(
        _QUIET, kept_share=1.0, lost_answers_share=1.0, max_down_s=0.3
    ),
    # Starts are repeated; the next incarnation carries the first copies out.
    "late starts": dataclasses.replace(
        _QUIET,
        late_share=1.0,
        late_ranges_s=((0.8, 4.0),),
        starts_only_share=1.0,
        cut_share=0.5,
        max_down_s=0.3,
    ),
    # Late orders extend the lease of runs that began after the restart.
    "late leases": dataclasses.replace(
        _QUIET,
        late_share=1.0,
        late_ranges_s=((3.0, 12.0),),
        starts_only_share=1.0,
        max_down_s=0.3,
    ),
    # Orders of a killed leader are carried out by a worker that its successor does not
    # reach.
    "takeover": dataclasses.replace(
        _QUIET,
        late_share=1.0,
        late_ranges_s=((8.0, 12.0),),
        starts_only_share=1.0,
        killed_leader_share=1.0,
        late_for_range_s=(2.5, 2.6),
        # No leader reaches the next incarnation, nor a successor the former one.
        cut_delay_range_s=(0.0, 0.0),
        max_kill_lead_s=0.3,
        # Until a successor that reckons with the usual lease has given its runs up.
        cut_range_s=(22.0, 25.0),
        max_down_s=0.3,
        min_worker_share=0.5,
        interval_s=30.0,
    ),
    # The answer to a stop arrives after the report of the next incarnation.
    "late answers": dataclasses.replace(
        _QUIET,
        late_share=1.0,
        late_ranges_s=((3.0, 9.0),),
        starts_only_share=1.0,
        late_stops_share=1.0,
        jitter_share=1.0,
        twice_share=1.0,
        max_second_delay_s=0.6,
        cut_share=0.0,
        # For so long are stops late.
        cut_delay_range_s=(4.0, 6.0),
        max_down_s=0.1,
    ),
}


def _make_aimed_profile(mix: RestartMix) -> Profile:
    """Make the profile of a run that has only restarts of one kind, and long tasks."""
    return dataclasses.replace(
        _PROFILES[Emphasis.RESTARTS],
        # Workers that are not cut off have room for what is started elsewhere.
        worker_count=16,
        kept_id_count=16,
        wide_share=0.0,
        long_share=0.8,
        cancel_share=0.0,
        repeat_share=0.0,
        suspended_share=0.0,
        long_cpus_milli=(500,),
        max_pause_s=1.0,
        run_s=max(30.0, 1.5 * mix.interval_s),
        restarts=mix,
        has_aim=True,
    )


_STOPS_PROFILE: t.Final = Profile(
    Emphasis.MIXED,
    # Two stop at a time, and the others lead and serve.
    entry_count=4,
    client_count=24,
    max_pause_s=0.8,
    run_s=16.0,
    has_aim=True,
    has_stops=True,
)


def draw_profile(seed: int, rng: random.Random, aim: str = "") -> Profile:
    """Return the profile of a seed, or that of an aim; raises KeyError."""
    if aim == STOPS_AIM:
        return _STOPS_PROFILE
    if aim:
        return _make_aimed_profile(AIMS[aim])
    emphases = list(Emphasis)
    profile = _PROFILES[emphases[seed % len(emphases)]]
    if rng.randrange(LARGE_RUN_INTERVAL):
        return profile
    return dataclasses.replace(profile, entry_count=8, worker_count=24)
