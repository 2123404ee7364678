"""Define the states of jobs and of runs, how runs end, and why jobs fail."""

import enum
import typing as t


class JobState(enum.Enum):
    """The state of a job as callers see it."""

    QUEUED = "queued"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"


FINAL_STATES: t.Final = frozenset(
    {JobState.COMPLETED, JobState.FAILED, JobState.CANCELLED}
)


class FailureReason(enum.Enum):
    """Why a job failed; the values are told to callers and stored.

    Records of earlier versions may have other texts.
    """

    ATTEMPTS = "a task failed as often as it may"
    CRASHES = "workers crashed under a task, and so did one that ran nothing else new"


class RunState(enum.Enum):
    """The state of a run as known to the scheduler."""

    STARTING = "starting"
    # The start order was not answered; the worker may or may not run it.
    UNCONFIRMED = "unconfirmed"
    RUNNING = "running"
    STOPPING = "stopping"


class RunOutcome(enum.Enum):
    """How a run ended, as reported by its worker; the values are those on the wire."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LEASE_EXPIRED = "lapsed"
    # Another member of its gang failed, was stopped or was lost.
    GANG_BROKEN = "broken"
    # The other members of its gang did not start in time.
    GANG_INCOMPLETE = "alone"
    # The worker says something else; the run is over.
    UNKNOWN = "unknown"
